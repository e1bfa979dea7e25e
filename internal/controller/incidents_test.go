package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/settings"
)

// TestSlowStateServiceKeepsShardOwners guards against a fault of an incident: commits that
// a slow state service answered late were given up, each at the price of a new
// token and a reading of all records, so that hardly anything was placed.
func TestSlowStateServiceKeepsShardOwners(t *testing.T) {
	sim := newSimulation(8)
	for i := range 20 {
		job := newJob(jobSpec{id: jobID(i), team: "red", tasks: 4, cpus: 1, runTime: 3 * time.Second, spot: true})
		sim.schedule(time.Duration(i*3)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	token := func() (sum uint64) {
		for _, controller := range sim.controllers {
			sum += controller.node.leases.ShardToken(0)
		}
		return sum
	}
	sim.runUntil(15 * time.Second)
	sim.stateFaults.latency = 100 * time.Millisecond
	renewals, last := 0, token()
	if last == 0 {
		t.Error("nobody owns the shard")
	}
	for now := 15 * time.Second; now <= 65*time.Second; now += 500 * time.Millisecond {
		sim.runUntil(now)
		if is := token(); is != last {
			renewals, last = renewals+1, is
		}
	}
	// One may be needed before the pace is known.
	if renewals > 1 {
		t.Errorf("%d new tokens in 50 s of slow answers", renewals)
	}
	sim.stateFaults.latency = 0
	sim.runUntil(100 * time.Second)
	sim.checkRules(t)
	sim.checkAllDone(t)
}

// TestStoredShardCountOutlivesSettings: the number of shards that work is stored under stays,
// whatever the settings of a later process say, also of work from before it was
// stored. Read under another number, tasks on machines would look lost.
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
				t.Fatalf("%d shards for the settings", n)
			}
			if !stored {
				delete(sim.state.keys, layoutKey)
			}
			sim.settings.Deployment.Teams[0].CPUs = 8
			for _, controller := range sim.controllers {
				controller.crash(200 * time.Millisecond)
			}
			// One machine is enough by the jobs' estimates, and then needs 300 s.
			sim.runUntil(380 * time.Second)
			if sim.checker.starts != 48 {
				t.Errorf("stored %v: %d starts for 48 tasks", stored, sim.checker.starts)
			}
			if n := len(sim.controllers[0].node.shardOwners); n != 2 {
				t.Errorf("stored %v: %d shards after settings that make it one", stored, n)
			}
			sim.checkRules(t)
			sim.checkAllDone(t)
		})
	}
}

// TestBacklogIsWorkedOffAfterOutage guards against a fault of a day with a long outage:
// with few changes a second, the ends of jobs and the removal of their records
// came before all dispatches, and commits too large for what was left were refused
// again and again. Nothing was dispatched for twenty seconds, submissions given
// up, and the idle machines returned meanwhile.
func TestBacklogIsWorkedOffAfterOutage(t *testing.T) {
	sim := newSimulation(12)
	sim.limitWrites(10)
	sim.restart()
	submit := func(i int, at, length time.Duration) *simJob {
		job := newJob(jobSpec{id: jobID(i), team: teamOf(i), tasks: 3, cpus: 1, runTime: length, spot: true})
		sim.schedule(at, func() { sim.submitAndPoll(job, 0) })
		return job
	}
	for i := range 30 { // most of them end during the outage
		submit(i, time.Duration(5+i)*time.Second, 5*time.Second)
	}
	sim.schedule(36*time.Second, func() { sim.stateFaults.outage = true })
	const over = 76 * time.Second
	var late []*simJob
	for i := range 30 {
		late = append(late, submit(100+i, 46*time.Second+time.Duration(i)*time.Second, time.Second))
	}
	sim.schedule(over, func() {
		sim.stateFaults.outage = false
		sim.state.renewAllLeases()
	})
	sim.runUntil(over + 10*time.Second)
	accepted := 0
	for _, job := range late {
		if job.accepted {
			accepted++
		}
	}
	if accepted < len(late) {
		t.Errorf("%d of %d submissions are accepted 10 s after the outage", accepted, len(late))
	}
	sim.runUntil(over + 40*time.Second)
	finished := 0
	for _, job := range sim.jobs {
		if job.ended() {
			finished++
		}
	}
	if finished < len(sim.jobs) {
		t.Errorf("%d of %d jobs are over 40 s after the outage", finished, len(sim.jobs))
	}
	sim.runUntil(200 * time.Second)
	sim.checkRules(t)
	sim.checkAllDone(t)
}

// TestSubmissionFloodLeavesWritesForDispatch guards against a fault of a platform whose
// machines are up at the start: the submissions of hundreds of jobs took all changes that
// the state service allows, nothing was dispatched for half a minute, and the machines went
// back as idle while others were rented for the work that waited.
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
			t.Errorf("%s has been returned while work waited", worker.id)
		}
	}
	if running < 38 {
		t.Errorf("%g processors of 40 are used after 22 s", running)
	}
	sim.checkRules(t)
}

// TestDeathOfLoneMachineIsNoticed guards against a fault of a generated day: the only machine
// died, every owner heard nothing and relinquished the shard, the next one likewise,
// and no lease ever ran out: the work on it waited for ever.
func TestDeathOfLoneMachineIsNoticed(t *testing.T) {
	for seed := uint64(30); seed < 45; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { loneMachineDies(t, newSimulation(seed)) })
	}
}

// loneMachineDies has every controller own the shard once and hear the machine, and then
// the machine die.
func loneMachineDies(t *testing.T, sim *simulation) {
	job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 3, cpus: 1, runTime: 60 * time.Second, spot: true})
	sim.schedule(time.Second, func() { sim.submitAndPoll(job, 0) })
	sim.runUntil(15 * time.Second)
	// Every controller owns the shard once and hears the machine.
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
					sim.network.partitions[controller.name+"|"+other.name] = len(owned) < 3 // so that no heartbeat is relayed
				}
			}
		}
	}
	if len(owned) < 3 {
		t.Fatalf("only %v have owned the shard", owned)
	}
	clear(sim.network.partitions)
	for _, worker := range sim.cloud.workers {
		worker.die()
	}
	sim.runUntil(sim.now + 150*time.Second)
	sim.checkRulesAndCompletion(t)
}

// TestStateLimitsFallDuringWork: the state service takes less from some moment on. What
// waits is not lost, and nothing is written over the limits that the settings
// tell.
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

// TestInvalidLayoutStopsAllWork: a stored number of shards that makes no sense is never
// guessed at: nothing is led, owned or accepted until it is put right.
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
				t.Errorf("%s acts under the layout %s", controller.name, bad)
			}
		}
	}
	sim.state.keys[layoutKey] = &storedValue{[]byte(`{"blocks":1}`), 2, 0}
	job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 3, cpus: 1, runTime: time.Second, spot: true})
	sim.submitAndPoll(job, 0)
	sim.runUntil(sim.now + 40*time.Second)
	if job.reportedPhase != "done" {
		t.Errorf("put right, the job is %q", job.reportedPhase)
	}
}
