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

// exchanging is a fleet of so many ordinary machines, of which the first few have work
// that must be there; load tells how much of the rest is used at a moment.
func exchanging(number, bound int, load func(time.Duration) float64) (rt *still, f *Fleet, step func()) {
	rt = &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Cloud.RPS = 4
	f = newFleet(rt, leading{}, set)
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
	f.since, f.listed = rt.now, true
	start := rt.now
	f.loads = loadsFunc(func(host string) MachineLoad {
		m, taking := f.machines[host], 0.0
		for _, o := range f.machines {
			if o.drain == "" {
				taking++
			}
		}
		// There is work for seven tenths of the first machines, spread over all.
		use := 0.7 * 32 * float64(number) / taking * load(rt.now-start)
		switch {
		case m.kind.Spot:
			return MachineLoad{CPUs: use, Movable: use}
		case m.addr == "bound":
			return MachineLoad{CPUs: use, Movable: use / 2}
		}
		return MachineLoad{CPUs: use, Movable: use}
	})
	add := func(spot bool, addr string) {
		id := fmt.Sprintf("vm-%06d", len(f.machines))
		f.machines[id] = &machine{id: id, addr: addr, kind: MachineKind{"g8", "a", spot}, rented: rt.now, listed: true, known: true, state: MachineStatus{ID: id, HasReported: true, AcceptsTasks: true, Busy: true}}
	}
	for i := range number {
		add(false, map[bool]string{true: "bound", false: "free"}[i < bound])
	}
	job := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 20}
	return rt, f, func() {
		rt.now += time.Second
		f.statuses[0] = statusHeard{token: 1, seq: 1, heard: rt.now, since: start, any: true}
		f.SetDemand(nil, job)
		f.exchange(f.term)
		for i, c := range rt.calls { // what is rented is up at once
			var h hire
			if err := json.Unmarshal(c.Body, &h); err != nil {
				panic(err)
			}
			for range h.Number {
				add(h.Spot, "")
			}
			rt.answers[i](http1.Response{Status: 200, Body: []byte(`{"hosts":[]}`)}, nil)
			delete(f.pauses, h.kind())
		}
		rt.calls, rt.answers = nil, nil
	}
}

// TestDearMachinesAreExchanged: work that may run on spot machines and is there all
// the time moves to them; ordinary ones go when there is room for the most of late,
// never those that other work needs.
func TestDearMachinesAreExchanged(t *testing.T) {
	_, f, step := exchanging(60, 10, func(time.Duration) float64 { return 1 })
	for range 90 {
		step()
	}
	spot, drained := 0, 0
	for _, m := range f.machines {
		switch {
		case m.kind.Spot:
			spot++
		case m.drain != "":
			drained++
			if m.addr == "bound" {
				t.Error("a machine goes that other work needs")
			}
		}
	}
	if spot < 30 || drained < 30 {
		t.Errorf("%d spot machines rented, %d ordinary ones go", spot, drained)
	}
}

// TestWavesAreNotExchanged: work that comes and goes within the time of a boot rents
// nothing, and with few machines nothing is exchanged at all.
func TestWavesAreNotExchanged(t *testing.T) {
	wave := func(at time.Duration) float64 { return float64(int(at/(12*time.Second)) % 2) }
	for name, n := range map[string]int{"waves": 60, "few": 15} {
		load := wave
		if name == "few" {
			load = func(time.Duration) float64 { return 1 }
		}
		_, f, step := exchanging(n, 0, load)
		for range 90 {
			step()
		}
		if len(f.machines) != n {
			t.Errorf("%s: %d machines of %d", name, len(f.machines), n)
		}
		for _, m := range f.machines {
			if m.drain != "" {
				t.Errorf("%s: %s goes", name, m.id)
				break
			}
		}
	}
}

// TestSmallJobsWaitForNone: a small job that goes before a large one is not taken to
// wait behind it because tasks of the large one are queued already; ordinary machines
// were rented for it though its aim leaves it enough time.
func TestSmallJobsWaitForNone(t *testing.T) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Cloud.RPS = 4
	f := newFleet(rt, leading{}, set)
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
	f.statuses[0] = statusHeard{token: 1, seq: 1, heard: rt.now, any: true}
	for i := range 10 {
		id := fmt.Sprintf("vm-%06d", i)
		f.machines[id] = &machine{id: id, kind: MachineKind{"g8", "a", false}, listed: true, known: true, state: MachineStatus{ID: id, HasReported: true, AcceptsTasks: true, Busy: true}}
	}
	f.pauses[MachineKind{"g8", "a", true}] = rt.now + time.Hour // no spot machines to be had
	large := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 100, Urgency: "standard"}
	small := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 5, Urgency: "standard"}
	f.SetDemand([]Demand{{Spec: large, Tasks: 75, Rank: 1, ObjectiveSlackSeconds: []float64{300}}, {Spec: small, Tasks: 2, Rank: 0, ObjectiveSlackSeconds: []float64{60}}}, nil)
	f.rent(f.term)
	if len(rt.calls) != 0 {
		t.Errorf("rented: %s", rt.calls[0].Body)
	}
}

// TestNeedsWaitBehindTheirRank: an urgent need is not taken to wait behind work of a
// lower rank that was queued before it.
func TestNeedsWaitBehindTheirRank(t *testing.T) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Cloud.RPS = 4
	f := newFleet(rt, leading{}, set)
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
	low := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 60, Urgency: "standard"}
	high := &jobs.Spec{CPUs: 1, MemoryGB: 2, EstimateSeconds: 0, Shape: "daemon", Urgency: "urgent"}
	f.SetDemand([]Demand{{Spec: low, Tasks: 100, Rank: 1, ObjectiveSlackSeconds: []float64{60}}, {Spec: high, Tasks: 4, ObjectiveSlackSeconds: []float64{4}}}, nil)
	f.rent(f.term)
	ordinary := 0
	for _, c := range rt.calls {
		var h hire
		if err := json.Unmarshal(c.Body, &h); err != nil {
			t.Fatal(err)
		}
		if !h.Spot {
			ordinary += h.Number
		}
	}
	if ordinary != 1 {
		t.Errorf("%d ordinary machines for four small replicas", ordinary)
	}
}

// TestLowerWorkElsewhereIsNoHindrance: a replica that fits nowhere just now rents one
// machine at the most, whatever work of lower priority runs on machines that it may
// not use. A hundred were rented for one on a calm day of a large fleet, since all
// lower work was taken off the few machines that it may use.
func TestLowerWorkElsewhereIsNoHindrance(t *testing.T) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Cloud.RPS = 4
	f := newFleet(rt, leading{}, set)
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
	f.statuses[0] = statusHeard{token: 1, seq: 1, heard: rt.now, any: true}
	for i := range 200 {
		id := fmt.Sprintf("vm-%06d", i)
		f.machines[id] = &machine{id: id, kind: MachineKind{"g8", "a", i >= 20}, listed: true, known: true, state: MachineStatus{ID: id, HasReported: true, AcceptsTasks: true, Busy: true}}
	}
	standard := &jobs.Spec{Urgency: "standard"}
	f.loads = loadsFunc(func(string) MachineLoad {
		l := MachineLoad{CPUs: 30, Movable: 30}
		l.ByPriority[standard.Priority()] = 30
		return l
	})
	replica := &jobs.Spec{CPUs: 1, MemoryGB: 2, Shape: "daemon", Urgency: "urgent"}
	f.SetDemand([]Demand{{Spec: replica, Tasks: 1, ObjectiveSlackSeconds: []float64{4}}}, nil)
	f.rent(f.term)
	rented := 0
	for _, c := range rt.calls {
		var h hire
		if err := json.Unmarshal(c.Body, &h); err != nil {
			t.Fatal(err)
		}
		rented += h.Number
	}
	if rented > 1 {
		t.Errorf("%d machines rented for one replica", rented)
	}
}

// TestDearOnlyWhereLate: no ordinary machine is rented for work that the machines which
// are up or boot do before its deadline, also not while a queue is long; for work that
// they would be late for, some are. Several hundred were rented for the first minute.
func TestDearOnlyWhereLate(t *testing.T) {
	for name, c := range map[string]struct {
		deadline float64
		rents    bool
	}{"enough time": {200, false}, "not enough": {100, true}, "none that helps": {30, false}} {
		rt := &still{now: time.Hour}
		set := &settings.Settings{}
		set.Deployment.Cloud.RPS = 4
		f := newFleet(rt, leading{}, set)
		f.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
		f.pauses[MachineKind{"g8", "a", true}] = rt.now + time.Hour // no spot machines to be had
		f.statuses[0] = statusHeard{token: 1, seq: 1, heard: rt.now, any: true}
		for i := range 20 { // half of them boot, for 10 s more
			id := fmt.Sprintf("vm-%06d", i)
			f.machines[id] = &machine{
				id: id, kind: MachineKind{"g8", "a", true}, rented: rt.now - 20*time.Second, listed: true,
				known: i < 10, state: MachineStatus{ID: id, HasReported: i < 10, AcceptsTasks: true, Busy: true},
			}
		}
		// Of the 112,000, the machines do 49,600 in 100 s and 113,600 in 200 s; a third
		// of the queue may be late.
		job := &jobs.Spec{CPUs: 4, MemoryGB: 8, Spot: true, EstimateSeconds: 35, Urgency: "standard"}
		f.SetDemand([]Demand{{Spec: job, Tasks: 800, ObjectiveSlackSeconds: []float64{c.deadline}}}, nil)
		f.rent(f.term)
		if rents := len(rt.calls) > 0; rents != c.rents {
			t.Errorf("%s: rents %v", name, rents)
		}
	}
}

// TestFullOfServices: a replica for which all machines are full of other replicas gets
// a machine of its own at once; one that lower tasks keep out, when they have done so
// for half a boot. It got none for ever: its queue was a second of one processor.
func TestFullOfServices(t *testing.T) {
	standard := &jobs.Spec{Urgency: "standard"}
	for name, c := range map[string]struct {
		services, lower, waited float64
		rented                  int
	}{
		"full of replicas": {32, 0, 0, 1}, "lower tasks end": {20, 12, 5, 0},
		"lower tasks do not end": {20, 12, 20, 1}, "there is room": {20, 4, 20, 0},
	} {
		rt := &still{now: time.Hour}
		set := &settings.Settings{}
		set.Deployment.Cloud.RPS = 4
		f := newFleet(rt, leading{}, set)
		f.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootSeconds: 30, Zones: []string{"a"}}}
		f.statuses[0] = statusHeard{token: 1, seq: 1, heard: rt.now, any: true}
		for i := range 10 {
			id := fmt.Sprintf("vm-%06d", i)
			f.machines[id] = &machine{id: id, kind: MachineKind{"g8", "a", false}, listed: true, known: true, state: MachineStatus{ID: id, HasReported: true, AcceptsTasks: true, Busy: true}}
		}
		f.loads = loadsFunc(func(string) MachineLoad {
			l := MachineLoad{CPUs: c.services + c.lower, Movable: c.lower, Services: c.services}
			l.ByPriority[standard.Priority()] = c.lower
			l.ByPriority[jobs.PriorityUrgent] = c.services
			return l
		})
		replica := &jobs.Spec{CPUs: 1, MemoryGB: 2, Shape: "daemon", Urgency: "urgent"}
		f.SetDemand([]Demand{{Spec: replica, Tasks: 1, WaitedSeconds: c.waited}}, nil)
		f.rent(f.term)
		rented := 0
		for _, call := range rt.calls {
			var h hire
			if err := json.Unmarshal(call.Body, &h); err != nil {
				t.Fatal(err)
			}
			rented += h.Number
		}
		if rented != c.rented {
			t.Errorf("%s: %d machines rented, not %d", name, rented, c.rented)
		}
	}
}
