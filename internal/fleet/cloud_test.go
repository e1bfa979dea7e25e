package fleet

import (
	"errors"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
)

// newCloudClient returns a client of a cloud that allows four calls per second.
func newCloudClient() (*manualRuntime, *cloudClient) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 4
	return runtime, &cloudClient{runtime: runtime, address: "cloud", settings: config}
}

// TestRentalErrors checks how answers to a rental request are classified. Only an answer that
// says so means that the cloud has no capacity; a request without an answer stays in doubt.
func TestRentalErrors(t *testing.T) {
	for name, test := range map[string]struct {
		response   http1.Response
		err        error
		rented     int
		noCapacity bool
		status     int // of the *statusError, 0 if the error is none
	}{
		"rented":            {http1.Response{Status: 200, Body: []byte(`{"hosts":["vm-1","vm-2"]}`)}, nil, 2, false, 0},
		"none rented":       {http1.Response{Status: 200, Body: []byte(`{"hosts":[]}`)}, nil, 0, false, 0},
		"unreadable answer": {http1.Response{Status: 200, Body: []byte(`{"hos`)}, nil, 0, false, 0},
		"no capacity":       {http1.Response{Status: 503, Body: []byte(`{"error":"no capacity"}`)}, nil, 0, true, 0},
		"overloaded":        {http1.Response{Status: 503, Body: []byte(`{"error":"later"}`)}, nil, 0, false, 503},
		"malformed":         {http1.Response{Status: 400}, nil, 0, false, 400},
		"no answer":         {http1.Response{}, eventloop.ErrNoAnswer, 0, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runtime, cloud := newCloudClient()
			var rented []string
			var err error
			cloud.rent(rentalRequest{Name: "r-7-1", Number: 2}, func(machineIDs []string, failure error) { rented, err = machineIDs, failure })
			runtime.answers[0](test.response, test.err)
			status := 0
			var refused *statusError
			if errors.As(err, &refused) {
				status = refused.Status
			}
			if len(rented) != test.rented || errors.Is(err, errNoCapacity) != test.noCapacity || status != test.status {
				t.Errorf("rented %v, error %v (no capacity: %v, status: %d); want %d machines, no capacity: %v, status: %d",
					rented, err, errors.Is(err, errNoCapacity), status, test.rented, test.noCapacity, test.status)
			}
			if succeeded := test.response.Status == 200; (err == nil) != succeeded {
				t.Errorf("rental answered with status %d: error %v, want an error: %v", test.response.Status, err, !succeeded)
			}
			if test.err != nil && !errors.Is(err, test.err) {
				t.Errorf("rental without an answer: error %v, want %v", err, test.err)
			}
		})
	}
}

// TestEmptyMachineTypeListIsAnError checks that an empty list of machine types is reported as
// an error, so that it is read again soon: without types nothing is rented.
func TestEmptyMachineTypeListIsAnError(t *testing.T) {
	runtime, cloud := newCloudClient()
	var got error
	for body, want := range map[string]error{`{"builds":[]}`: errNoMachineTypes, `{"builds":[{"label":"g8"}]}`: nil} {
		cloud.readMachineTypes(func(_ []jobs.MachineType, err error) { got = err })
		runtime.answerLastCall(200, body)
		if !errors.Is(got, want) {
			t.Errorf("machine types read from %s: error %v, want %v", body, got, want)
		}
	}
}

// TestCallsStayWithinBudget checks that the leader uses nine tenths of the cloud's four calls
// per second, and accumulates at most those of one and a half seconds.
func TestCallsStayWithinBudget(t *testing.T) {
	runtime, cloud := newCloudClient()
	spend := func() (calls int) {
		for cloud.spendCall() {
			calls++
		}
		return calls
	}
	if calls := spend(); calls != 5 {
		t.Errorf("%d calls at once after an idle hour, want 5", calls)
	}
	total := 0
	for range 100 {
		runtime.now += 100 * time.Millisecond
		total += spend()
	}
	if total < 35 || total > 36 {
		t.Errorf("%d calls in ten seconds, want 35 or 36", total)
	}
}

// TestRetryDelayDoublesUpToItsLimit checks the pauses between attempts of a call.
func TestRetryDelayDoublesUpToItsLimit(t *testing.T) {
	_, cloud := newCloudClient()
	for attempt, want := range []time.Duration{1, 2, 4, 8, 10, 10} {
		if got := cloud.retryDelay(attempt, 10*time.Second); got != want*time.Second {
			t.Errorf("retry delay after %d retries: %v, want %v", attempt, got, want*time.Second)
		}
	}
}
