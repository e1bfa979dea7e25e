package fleet

import (
	"testing"

	"lemonmoor/internal/settings"
)

// TestLateStatusIsDropped a message of a shard
// owner that was held back for half a minute brought back a machine that had
// been released. It counted as room for ever, and nothing was rented for a gang
// that waited for it.
func TestLateStatusIsDropped(t *testing.T) {
	_, fleet := newSmallFleet(&settings.Settings{})
	releasedMachine := []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}
	fleet.HandleStatus(&ShardStatus{Full: true, Token: 9, Seq: 40})
	for _, late := range []*ShardStatus{{Token: 9, Seq: 12, Hosts: releasedMachine}, {Full: true, Token: 9, Seq: 13, Hosts: releasedMachine}, {Full: true, Token: 8, Seq: 90, Hosts: releasedMachine}} {
		fleet.HandleStatus(late)
	}
	fleet.EachAvailable(func(r *AvailableMachine) { t.Errorf("%s is available", r.ID) })
	if r := fleet.HandleStatus(&ShardStatus{Token: 9, Seq: 41}); r.Full {
		t.Error("the owner is asked to tell all anew")
	}
}

// TestReleasedMachineIsNotAdoptedAgain: an owner that has not heard of a release yet, or a
// list that lags, still tells of the machine.
func TestReleasedMachineIsNotAdoptedAgain(t *testing.T) {
	runtime, fleet := newSmallFleet(&settings.Settings{})
	fleet.machines.releasedAt["vm-1"] = runtime.now
	reply := fleet.HandleStatus(&ShardStatus{Full: true, Seq: 1, Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}})
	fleet.observeListed(&listedMachine{ID: "vm-1", MachineType: "g8", Phase: "up"}, runtime.now)
	if len(fleet.machines.byID) > 0 || len(reply.Released) != 1 {
		t.Errorf("%d machines, the owner is told that %v are gone", len(fleet.machines.byID), reply.Released)
	}
}
