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

// newCloudClient returns a client of a cloud that allows four calls a second.
func newCloudClient() (*manualRuntime, *cloudClient) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 4
	return runtime, &cloudClient{runtime: runtime, address: "cloud", settings: config}
}

func TestRentalErrors(t *testing.T) {
	for name, test := range map[string]struct {
		response   http1.Response
		err        error
		rented     int
		noCapacity bool
		status     int // of a *statusError, 0 if it is none
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
				t.Errorf("rented %v, error %v", rented, err)
			}
			if succeeded := test.response.Status == 200; (err == nil) != succeeded {
				t.Errorf("error %v of an answer with status %d", err, test.response.Status)
			}
			if test.err != nil && !errors.Is(err, test.err) {
				t.Errorf("error %v, want %v", err, test.err)
			}
		})
	}
}

func TestEmptyMachineTypeListIsAnError(t *testing.T) {
	runtime, cloud := newCloudClient()
	var got error
	for body, want := range map[string]error{`{"builds":[]}`: errNoMachineTypes, `{"builds":[{"label":"g8"}]}`: nil} {
		cloud.readMachineTypes(func(_ []jobs.MachineType, err error) { got = err })
		runtime.answerLastCall(200, body)
		if !errors.Is(got, want) {
			t.Errorf("%s: error %v, want %v", body, got, want)
		}
	}
}

// TestCallsStayWithinTheBudget: at four calls a second the leader uses nine tenths of them, and
// saves up a second and a half's worth.
func TestCallsStayWithinBudget(t *testing.T) {
	runtime, cloud := newCloudClient()
	spend := func() (calls int) {
		for cloud.spendCall() {
			calls++
		}
		return calls
	}
	if calls := spend(); calls != 5 {
		t.Errorf("%d calls after an hour, want 5", calls)
	}
	total := 0
	for range 100 {
		runtime.now += 100 * time.Millisecond
		total += spend()
	}
	if total < 35 || total > 36 {
		t.Errorf("%d calls in ten seconds, want 36 at the most", total)
	}
}

func TestRetryDelayDoublesUpToItsLimit(t *testing.T) {
	_, cloud := newCloudClient()
	for attempt, want := range []time.Duration{1, 2, 4, 8, 10, 10} {
		if got := cloud.retryDelay(attempt, 10*time.Second); got != want*time.Second {
			t.Errorf("after %d attempts: %v, want %v", attempt, got, want*time.Second)
		}
	}
}
