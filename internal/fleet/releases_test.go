package fleet

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// TestMachinesKnownFromRecordsAreNotReleased a new owner, which knew the machines from
// its records only, made the leader release all of them as never booted, with their tasks.
func TestMachinesKnownFromRecordsAreNotReleased(t *testing.T) {
	runtime, fleet := newSmallFleet(&settings.Settings{})
	fleet.machines.byID["vm-1"] = &machine{id: "vm-1", kind: MachineKind{MachineType: "g8"}, rentedAt: 0, listing: machineListing{listed: true}}
	fleet.machines.byID["vm-2"] = &machine{id: "vm-2", kind: MachineKind{MachineType: "g8"}, rentedAt: 0, listing: machineListing{listed: true, booting: true}}
	fleet.HandleStatus(&ShardStatus{Full: true, Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true, Busy: true}}})
	runtime.now += time.Second
	fleet.HandleStatus(&ShardStatus{Full: true, Token: 9, Hosts: []MachineStatus{{ID: "vm-1", Busy: true}}})
	fleet.evaluateMachines()
	if m := fleet.machines.byID["vm-1"]; m.release.requested {
		t.Errorf("a machine with tasks is released: %s", m.release.reason)
	}
	if m := fleet.machines.byID["vm-2"]; !m.release.requested {
		t.Error("a machine that has been booting for an hour is kept")
	}
}

// TestOverdueMachineIsNotAvailable machines that died while all controllers were down stayed
// in the lists as running, counted as about to come, and for half a minute nothing was
// rented in their place.
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
			t.Error("a machine that may report any moment is not available")
		}
		runtime.now += time.Second
	}
	if n := fleet.countAvailable(); n != 1 {
		t.Errorf("%d machines are available, one is dead", n)
	}
	fleet.evaluateMachines()
	if !fleet.machines.byID["vm-2"].release.requested || fleet.machines.byID["vm-1"].release.requested {
		t.Error("the dead machine is kept, or the live one released")
	}
}

// TestMachineThatNoListHadIsReleased a machine that the cloud took before any list had it
// counted as one that boots, and work waited for it for ever.
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
			t.Errorf("after %v: released %v", test.after, got)
		}
	}
}

// TestIdleTimeInAnOutageDoesNotCount in a long outage of the state service nothing could be
// dispatched, all machines became idle, and when it was over they were released at once, two
// thousand of them.
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
		t.Errorf("%d machines are drained right after the outage", n)
	}
	for range int(tuning.MachineIdleTimeout / time.Second) {
		advance()
	}
	if fleet.countMachinesThat(isDrained) == 0 {
		t.Error("machines that stay idle are kept for ever")
	}
}

// TestIdleMachineIsReleasedOnlyWhenItsOwnerAgrees: what the leader knows may be old. An
// idle machine is drained by its owner first, and released when that says that nothing is on
// it.
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
		t.Fatalf("the owner is asked to drain %v, %d calls to the cloud before it has", reply.Drain, len(runtime.calls))
	}
	status.AcceptsTasks, status.ReleaseReason = false, "idle"
	fleet.HandleStatus(&ShardStatus{Full: true, Seq: 1000, Hosts: []MachineStatus{status}})
	fleet.evaluateMachines()
	fleet.releaseMachines()
	if len(runtime.calls) != 1 || runtime.calls[0].Target != "/rentals/release" {
		t.Errorf("%d calls to the cloud when it has", len(runtime.calls))
	}
}
