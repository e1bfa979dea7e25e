package fleet

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// TestMachinesKnownFromRecordsAreNotReleased: a new shard owner knows machines only from its
// records until they report to it. If its status messages made machines that have reported
// before count as never booted, all of them would be released with their tasks.
func TestMachinesKnownFromRecordsAreNotReleased(t *testing.T) {
	runtime, fleet := newSmallFleet(&settings.Settings{})
	fleet.machines.byID["vm-1"] = &machine{id: "vm-1", kind: MachineKind{MachineType: "g8"}, rentedAt: 0, listing: machineListing{listed: true}}
	fleet.machines.byID["vm-2"] = &machine{id: "vm-2", kind: MachineKind{MachineType: "g8"}, rentedAt: 0, listing: machineListing{listed: true, booting: true}}
	fleet.HandleStatus(&ShardStatus{Full: true, Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true, Busy: true}}})
	runtime.now += time.Second
	fleet.HandleStatus(&ShardStatus{Full: true, Token: 9, Hosts: []MachineStatus{{ID: "vm-1", Busy: true}}})
	fleet.evaluateMachines()
	if m := fleet.machines.byID["vm-1"]; m.release.requested {
		t.Errorf("vm-1 has tasks and is released for reason %q, want it retained", m.release.reason)
	}
	if m := fleet.machines.byID["vm-2"]; !m.release.requested {
		t.Error("vm-2 has been booting for an hour and is retained, want it released")
	}
}

// TestOverdueMachineIsNotAvailable: machines that die while all controllers are down stay in
// the machine list as running. If they counted as booting, nothing would be rented in their
// place for half a minute.
func TestOverdueMachineIsNotAvailable(t *testing.T) {
	config := &settings.Settings{}
	config.Deployment.Workers.ReportS = 10
	runtime, fleet := newSmallFleet(config)
	for _, id := range []string{"vm-1", "vm-2"} {
		fleet.machines.byID[id] = &machine{id: id, kind: MachineKind{MachineType: "g8"}, rentedAt: runtime.now, listing: machineListing{listed: true, runningSince: runtime.now}}
	}
	for seconds := range 25 {
		fleet.HandleStatus(&ShardStatus{Full: seconds == 0, Seq: uint64(seconds), Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}})
		if seconds == 3 && fleet.countAvailable() != 2 {
			t.Errorf("%d machines available after %d s, want 2: vm-2 may still report", fleet.countAvailable(), seconds)
		}
		runtime.now += time.Second
	}
	if n := fleet.countAvailable(); n != 1 {
		t.Errorf("%d machines available after 25 s, want 1: vm-2 is dead", n)
	}
	fleet.evaluateMachines()
	if !fleet.machines.byID["vm-2"].release.requested || fleet.machines.byID["vm-1"].release.requested {
		t.Errorf("release of dead vm-2: %v, want true; of live vm-1: %v, want false",
			fleet.machines.byID["vm-2"].release.requested, fleet.machines.byID["vm-1"].release.requested)
	}
}

// TestNeverListedMachineIsReleased: a machine that the cloud reclaims before any machine list
// shows it must not count as booting forever, or work would wait for it forever.
func TestNeverListedMachineIsReleased(t *testing.T) {
	config := &settings.Settings{}
	config.Deployment.Cloud.ListLagS = 10
	runtime, fleet := newSmallFleet(config)
	fleet.term.listed = true
	fleet.machines.byID["vm-1"] = &machine{id: "vm-1", kind: MachineKind{MachineType: "g8"}, rentedAt: runtime.now}
	for _, test := range []struct {
		after    time.Duration
		released bool
	}{{50 * time.Second, false}, {90 * time.Second, true}} {
		runtime.now = time.Hour + test.after
		fleet.evaluateMachines()
		if got := fleet.machines.byID["vm-1"].release.requested; got != test.released {
			t.Errorf("vm-1 released %v after its rental: %v, want %v", test.after, got, test.released)
		}
	}
}

// TestIdleTimeDuringOutageIsNotCounted: in a long outage of the state service nothing can be
// dispatched and all machines become idle. If that time counted, they would all be released as
// soon as the outage ends, two thousand of them in a large fleet.
func TestIdleTimeDuringOutageIsNotCounted(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Workers.ReportS = 10
	lease := &fixedLeases{}
	fleet := newFleet(runtime, lease, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	fleet.BeginTerm()
	runtime.now += time.Hour
	message := &ShardStatus{Full: true}
	for i := range 40 {
		message.Hosts = append(message.Hosts, MachineStatus{ID: fmt.Sprint("vm-", i), MachineType: "g8", HasReported: true, AcceptsTasks: true})
	}
	advance := func() {
		runtime.now += time.Second
		for i := range message.Hosts {
			message.Hosts[i].IdleMS += 1000
		}
		message.Seq++
		fleet.HandleStatus(message)
		fleet.runRound()
	}
	isDrained := func(m *machine) bool { return m.drainReason != "" }
	advance()
	lease.expired = true
	for range 60 {
		advance()
	}
	lease.expired = false
	for range 8 {
		advance()
	}
	if n := fleet.countMachinesThat(isDrained); n > 0 {
		t.Errorf("%d machines drained within 8 s after the outage, want none", n)
	}
	for range int(tuning.MachineIdleTimeout / time.Second) {
		advance()
	}
	if fleet.countMachinesThat(isDrained) == 0 {
		t.Errorf("no machine drained after a further %v of idle time, want some", tuning.MachineIdleTimeout)
	}
}

// TestIdleMachineIsReleasedOnlyWhenItsOwnerAgrees: the leader's view of a machine may be stale.
// An idle machine is first drained by its shard owner, and released only when the owner reports
// that no tasks are on it.
func TestIdleMachineIsReleasedOnlyWhenItsOwnerAgrees(t *testing.T) {
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 10
	runtime, fleet := newSmallFleet(config)
	fleet.term.listed = true
	status := MachineStatus{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}
	var reply StatusReply
	for seq := range 600 {
		runtime.now += time.Second
		reply = fleet.HandleStatus(&ShardStatus{Full: seq == 0, Seq: uint64(seq + 1), Hosts: []MachineStatus{status}})
		fleet.evaluateMachines()
		fleet.releaseMachines()
		if status.IdleMS += 1000; len(reply.Drain) > 0 {
			break
		}
	}
	if len(reply.Drain) != 1 || len(runtime.calls) > 0 {
		t.Fatalf("owner asked to drain %v with %d calls to the cloud before its release request, want one machine and no call",
			reply.Drain, len(runtime.calls))
	}
	status.AcceptsTasks, status.ReleaseReason = false, "idle"
	fleet.HandleStatus(&ShardStatus{Full: true, Seq: 1000, Hosts: []MachineStatus{status}})
	fleet.evaluateMachines()
	fleet.releaseMachines()
	if len(runtime.calls) != 1 || runtime.calls[0].Target != "/rentals/release" {
		t.Errorf("%d calls to the cloud after the owner's release request, want 1 to /rentals/release", len(runtime.calls))
	}
}
