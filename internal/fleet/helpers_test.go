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

// manualRuntime is a runtime on which nothing happens by itself: calls and timers wait for the
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

// fireTimers lets the timers run that are set now.
func (r *manualRuntime) fireTimers() {
	timers := r.timers
	r.timers = nil
	for _, fn := range timers {
		fn()
	}
}

// checkLastCall checks the last call to the cloud.
func (r *manualRuntime) checkLastCall(t *testing.T, method, target, body string) {
	t.Helper()
	if len(r.calls) == 0 {
		t.Fatal("the cloud is not called")
	}
	if call := r.calls[len(r.calls)-1]; call.Method != method || call.Target != target || string(call.Body) != body {
		t.Errorf("the cloud is called %s %s %s, not %s %s %s", call.Method, call.Target, call.Body, method, target, body)
	}
}

// answerLastCall answers the last call to the cloud.
func (r *manualRuntime) answerLastCall(status int, body string) {
	r.answers[len(r.answers)-1](http1.Response{Status: status, Body: []byte(body)}, nil)
}

// countRented counts the machines that were asked for in requests of a sort.
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

// fixedLeases is the leader's lease, valid until the test lets it expire.
type fixedLeases struct{ expired bool }

func (fixedLeases) LeaderToken() uint64 { return 7 }
func (l fixedLeases) LeaseValid() bool  { return !l.expired }

// loadsFunc is a source of loads made of a function.
type loadsFunc func(machineID string) MachineLoad

func (f loadsFunc) MachineLoad(machineID string) MachineLoad { return f(machineID) }

// newFleet returns a fleet with nothing on its machines, and no machine types.
func newFleet(runtime eventloop.Runtime, leases Leases, settings *settings.Settings) *Fleet {
	return New(Dependencies{
		Runtime: runtime, Address: "cloud", Leases: leases, Settings: settings, Log: slog.New(slog.DiscardHandler),
		Loads: loadsFunc(func(string) MachineLoad { return MachineLoad{} }),
	})
}

// newSmallFleet returns a fleet of machines of eight processors.
func newSmallFleet(config *settings.Settings) (*manualRuntime, *Fleet) {
	runtime := &manualRuntime{now: time.Hour}
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	return runtime, fleet
}

// newRentingFleet returns a fleet of machines of 32 processors that can be rented in one zone.
func newRentingFleet() (*manualRuntime, *Fleet) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 4
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
	return runtime, fleet
}

// hearOwner has the owner of the only shard just heard.
func (f *Fleet) setOwnerFresh() {
	f.shards[0].owner = ownerStatus{token: 1, seq: 1, heardAt: f.runtime.Now(), known: true}
}

// addBusyMachine adds a machine with tasks on it.
func (f *Fleet) addBusyMachine(id string, spot bool) *machine {
	added := &machine{
		id: id, kind: MachineKind{"g8", "a", spot}, listing: machineListing{listed: true}, reported: true,
		status: MachineStatus{ID: id, HasReported: true, AcceptsTasks: true, Busy: true},
	}
	f.machines.byID[id] = added
	return added
}

// pauseSpot has no spot machines to be had.
func (f *Fleet) pauseSpotRentals() { f.pauseKind(MachineKind{"g8", "a", true}, time.Hour) }

// countAvailable counts the machines that take tasks or are about to.
func (f *Fleet) countAvailable() (number int) {
	f.EachAvailable(func(*AvailableMachine) { number++ })
	return number
}

// countMachinesThat counts the machines of a sort.
func (f *Fleet) countMachinesThat(counts func(*machine) bool) (number int) {
	for _, m := range f.machines.byID {
		if counts(m) {
			number++
		}
	}
	return number
}
