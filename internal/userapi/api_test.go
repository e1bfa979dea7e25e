package userapi

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
)

// line is a runtime whose calls and timers wait for the test.
type line struct {
	now    time.Duration
	timers []func()
	calls  []waiting
	keys   map[string]uint64
	epoch  uint64
}

type waiting struct {
	call http1.ClientRequest
	fn   func(http1.Response, error)
}

func (l *line) Now() time.Duration               { return l.now }
func (l *line) WallClock() time.Time             { return time.UnixMilli(0).Add(l.now) }
func (l *line) Rand() float64                    { return 0.5 }
func (l *line) After(_ time.Duration, fn func()) { l.timers = append(l.timers, fn) }
func (l *line) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {
}

func (l *line) CallHTTP(_ string, c http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	l.calls = append(l.calls, waiting{c, fn})
}

// commit carries a commit out: it fails if a guarded key exists.
func (l *line) commit(body []byte) http1.Response {
	var c struct {
		Guards []statestore.Condition `json:"guards"`
		Apply  []statestore.Operation `json:"apply"`
	}
	if json.Unmarshal(body, &c) != nil {
		return http1.Response{Status: 400}
	}
	var failed []string
	for _, g := range c.Guards {
		if l.keys[g.Key] != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		raw, _ := json.Marshal(map[string]any{"failed": failed, "epoch": l.epoch})
		return http1.Response{Status: 409, Body: raw}
	}
	l.epoch++
	for _, a := range c.Apply {
		l.keys[a.PutKey] = l.epoch
	}
	return http1.Response{Status: 200, Body: fmt.Appendf(nil, `{"epoch":%d}`, l.epoch)}
}

// ignoreJobs is an observer that does nothing.
type ignoreJobs struct{}

func (ignoreJobs) JobChanged(*Entry) {}

// fixedProgress counts the same tasks for every job.
type fixedProgress struct{ done, placed, running int }

func (p *fixedProgress) Progress(string) (done, placed int) { return p.done, p.placed }
func (p *fixedProgress) RunningTasks(string) int            { return p.running }

// oneMachineType is a deployment of machines of one type.
type oneMachineType struct{}

func (oneMachineType) MachineTypes() []jobs.MachineType {
	return []jobs.MachineType{{Name: "g8", CPUs: 8, MemoryGB: 8}}
}

// submissionBody is a user's request for an array of three tasks.
func submissionBody(id int) []byte {
	return fmt.Appendf(nil, `{"id":"wk-%06d","lane":"x","crew":"red","shape":"array","urgency":"urgent","pieces":3,"cpus":1,"cards":0,"memoryGb":1,
		"kit":"img","pullGb":1,"builds":null,"yard":null,"samePlace":false,"spread":false,"loaners":true,"expectS":5,"snapshotS":0,"flushS":0,"dueS":null}`, id)
}

// TestSubmissionsAreDurableBeforeAccepted: however commits end, every submission
// is answered once, and 201 only when its record is in the state service.
func TestSubmissionsAreDurableBeforeAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &line{keys: map[string]uint64{}, now: time.Minute}
		log := slog.New(slog.DiscardHandler)
		state := statestore.New(l, "state", log)
		set := &settings.Settings{}
		set.Deployment.Teams = []settings.Team{{Name: "red", CPUsMax: 100}}
		set.Deployment.State.TxnOps, set.Deployment.State.ValueKB = 12, 8
		cat := NewCatalog(l, state, set.Deployment.Teams, log, ignoreJobs{})
		d := NewAPI(Config{Runtime: l, Client: state, Catalog: cat, Settings: set, Progress: &fixedProgress{}, Machines: oneMachineType{}})
		cat.Start()
		l.calls[0].fn(http1.Response{Status: 200, Body: []byte(`{"rows":[],"epoch":1}`)}, nil)
		l.calls = nil
		l.epoch = 1
		answers := map[int]int{}
		asked := 0
		ask := func() {
			n, id := asked, rapid.IntRange(0, 9).Draw(t, "id")
			asked++
			d.Submit(submissionBody(id), func(status int, _ []byte, retry int) {
				answers[n]++
				if (status == 201 || status == 200) && l.keys[fmt.Sprintf("%swk-%06d", KeyPrefix, id)] == 0 {
					t.Fatalf("answered %d before the job was durable", status)
				}
				if status == 503 && retry == 0 {
					t.Fatal("refused without a time to come back")
				}
			})
		}
		settle := func() {
			if len(l.calls) == 0 {
				if len(l.timers) > 0 {
					fn := l.timers[0]
					l.timers = l.timers[1:]
					l.now += 300 * time.Millisecond
					fn()
				}
				return
			}
			w := l.calls[0]
			l.calls = l.calls[1:]
			if w.call.Target != "/commit" { // a check: nothing new
				w.fn(http1.Response{Status: 200, Body: fmt.Appendf(nil, `{"epoch":%d,"log":[]}`, l.epoch)}, nil)
				return
			}
			switch rapid.IntRange(0, 4).Draw(t, "fate") {
			case 0: // carried out, the answer lost
				l.commit(w.call.Body)
				w.fn(http1.Response{}, eventloop.ErrNoAnswer)
			case 1:
				w.fn(http1.Response{Status: 503}, nil)
			case 2: // carried out twice
				a := l.commit(w.call.Body)
				l.commit(w.call.Body)
				w.fn(a, nil)
			default:
				w.fn(l.commit(w.call.Body), nil)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "ask") {
				ask()
			} else {
				settle()
			}
		}
		for range 2000 {
			settle()
			if len(l.calls) == 0 && len(l.timers) == 0 {
				break
			}
		}
		for n := range asked {
			if answers[n] != 1 {
				t.Fatalf("submission %d was answered %d times", n, answers[n])
			}
		}
	})
}
