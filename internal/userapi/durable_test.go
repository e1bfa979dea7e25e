package userapi

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/statestore"
)

// answers collects what a user is told.
type answers []int

func (a *answers) reply(status int, _ []byte, _ int) { *a = append(*a, status) }

// take finds the first request to a path that has not been answered; a watch that waits
// is passed over.
func (l *line) take(t *testing.T, path string) waiting {
	t.Helper()
	for i, w := range l.calls {
		if strings.HasPrefix(w.call.Target, path) && (!strings.Contains(w.call.Target, "waitMs") || strings.Contains(w.call.Target, "waitMs=0")) {
			l.calls = append(l.calls[:i:i], l.calls[i+1:]...)
			return w
		}
	}
	t.Fatalf("no request to %s", path)
	return waiting{}
}

// storedRow is a row of one job.
func storedRow(t *testing.T, id int, stamp uint64, r Record) string {
	t.Helper()
	var raw map[string]any
	if err := json.Unmarshal(submissionBody(id), &raw); err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	row, err := json.Marshal(statestore.KeyValue{Key: KeyPrefix + raw["id"].(string), Value: value, Revision: stamp})
	if err != nil {
		t.Fatal(err)
	}
	return string(row)
}

// TestUnknownOutcomeIsNotAccepted: a submission whose commit was refused is not answered
// yet, and one whose commit got no answer is refused for now, never accepted.
func TestUnknownOutcomeIsNotAccepted(t *testing.T) {
	l, _, d := newAPI(8000, "")
	var told answers
	d.Submit(submissionBody(1), told.reply)
	l.take(t, "/commit").fn(http1.Response{Status: 503}, nil)
	if len(told) > 0 {
		t.Fatalf("told %v when the commit was refused", told)
	}
	for _, fn := range l.timers {
		fn()
	}
	l.take(t, "/commit").fn(http1.Response{}, eventloop.ErrNoAnswer)
	if len(told) != 1 || told[0] != 503 {
		t.Errorf("told %v when the commit got no answer", told)
	}
}

// TestSubmissionDoesNotOverwrite: a submission of a job that another node has stored, and
// perhaps cancelled since, changes nothing.
func TestSubmissionDoesNotOverwrite(t *testing.T) {
	l, _, d := newAPI(8000, "")
	l.keys[KeyPrefix+"wk-000001"] = 5 // not told of yet
	var told answers
	d.Submit(submissionBody(1), told.reply)
	c := l.take(t, "/commit")
	c.fn(l.commit(c.call.Body), nil)
	if l.keys[KeyPrefix+"wk-000001"] != 5 || len(told) > 0 {
		t.Errorf("stored job overwritten, told %v", told)
	}
}

// TestRepeatAfterTheCommitLeftGetsTheProvenState: another node may have read the job by
// then, told its user and even cancelled it.
func TestRepeatAfterTheCommitLeftGetsTheProvenState(t *testing.T) {
	l, _, d := newAPI(8000, "")
	var first, late answers
	d.Submit(submissionBody(1), first.reply)
	d.Submit(submissionBody(1), late.reply)
	c := l.take(t, "/commit")
	c.fn(l.commit(c.call.Body), nil)
	if len(first) != 1 || first[0] != 201 || len(late) > 0 {
		t.Fatalf("told %v and, before any proof, %v", first, late)
	}
	l.take(t, "/watch").fn(http1.Response{Status: 200, Body: []byte(`{"epoch":10,"log":[]}`)}, nil)
	if len(late) != 1 || late[0] != 200 {
		t.Errorf("the repeat is told %v", late)
	}
}

// TestWithoutProofUnavailable: without a proof that the copy is current, a poll, a cancellation
// and a submission that cannot be carried out get 503, whether the job is known here or not;
// never 404 or 422, nor an answer that may be old.
func TestWithoutProofUnavailable(t *testing.T) {
	l, _, d := newAPI(8000, storedRow(t, 1, 5, Record{SubmittedMS: 1}))
	impossible := bytes.Replace(submissionBody(2), []byte(`"cpus":1`), []byte(`"cpus":99`), 1)
	for name, ask := range map[string]func(http1.ResponseWriter){
		"poll, known":      func(r http1.ResponseWriter) { d.Poll("wk-000001", r) },
		"poll, unknown":    func(r http1.ResponseWriter) { d.Poll("wk-000002", r) },
		"cancel, known":    func(r http1.ResponseWriter) { d.Cancel("wk-000001", r) },
		"cancel, unknown":  func(r http1.ResponseWriter) { d.Cancel("wk-000002", r) },
		"submit, repeated": func(r http1.ResponseWriter) { d.Submit(submissionBody(1), r) },
		"submit, too much": func(r http1.ResponseWriter) { d.Submit(impossible, r) },
	} {
		for _, fail := range []func(func(http1.Response, error)){
			func(fn func(http1.Response, error)) { fn(http1.Response{}, eventloop.ErrNoAnswer) },
			func(fn func(http1.Response, error)) { fn(http1.Response{Status: 503}, nil) },
		} {
			var told answers
			ask(told.reply)
			for _, fn := range l.timers { // checks are paced
				fn()
			}
			l.timers = nil
			fail(l.take(t, "/watch").fn)
			if len(told) != 1 || told[0] != 503 {
				t.Errorf("%s: told %v", name, told)
			}
		}
	}
}

// TestCancellationIsConfirmedWhenDurable: a cancellation is guarded by the revision of the
// job that was looked at, and confirmed only when its commit was carried out.
func TestCancellationIsConfirmedWhenDurable(t *testing.T) {
	l, _, d := newAPI(8000, storedRow(t, 1, 5, Record{SubmittedMS: 1}))
	var told answers
	d.Cancel("wk-000001", told.reply)
	l.take(t, "/watch").fn(http1.Response{Status: 200, Body: []byte(`{"epoch":9,"log":[]}`)}, nil)
	c := l.take(t, "/commit")
	if !bytes.Contains(c.call.Body, []byte(`{"key":"job/wk-000001","stamp":5}`)) {
		t.Errorf("not guarded by the job's revision: %s", c.call.Body)
	}
	c.fn(http1.Response{}, eventloop.ErrNoAnswer)
	if len(told) != 1 || told[0] != 503 {
		t.Errorf("told %v when the commit got no answer", told)
	}
}

// TestCatalogNeverGoesBack: a final phase never changes, and an older record never replaces
// a newer one.
func TestCatalogNeverGoesBack(t *testing.T) {
	_, cat, _ := newAPI(8000, storedRow(t, 1, 5, Record{SubmittedMS: 1, Phase: PhaseCancelled})+","+storedRow(t, 2, 6, Record{SubmittedMS: 2}))
	cat.Observe("wk-000001", json.RawMessage(`{"at":1,"phase":"done","n":3}`), 7)
	cat.Observe("wk-000001", json.RawMessage(`{"at":1}`), 8)
	if e := cat.Get("wk-000001"); e.Phase != PhaseCancelled {
		t.Errorf("a cancelled job is %q", e.Phase)
	}
	cat.Observe("wk-000002", json.RawMessage(`{"at":1}`), 3)
	if e := cat.Get("wk-000002"); e.Revision != 6 || e.SubmittedMS != 2 {
		t.Errorf("replaced by an older record: %+v", e.Record)
	}
}

// TestAgeOfACancellation: it counts from the time that its record tells, with the bound of
// the clocks added; a record that does not tell counts as old.
func TestAgeOfACancellation(t *testing.T) {
	l, cat, _ := newAPI(8000, storedRow(t, 1, 5, Record{SubmittedMS: 1, Phase: PhaseCancelled, CancelledMS: 50_000})+","+storedRow(t, 2, 6, Record{SubmittedMS: 2, Phase: PhaseCancelled}))
	l.now = 53 * time.Second
	if age, off := cat.CancellationAge("wk-000001", 2*time.Second); !off || age != 5*time.Second {
		t.Errorf("cancelled %v, for %v", off, age)
	}
	if age, off := cat.CancellationAge("wk-000002", 2*time.Second); !off || age != math.MaxInt64 {
		t.Errorf("of a version that does not tell: cancelled %v, for %v", off, age)
	}
}
