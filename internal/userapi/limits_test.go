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

// answerAll answers verifications and commits and fires timers until there are none; values
// above maxValueBytes are found too large.
func (f *fakeService) answerAll(t *testing.T, maxValueBytes int) {
	t.Helper()
	for count := 0; len(f.requests)+len(f.timers) > 0; count++ {
		if count > 80 {
			t.Fatal("the same request again and again")
		}
		if len(f.requests) == 0 {
			f.fireNext(300 * time.Millisecond)
			continue
		}
		next := f.next()
		if waitsForChanges(next.call) {
			continue // a watch stays open
		}
		if next.call.Target != "/commit" {
			next.answer(f.nothingNew(), nil)
			continue
		}
		if largestValue(t, next.call.Body) > maxValueBytes {
			next.answer(http1.Response{Status: 400, Body: []byte(`{"error":"value too large"}`)}, nil)
			continue
		}
		next.answer(f.commit(next.call.Body), nil)
	}
}

// largestValue returns the bytes of the largest value in a commit.
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

// submissionForTypes is a submission that names so many machine types.
func submissionForTypes(id, types int) []byte {
	names := []string{`"g8"`}
	for i := range types {
		names = append(names, fmt.Sprintf(`"type-%06d"`, i))
	}
	return bytes.Replace(submissionBody(id), []byte(`"builds":null`), []byte(`"builds":[`+strings.Join(names, ",")+`]`), 1)
}

// TestLargeSpecKeepsOnlyKnownMachineTypes: a submission too large for the state service is
// stored with the machine types that there are; one too large all the same gets 400, but
// never if it is known. Settings that tell a larger limit than there is make no loop.
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
			t.Errorf("limit told %d: %d", maxValueBytes, got)
		}
		if entry := catalog.Get("wk-000001"); entry == nil || len(entry.Spec.MachineTypes) != 1 || entry.Spec.MachineTypes[0] != "g8" {
			t.Errorf("limit told %d: stored as %+v", maxValueBytes, entry)
		}
		long := bytes.Replace(submissionBody(2), []byte(`"kit":"img"`), []byte(`"kit":"`+strings.Repeat("k", 200)+`"`), 1)
		long = bytes.Replace(long, []byte(`"lane":"x"`), []byte(`"lane":"`+strings.Repeat("l", 200)+`"`), 1)
		if got := submit(long); got != 201 {
			t.Errorf("limit told %d: 400 more bytes: %d", maxValueBytes, got)
		}
	}
}

// TestStoredRecordAboveTheLimitCanBeCancelled: a job whose spec alone is above the limit is
// known when it is submitted again, and is cancelled in a record below the limit, which still
// tells what its tasks take.
func TestStoredRecordAboveTheLimitCanBeCancelled(t *testing.T) {
	job, err := jobs.Parse(submissionForTypes(1, 300))
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(Record{SubmittedMS: 5, Spec: job})
	if err != nil || len(value) < 4000 {
		t.Fatal(len(value), err)
	}
	entry := fmt.Sprintf(`{"key":"job/wk-000001","v":%s,"stamp":7}`, value)
	service, catalog, api := newTestAPI(900, entry)
	service.revisions["job/wk-000001"] = 7
	status := 0
	api.Submit(submissionForTypes(1, 300), func(s int, _ []byte, _ int) { status = s })
	service.answerAll(t, 900)
	if status != 200 {
		t.Errorf("a repeat gets %d", status)
	}
	var body []byte
	api.Cancel("wk-000001", func(s int, b []byte, _ int) { status, body = s, b })
	service.answerAll(t, 900)
	if status != 200 || !bytes.Contains(body, []byte("cancelled")) {
		t.Errorf("cancel gets %d %s", status, body)
	}
	if cancelled := catalog.Get("wk-000001"); cancelled.Phase != PhaseCancelled || cancelled.Spec == nil || cancelled.Spec.CPUs != 1 || cancelled.Spec.Team != "red" || cancelled.Spec.Tasks != 3 {
		t.Errorf("left as %+v", cancelled.Spec)
	}
}
