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

// statusLog records the status codes of the answers to a user.
type statusLog []int

func (l *statusLog) respond(status int, _ []byte, _ int) { *l = append(*l, status) }

// storedEntry returns the JSON of a job record as the state service lists it.
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

// TestUnknownOutcomeIsNotAccepted checks that a submission whose commit was refused is not
// answered yet, and that one whose commit got no answer is answered with 503, never accepted.
func TestUnknownOutcomeIsNotAccepted(t *testing.T) {
	service, _, api := newTestAPI(8000, "")
	var answered statusLog
	api.Submit(submissionBody(1), answered.respond)
	service.takeRequest(t, "/commit").answer(http1.Response{Status: 503}, nil)
	if len(answered) > 0 {
		t.Fatalf("after the commit was refused: got answers %v, want none", answered)
	}
	for _, fn := range service.timers {
		fn()
	}
	service.takeRequest(t, "/commit").answer(http1.Response{}, eventloop.ErrNoAnswer)
	if len(answered) != 1 || answered[0] != 503 {
		t.Errorf("after the commit got no answer: got answers %v, want [503]", answered)
	}
}

// TestSubmissionDoesNotOverwrite checks that a submission does not change the record of a job
// that another node has stored, and possibly cancelled, before the watch has delivered that
// record.
func TestSubmissionDoesNotOverwrite(t *testing.T) {
	service, _, api := newTestAPI(8000, "")
	service.revisions[KeyPrefix+"wk-000001"] = 5 // not watched yet
	var answered statusLog
	api.Submit(submissionBody(1), answered.respond)
	commit := service.takeRequest(t, "/commit")
	commit.answer(service.commit(commit.call.Body), nil)
	if service.revisions[KeyPrefix+"wk-000001"] != 5 || len(answered) > 0 {
		t.Errorf("got revision %d and answers %v, want revision 5 and no answer yet", service.revisions[KeyPrefix+"wk-000001"], answered)
	}
}

// TestRepeatAfterCommitSentGetsVerifiedState checks that a submission repeated after its
// commit was sent is answered with the verified status, not with 201. Another node may have
// read the job by then, told its user and even cancelled it.
func TestRepeatAfterCommitSentGetsVerifiedState(t *testing.T) {
	service, _, api := newTestAPI(8000, "")
	var first, repeat statusLog
	api.Submit(submissionBody(1), first.respond)
	api.Submit(submissionBody(1), repeat.respond)
	commit := service.takeRequest(t, "/commit")
	commit.answer(service.commit(commit.call.Body), nil)
	if len(first) != 1 || first[0] != 201 || len(repeat) > 0 {
		t.Fatalf("before any verification: got answers %v, repeat %v, want [201] and none", first, repeat)
	}
	service.takeRequest(t, "/watch").answer(http1.Response{Status: 200, Body: []byte(`{"epoch":10,"log":[]}`)}, nil)
	if len(repeat) != 1 || repeat[0] != 200 {
		t.Errorf("repeat after the verification: got answers %v, want [200]", repeat)
	}
}

// TestUnverifiedCatalogAnswersUnavailable checks that, while the catalog cannot be verified,
// polls, cancellations, repeated submissions and infeasible submissions get 503, whether or
// not the catalog contains the job. They must get neither 404 or 422 nor a possibly outdated
// status.
func TestUnverifiedCatalogAnswersUnavailable(t *testing.T) {
	service, _, api := newTestAPI(8000, storedEntry(t, 1, 5, Record{SubmittedMS: 1}))
	impossible := bytes.Replace(submissionBody(2), []byte(`"cpus":1`), []byte(`"cpus":99`), 1)
	for name, sendRequest := range map[string]func(http1.ResponseWriter){
		"poll, known":        func(respond http1.ResponseWriter) { api.Poll("wk-000001", respond) },
		"poll, unknown":      func(respond http1.ResponseWriter) { api.Poll("wk-000002", respond) },
		"cancel, known":      func(respond http1.ResponseWriter) { api.Cancel("wk-000001", respond) },
		"cancel, unknown":    func(respond http1.ResponseWriter) { api.Cancel("wk-000002", respond) },
		"submit, repeated":   func(respond http1.ResponseWriter) { api.Submit(submissionBody(1), respond) },
		"submit, infeasible": func(respond http1.ResponseWriter) { api.Submit(impossible, respond) },
	} {
		for _, fail := range []func(func(http1.Response, error)){
			func(fn func(http1.Response, error)) { fn(http1.Response{}, eventloop.ErrNoAnswer) },
			func(fn func(http1.Response, error)) { fn(http1.Response{Status: 503}, nil) },
		} {
			var answered statusLog
			sendRequest(answered.respond)
			for _, fn := range service.timers { // send the verification, which a timer may delay
				fn()
			}
			service.timers = nil
			fail(service.takeRequest(t, "/watch").answer)
			if len(answered) != 1 || answered[0] != 503 {
				t.Errorf("%s: got answers %v, want [503]", name, answered)
			}
		}
	}
}

// TestCancellationIsConfirmedWhenDurable checks that the commit of a cancellation is
// conditional on the revision of the record that was read, and that a cancellation whose
// commit got no answer is answered with 503, not confirmed.
func TestCancellationIsConfirmedWhenDurable(t *testing.T) {
	service, _, api := newTestAPI(8000, storedEntry(t, 1, 5, Record{SubmittedMS: 1}))
	var answered statusLog
	api.Cancel("wk-000001", answered.respond)
	service.takeRequest(t, "/watch").answer(http1.Response{Status: 200, Body: []byte(`{"epoch":9,"log":[]}`)}, nil)
	commit := service.takeRequest(t, "/commit")
	if !bytes.Contains(commit.call.Body, []byte(`{"key":"job/wk-000001","stamp":5}`)) {
		t.Errorf("commit is not conditional on revision 5 of the record: %s", commit.call.Body)
	}
	commit.answer(http1.Response{}, eventloop.ErrNoAnswer)
	if len(answered) != 1 || answered[0] != 503 {
		t.Errorf("after the commit got no answer: got answers %v, want [503]", answered)
	}
}

// TestCatalogNeverReverts checks that a final phase never changes and that an older record
// never replaces a newer one.
func TestCatalogNeverReverts(t *testing.T) {
	_, catalog, _ := newTestAPI(8000, storedEntry(t, 1, 5, Record{SubmittedMS: 1, Phase: PhaseCancelled})+","+storedEntry(t, 2, 6, Record{SubmittedMS: 2}))
	catalog.Observe("wk-000001", json.RawMessage(`{"at":1,"phase":"done","n":3}`), 7)
	catalog.Observe("wk-000001", json.RawMessage(`{"at":1}`), 8)
	if entry := catalog.Get("wk-000001"); entry.Phase != PhaseCancelled {
		t.Errorf("got phase %q of a cancelled job after contradicting records, want %q", entry.Phase, PhaseCancelled)
	}
	catalog.Observe("wk-000002", json.RawMessage(`{"at":1}`), 3)
	if entry := catalog.Get("wk-000002"); entry.Revision != 6 || entry.SubmittedMS != 2 {
		t.Errorf("after an older record: got revision %d, record %+v, want revision 6, SubmittedMS 2", entry.Revision, entry.Record)
	}
}

// TestCancellationAgeCountsFromTheRecord checks that the age is the time since the
// cancellation time in the record plus the maximum clock skew, and that a record without a
// cancellation time, written by a version that did not store it, has the maximum age.
func TestCancellationAgeCountsFromTheRecord(t *testing.T) {
	service, catalog, _ := newTestAPI(8000, storedEntry(t, 1, 5, Record{SubmittedMS: 1, Phase: PhaseCancelled, CancelledMS: 50_000})+","+storedEntry(t, 2, 6, Record{SubmittedMS: 2, Phase: PhaseCancelled}))
	service.now = 53 * time.Second
	if age, cancelled := catalog.CancellationAge("wk-000001", 2*time.Second); !cancelled || age != 5*time.Second {
		t.Errorf("record with a cancellation time: got cancelled %v, age %v, want true, 5s", cancelled, age)
	}
	if age, cancelled := catalog.CancellationAge("wk-000002", 2*time.Second); !cancelled || age != math.MaxInt64 {
		t.Errorf("record without a cancellation time: got cancelled %v, age %v, want true, %v", cancelled, age, time.Duration(math.MaxInt64))
	}
}
