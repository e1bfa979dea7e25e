package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
)

// exchangeTest is a fleet of ordinary machines with work for seven tenths of them, spread over
// all that take tasks.
type exchangeTest struct {
	runtime  *manualRuntime
	fleet    *Fleet
	machines int
	// load is the part of the work that there is after a while.
	load func(time.Duration) float64
}

// newExchangeTest returns a test with so many machines, of which the first few have work that
// must be there.
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

// add adds a machine that is up.
func (e *exchangeTest) add(spot bool) *machine {
	added := e.fleet.addBusyMachine(fmt.Sprintf("vm-%06d", len(e.fleet.machines.byID)), spot)
	added.rentedAt = e.runtime.now
	return added
}

// machineLoad returns a machine's share of the work. Half of it is bound where some is.
func (e *exchangeTest) machineLoad(machineID string) MachineLoad {
	accepting := e.fleet.countMachinesThat(func(m *machine) bool { return m.drainReason == "" })
	cpus := 0.7 * 32 * float64(e.machines) / float64(accepting) * e.load(e.runtime.now-time.Hour)
	if e.fleet.machines.byID[machineID].address == "bound" {
		return MachineLoad{CPUs: cpus, MovableCPUs: cpus / 2}
	}
	return MachineLoad{CPUs: cpus, MovableCPUs: cpus}
}

// run lets so many seconds pass. What is rented is up at once.
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

// steady is work that is there all the time.
func steadyLoad(time.Duration) float64 { return 1 }

// waves is work that comes and goes within the time of a boot.
func burstyLoad(at time.Duration) float64 { return float64(int(at/(12*time.Second)) % 2) }

// TestSteadyWorkMovesToSpotMachines: work that may run on spot machines and is there all the
// time moves to them. Ordinary ones are drained when there is room for the most of late, never
// those that other work needs.
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
				t.Error("a machine is drained that other work needs")
			}
		}
	}
	if spot < 30 || drained < 30 {
		t.Errorf("%d spot machines rented, %d ordinary ones drained", spot, drained)
	}
}

// TestNothingIsExchangedForWavesOrFewMachines: work that comes and goes rents nothing, and with
// few machines nothing is exchanged at all.
func TestBurstyWorkAndSmallFleetsAreNotExchanged(t *testing.T) {
	for name, test := range map[string]struct {
		machines int
		load     func(time.Duration) float64
	}{"waves": {60, burstyLoad}, "few": {15, steadyLoad}} {
		t.Run(name, func(t *testing.T) {
			exchange := newExchangeTest(test.machines, 0, test.load)
			exchange.run(t, 90)
			if got := len(exchange.fleet.machines.byID); got != test.machines {
				t.Errorf("%d machines of %d", got, test.machines)
			}
			if drained := exchange.fleet.countMachinesThat(func(m *machine) bool { return m.drainReason != "" }); drained > 0 {
				t.Errorf("%d machines are drained", drained)
			}
		})
	}
}
