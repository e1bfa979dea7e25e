package drain

import (
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
)

// fakeRuntime is a clock that a test moves, and a state service whose answers to commits
// a test gives.
type fakeRuntime struct {
	now     time.Duration
	timers  []func()
	commits []pendingCall
}

type pendingCall struct {
	body   string
	answer func(http1.Response, error)
}

func (r *fakeRuntime) Now() time.Duration { return r.now }

func (r *fakeRuntime) WallClock() time.Time { return time.UnixMilli(1_790_000_000_000).Add(r.now) }

func (r *fakeRuntime) Rand() float64 { return 0.5 }

func (r *fakeRuntime) After(_ time.Duration, fn func())                                    { r.timers = append(r.timers, fn) }
func (r *fakeRuntime) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {}

func (r *fakeRuntime) CallHTTP(_ string, c http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	switch {
	case c.Target == "/commit":
		r.commits = append(r.commits, pendingCall{string(c.Body), fn})
	case strings.HasPrefix(c.Target, "/keys"):
		fn(http1.Response{Status: 200, Body: []byte(`{"rows":[],"epoch":1}`)}, nil)
	case strings.Contains(c.Target, "waitMs=0"):
		fn(http1.Response{Status: 200, Body: []byte(`{"epoch":1,"log":[]}`)}, nil)
	}
}

// fire lets all timers run that are set now.
func (r *fakeRuntime) fire() {
	timers := r.timers
	r.timers = nil
	r.now += time.Second
	for _, fn := range timers {
		fn()
	}
}

// emptyCluster has no machines and no work.
type emptyCluster struct{}

func (emptyCluster) IsKnown() bool                      { return true }
func (emptyCluster) EachMachine(func(*MachineInfo))     {}
func (emptyCluster) Machine(string) (MachineInfo, bool) { return MachineInfo{}, false }
func (emptyCluster) IsGone(string) bool                 { return false }
func (emptyCluster) CPUsPlacedOn(string) float64        { return 0 }
func (emptyCluster) Job(string) (*jobs.Spec, bool)      { return nil, false }
func (emptyCluster) TaskStatus(string, int) (taskstate.TaskStatus, bool) {
	return taskstate.TaskStatus{}, false
}
func (emptyCluster) PlacedReplicas(string) int                            { return 0 }
func (emptyCluster) EachPlacement(func(*jobs.Spec, taskstate.TaskStatus)) {}
func (emptyCluster) EachInterrupted(func(*jobs.Spec, int))                {}
func (emptyCluster) CapacityFor(*jobs.Spec, string) int                   { return 0 }
func (emptyCluster) HasUrgentWaiting(jobs.Priority) bool                  { return false }
func (emptyCluster) RentMachine(string, MachineInfo) (string, bool)       { return "", false }
func (emptyCluster) KeepIdle(map[string]bool)                             {}
func (emptyCluster) ShardKey(int) string                                  { return "lease/block/0" }
func (emptyCluster) ShardCount() int                                      { return 1 }
func (emptyCluster) LeaseValid() bool                                     { return true }

// TestCommitIsRepeatedUntilItsOutcomeIsKnown: a commit without an answer may be carried
// out at any time. Until it is known whether it was, the same is sent again, nothing else
// is, and nothing is taken for done or not done; a later term has nothing to do with it.
func TestCommitIsRepeatedUntilItsOutcomeIsKnown(t *testing.T) {
	rt := &fakeRuntime{}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	state := statestore.New(rt, "state", log)
	book := NewRecords(rt, state, log)
	book.Start()
	set := &settings.Settings{}
	set.Deployment.State.WriteRPS = 100
	set.Operator.Drains = &settings.Drains{}
	c := NewCoordinator(Dependencies{
		Runtime: rt, State: state, Lease: emptyCluster{}, Records: book, Cluster: emptyCluster{}, Settings: set, Log: log,
	})
	c.BeginTerm(7)
	for range 3 {
		rt.fire()
	}
	outcomes := []bool{}
	c.committer.commit(nil, []statestore.Operation{{PutKey: HeadKey("a"), Value: json.RawMessage(`{}`)}}, func(ok bool) { outcomes = append(outcomes, ok) })
	for try, answer := range []func(func(http1.Response, error)){
		func(fn func(http1.Response, error)) { fn(http1.Response{}, eventloop.ErrNoAnswer) },
		func(fn func(http1.Response, error)) { fn(http1.Response{Status: 503}, nil) },
		func(fn func(http1.Response, error)) { fn(http1.Response{}, eventloop.ErrNotSent) },
		func(fn func(http1.Response, error)) { fn(http1.Response{}, eventloop.ErrNoAnswer) },
	} {
		c.Tick()
		if len(rt.commits) != try+1 || rt.commits[try].body != rt.commits[0].body || !c.committer.inFlight || len(outcomes) > 0 {
			t.Fatalf("after %d answers: %d commits, flying %v, outcomes %v", try, len(rt.commits), c.committer.inFlight, outcomes)
		}
		answer(rt.commits[try].answer)
		rt.fire()
	}
	if !strings.Contains(rt.commits[0].body, `{"key":"lease/lead","stamp":7}`) {
		t.Errorf("not guarded by the lead: %s", rt.commits[0].body)
	}
	rt.commits[4].answer(http1.Response{Status: 409, Body: []byte(`{"failed":["drain/a/head"],"epoch":9}`)}, nil)
	for range 3 {
		rt.fire()
	}
	if len(outcomes) != 1 || outcomes[0] || c.committer.inFlight {
		t.Errorf("outcomes %v, flying %v", outcomes, c.committer.inFlight)
	}
	c.committer.commit(nil, []statestore.Operation{{PutKey: HeadKey("b"), Value: json.RawMessage(`{}`)}}, func(bool) { t.Error("an outcome of an earlier term") })
	c.BeginTerm(8)
	sent := len(rt.commits)
	rt.commits[sent-1].answer(http1.Response{}, eventloop.ErrNoAnswer)
	rt.fire()
	if len(rt.commits) != sent {
		t.Error("a commit of an earlier term is repeated")
	}
}
