package fleet

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
)

// TestIdleMachineOfAWaitingJobIsRetained guards against a machine that is released as idle while a
// job that it is to run, at once or after a pause, waits, and another one that is rented for it then.
func TestIdleMachineOfAWaitingJobIsRetained(t *testing.T) {
	spec := &jobs.Spec{ID: "wk-1", Urgency: "standard", CPUs: 4, MemoryGB: 4, EstimateSeconds: 10}
	elsewhere, gang := *spec, *spec
	elsewhere.Zone, gang.Shape = "b", jobs.ShapeGang
	for _, test := range []struct {
		name     string
		demands  []Demand
		load     float64
		released int
	}{
		{name: "nothing waits", released: 2},
		{name: "tasks are queued", demands: []Demand{{Spec: spec, Queued: 3}}, released: 1},
		{name: "tasks need more machines", demands: []Demand{{Spec: spec, Tasks: 3}}, released: 1},
		{name: "a gang that one machine holds is queued", demands: []Demand{{Spec: &gang, Queued: 8}}, released: 1},
		{name: "a gang that needs two is queued", demands: []Demand{{Spec: &gang, Queued: 9}}, released: 0},
		{name: "the quota holds them back", demands: []Demand{{Spec: spec, HeldByQuota: 3}}, released: 2},
		{name: "tasks of another zone", demands: []Demand{{Spec: &elsewhere, Queued: 3}}, released: 2},
		{name: "tasks are placed there by the records", load: 4, released: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			runtime, fleet := newRentingFleet()
			fleet.loads = loadsFunc(func(string) MachineLoad { return MachineLoad{CPUs: test.load} })
			for _, id := range []string{"vm-1", "vm-2"} {
				m := fleet.addBusyMachine(id, false)
				m.status.Busy, m.idleSince = false, runtime.now
			}
			runtime.now += time.Hour
			fleet.setOwnerFresh()
			fleet.SetDemand(test.demands, nil)
			fleet.evaluateMachines()
			if drained := fleet.countMachinesThat(func(m *machine) bool { return m.drainReason == drainIdle }); drained != test.released {
				t.Errorf("%d of 2 idle machines are drained, want %d", drained, test.released)
			}
		})
	}
}
