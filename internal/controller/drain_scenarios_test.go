package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
)

// Drains under faults, scarce capacity and exhausted budgets. Each test fails without the guard
// that it tests.

// TestDrainSurvivesOutageBetweenGrantAndHalt checks that a drain completes although the state
// service goes down after the first grant and before the first halt.
func TestDrainSurvivesOutageBetweenGrantAndHalt(t *testing.T) {
	sim := newDrainSimulation(2, 6)
	names := sim.startDrainOf(t, "a", nil)
	beforeHalts := false
	sim.runWhen(func() bool { return sim.countGrants() > 0 }, func() {
		beforeHalts = sim.drainChecker.halts == 0
		sim.outageFor(20 * second)
	})
	sim.runUntil(sim.now + 240*second)
	if !beforeHalts {
		t.Error("the outage began after the first halt, want it between grant and halt")
	}
	sim.checkAllGone(t, names)
}

// TestDrainSurvivesLeaderAndOwnerChange checks that a drain completes although leader and
// owner crash together, several times, at random moments after a grant.
func TestDrainSurvivesLeaderAndOwnerChange(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newDrainSimulation(10+seed, 6)
			names := sim.startDrainOf(t, "a", nil)
			for i := range 6 {
				sim.schedule(time.Duration(i)*15*second, func() {
					sim.runWhen(func() bool { return sim.countGrants() > 0 }, func() {
						sim.schedule(time.Duration(sim.rng.IntN(1500))*millisecond, func() {
							if leader, other := sim.leader(), sim.ownerOfShard0(); leader != nil && other != nil {
								leader.crash(300 * millisecond)
								other.crash(400 * millisecond)
							}
						})
					})
				})
			}
			sim.runUntil(sim.now + 300*second)
			sim.checkAllGone(t, names)
		})
	}
}

// TestDrainSurvivesLostAnswers checks that a drain completes although commits are applied late
// and without an answer, some of them after the leader that sent them has crashed.
func TestDrainSurvivesLostAnswers(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newDrainSimulation(20+seed, 6)
			names := sim.startDrainOf(t, "a", nil)
			sim.schedule(2*second, func() { sim.stateFaults.lateCommitShare = 0.5 })
			for i := range 5 {
				sim.schedule(time.Duration(10+8*i)*second, func() {
					if leader := sim.leader(); leader != nil {
						leader.crash(500 * millisecond)
					}
				})
			}
			sim.schedule(60*second, func() { sim.stateFaults.lateCommitShare = 0 })
			sim.runUntil(sim.now + 300*second)
			sim.checkAllGone(t, names)
		})
	}
}

// TestDrainWaitsForCapacityTakenByUrgentWork checks that a drain waits while urgent work uses
// the free capacity and no machine can be rented, that it reports this as its wait reason,
// and that it continues when machines are available.
func TestDrainWaitsForCapacityTakenByUrgentWork(t *testing.T) {
	sim := newDrainSimulation(3, 6)
	sim.cloud.available = 0 // no further machine can be rented
	sim.exhaustCloud()
	names := sim.startDrainOf(t, "a", nil)
	urgent := newJob(jobSpec{id: "wk-000050", team: "red", tasks: 18, cpus: 1, runTime: 60 * second, estimateSeconds: 60, spot: true, urgent: true})
	sim.schedule(3*second, func() { sim.submitAndPoll(urgent, 0) })
	reportedWaiting := false
	sim.schedule(20*second, func() { reportedWaiting = sim.drainWaitsFor("waits for room") || sim.drainWaitsFor("no room") })
	sim.runUntil(sim.now + 40*second)
	if !reportedWaiting {
		t.Errorf("the drain does not report that it waits for capacity: %s", sim.describeDrains())
	}
	goneWhileWaiting := sim.countGone(names)
	sim.cloud.available = 20
	sim.runUntil(sim.now + 260*second)
	if goneWhileWaiting == len(names) {
		t.Errorf("all %d machines were gone before machines were available", len(names))
	}
	sim.checkAllGone(t, names)
}

// TestDrainWaitsWithoutCapacity checks that a drain halts no task while no capacity is free
// and no machine can be rented, that it reports the reason, and that it continues when
// machines are available.
func TestDrainWaitsWithoutCapacity(t *testing.T) {
	sim := newSimulation(14)
	sim.cloud.available = 6
	sim.enableDrains(map[string]settings.DrainLimits{"red": teamBudget(9, 99, 0), "blue": teamBudget(9, 99, 0)}, 3, 0)
	job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 20, cpus: 1, zone: "b", runTime: time.Hour, estimateSeconds: 3600, spot: true})
	sim.schedule(0, func() { sim.submitAndPoll(job, 0) })
	sim.runUntil(25 * second)
	sim.cloud.available = -100
	for _, worker := range sim.cloud.workers {
		if len(worker.tasks) == 0 {
			worker.die() // so that no capacity is free
		}
	}
	sim.runUntil(sim.now + 20*second)
	names := sim.startDrainOf(t, "a", nil)
	sim.runUntil(sim.now + 20*second)
	if sim.drainChecker.halts > 0 || !sim.drainWaitsFor("the cloud has not given one") {
		t.Errorf("%d halts without capacity, want 0 and the reason that no machine was rented; %s", sim.drainChecker.halts, sim.describeDrains())
	}
	sim.cloud.available = 20
	sim.runUntil(sim.now + 260*second)
	sim.checkAllGone(t, names)
}

// TestDrainWaitsForTasksAboutToEnd checks that a drain does not halt tasks that are expected to
// end within wait_s, and halts them after that time if they have not ended.
func TestDrainWaitsForTasksAboutToEnd(t *testing.T) {
	for _, ends := range []bool{true, false} {
		t.Run(fmt.Sprintf("tasks end %v", ends), func(t *testing.T) {
			sim := newSimulation(15)
			sim.cloud.available = 30
			sim.enableDrains(map[string]settings.DrainLimits{"red": teamBudget(9, 99, 0), "blue": teamBudget(9, 99, 0)}, 9, 25)
			job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 6, cpus: 1, runTime: 40 * second, estimateSeconds: 40, spot: true})
			if !ends {
				job.runTime = time.Hour // the estimate is wrong
			}
			sim.schedule(0, func() { sim.submitAndPoll(job, 0) })
			sim.runUntil(25 * second)
			names := sim.startDrainOf(t, "a", nil)
			sim.runUntil(sim.now + 18*second)
			earlyHalts := sim.drainChecker.halts
			sim.runUntil(sim.now + 100*second)
			if earlyHalts > 0 || (sim.drainChecker.halts > 0) == ends {
				t.Errorf("tasks end %v: %d halts within the wait, want 0; %d halts in all, want some only if tasks do not end", ends, earlyHalts, sim.drainChecker.halts)
			}
			sim.checkAllGone(t, names)
		})
	}
}

// TestDrainWithReplacementsProceedsWhileUrgentWorkWaits checks that a drain with replacements
// continues although queued urgent work waits for capacity all the time: such a drain does not
// reduce the capacity.
func TestDrainWithReplacementsProceedsWhileUrgentWorkWaits(t *testing.T) {
	sim := newSimulation(16)
	sim.cloud.available = 1
	sim.enableDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 9, 0), "blue": teamBudget(2, 9, 0)}, 3, 0)
	long := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 4, cpus: 1, runTime: time.Hour, estimateSeconds: 3600, machineTypes: []string{"small"}})
	sim.schedule(0, func() { sim.submitAndPoll(long, 0) })
	sim.runUntil(25 * second)
	sim.cloud.available = -100 // no machine can be rented for the urgent job
	urgent := newJob(jobSpec{id: "wk-000002", team: "blue", tasks: 8, cpus: 2, runTime: time.Hour, estimateSeconds: 3600, urgent: true, machineTypes: []string{"big"}})
	sim.submitAndPoll(urgent, 0)
	sim.runUntil(sim.now + 10*second)
	urgentWaits := sim.leader().node.fleet.HasWaitingWork(jobs.PriorityStandard)
	// From now on at least one more small machine of each zone and price can be rented, no big one.
	sim.cloud.availablePerKind = 1 + len(sim.workerIDs(nil))
	sim.cloud.soldOutType = "big"
	names := sim.workerIDs(hasTasks)
	sim.requestDrain(startDrain("a", names, true), func(drain.Response) {})
	sim.runUntil(sim.now + 120*second)
	if !urgentWaits || urgent.startedAt > 0 {
		t.Errorf("urgent work waits before the drain: %v, want true; it started at %v, want 0: never", urgentWaits, urgent.startedAt)
	}
	sim.checkAllGone(t, names)
}

// exhaustCloud submits three urgent jobs and runs the simulation for 5 s, in which the controllers
// learn that the cloud has no capacity left.
func (s *simulation) exhaustCloud() {
	for i := range 3 {
		job := newJob(jobSpec{id: jobID(60 + i), team: "blue", tasks: 5, cpus: 2, runTime: 2 * second, estimateSeconds: 300, spot: i%2 == 0, urgent: true})
		s.submitAndPoll(job, 0)
	}
	s.runUntil(s.now + 5*second)
}

// TestDrainBudgetCountsOtherDisturbances checks that tasks lost to failures count against the
// budget of a drain, and that the drain continues by itself when they run again.
func TestDrainBudgetCountsOtherDisturbances(t *testing.T) {
	sim := newSimulation(4)
	sim.cloud.available = 30
	sim.enableDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 4, 1), "blue": teamBudget(1, 4, 1)}, 3, 0)
	red := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 8, cpus: 2, zone: "b", runTime: time.Hour, estimateSeconds: 3600, spot: true})
	sim.schedule(0, func() { sim.submitAndPoll(red, 0) })
	sim.runUntil(25 * second)
	sim.cloud.available = -100 // lost tasks find no capacity
	lostTasks := 0
	for _, worker := range sim.cloud.workers {
		if !worker.dead && (len(worker.tasks) == 0 || lostTasks < 2) {
			lostTasks += len(worker.tasks)
			worker.die()
		}
	}
	sim.runUntil(sim.now + 25*second)
	names := sim.startDrainOf(t, "a", hasTasks)
	sim.runUntil(sim.now + 15*second)
	if lostTasks != 2 || sim.drainChecker.halts > 0 || !sim.drainWaitsFor("budget of team red") {
		t.Errorf("%d tasks lost, want 2; %d halts, want 0 while the budget of red is used up; %s", lostTasks, sim.drainChecker.halts, sim.describeDrains())
	}
	sim.cloud.available = 20
	sim.runUntil(sim.now + 260*second)
	sim.checkAllGone(t, names)
}

// TestDrainOfFaultyMachines checks that a drain completes although its busy machines hang, are
// unreachable, partitioned or reclaimed, or die when the first grant is made. If they hang
// forever, the drain need not complete, but no rule may be broken.
func TestDrainOfFaultyMachines(t *testing.T) {
	for name, breakMachine := range map[string]func(sim *simulation, worker *simWorker){
		"hangs": func(sim *simulation, worker *simWorker) { worker.faults.unresponsiveUntil = sim.now + 25*second },
		"unreachable": func(sim *simulation, worker *simWorker) {
			worker.faults.inboundBlocked = true
			sim.schedule(30*second, func() { worker.faults.inboundBlocked = false })
		},
		"partitioned":    func(sim *simulation, worker *simWorker) { worker.faults.partitionedUntil = sim.now + 30*second },
		"dies":           func(_ *simulation, worker *simWorker) { worker.die() },
		"is reclaimed":   func(_ *simulation, worker *simWorker) { worker.reclaimAfterNotice(8 * second) },
		"hangs for ever": func(sim *simulation, worker *simWorker) { worker.faults.unresponsiveUntil = sim.now + time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newDrainSimulation(5, 6)
			names := sim.startDrainOf(t, "a", nil)
			sim.runWhen(func() bool { return sim.countGrants() > 0 }, func() {
				for _, worker := range sim.cloud.workers {
					if !worker.dead && len(worker.tasks) > 0 {
						breakMachine(sim, worker)
					}
				}
			})
			sim.runUntil(sim.now + 300*second)
			if n := sim.countGone(names); n != len(names) && name != "hangs for ever" {
				t.Errorf("%s: %d of %d machines are gone, want all; %s", name, n, len(names), sim.describeDrains())
			}
			sim.checkRules(t)
		})
	}
}

// TestDrainKeepsLastReplica checks that a drain does not halt the last replica of a service
// while the budget requires one replica to run, and reports the reason, and that it halts the
// replica if the budget allows it.
func TestDrainKeepsLastReplica(t *testing.T) {
	for _, replicasUp := range []int{1, 0} {
		t.Run(fmt.Sprintf("replicas up %d", replicasUp), func(t *testing.T) {
			sim := newSimulation(9)
			sim.enableDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 2, replicasUp), "blue": teamBudget(2, 2, 1)}, 3, 0)
			job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 1, cpus: 1, service: true, spot: true})
			sim.schedule(0, func() { sim.submitAndPoll(job, 0) })
			sim.runUntil(25 * second)
			names := sim.startDrainOf(t, "a", nil)
			sim.runUntil(sim.now + 90*second)
			if remaining := len(names) - sim.countGone(names); remaining != replicasUp || sim.usedCPUs("red") != 1 {
				t.Errorf("with replicas_up %d, %d machines are left, want as many; %g replicas run, want 1", replicasUp, remaining, sim.usedCPUs("red"))
			}
			if replicasUp > 0 && !sim.drainWaitsFor("replicas_up: 0 of service wk-000001 would be up, 1 must be") {
				t.Errorf("the drain does not report that it waits for replicas_up: %s", sim.describeDrains())
			}
			sim.checkRules(t)
		})
	}
}

// TestDrainWithMixedVersions checks a rollback during a drain: nodes of a version without
// drains run together with nodes that support drains, then alone, and no rule is broken and no
// budget exceeded. After the upgrade the drain is resumed.
func TestDrainWithMixedVersions(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newDrainSimulation(30+seed, 8)
			names := sim.startDrainOf(t, "a", nil)
			for i := range 3 { // roll the nodes back one after the other
				sim.schedule(time.Duration(8+10*i)*second, func() {
					controller := sim.controllers[(int(seed)+i)%3]
					controller.withoutDrains = true
					controller.crash(500 * millisecond)
				})
			}
			sim.runUntil(sim.now + 60*second)
			if sim.usedCPUs("red") != 8 || sim.usedCPUs("blue") != 8 {
				t.Errorf("%g and %g tasks run under the version without drains, want 8 and 8", sim.usedCPUs("red"), sim.usedCPUs("blue"))
			}
			for _, controller := range sim.controllers { // upgrade again: the drain is resumed
				controller.withoutDrains = false
				controller.crash(500 * millisecond)
			}
			sim.runUntil(sim.now + 260*second)
			sim.checkAllGone(t, names)
		})
	}
}

// TestDrainEmptiesAllMachines checks that a drain of all machines empties and releases each of
// them within the budgets, with and without replacements, and that all tasks run afterwards.
func TestDrainEmptiesAllMachines(t *testing.T) {
	for _, replace := range []bool{false, true} {
		t.Run(fmt.Sprintf("replace %v", replace), func(t *testing.T) {
			sim := newDrainSimulation(1, 10)
			names := sim.workerIDs(hasTasks)
			sim.requestDrain(startDrain("rack-1", names, replace), func(response drain.Response) {
				if response.Status != drain.StatusOK {
					t.Errorf("start of the drain: %+v, want status %s", response, drain.StatusOK)
				}
			})
			sim.runUntil(sim.now + 240*second)
			if n := sim.countGone(names); n != len(names) || sim.drainChecker.halts < 20 {
				t.Errorf("replace %v: %d of %d machines are gone, want all; %d halts, want at least 20", replace, n, len(names), sim.drainChecker.halts)
			}
			if sim.usedCPUs("red") != 10 || sim.usedCPUs("blue") != 10 {
				t.Errorf("replace %v: %g and %g tasks run after the drain, want 10 and 10", replace, sim.usedCPUs("red"), sim.usedCPUs("blue"))
			}
			sim.checkRules(t)
			// Each machine takes two changes, closed and released, and two more with a
			// replacement, requested and named; each grant is made and removed; creating and
			// removing the head and the pages takes a few.
			maxChanges := 2*len(names) + 2*sim.drainChecker.halts + 8
			if replace {
				maxChanges += 2 * len(names)
			}
			if n := sim.countDrainChanges(); n > maxChanges {
				t.Errorf("replace %v: %d changes for %d machines and %d halts, want at most %d", replace, n, len(names), sim.drainChecker.halts, maxChanges)
			}
			if ref, twice := sim.grantedTwice(); twice {
				t.Errorf("replace %v: attempt %+v is granted twice, want once", replace, ref)
			}
			sim.requestDrain(drain.Request{Verb: drain.VerbStatus, ID: "rack-1"}, func(response drain.Response) {
				if len(response.Drains) != 1 || response.Drains[0].Phase != drain.PhaseDone {
					t.Errorf("status of the drain: %+v, want phase %s", response, drain.PhaseDone)
				}
			})
			sim.runUntil(sim.now + 10*second)
		})
	}
}
