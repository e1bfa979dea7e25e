package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
)

// TestBacklogIsRentedForInFewCalls: a large backlog is rented for in few calls within the
// cloud's budget, and what is under way is not rented for again.
func TestBacklogIsRentedForInFewCalls(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 4
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.7, BootSeconds: 50, Zones: []string{"a", "b"}}}
	job := &jobs.Spec{CPUs: 16, MemoryGB: 35, Spot: true, EstimateSeconds: 40, Tasks: 400}
	requests := map[string]int{}
	total := 0
	for second := range 40 {
		runtime.now += time.Second
		availableCPUs := 0.0
		fleet.EachAvailable(func(r *AvailableMachine) { availableCPUs += r.MachineType.CPUs })
		waiting := max(0, 800-int(availableCPUs/16))
		fleet.SetDemand([]Demand{{Spec: job, Tasks: waiting / 2, ObjectiveSlackSeconds: []float64{100}}, {Spec: job, Tasks: waiting - waiting/2, ObjectiveSlackSeconds: []float64{100}}}, nil)
		callsBefore := len(runtime.calls)
		fleet.rentForDemand()
		// The cloud allows four a second and bursts of two seconds' worth.
		if n := len(runtime.calls); n > 8+4*second {
			t.Fatalf("%d calls in %d seconds", n, second)
		}
		for i := callsBefore; i < len(runtime.calls); i++ {
			var request rentalRequest
			if err := json.Unmarshal(runtime.calls[i].Body, &request); err != nil || request.Number < 1 || request.Number > 50 {
				t.Fatalf("asked for %+v, %v", request, err)
			}
			requests[request.Name]++
			total += request.Number
		}
	}
	// Two tasks to a machine; what is left may wait for half a boot.
	if wait := float64(800-2*total) * 16 * 40 / (float64(total) * 32); total > 400 || wait > 25 || len(requests) > 10 {
		t.Errorf("%d machines in %d calls for 800 tasks, the rest waits %.0f s", total, len(requests), wait)
	}
	for name, n := range requests {
		if n > 1 {
			t.Errorf("request %s was used %d times", name, n)
		}
	}
}

// TestRepeatedRentalKeepsItsName: a rental without an answer may have been carried out; under
// its own name once more it rents nothing more.
func TestRepeatedRentalKeepsItsName(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.sendRental(rentalRequest{Name: "r-7-1", MachineType: "g8", Zone: "a", Number: 2}, 0)
	runtime.answers[0](http1.Response{}, eventloop.ErrNoAnswer)
	runtime.fireTimers()
	if len(runtime.calls) != 2 || string(runtime.calls[1].Body) != string(runtime.calls[0].Body) {
		t.Fatalf("%d requests, the last %s", len(runtime.calls), runtime.calls[len(runtime.calls)-1].Body)
	}
	if len(fleet.rentals.inFlight) != 1 {
		t.Errorf("%d rentals count as in flight", len(fleet.rentals.inFlight))
	}
}

// TestSmallJobIsNotBehindQueuedLargeOne: a small job that goes before a large one is not
// taken to wait behind it because tasks of the large one are queued already; ordinary
// machines were rented for it though its objective leaves it enough time.
func TestSmallJobDoesNotWaitBehindQueuedLargeJob(t *testing.T) {
	runtime, fleet := newRentingFleet()
	fleet.setOwnerFresh()
	for i := range 10 {
		fleet.addBusyMachine(fmt.Sprintf("vm-%06d", i), false)
	}
	fleet.pauseSpotRentals()
	large := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 100, Urgency: "standard"}
	small := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 5, Urgency: "standard"}
	fleet.SetDemand([]Demand{{Spec: large, Tasks: 75, Rank: 1, ObjectiveSlackSeconds: []float64{300}}, {Spec: small, Tasks: 2, Rank: 0, ObjectiveSlackSeconds: []float64{60}}}, nil)
	fleet.rentForDemand()
	if len(runtime.calls) != 0 {
		t.Errorf("rented: %s", runtime.calls[0].Body)
	}
}

// TestDemandWaitsBehindItsRank: an urgent need is not taken to wait behind work of a
// lower rank that was queued before it.
func TestDemandWaitsBehindItsRank(t *testing.T) {
	runtime, fleet := newRentingFleet()
	low := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 60, Urgency: "standard"}
	high := &jobs.Spec{CPUs: 1, MemoryGB: 2, EstimateSeconds: 0, Shape: "daemon", Urgency: "urgent"}
	fleet.SetDemand([]Demand{{Spec: low, Tasks: 100, Rank: 1, ObjectiveSlackSeconds: []float64{60}}, {Spec: high, Tasks: 4, ObjectiveSlackSeconds: []float64{4}}}, nil)
	fleet.rentForDemand()
	ordinary := runtime.countRented(t, func(request *rentalRequest) bool { return !request.Spot })
	if ordinary != 1 {
		t.Errorf("%d ordinary machines for four small replicas", ordinary)
	}
}

// TestLowerWorkOnUnusableMachinesDoesNotCount: a replica that fits nowhere just now rents one
// machine at the most, whatever work of lower priority runs on machines that it may
// not use. A hundred were rented for one on a calm day of a large fleet, since all
// lower work was taken off the few machines that it may use.
func TestLowerPriorityWorkOnUnusableMachinesIsNotCounted(t *testing.T) {
	runtime, fleet := newRentingFleet()
	fleet.setOwnerFresh()
	for i := range 200 {
		fleet.addBusyMachine(fmt.Sprintf("vm-%06d", i), i >= 20)
	}
	standard := &jobs.Spec{Urgency: "standard"}
	fleet.loads = loadsFunc(func(string) MachineLoad {
		load := MachineLoad{CPUs: 30, MovableCPUs: 30}
		load.CPUsByPriority[standard.Priority()] = 30
		return load
	})
	replica := &jobs.Spec{CPUs: 1, MemoryGB: 2, Shape: "daemon", Urgency: "urgent"}
	fleet.SetDemand([]Demand{{Spec: replica, Tasks: 1, ObjectiveSlackSeconds: []float64{4}}}, nil)
	fleet.rentForDemand()
	rented := runtime.countRented(t, func(*rentalRequest) bool { return true })
	if rented > 1 {
		t.Errorf("%d machines rented for one replica", rented)
	}
}

// TestExpensiveMachinesAreRentedOnlyForLateWork: no ordinary machine is rented for work that
// the machines that are up or boot do before its deadline, also not while a queue is long;
// for work that they would be late for, some are. Several hundred were rented for the first
// minute.
func TestExpensiveMachinesAreRentedOnlyForLateWork(t *testing.T) {
	for name, test := range map[string]struct {
		deadline float64 // of the work, in seconds from now
		rents    bool
	}{
		"enough time":     {200, false},
		"not enough":      {100, true},
		"none that helps": {30, false},
	} {
		t.Run(name, func(t *testing.T) {
			runtime, fleet := newRentingFleet()
			fleet.pauseSpotRentals()
			fleet.setOwnerFresh()
			for i := range 20 { // half of them boot, for 10 s more
				added := fleet.addBusyMachine(fmt.Sprintf("vm-%06d", i), true)
				added.rentedAt = runtime.now - 20*time.Second
				added.reported, added.status.HasReported = i < 10, i < 10
			}
			// Of the 112,000, the machines do 49,600 in 100 s and 113,600 in 200 s; a third
			// of the queue may be late.
			job := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 35, Urgency: "standard"}
			fleet.SetDemand([]Demand{{Spec: job, Tasks: 800, ObjectiveSlackSeconds: []float64{test.deadline}}}, nil)
			fleet.rentForDemand()
			if rents := len(runtime.calls) > 0; rents != test.rents {
				t.Errorf("rents: %v, want %v", rents, test.rents)
			}
		})
	}
}

// TestReplicaGetsAMachineWhenAllAreFullOfReplicas: a replica for which all machines are full
// of other replicas gets a machine of its own at once; one that lower tasks keep out, when
// they have done so for half a boot. It got none for ever: its queue was a second of one
// processor.
func TestMachineIsRentedForReplicaWhenAllAreFullOfReplicas(t *testing.T) {
	standard := &jobs.Spec{Urgency: "standard"}
	for name, test := range map[string]struct {
		services, lower, waited float64
		rented                  int
	}{
		"full of replicas": {32, 0, 0, 1}, "lower tasks end": {20, 12, 5, 0},
		"lower tasks do not end": {20, 12, 20, 1}, "there is room": {20, 4, 20, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runtime, fleet := newRentingFleet()
			fleet.setOwnerFresh()
			for i := range 10 {
				fleet.addBusyMachine(fmt.Sprintf("vm-%06d", i), false)
			}
			fleet.loads = loadsFunc(func(string) MachineLoad {
				load := MachineLoad{CPUs: test.services + test.lower, MovableCPUs: test.lower, ServiceCPUs: test.services}
				load.CPUsByPriority[standard.Priority()] = test.lower
				load.CPUsByPriority[jobs.PriorityUrgent] = test.services
				return load
			})
			replica := &jobs.Spec{CPUs: 1, MemoryGB: 2, Shape: "daemon", Urgency: "urgent"}
			fleet.SetDemand([]Demand{{Spec: replica, Tasks: 1, WaitedSeconds: test.waited}}, nil)
			fleet.rentForDemand()
			rented := runtime.countRented(t, func(*rentalRequest) bool { return true })
			if rented != test.rented {
				t.Errorf("%d machines rented, want %d", rented, test.rented)
			}
		})
	}
}
