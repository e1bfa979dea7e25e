package workers

import (
	"fmt"
	"testing"
	"time"
)

// TestDarkZoneGetsNoTasks: a zone from which nothing is heard while others
// report is taken for cut off before its machines are late one by one. What was
// placed there meanwhile waited for the end of their leases.
func TestDarkZoneGetsNoTasks(t *testing.T) {
	fixture := newRegistryFixture(1)
	report := func(zone string, tick int) {
		for i := range 40 {
			fixture.registry.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%s%d", zone, i), Addr: "w:1", MachineType: "g8", Zone: zone, Session: 1, Sequence: uint64(tick), Token: 1})
		}
		fixture.registry.Tick()
	}
	open := func(zone string) bool {
		return fixture.registry.AcceptsTasks(fixture.registry.Worker("vm-" + zone + "7"))
	}
	report("a", 1)
	report("b", 1)
	if !open("a") || !open("b") {
		t.Fatal("machines that have just reported are not open")
	}
	fixture.now += 6 * time.Second
	if !open("a") {
		t.Error("with no zone heard it is not the zone that is cut off")
	}
	report("b", 2)
	if open("a") || !open("b") {
		t.Errorf("cut off zone open: %v, the other: %v", open("a"), open("b"))
	}
	if lit := fixture.registry.ReachableZones(); len(lit) != 1 || lit[0] != "b" {
		t.Errorf("heard from %v", lit)
	}
	report("a", 2)
	if !open("a") {
		t.Error("the zone is back and gets no tasks")
	}
}
