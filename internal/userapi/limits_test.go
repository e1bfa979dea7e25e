package userapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
)

// newAPI is a user API whose state service takes values of so many bytes; rows is
// what is stored.
func newAPI(value int, rows string) (*line, *Catalog, *API) {
	l := &line{keys: map[string]uint64{}, now: time.Minute}
	log := slog.New(slog.DiscardHandler)
	state := statestore.New(l, "state", log)
	state.SetLimits(statestore.Limits{MaxOperations: 4, MaxValueBytes: value, FutureWriteShare: 1})
	set := &settings.Settings{}
	set.Deployment.Teams = []settings.Team{{Name: "red", CPUsMax: 100}}
	cat := NewCatalog(l, state, set.Deployment.Teams, log, ignoreJobs{})
	d := NewAPI(Config{Runtime: l, Client: state, Catalog: cat, Settings: set, Progress: &fixedProgress{}, Machines: oneMachineType{}})
	cat.Start()
	l.calls[0].fn(http1.Response{Status: 200, Body: []byte(`{"rows":[` + rows + `],"epoch":9}`)}, nil)
	l.calls = nil
	l.epoch = 9
	return l, cat, d
}

// answerAll answers checks and commits; values above most are found too large.
func (l *line) answerAll(t *testing.T, most int) {
	t.Helper()
	for n := 0; len(l.calls)+len(l.timers) > 0; n++ {
		if n > 80 {
			t.Fatal("the same request for ever")
		}
		if len(l.calls) == 0 {
			fn := l.timers[0]
			l.timers = l.timers[1:]
			l.now += 300 * time.Millisecond
			fn()
			continue
		}
		w := l.calls[0]
		l.calls = l.calls[1:]
		if strings.Contains(w.call.Target, "waitMs") && !strings.Contains(w.call.Target, "waitMs=0") {
			continue // a watch stays open
		}
		if w.call.Target != "/commit" {
			w.fn(http1.Response{Status: 200, Body: fmt.Appendf(nil, `{"epoch":%d,"log":[]}`, l.epoch)}, nil)
			continue
		}
		var c struct {
			Apply []struct {
				V json.RawMessage `json:"v"`
			} `json:"apply"`
		}
		if err := json.Unmarshal(w.call.Body, &c); err != nil {
			t.Fatal(err)
		}
		large := false
		for _, a := range c.Apply {
			large = large || len(a.V) > most
		}
		if large {
			w.fn(http1.Response{Status: 400, Body: []byte(`{"error":"value too large"}`)}, nil)
			continue
		}
		w.fn(l.commit(w.call.Body), nil)
	}
}

// wide is a submission that names so many machine types.
func wide(id, types int) []byte {
	names := []string{`"g8"`}
	for i := range types {
		names = append(names, fmt.Sprintf(`"type-%06d"`, i))
	}
	return bytes.Replace(submissionBody(id), []byte(`"builds":null`), []byte(`"builds":[`+strings.Join(names, ",")+`]`), 1)
}

// TestLargeDescriptions: a submission too large for the state service is stored
// with the machine types that there are; one too large all the same gets 400, but
// never if it is known. That the settings told too much makes no loop.
func TestLargeDescriptions(t *testing.T) {
	for _, told := range []int{900, 8000} {
		l, cat, d := newAPI(told, "")
		status := 0
		ask := func(body []byte) int {
			for try := 0; try < 3; try++ {
				status = 0
				d.Submit(body, func(s int, _ []byte, _ int) { status = s })
				l.answerAll(t, 900)
				if status != 503 {
					break
				}
			}
			return status
		}
		if got := ask(wide(1, 300)); got != 201 {
			t.Errorf("told %d: %d", told, got)
		}
		if e := cat.Get("wk-000001"); e == nil || len(e.Spec.MachineTypes) != 1 || e.Spec.MachineTypes[0] != "g8" {
			t.Errorf("told %d: stored as %+v", told, e)
		}
		long := bytes.Replace(submissionBody(2), []byte(`"kit":"img"`), []byte(`"kit":"`+strings.Repeat("k", 200)+`"`), 1)
		long = bytes.Replace(long, []byte(`"lane":"x"`), []byte(`"lane":"`+strings.Repeat("l", 200)+`"`), 1)
		if got := ask(long); got != 201 {
			t.Errorf("told %d: 400 more bytes: %d", told, got)
		}
	}
}

// TestStoredTooLarge: a job whose description alone is above the limit is known
// when it comes again, and is cancelled in a record below it, which still tells
// what its tasks take.
func TestStoredTooLarge(t *testing.T) {
	job, err := jobs.Parse(wide(1, 300))
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(Record{SubmittedMS: 5, Spec: job})
	if err != nil || len(value) < 4000 {
		t.Fatal(len(value), err)
	}
	row := fmt.Sprintf(`{"key":"job/wk-000001","v":%s,"stamp":7}`, value)
	l, cat, d := newAPI(900, row)
	l.keys["job/wk-000001"] = 7
	status := 0
	d.Submit(wide(1, 300), func(s int, _ []byte, _ int) { status = s })
	l.answerAll(t, 900)
	if status != 200 {
		t.Errorf("a repeat gets %d", status)
	}
	var body []byte
	d.Cancel("wk-000001", func(s int, b []byte, _ int) { status, body = s, b })
	l.answerAll(t, 900)
	if status != 200 || !bytes.Contains(body, []byte("cancelled")) {
		t.Errorf("cancel gets %d %s", status, body)
	}
	if e := cat.Get("wk-000001"); e.Phase != PhaseCancelled || e.Spec == nil || e.Spec.CPUs != 1 || e.Spec.Team != "red" || e.Spec.Tasks != 3 {
		t.Errorf("left as %+v", e.Spec)
	}
}
