package userapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
)

// answerAll answers verifications and commits and fires timers until there are none left. It
// rejects commits with a value above maxValueBytes as too large.
func (f *fakeService) answerAll(t *testing.T, maxValueBytes int) {
	t.Helper()
	for count := 0; len(f.requests)+len(f.timers) > 0; count++ {
		if count > 80 {
			t.Fatalf("requests and timers do not end: more than 80 were handled, %d requests and %d timers are pending", len(f.requests), len(f.timers))
		}
		if len(f.requests) == 0 {
			f.fireNext(300 * time.Millisecond)
			continue
		}
		next := f.popRequest()
		if isLongPoll(next.call) {
			continue // a watch stays open
		}
		if next.call.Target != "/commit" {
			next.answer(f.emptyWatchAnswer(), nil)
			continue
		}
		if largestValue(t, next.call.Body) > maxValueBytes {
			next.answer(http1.Response{Status: 400, Body: []byte(`{"error":"value too large"}`)}, nil)
			continue
		}
		next.answer(f.commit(next.call.Body), nil)
	}
}

// largestValue returns the size in bytes of the largest value in a commit.
func largestValue(t *testing.T, body []byte) int {
	t.Helper()
	var commit struct {
		Operations []statestore.Operation `json:"apply"`
	}
	if err := json.Unmarshal(body, &commit); err != nil {
		t.Fatal(err)
	}
	largest := 0
	for _, operation := range commit.Operations {
		largest = max(largest, len(operation.Value))
	}
	return largest
}

// submissionForTypes returns the body of a submission that allows the machine type g8 and the
// given number of types that do not exist.
func submissionForTypes(id, types int) []byte {
	names := []string{`"g8"`}
	for i := range types {
		names = append(names, fmt.Sprintf(`"type-%06d"`, i))
	}
	return bytes.Replace(submissionBody(id), []byte(`"builds":null`), []byte(`"builds":[`+strings.Join(names, ",")+`]`), 1)
}

// TestLargeSpecKeepsOnlyKnownMachineTypes checks that a submission too large for the state
// service is stored with only the machine types that exist. A submission that is still too
// large would get 400, but never if the job is known. A configured limit above the state
// service's real limit must not lead to endless retries.
func TestLargeSpecKeepsOnlyKnownMachineTypes(t *testing.T) {
	for _, maxValueBytes := range []int{900, 8000} {
		service, catalog, api := newTestAPI(maxValueBytes, "")
		status := 0
		submit := func(body []byte) int {
			for range 3 {
				status = 0
				api.Submit(body, func(code int, _ []byte, _ int) { status = code })
				service.answerAll(t, 900)
				if status != 503 {
					break
				}
			}
			return status
		}
		if got := submit(submissionForTypes(1, 300)); got != 201 {
			t.Errorf("configured limit %d: submission with 300 unknown machine types got %d, want 201", maxValueBytes, got)
		}
		if entry := catalog.Get("wk-000001"); entry == nil || len(entry.Spec.MachineTypes) != 1 || entry.Spec.MachineTypes[0] != "g8" {
			t.Errorf("configured limit %d: stored entry %+v, want machine types [g8]", maxValueBytes, entry)
		}
		long := bytes.Replace(submissionBody(2), []byte(`"kit":"img"`), []byte(`"kit":"`+strings.Repeat("k", 200)+`"`), 1)
		long = bytes.Replace(long, []byte(`"lane":"x"`), []byte(`"lane":"`+strings.Repeat("l", 200)+`"`), 1)
		if got := submit(long); got != 201 {
			t.Errorf("configured limit %d: submission with 400 more bytes got %d, want 201", maxValueBytes, got)
		}
	}
}

// TestStoredRecordAboveTheLimitCanBeCancelled checks that a stored job whose spec alone
// exceeds the value limit is recognized when it is submitted again, and can be cancelled: the
// cancelled record is below the limit and still has the resources of the job's tasks.
func TestStoredRecordAboveTheLimitCanBeCancelled(t *testing.T) {
	job, err := jobs.Parse(submissionForTypes(1, 300))
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(Record{SubmittedMS: 5, Spec: job})
	if err != nil || len(value) < 4000 {
		t.Fatalf("encoded record has %d bytes, error %v, want at least 4000 bytes", len(value), err)
	}
	entry := fmt.Sprintf(`{"key":"job/wk-000001","v":%s,"stamp":7}`, value)
	service, catalog, api := newTestAPI(900, entry)
	service.revisions["job/wk-000001"] = 7
	status := 0
	api.Submit(submissionForTypes(1, 300), func(s int, _ []byte, _ int) { status = s })
	service.answerAll(t, 900)
	if status != 200 {
		t.Errorf("repeated submission: got %d, want 200", status)
	}
	var body []byte
	api.Cancel("wk-000001", func(s int, b []byte, _ int) { status, body = s, b })
	service.answerAll(t, 900)
	if status != 200 || !bytes.Contains(body, []byte("cancelled")) {
		t.Errorf("cancellation: got %d %s, want 200 with phase cancelled", status, body)
	}
	if cancelled := catalog.Get("wk-000001"); cancelled.Phase != PhaseCancelled || cancelled.Spec == nil || cancelled.Spec.CPUs != 1 || cancelled.Spec.Team != "red" || cancelled.Spec.Tasks != 3 {
		t.Errorf("cancelled job: got phase %q, spec %+v, want phase cancelled and a spec with CPUs, team and tasks", cancelled.Phase, cancelled.Spec)
	}
}
