package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
)

// exchangeTest is a fleet of ordinary machines with work for seven tenths of them, spread evenly
// over all machines that accept tasks.
type exchangeTest struct {
	runtime  *manualRuntime
	fleet    *Fleet
	machines int
	// load returns the part of the work that is present at a time since the start.
	load func(time.Duration) float64
}

// newExchangeTest returns a test with the given number of machines. Half of the work on the
// first bound machines can run nowhere else.
func newExchangeTest(machines, bound int, load func(time.Duration) float64) *exchangeTest {
	test := &exchangeTest{machines: machines, load: load}
	test.runtime, test.fleet = newRentingFleet()
	test.fleet.term.actingSince, test.fleet.term.listed = test.runtime.now, true
	test.fleet.loads = loadsFunc(test.machineLoad)
	for i := range machines {
		added := test.add(false)
		if i < bound {
			added.address = "bound"
		}
	}
	return test
}

// add adds a machine that is up and busy.
func (e *exchangeTest) add(spot bool) *machine {
	added := e.fleet.addBusyMachine(fmt.Sprintf("vm-%06d", len(e.fleet.machines.byID)), spot)
	added.rentedAt = e.runtime.now
	return added
}

// machineLoad returns a machine's share of the work. On a bound machine half of it is movable,
// on others all of it.
func (e *exchangeTest) machineLoad(machineID string) MachineLoad {
	accepting := e.fleet.countMachinesThat(func(m *machine) bool { return m.drainReason == "" })
	cpus := 0.7 * 32 * float64(e.machines) / float64(accepting) * e.load(e.runtime.now-time.Hour)
	if e.fleet.machines.byID[machineID].address == "bound" {
		return MachineLoad{CPUs: cpus, MovableCPUs: cpus / 2}
	}
	return MachineLoad{CPUs: cpus, MovableCPUs: cpus}
}

// run simulates a number of seconds. Rented machines are up at once.
func (e *exchangeTest) run(t *testing.T, seconds int) {
	t.Helper()
	job := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 20}
	for range seconds {
		e.runtime.now += time.Second
		e.fleet.setOwnerFresh()
		e.fleet.SetDemand(nil, job)
		e.fleet.exchangeExpensive()
		for i, call := range e.runtime.calls {
			var request rentalRequest
			if err := json.Unmarshal(call.Body, &request); err != nil {
				t.Fatal(err)
			}
			for range request.Number {
				e.add(request.Spot)
			}
			e.runtime.answers[i](http1.Response{Status: 200, Body: []byte(`{"hosts":[]}`)}, nil)
			delete(e.fleet.rentals.pausedUntil, request.kind())
		}
		e.runtime.calls, e.runtime.answers = nil, nil
	}
}

// steadyLoad is work that is present all the time.
func steadyLoad(time.Duration) float64 { return 1 }

// burstyLoad is work that is present in every other period of 12 s, which is shorter than a boot.
func burstyLoad(at time.Duration) float64 { return float64(int(at/(12*time.Second)) % 2) }

// TestSteadyWorkMovesToSpotMachines checks that steady work that may run on spot machines is
// moved to them. Ordinary machines are drained once there is room for the recent maximum of the
// work, but never those that other work needs.
func TestSteadyWorkMovesToSpotMachines(t *testing.T) {
	test := newExchangeTest(60, 10, steadyLoad)
	test.run(t, 90)
	spot, drained := 0, 0
	for _, m := range test.fleet.machines.byID {
		switch {
		case m.kind.Spot:
			spot++
		case m.drainReason != "":
			drained++
			if m.address == "bound" {
				t.Errorf("machine %s is drained, although other work needs it", m.id)
			}
		}
	}
	if spot < 30 || drained < 30 {
		t.Errorf("%d spot machines rented and %d ordinary ones drained, want at least 30 of each", spot, drained)
	}
}

// TestBurstyWorkAndSmallFleetsAreNotExchanged checks that no spot machines are rented and no
// machines drained for bursty work, for which they would be up too late, or with few machines,
// where the bursts are as large as the machines.
func TestBurstyWorkAndSmallFleetsAreNotExchanged(t *testing.T) {
	for name, test := range map[string]struct {
		machines int
		load     func(time.Duration) float64
	}{"waves": {60, burstyLoad}, "few": {15, steadyLoad}} {
		t.Run(name, func(t *testing.T) {
			exchange := newExchangeTest(test.machines, 0, test.load)
			exchange.run(t, 90)
			if got := len(exchange.fleet.machines.byID); got != test.machines {
				t.Errorf("%d machines after the run, want %d", got, test.machines)
			}
			if drained := exchange.fleet.countMachinesThat(func(m *machine) bool { return m.drainReason != "" }); drained > 0 {
				t.Errorf("%d machines drained, want none", drained)
			}
		})
	}
}
