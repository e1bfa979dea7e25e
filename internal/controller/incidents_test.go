package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/settings"
)

// TestSlowStateServiceKeepsShardOwners guards against a fault seen in an incident: if an
// owner abandons commits that a slow state service answers late, each abandoned commit costs
// a new token and a read of all records, and hardly any task is placed.
func TestSlowStateServiceKeepsShardOwners(t *testing.T) {
	sim := newSimulation(8)
	for i := range 20 {
		job := newJob(jobSpec{id: jobID(i), team: "red", tasks: 4, cpus: 1, runTime: 3 * time.Second, spot: true})
		sim.schedule(time.Duration(i*3)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	tokenSum := func() (sum uint64) {
		for _, controller := range sim.controllers {
			sum += controller.node.leases.ShardToken(0)
		}
		return sum
	}
	sim.runUntil(15 * time.Second)
	sim.stateFaults.latency = 100 * time.Millisecond
	tokenChanges, previous := 0, tokenSum()
	if previous == 0 {
		t.Error("no controller owns shard 0 after 15 s")
	}
	for now := 15 * time.Second; now <= 65*time.Second; now += 500 * time.Millisecond {
		sim.runUntil(now)
		if current := tokenSum(); current != previous {
			tokenChanges, previous = tokenChanges+1, current
		}
	}
	// One new token is allowed, for a commit sent before the owner has measured the latency.
	if tokenChanges > 1 {
		t.Errorf("%d new shard tokens in 50 s of slow answers, want at most 1", tokenChanges)
	}
	sim.stateFaults.latency = 0
	sim.runUntil(100 * time.Second)
	sim.checkRules(t)
	sim.checkAllDone(t)
}

// TestStoredShardCountOutlivesSettings checks that the number of shards under which work is
// stored stays the same when a later process has other settings, also for work of versions
// that did not store the number. Read under another number of shards, tasks that run on
// machines would appear lost.
func TestStoredShardCountOutlivesSettings(t *testing.T) {
	for _, stored := range []bool{true, false} {
		t.Run(fmt.Sprintf("stored %v", stored), func(t *testing.T) {
			sim := newSimulation(11)
			sim.useTwoShards()
			for i := range 8 {
				job := newJob(jobSpec{id: jobID(i), team: "red", tasks: 6, cpus: 1, runTime: 25 * time.Second, spot: true})
				sim.schedule(time.Duration(i*2)*time.Second, func() { sim.submitAndPoll(job, 0) })
			}
			sim.runUntil(30 * time.Second)
			if n := len(sim.controllers[0].node.shardOwners); n != 2 {
				t.Fatalf("%d shards with the first settings, want 2", n)
			}
			if !stored {
				delete(sim.state.keys, layoutKey)
			}
			sim.settings.Deployment.Teams[0].CPUs = 8
			for _, controller := range sim.controllers {
				controller.crash(200 * time.Millisecond)
			}
			// By the jobs' estimates one machine is enough; it then needs 300 s.
			sim.runUntil(380 * time.Second)
			if sim.checker.starts != 48 {
				t.Errorf("shard count stored %v: %d task starts, want 48: one per task", stored, sim.checker.starts)
			}
			if n := len(sim.controllers[0].node.shardOwners); n != 2 {
				t.Errorf("shard count stored %v: %d shards after a restart with settings for one shard, want 2", stored, n)
			}
			sim.checkRules(t)
			sim.checkAllDone(t)
		})
	}
}

// TestBacklogIsWorkedOffAfterOutage guards against a fault seen after a long outage of a
// state service that allows few writes per second: the ends of jobs and the removal of their
// records are committed before any dispatch, and commits larger than the remaining writes
// are refused again and again. Nothing is dispatched for twenty seconds; meanwhile
// submissions are given up and idle machines are released.
func TestBacklogIsWorkedOffAfterOutage(t *testing.T) {
	sim := newSimulation(12)
	sim.limitWrites(10)
	sim.restart()
	submit := func(i int, at, runTime time.Duration) *simJob {
		job := newJob(jobSpec{id: jobID(i), team: teamOf(i), tasks: 3, cpus: 1, runTime: runTime, spot: true})
		sim.schedule(at, func() { sim.submitAndPoll(job, 0) })
		return job
	}
	for i := range 30 { // most of them end during the outage
		submit(i, time.Duration(5+i)*time.Second, 5*time.Second)
	}
	sim.schedule(36*time.Second, func() { sim.stateFaults.outage = true })
	const outageEnd = 76 * time.Second
	var submittedInOutage []*simJob
	for i := range 30 {
		submittedInOutage = append(submittedInOutage, submit(100+i, 46*time.Second+time.Duration(i)*time.Second, time.Second))
	}
	sim.schedule(outageEnd, func() {
		sim.stateFaults.outage = false
		sim.state.renewAllLeases()
	})
	sim.runUntil(outageEnd + 10*time.Second)
	accepted := 0
	for _, job := range submittedInOutage {
		if job.accepted {
			accepted++
		}
	}
	if accepted < len(submittedInOutage) {
		t.Errorf("%d of %d submissions of the outage are accepted 10 s after it, want all", accepted, len(submittedInOutage))
	}
	sim.runUntil(outageEnd + 40*time.Second)
	finished := 0
	for _, job := range sim.jobs {
		if job.ended() {
			finished++
		}
	}
	if finished < len(sim.jobs) {
		t.Errorf("%d of %d jobs have ended 40 s after the outage, want all", finished, len(sim.jobs))
	}
	sim.runUntil(200 * time.Second)
	sim.checkRules(t)
	sim.checkAllDone(t)
}

// TestSubmissionFloodLeavesWritesForDispatch guards against a fault of deployments whose
// machines are up at the start: the submissions of hundreds of jobs use all writes that the
// state service allows, nothing is dispatched for half a minute, and the machines are
// released as idle while others are rented for the waiting work.
func TestSubmissionFloodLeavesWritesForDispatch(t *testing.T) {
	sim := newSimulation(14)
	sim.limitWrites(12)
	for i := range sim.settings.Deployment.Teams {
		sim.settings.Deployment.Teams[i].CPUsMax = 24
	}
	sim.restart()
	for range 10 {
		sim.cloud.lastMachine++
		worker := sim.cloud.addMachine("small", "a", false)
		sim.schedule(0, worker.boot)
	}
	for i := range 160 {
		job := newJob(jobSpec{id: jobID(i), team: teamOf(i), tasks: 1, cpus: 1, runTime: 60 * time.Second, estimateSeconds: 60, urgent: true})
		sim.schedule(time.Duration(i)*20*time.Millisecond, func() { sim.submitAndPoll(job, 0) })
	}
	sim.runUntil(22 * time.Second)
	running := sim.usedCPUs("red") + sim.usedCPUs("blue")
	sim.runUntil(40 * time.Second)
	for _, worker := range sim.cloud.workers[:10] {
		if worker.released {
			t.Errorf("%s was released within 40 s, while work waited for a machine", worker.id)
		}
	}
	if running < 38 {
		t.Errorf("%g of 40 CPUs are in use after 22 s, want at least 38", running)
	}
	sim.checkRules(t)
}

// TestDeathOfOnlyMachineIsDetected guards against a fault found with random faults: the only
// machine dies, each owner in turn receives no heartbeat and relinquishes the shard before
// the machine's lease ends, and the machine's work waits forever.
func TestDeathOfOnlyMachineIsDetected(t *testing.T) {
	for seed := uint64(30); seed < 45; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { testDeathOfOnlyMachine(t, newSimulation(seed)) })
	}
}

// testDeathOfOnlyMachine kills the machine after each controller has owned the shard and received
// a heartbeat of the machine, and checks that the machine's work is completed elsewhere.
func testDeathOfOnlyMachine(t *testing.T, sim *simulation) {
	job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 3, cpus: 1, runTime: 60 * time.Second, spot: true})
	sim.schedule(time.Second, func() { sim.submitAndPoll(job, 0) })
	sim.runUntil(15 * time.Second)
	// Partition the owners one after the other until each controller has owned the shard.
	owned := map[string]bool{}
	for sim.now < 150*time.Second && len(owned) < 3 {
		sim.runUntil(sim.now + 500*time.Millisecond)
		for _, controller := range sim.controllers {
			for _, tracked := range controller.node.shardOwners[0].workers.Workers() {
				if controller.node.ownsShard() && tracked.HasReported {
					owned[controller.name] = true
				}
			}
		}
		for _, controller := range sim.controllers {
			sim.network.partitions["workers|"+controller.name] = owned[controller.name] && len(owned) < 3
			for _, other := range sim.controllers {
				if other != controller {
					sim.network.partitions[controller.name+"|"+other.name] = len(owned) < 3 // no heartbeat is relayed
				}
			}
		}
	}
	if len(owned) < 3 {
		t.Fatalf("only controllers %v have owned the shard after 150 s, want 3", owned)
	}
	clear(sim.network.partitions)
	for _, worker := range sim.cloud.workers {
		worker.die()
	}
	sim.runUntil(sim.now + 150*time.Second)
	sim.checkRulesAndCompletion(t)
}

// TestStateLimitsFallDuringWork checks that no work is lost when the limits of the state
// service fall while jobs are queued, and that no write exceeds the limits in the settings.
func TestStateLimitsFallDuringWork(t *testing.T) {
	sim := newSimulation(36)
	ops, kb, rate := 1, 1.0, 8.0
	sim.limitWrites(15)
	sim.settings.Deployment.State.Next = &settings.NextLimits{TxnOps: &ops, ValueKB: &kb, WriteRPS: &rate}
	sim.restart()
	for i := range 14 {
		job := newGang(i, 2+i%5, 1)
		if job.gang = i%3 > 0; !job.gang {
			job.tasks = 14
		}
		sim.schedule(time.Duration(2+i*3)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	sim.schedule(20*time.Second, func() {
		sim.stateLimits.operations, sim.stateLimits.valueBytes, sim.stateLimits.writesPerSecond = 1, 1024, 8
	})
	sim.runUntil(200 * time.Second)
	sim.checkRulesAndCompletion(t)
}

// TestInvalidLayoutStopsAllWork guards against controllers that replace an invalid stored number
// of shards by a guess and then lead, own shards or accept jobs under it. It checks that none
// leads or is healthy while the number is invalid, and that a job is done after its correction.
func TestInvalidLayoutStopsAllWork(t *testing.T) {
	sim := newSimulation(13)
	sim.restart()
	for _, bad := range []string{`{"blocks":0}`, `"x"`, `{}`} {
		sim.state.keys[layoutKey] = &storedValue{[]byte(bad), 1, 0}
		for _, controller := range sim.controllers {
			controller.crash(100 * time.Millisecond)
		}
		sim.runUntil(sim.now + 20*time.Second)
		for _, controller := range sim.controllers {
			if controller.node.leases.LeaderToken() != 0 || controller.node.isHealthy() {
				t.Errorf("%s leads or is healthy under the invalid layout %s", controller.name, bad)
			}
		}
	}
	sim.state.keys[layoutKey] = &storedValue{[]byte(`{"blocks":1}`), 2, 0}
	job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 3, cpus: 1, runTime: time.Second, spot: true})
	sim.submitAndPoll(job, 0)
	sim.runUntil(sim.now + 40*time.Second)
	if job.reportedPhase != "done" {
		t.Errorf("the job is %q 40 s after the layout was corrected, want \"done\"", job.reportedPhase)
	}
}
