package fleet

import (
	"testing"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// TestRentalsLeaveOutRefusingMachines checks that a machine is rented for a task if the only machine
// that is up refuses it for long, and none if it is placed there now or within seconds.
func TestRentalsLeaveOutRefusingMachines(t *testing.T) {
	longMS, shortMS := tuning.RepeatedAvoidance.Milliseconds(), tuning.FirstAvoidance.Milliseconds()
	for _, test := range []struct {
		name     string
		status   MachineStatus
		backoffs []JobBackoff
		rents    bool
	}{
		{name: "free"},
		{name: "avoided for long", backoffs: []JobBackoff{{Job: "wk-1", MachineID: "vm-1", ForMS: longMS}}, rents: true},
		{name: "avoided for seconds", backoffs: []JobBackoff{{Job: "wk-1", MachineID: "vm-1", ForMS: shortMS}}},
		{name: "avoided by another job", backoffs: []JobBackoff{{Job: "wk-2", MachineID: "vm-1", ForMS: longMS}}},
		{name: "another machine is avoided", backoffs: []JobBackoff{{Job: "wk-1", MachineID: "vm-2", ForMS: longMS}}},
		{name: "held for another job", status: MachineStatus{HeldForJob: "wk-2", HoldMinPriority: jobs.PriorityUrgent}, rents: true},
		{name: "held for the job", status: MachineStatus{HeldForJob: "wk-1", HoldMinPriority: jobs.PriorityUrgent}},
		{name: "held for work of lower priority", status: MachineStatus{HeldForJob: "wk-2", HoldMinPriority: jobs.PriorityStandard}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runtime, fleet := newRentingFleet()
			test.status.ID, test.status.MachineType, test.status.Zone = "vm-1", "g8", "a"
			test.status.HasReported, test.status.AcceptsTasks = true, true
			fleet.HandleStatus(&ShardStatus{Token: 1, Seq: 1, Full: true, Hosts: []MachineStatus{test.status}, Backoffs: test.backoffs})
			spec := &jobs.Spec{ID: "wk-1", Urgency: "standard", CPUs: 4, MemoryGB: 4, EstimateSeconds: 10}
			fleet.SetDemand([]Demand{{Spec: spec, Tasks: 1}}, nil)
			fleet.rentForDemand()
			if rented := runtime.countRented(t, func(*rentalRequest) bool { return true }) > 0; rented != test.rents {
				t.Errorf("a machine is rented: %v, want %v", rented, test.rents)
			}
		})
	}
}
