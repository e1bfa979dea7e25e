package userapi

import (
	"bytes"
	"encoding/json"
	"math"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/statestore"
)

// statusLog collects the statuses of the answers that a user gets.
type statusLog []int

func (l *statusLog) respond(status int, _ []byte, _ int) { *l = append(*l, status) }

// storedEntry is a job as the state service lists it, as JSON.
func storedEntry(t *testing.T, id int, revision uint64, record Record) string {
	t.Helper()
	var fields map[string]any
	if err := json.Unmarshal(submissionBody(id), &fields); err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	entry, err := json.Marshal(statestore.KeyValue{Key: KeyPrefix + fields["id"].(string), Value: value, Revision: revision})
	if err != nil {
		t.Fatal(err)
	}
	return string(entry)
}

// TestUnknownOutcomeIsNotAccepted: a submission whose commit was refused is not answered
// yet, and one whose commit got no answer is refused for now, never accepted.
func TestUnknownOutcomeIsNotAccepted(t *testing.T) {
	service, _, api := newTestAPI(8000, "")
	var answered statusLog
	api.Submit(submissionBody(1), answered.respond)
	service.take(t, "/commit").answer(http1.Response{Status: 503}, nil)
	if len(answered) > 0 {
		t.Fatalf("told %v when the commit was refused", answered)
	}
	for _, fn := range service.timers {
		fn()
	}
	service.take(t, "/commit").answer(http1.Response{}, eventloop.ErrNoAnswer)
	if len(answered) != 1 || answered[0] != 503 {
		t.Errorf("told %v when the commit got no answer", answered)
	}
}

// TestSubmissionDoesNotOverwrite: a submission of a job that another node has stored, and
// perhaps cancelled since, changes nothing.
func TestSubmissionDoesNotOverwrite(t *testing.T) {
	service, _, api := newTestAPI(8000, "")
	service.revisions[KeyPrefix+"wk-000001"] = 5 // not watched yet
	var answered statusLog
	api.Submit(submissionBody(1), answered.respond)
	commit := service.take(t, "/commit")
	commit.answer(service.commit(commit.call.Body), nil)
	if service.revisions[KeyPrefix+"wk-000001"] != 5 || len(answered) > 0 {
		t.Errorf("stored job overwritten, told %v", answered)
	}
}

// TestRepeatAfterTheCommitWasSentGetsTheVerifiedState: another node may have read the job by
// then, told its user and even cancelled it.
func TestRepeatAfterTheCommitWasSentGetsTheVerifiedState(t *testing.T) {
	service, _, api := newTestAPI(8000, "")
	var first, late statusLog
	api.Submit(submissionBody(1), first.respond)
	api.Submit(submissionBody(1), late.respond)
	commit := service.take(t, "/commit")
	commit.answer(service.commit(commit.call.Body), nil)
	if len(first) != 1 || first[0] != 201 || len(late) > 0 {
		t.Fatalf("told %v and, before any verification, %v", first, late)
	}
	service.take(t, "/watch").answer(http1.Response{Status: 200, Body: []byte(`{"epoch":10,"log":[]}`)}, nil)
	if len(late) != 1 || late[0] != 200 {
		t.Errorf("the repeat is told %v", late)
	}
}

// TestWithoutVerificationUnavailable: while the catalog cannot be verified, a poll, a
// cancellation and a submission that cannot be carried out get 503, whether the job is known
// here or not; never 404 or 422, nor an answer that may be old.
func TestWithoutVerificationUnavailable(t *testing.T) {
	service, _, api := newTestAPI(8000, storedEntry(t, 1, 5, Record{SubmittedMS: 1}))
	impossible := bytes.Replace(submissionBody(2), []byte(`"cpus":1`), []byte(`"cpus":99`), 1)
	for name, ask := range map[string]func(http1.ResponseWriter){
		"poll, known":      func(respond http1.ResponseWriter) { api.Poll("wk-000001", respond) },
		"poll, unknown":    func(respond http1.ResponseWriter) { api.Poll("wk-000002", respond) },
		"cancel, known":    func(respond http1.ResponseWriter) { api.Cancel("wk-000001", respond) },
		"cancel, unknown":  func(respond http1.ResponseWriter) { api.Cancel("wk-000002", respond) },
		"submit, repeated": func(respond http1.ResponseWriter) { api.Submit(submissionBody(1), respond) },
		"submit, too much": func(respond http1.ResponseWriter) { api.Submit(impossible, respond) },
	} {
		for _, fail := range []func(func(http1.Response, error)){
			func(fn func(http1.Response, error)) { fn(http1.Response{}, eventloop.ErrNoAnswer) },
			func(fn func(http1.Response, error)) { fn(http1.Response{Status: 503}, nil) },
		} {
			var answered statusLog
			ask(answered.respond)
			for _, fn := range service.timers { // verifications are paced
				fn()
			}
			service.timers = nil
			fail(service.take(t, "/watch").answer)
			if len(answered) != 1 || answered[0] != 503 {
				t.Errorf("%s: told %v", name, answered)
			}
		}
	}
}

// TestCancellationIsConfirmedWhenDurable: a cancellation is conditional on the revision of
// the job that was read, and confirmed only when its commit was carried out.
func TestCancellationIsConfirmedWhenDurable(t *testing.T) {
	service, _, api := newTestAPI(8000, storedEntry(t, 1, 5, Record{SubmittedMS: 1}))
	var answered statusLog
	api.Cancel("wk-000001", answered.respond)
	service.take(t, "/watch").answer(http1.Response{Status: 200, Body: []byte(`{"epoch":9,"log":[]}`)}, nil)
	commit := service.take(t, "/commit")
	if !bytes.Contains(commit.call.Body, []byte(`{"key":"job/wk-000001","stamp":5}`)) {
		t.Errorf("not conditional on the job's revision: %s", commit.call.Body)
	}
	commit.answer(http1.Response{}, eventloop.ErrNoAnswer)
	if len(answered) != 1 || answered[0] != 503 {
		t.Errorf("told %v when the commit got no answer", answered)
	}
}

// TestCatalogNeverReverts: a final phase never changes, and an older record never replaces
// a newer one.
func TestCatalogNeverReverts(t *testing.T) {
	_, catalog, _ := newTestAPI(8000, storedEntry(t, 1, 5, Record{SubmittedMS: 1, Phase: PhaseCancelled})+","+storedEntry(t, 2, 6, Record{SubmittedMS: 2}))
	catalog.Observe("wk-000001", json.RawMessage(`{"at":1,"phase":"done","n":3}`), 7)
	catalog.Observe("wk-000001", json.RawMessage(`{"at":1}`), 8)
	if entry := catalog.Get("wk-000001"); entry.Phase != PhaseCancelled {
		t.Errorf("a cancelled job is %q", entry.Phase)
	}
	catalog.Observe("wk-000002", json.RawMessage(`{"at":1}`), 3)
	if entry := catalog.Get("wk-000002"); entry.Revision != 6 || entry.SubmittedMS != 2 {
		t.Errorf("replaced by an older record: %+v", entry.Record)
	}
}

// TestCancellationAgeCountsFromTheRecord: the age counts from the time that the record tells,
// with the bound of the clocks' difference added; a record that does not tell counts as old.
func TestCancellationAgeCountsFromTheRecord(t *testing.T) {
	service, catalog, _ := newTestAPI(8000, storedEntry(t, 1, 5, Record{SubmittedMS: 1, Phase: PhaseCancelled, CancelledMS: 50_000})+","+storedEntry(t, 2, 6, Record{SubmittedMS: 2, Phase: PhaseCancelled}))
	service.now = 53 * time.Second
	if age, cancelled := catalog.CancellationAge("wk-000001", 2*time.Second); !cancelled || age != 5*time.Second {
		t.Errorf("cancelled %v, for %v", cancelled, age)
	}
	if age, cancelled := catalog.CancellationAge("wk-000002", 2*time.Second); !cancelled || age != math.MaxInt64 {
		t.Errorf("of a version that does not tell: cancelled %v, for %v", cancelled, age)
	}
}
