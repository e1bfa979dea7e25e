package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
)

// exchangeFleet is a fleet of so many ordinary machines, of which the first few have work
// that must be there; load tells how much of the rest is used at a moment.
func exchangeFleet(number, bound int, load func(time.Duration) float64) (runtime *manualRuntime, fleet *Fleet, step func()) {
	runtime = &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 4
	fleet = newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
	fleet.term.actingSince, fleet.term.listed = runtime.now, true
	start := runtime.now
	fleet.loads = loadsFunc(func(host string) MachineLoad {
		machine, taking := fleet.machines.byID[host], 0.0
		for _, other := range fleet.machines.byID {
			if other.drainReason == "" {
				taking++
			}
		}
		// There is work for seven tenths of the first machines, spread over all.
		use := 0.7 * 32 * float64(number) / taking * load(runtime.now-start)
		switch {
		case machine.kind.Spot:
			return MachineLoad{CPUs: use, MovableCPUs: use}
		case machine.address == "bound":
			return MachineLoad{CPUs: use, MovableCPUs: use / 2}
		}
		return MachineLoad{CPUs: use, MovableCPUs: use}
	})
	add := func(spot bool, addr string) {
		id := fmt.Sprintf("vm-%06d", len(fleet.machines.byID))
		fleet.machines.byID[id] = &machine{id: id, address: addr, kind: MachineKind{"g8", "a", spot}, rentedAt: runtime.now, listing: machineListing{listed: true}, reported: true, status: MachineStatus{ID: id, HasReported: true, AcceptsTasks: true, Busy: true}}
	}
	for i := range number {
		add(false, map[bool]string{true: "bound", false: "free"}[i < bound])
	}
	job := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 20}
	return runtime, fleet, func() {
		runtime.now += time.Second
		fleet.shards[0].owner = ownerStatus{token: 1, seq: 1, heardAt: runtime.now, respondingSince: start, known: true}
		fleet.SetDemand(nil, job)
		fleet.exchangeExpensive()
		for i, call := range runtime.calls { // what is rented is up at once
			var request rentalRequest
			if err := json.Unmarshal(call.Body, &request); err != nil {
				panic(err)
			}
			for range request.Number {
				add(request.Spot, "")
			}
			runtime.answers[i](http1.Response{Status: 200, Body: []byte(`{"hosts":[]}`)}, nil)
			delete(fleet.rentals.pausedUntil, request.kind())
		}
		runtime.calls, runtime.answers = nil, nil
	}
}

// TestSteadyWorkMovesToSpotMachines: work that may run on spot machines and is there all
// the time moves to them; ordinary ones go when there is room for the most of late,
// never those that other work needs.
func TestSteadyWorkMovesToSpotMachines(t *testing.T) {
	_, fleet, step := exchangeFleet(60, 10, func(time.Duration) float64 { return 1 })
	for range 90 {
		step()
	}
	spot, drained := 0, 0
	for _, m := range fleet.machines.byID {
		switch {
		case m.kind.Spot:
			spot++
		case m.drainReason != "":
			drained++
			if m.address == "bound" {
				t.Error("a machine goes that other work needs")
			}
		}
	}
	if spot < 30 || drained < 30 {
		t.Errorf("%d spot machines rented, %d ordinary ones go", spot, drained)
	}
}

// TestNothingIsExchangedForWavesOrFewMachines: work that comes and goes within the time of a boot rents
// nothing, and with few machines nothing is exchanged at all.
func TestNothingIsExchangedForWavesOrFewMachines(t *testing.T) {
	wave := func(at time.Duration) float64 { return float64(int(at/(12*time.Second)) % 2) }
	for name, number := range map[string]int{"waves": 60, "few": 15} {
		load := wave
		if name == "few" {
			load = func(time.Duration) float64 { return 1 }
		}
		_, fleet, step := exchangeFleet(number, 0, load)
		for range 90 {
			step()
		}
		if len(fleet.machines.byID) != number {
			t.Errorf("%s: %d machines of %d", name, len(fleet.machines.byID), number)
		}
		for _, m := range fleet.machines.byID {
			if m.drainReason != "" {
				t.Errorf("%s: %s goes", name, m.id)
				break
			}
		}
	}
}

// TestSmallJobIsNotBehindQueuedLargeOne: a small job that goes before a large one is not taken to
// wait behind it because tasks of the large one are queued already; ordinary machines
// were rented for it though its aim leaves it enough time.
func TestSmallJobIsNotBehindQueuedLargeOne(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 4
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
	fleet.shards[0].owner = ownerStatus{token: 1, seq: 1, heardAt: runtime.now, known: true}
	for i := range 10 {
		id := fmt.Sprintf("vm-%06d", i)
		fleet.machines.byID[id] = &machine{id: id, kind: MachineKind{"g8", "a", false}, listing: machineListing{listed: true}, reported: true, status: MachineStatus{ID: id, HasReported: true, AcceptsTasks: true, Busy: true}}
	}
	fleet.rentals.pausedUntil[MachineKind{"g8", "a", true}] = runtime.now + time.Hour // no spot machines to be had
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
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 4
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
	low := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 60, Urgency: "standard"}
	high := &jobs.Spec{CPUs: 1, MemoryGB: 2, EstimateSeconds: 0, Shape: "daemon", Urgency: "urgent"}
	fleet.SetDemand([]Demand{{Spec: low, Tasks: 100, Rank: 1, ObjectiveSlackSeconds: []float64{60}}, {Spec: high, Tasks: 4, ObjectiveSlackSeconds: []float64{4}}}, nil)
	fleet.rentForDemand()
	ordinary := 0
	for _, call := range runtime.calls {
		var request rentalRequest
		if err := json.Unmarshal(call.Body, &request); err != nil {
			t.Fatal(err)
		}
		if !request.Spot {
			ordinary += request.Number
		}
	}
	if ordinary != 1 {
		t.Errorf("%d ordinary machines for four small replicas", ordinary)
	}
}

// TestLowerWorkOnUnusableMachinesRentsNothing: a replica that fits nowhere just now rents one
// machine at the most, whatever work of lower priority runs on machines that it may
// not use. A hundred were rented for one on a calm day of a large fleet, since all
// lower work was taken off the few machines that it may use.
func TestLowerWorkOnUnusableMachinesRentsNothing(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 4
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
	fleet.shards[0].owner = ownerStatus{token: 1, seq: 1, heardAt: runtime.now, known: true}
	for i := range 200 {
		id := fmt.Sprintf("vm-%06d", i)
		fleet.machines.byID[id] = &machine{id: id, kind: MachineKind{"g8", "a", i >= 20}, listing: machineListing{listed: true}, reported: true, status: MachineStatus{ID: id, HasReported: true, AcceptsTasks: true, Busy: true}}
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
	rented := 0
	for _, call := range runtime.calls {
		var request rentalRequest
		if err := json.Unmarshal(call.Body, &request); err != nil {
			t.Fatal(err)
		}
		rented += request.Number
	}
	if rented > 1 {
		t.Errorf("%d machines rented for one replica", rented)
	}
}

// TestExpensiveMachinesAreRentedOnlyForLateWork: no ordinary machine is rented for work that the machines which
// are up or boot do before its deadline, also not while a queue is long; for work that
// they would be late for, some are. Several hundred were rented for the first minute.
func TestExpensiveMachinesAreRentedOnlyForLateWork(t *testing.T) {
	for name, test := range map[string]struct {
		deadline float64
		rents    bool
	}{"enough time": {200, false}, "not enough": {100, true}, "none that helps": {30, false}} {
		runtime := &manualRuntime{now: time.Hour}
		config := &settings.Settings{}
		config.Deployment.Cloud.RPS = 4
		fleet := newFleet(runtime, fixedLeases{}, config)
		fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
		fleet.rentals.pausedUntil[MachineKind{"g8", "a", true}] = runtime.now + time.Hour // no spot machines to be had
		fleet.shards[0].owner = ownerStatus{token: 1, seq: 1, heardAt: runtime.now, known: true}
		for i := range 20 { // half of them boot, for 10 s more
			id := fmt.Sprintf("vm-%06d", i)
			fleet.machines.byID[id] = &machine{
				id: id, kind: MachineKind{"g8", "a", true}, rentedAt: runtime.now - 20*time.Second, listing: machineListing{listed: true},
				reported: i < 10, status: MachineStatus{ID: id, HasReported: i < 10, AcceptsTasks: true, Busy: true},
			}
		}
		// Of the 112,000, the machines do 49,600 in 100 s and 113,600 in 200 s; a third
		// of the queue may be late.
		job := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 35, Urgency: "standard"}
		fleet.SetDemand([]Demand{{Spec: job, Tasks: 800, ObjectiveSlackSeconds: []float64{test.deadline}}}, nil)
		fleet.rentForDemand()
		if rents := len(runtime.calls) > 0; rents != test.rents {
			t.Errorf("%s: rents %v", name, rents)
		}
	}
}

// TestReplicaGetsAMachineWhenAllAreFullOfReplicas: a replica for which all machines are full of other replicas gets
// a machine of its own at once; one that lower tasks keep out, when they have done so
// for half a boot. It got none for ever: its queue was a second of one processor.
func TestReplicaGetsAMachineWhenAllAreFullOfReplicas(t *testing.T) {
	standard := &jobs.Spec{Urgency: "standard"}
	for name, test := range map[string]struct {
		services, lower, waited float64
		rented                  int
	}{
		"full of replicas": {32, 0, 0, 1}, "lower tasks end": {20, 12, 5, 0},
		"lower tasks do not end": {20, 12, 20, 1}, "there is room": {20, 4, 20, 0},
	} {
		runtime := &manualRuntime{now: time.Hour}
		config := &settings.Settings{}
		config.Deployment.Cloud.RPS = 4
		fleet := newFleet(runtime, fixedLeases{}, config)
		fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
		fleet.shards[0].owner = ownerStatus{token: 1, seq: 1, heardAt: runtime.now, known: true}
		for i := range 10 {
			id := fmt.Sprintf("vm-%06d", i)
			fleet.machines.byID[id] = &machine{id: id, kind: MachineKind{"g8", "a", false}, listing: machineListing{listed: true}, reported: true, status: MachineStatus{ID: id, HasReported: true, AcceptsTasks: true, Busy: true}}
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
		rented := 0
		for _, call := range runtime.calls {
			var request rentalRequest
			if err := json.Unmarshal(call.Body, &request); err != nil {
				t.Fatal(err)
			}
			rented += request.Number
		}
		if rented != test.rented {
			t.Errorf("%s: %d machines rented, not %d", name, rented, test.rented)
		}
	}
}
