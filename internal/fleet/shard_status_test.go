package fleet

import (
	"testing"

	"lemonmoor/internal/settings"
)

// TestLateStatusIsDropped: a shard owner's message that is delayed for half a minute may contain
// a machine that has been released since. If the message were processed, the machine would
// count as capacity forever, and nothing would be rented for a gang that waits for it.
func TestLateStatusIsDropped(t *testing.T) {
	_, fleet := newSmallFleet(&settings.Settings{})
	releasedMachine := []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}
	fleet.HandleStatus(&ShardStatus{Full: true, Token: 9, Seq: 40})
	for _, late := range []*ShardStatus{{Token: 9, Seq: 12, Hosts: releasedMachine}, {Full: true, Token: 9, Seq: 13, Hosts: releasedMachine}, {Full: true, Token: 8, Seq: 90, Hosts: releasedMachine}} {
		fleet.HandleStatus(late)
	}
	fleet.EachAvailable(func(r *AvailableMachine) { t.Errorf("machine %s from a late message is available, want none", r.ID) })
	if r := fleet.HandleStatus(&ShardStatus{Token: 9, Seq: 41}); r.Full {
		t.Error("the owner is asked for a full message after late ones, want no such request")
	}
}

// TestReleasedMachineIsNotAdoptedAgain checks that a released machine is not added again from the
// message of an owner that has not been informed of the release yet, or from a stale list.
func TestReleasedMachineIsNotAdoptedAgain(t *testing.T) {
	runtime, fleet := newSmallFleet(&settings.Settings{})
	fleet.machines.releasedAt["vm-1"] = runtime.now
	reply := fleet.HandleStatus(&ShardStatus{Full: true, Seq: 1, Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}})
	fleet.observeListed(&listedMachine{ID: "vm-1", MachineType: "g8", Phase: "up"}, runtime.now)
	if len(fleet.machines.byID) > 0 || len(reply.Released) != 1 {
		t.Errorf("%d machines, %v reported as released to the owner; want none and vm-1", len(fleet.machines.byID), reply.Released)
	}
}
