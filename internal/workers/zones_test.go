package workers

import (
	"fmt"
	"testing"
	"time"
)

// TestPartitionedZoneGetsNoTasks: a zone from which no heartbeat comes while others
// send some is taken for partitioned before its workers are late one by one. What was
// placed there meanwhile waited for the end of their leases.
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
		t.Fatal("machines that have just reported are not open")
	}
	fixture.now += 6 * time.Second
	if !accepts("a") {
		t.Error("with no zone heard it is not this zone that is partitioned")
	}
	sendHeartbeats("b", 2)
	if accepts("a") || !accepts("b") {
		t.Errorf("partitioned zone open: %v, the other: %v", accepts("a"), accepts("b"))
	}
	if reachable := fixture.registry.ReachableZones(); len(reachable) != 1 || reachable[0] != "b" {
		t.Errorf("heard from %v", reachable)
	}
	sendHeartbeats("a", 2)
	if !accepts("a") {
		t.Error("the zone is back and gets no tasks")
	}
}
