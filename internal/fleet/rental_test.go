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

// TestBacklogIsRentedForInFewCalls checks that the machines for a large backlog are rented with
// few calls within the cloud's request budget, and that rentals in flight are not repeated
// under other names.
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
		// The cloud allows four calls per second and bursts of those of two seconds.
		if n := len(runtime.calls); n > 8+4*second {
			t.Fatalf("%d calls in %d seconds, want at most %d", n, second, 8+4*second)
		}
		for i := callsBefore; i < len(runtime.calls); i++ {
			var request rentalRequest
			if err := json.Unmarshal(runtime.calls[i].Body, &request); err != nil || request.Number < 1 || request.Number > 50 {
				t.Fatalf("rental request %+v (error %v), want 1 to 50 machines", request, err)
			}
			requests[request.Name]++
			total += request.Number
		}
	}
	// A machine runs two tasks at a time; the remaining tasks may wait for half a boot.
	if wait := float64(800-2*total) * 16 * 40 / (float64(total) * 32); total > 400 || wait > 25 || len(requests) > 10 {
		t.Errorf("%d machines in %d requests for 800 tasks, wait of the rest %.0f s; want at most 400 machines, 10 requests, 25 s",
			total, len(requests), wait)
	}
	for name, n := range requests {
		if n > 1 {
			t.Errorf("request name %s used %d times, want once", name, n)
		}
	}
}

// TestRepeatedRentalKeepsItsName: a rental request without an answer may have been carried out.
// It must be repeated under the same name, so that it rents no further machines.
func TestRepeatedRentalKeepsItsName(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.sendRental(rentalRequest{Name: "r-7-1", MachineType: "g8", Zone: "a", Number: 2}, 0)
	runtime.answers[0](http1.Response{}, eventloop.ErrNoAnswer)
	runtime.fireTimers()
	if len(runtime.calls) != 2 || string(runtime.calls[1].Body) != string(runtime.calls[0].Body) {
		t.Fatalf("%d requests, the last with body %s; want 2 with body %s",
			len(runtime.calls), runtime.calls[len(runtime.calls)-1].Body, runtime.calls[0].Body)
	}
	if len(fleet.rentals.inFlight) != 1 {
		t.Errorf("%d rentals in flight, want 1", len(fleet.rentals.inFlight))
	}
}

// TestSmallJobDoesNotWaitBehindQueuedLargeJob: a small job that precedes a large one in rank
// must not count as waiting behind it because tasks of the large job are queued already.
// Otherwise ordinary machines are rented for it, although its objective leaves enough time.
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
		t.Errorf("rental request %s, want none", runtime.calls[0].Body)
	}
}

// TestDemandWaitsBehindItsRank checks that an urgent demand does not count as waiting behind work
// that was queued before it but follows it in rank.
func TestDemandWaitsBehindItsRank(t *testing.T) {
	runtime, fleet := newRentingFleet()
	low := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 60, Urgency: "standard"}
	high := &jobs.Spec{CPUs: 1, MemoryGB: 2, EstimateSeconds: 0, Shape: "daemon", Urgency: "urgent"}
	fleet.SetDemand([]Demand{{Spec: low, Tasks: 100, Rank: 1, ObjectiveSlackSeconds: []float64{60}}, {Spec: high, Tasks: 4, ObjectiveSlackSeconds: []float64{4}}}, nil)
	fleet.rentForDemand()
	ordinary := runtime.countRented(t, func(request *rentalRequest) bool { return !request.Spot })
	if ordinary != 1 {
		t.Errorf("%d ordinary machines rented for four small replicas, want 1", ordinary)
	}
}

// TestLowerPriorityWorkOnUnusableMachinesIsNotCounted: for a replica that currently fits nowhere
// at most one machine is rented, whatever lower-priority work runs on machines that it may not
// use. If that work were subtracted from the capacity of the few machines that it may use, a
// hundred would be rented for a single replica in a large fleet, even without a burst.
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
		t.Errorf("%d machines rented for one replica, want at most 1", rented)
	}
}

// TestExpensiveMachinesAreRentedOnlyForLateWork: no ordinary machine is rented for work that the
// machines, up or booting, can do before its deadline, even if the queue is long. Otherwise
// several hundred are rented in the first minute. For work that would be late some are rented.
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
			for i := range 20 { // half of them are booting, with 10 s left
				added := fleet.addBusyMachine(fmt.Sprintf("vm-%06d", i), true)
				added.rentedAt = runtime.now - 20*time.Second
				added.reported, added.status.HasReported = i < 10, i < 10
			}
			// Of the 112,000 processor seconds of work the machines do 49,600 in 100 s and
			// 113,600 in 200 s; a third of the queue may be late.
			job := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 35, Urgency: "standard"}
			fleet.SetDemand([]Demand{{Spec: job, Tasks: 800, ObjectiveSlackSeconds: []float64{test.deadline}}}, nil)
			fleet.rentForDemand()
			if rents := len(runtime.calls) > 0; rents != test.rents {
				t.Errorf("ordinary machines rented for a deadline in %v s: %v, want %v", test.deadline, rents, test.rents)
			}
		})
	}
}

// TestMachineIsRentedForReplicaWhenAllAreFullOfReplicas: a machine is rented at once for a replica
// if all machines are full of other replicas, and after half a boot time if tasks of lower
// priority occupy the room. If replicas counted as work that ends, none would ever be rented:
// the queue of a replica is only one processor second.
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
				t.Errorf("%d machines rented for one replica, want %d", rented, test.rented)
			}
		})
	}
}
