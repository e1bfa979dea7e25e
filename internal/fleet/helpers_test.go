package fleet

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
)

// manualRuntime is a runtime whose clock, timers and answers to calls are controlled by the
// test.
type manualRuntime struct {
	now     time.Duration
	calls   []http1.ClientRequest
	answers []func(http1.Response, error)
	timers  []func()
}

var _ eventloop.Runtime = (*manualRuntime)(nil)

func (r *manualRuntime) Now() time.Duration   { return r.now }
func (r *manualRuntime) WallClock() time.Time { return time.UnixMilli(0) }
func (r *manualRuntime) Rand() float64        { return 0.5 }
func (r *manualRuntime) After(_ time.Duration, fn func()) {
	r.timers = append(r.timers, fn)
}

func (r *manualRuntime) CallHTTP(_ string, call http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	r.calls = append(r.calls, call)
	r.answers = append(r.answers, fn)
}
func (r *manualRuntime) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {}

// fireTimers runs all timers that are pending at the call.
func (r *manualRuntime) fireTimers() {
	timers := r.timers
	r.timers = nil
	for _, fn := range timers {
		fn()
	}
}

// checkLastCall checks method, target and body of the last call to the cloud.
func (r *manualRuntime) checkLastCall(t *testing.T, method, target, body string) {
	t.Helper()
	if len(r.calls) == 0 {
		t.Fatalf("no call to the cloud, want %s %s %s", method, target, body)
	}
	if call := r.calls[len(r.calls)-1]; call.Method != method || call.Target != target || string(call.Body) != body {
		t.Errorf("last call to the cloud: %s %s %s, want %s %s %s", call.Method, call.Target, call.Body, method, target, body)
	}
}

// answerLastCall answers the last call to the cloud.
func (r *manualRuntime) answerLastCall(status int, body string) {
	r.answers[len(r.answers)-1](http1.Response{Status: status, Body: []byte(body)}, nil)
}

// countRented returns the number of machines in the rental requests for which counts returns
// true.
func (r *manualRuntime) countRented(t *testing.T, counts func(*rentalRequest) bool) (number int) {
	t.Helper()
	for _, call := range r.calls {
		var request rentalRequest
		if err := json.Unmarshal(call.Body, &request); err != nil {
			t.Fatal(err)
		}
		if counts(&request) {
			number += request.Number
		}
	}
	return number
}

// fixedLeases is a leader lease that is valid unless expired is set.
type fixedLeases struct{ expired bool }

func (fixedLeases) LeaderToken() uint64 { return 7 }
func (l fixedLeases) LeaseValid() bool  { return !l.expired }

// loadsFunc is a function that implements LoadSource.
type loadsFunc func(machineID string) MachineLoad

func (f loadsFunc) MachineLoad(machineID string) MachineLoad { return f(machineID) }

// newFleet returns a fleet without load on its machines and without machine types.
func newFleet(runtime eventloop.Runtime, leases Leases, settings *settings.Settings) *Fleet {
	return New(Dependencies{
		Runtime: runtime, Address: "cloud", Leases: leases, Settings: settings, Log: slog.New(slog.DiscardHandler),
		Loads: loadsFunc(func(string) MachineLoad { return MachineLoad{} }),
	})
}

// newSmallFleet returns a fleet whose machine type has eight processors.
func newSmallFleet(config *settings.Settings) (*manualRuntime, *Fleet) {
	runtime := &manualRuntime{now: time.Hour}
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	return runtime, fleet
}

// newRentingFleet returns a fleet whose machine type has 32 processors and can be rented in one
// zone.
func newRentingFleet() (*manualRuntime, *Fleet) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 4
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
	return runtime, fleet
}

// setOwnerFresh records a message from the owner of the only shard at the current time.
func (f *Fleet) setOwnerFresh() {
	f.shards[0].owner = ownerStatus{token: 1, seq: 1, lastMessageAt: f.runtime.Now(), known: true}
}

// addBusyMachine adds a machine that has reported and runs tasks.
func (f *Fleet) addBusyMachine(id string, spot bool) *machine {
	added := &machine{
		id: id, kind: MachineKind{"g8", "a", spot}, listing: machineListing{listed: true}, reported: true,
		status: MachineStatus{ID: id, HasReported: true, AcceptsTasks: true, Busy: true},
	}
	f.machines.byID[id] = added
	return added
}

// pauseSpotRentals pauses the rental of spot machines for an hour.
func (f *Fleet) pauseSpotRentals() { f.pauseKind(MachineKind{"g8", "a", true}, time.Hour) }

// countAvailable returns the number of available machines, including those that boot.
func (f *Fleet) countAvailable() (number int) {
	f.EachAvailable(func(*AvailableMachine) { number++ })
	return number
}

// countMachinesThat returns the number of machines for which counts returns true.
func (f *Fleet) countMachinesThat(counts func(*machine) bool) (number int) {
	for _, m := range f.machines.byID {
		if counts(m) {
			number++
		}
	}
	return number
}
