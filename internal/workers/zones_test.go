package workers

import (
	"fmt"
	"testing"
	"time"
)

// TestPartitionedZoneGetsNoTasks checks that a zone without heartbeats, while other zones send
// some, counts as partitioned before each of its workers counts as silent. Tasks placed there
// in the meantime would have to wait until the workers' leases expire.
func TestPartitionedZoneGetsNoTasks(t *testing.T) {
	fixture := newRegistryFixture(1)
	sendHeartbeats := func(zone string, tick int) {
		for i := range 40 {
			fixture.registry.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%s%d", zone, i), Addr: "w:1", MachineType: "g8", Zone: zone, Session: 1, Sequence: uint64(tick), Token: 1})
		}
		fixture.registry.Tick()
	}
	accepts := func(zone string) bool {
		return fixture.registry.AcceptsTasks(fixture.registry.Worker("vm-" + zone + "7"))
	}
	sendHeartbeats("a", 1)
	sendHeartbeats("b", 1)
	if !accepts("a") || !accepts("b") {
		t.Fatalf("after heartbeats from both zones: zone a accepts tasks %v, zone b %v, want true, true", accepts("a"), accepts("b"))
	}
	fixture.now += 6 * time.Second
	if !accepts("a") {
		t.Error("without heartbeats from any zone: zone a accepts no tasks, though no single zone is partitioned")
	}
	sendHeartbeats("b", 2)
	if accepts("a") || !accepts("b") {
		t.Errorf("with heartbeats from zone b only: zone a accepts tasks %v, zone b %v, want false, true", accepts("a"), accepts("b"))
	}
	if reachable := fixture.registry.ReachableZones(); len(reachable) != 1 || reachable[0] != "b" {
		t.Errorf("reachable zones %v, want [b]", reachable)
	}
	sendHeartbeats("a", 2)
	if !accepts("a") {
		t.Error("after zone a sent heartbeats again: it accepts no tasks")
	}
}
