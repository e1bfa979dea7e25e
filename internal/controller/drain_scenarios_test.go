package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
)

// The hard cases of drains. Each fails without the guard that it is about.

// TestDrainSurvivesOutageBetweenGrantAndHalt: the state service is down from the first
// grant on, before anything was halted.
func TestDrainSurvivesOutageBetweenGrantAndHalt(t *testing.T) {
	sim := newDrainSimulation(2, 6)
	names := sim.startDrainOf(t, "a", nil)
	met := false
	sim.runWhen(func() bool { return sim.countGrants() > 0 }, func() {
		met = sim.drainChecker.halts == 0
		sim.outageFor(20 * second)
	})
	sim.runUntil(sim.now + 240*second)
	if !met {
		t.Error("the outage came too late")
	}
	sim.checkAllGone(t, names)
}

// TestDrainSurvivesLeaderAndOwnerChange: leader and owner crash at once, at various moments
// after a grant.
func TestDrainSurvivesLeaderAndOwnerChange(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newDrainSimulation(10+seed, 6)
			names := sim.startDrainOf(t, "a", nil)
			for i := range 6 { // at various moments after a grant
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

// TestDrainSurvivesLostAnswers: commits get no answer and are carried out late, also after
// their leader has ended.
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

// TestDrainWaitsForCapacityTakenByUrgentWork: while urgent work takes what is free and
// nothing can be rented, the drain waits and says so; it goes on when machines can be had.
func TestDrainWaitsForCapacityTakenByUrgentWork(t *testing.T) {
	sim := newDrainSimulation(3, 6)
	sim.cloud.available = 0 // nothing more can be rented
	sim.exhaustCloud()
	names := sim.startDrainOf(t, "a", nil)
	urgent := newJob(jobSpec{id: "wk-000050", team: "red", tasks: 18, cpus: 1, runTime: 60 * second, estimateSeconds: 60, spot: true, urgent: true})
	sim.schedule(3*second, func() { sim.submitAndPoll(urgent, 0) })
	waited := false
	sim.schedule(20*second, func() { waited = sim.drainWaitsFor("waits for room") || sim.drainWaitsFor("no room") })
	sim.runUntil(sim.now + 40*second)
	if !waited {
		t.Errorf("it does not say that it waits for room: %s", sim.describeDrains())
	}
	gone := sim.countGone(names)
	sim.cloud.available = 20
	sim.runUntil(sim.now + 260*second)
	if gone == len(names) {
		t.Error("it did not wait")
	}
	sim.checkAllGone(t, names)
}

// TestDrainWaitsWithoutCapacity: where nothing is free and nothing can be rented, nothing is
// stopped, and the drain says why; it goes on when machines can be had.
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
			worker.die() // what is free
		}
	}
	sim.runUntil(sim.now + 20*second)
	names := sim.startDrainOf(t, "a", nil)
	sim.runUntil(sim.now + 20*second)
	if sim.drainChecker.halts > 0 || !sim.drainWaitsFor("the cloud has not given one") {
		t.Errorf("%d halts; %s", sim.drainChecker.halts, sim.describeDrains())
	}
	sim.cloud.available = 20
	sim.runUntil(sim.now + 260*second)
	sim.checkAllGone(t, names)
}

// TestDrainWaitsForTasksAboutToEnd: they are not stopped within the time for that, and
// stopped after it if they have not ended.
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
			early := sim.drainChecker.halts
			sim.runUntil(sim.now + 100*second)
			if early > 0 || (sim.drainChecker.halts > 0) == ends {
				t.Errorf("ends %v: %d halts at first, %d in all", ends, early, sim.drainChecker.halts)
			}
			sim.checkAllGone(t, names)
		})
	}
}

// TestDrainWithReplacementsProceedsWhileUrgentWorkWaits: with replacements a drain takes no
// room away, and goes on although urgent work that the daemon lets queue waits for room all
// the time.
func TestDrainWithReplacementsProceedsWhileUrgentWorkWaits(t *testing.T) {
	sim := newSimulation(16)
	sim.cloud.available = 1
	sim.enableDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 9, 0), "blue": teamBudget(2, 9, 0)}, 3, 0)
	long := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 4, cpus: 1, runTime: time.Hour, estimateSeconds: 3600, machineTypes: []string{"small"}})
	sim.schedule(0, func() { sim.submitAndPoll(long, 0) })
	sim.runUntil(25 * second)
	sim.cloud.available = -100 // the urgent job finds no machine
	urgent := newJob(jobSpec{id: "wk-000002", team: "blue", tasks: 8, cpus: 2, runTime: time.Hour, estimateSeconds: 3600, urgent: true, machineTypes: []string{"big"}})
	sim.submitAndPoll(urgent, 0)
	sim.runUntil(sim.now + 10*second)
	waits := sim.leader().node.fleet.HasWaitingWork(jobs.PriorityStandard)
	sim.cloud.availablePerKind = 1 + len(sim.workerIDs(nil)) // a small one more of each kind, and no big one
	sim.cloud.soldOutType = "big"
	names := sim.workerIDs(hasTasks)
	sim.requestDrain(startDrain("a", names, true), func(drain.Response) {})
	sim.runUntil(sim.now + 120*second)
	if !waits || urgent.startedAt > 0 {
		t.Errorf("urgent work waits: %v, began at %v", waits, urgent.startedAt)
	}
	sim.checkAllGone(t, names)
}

// exhaustCloud has the controllers find out that the cloud has no machines left.
func (s *simulation) exhaustCloud() {
	for i := range 3 {
		job := newJob(jobSpec{id: jobID(60 + i), team: "blue", tasks: 5, cpus: 2, runTime: 2 * second, estimateSeconds: 300, spot: i%2 == 0, urgent: true})
		s.submitAndPoll(job, 0)
	}
	s.runUntil(s.now + 5*second)
}

// TestDrainBudgetCountsOtherDisturbances: what nobody chose to disturb uses the budget up, and
// the drain goes on by itself when that is over.
func TestDrainBudgetCountsOtherDisturbances(t *testing.T) {
	sim := newSimulation(4)
	sim.cloud.available = 30
	sim.enableDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 4, 1), "blue": teamBudget(1, 4, 1)}, 3, 0)
	red := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 8, cpus: 2, zone: "b", runTime: time.Hour, estimateSeconds: 3600, spot: true})
	sim.schedule(0, func() { sim.submitAndPoll(red, 0) })
	sim.runUntil(25 * second)
	sim.cloud.available = -100 // what is lost finds no room
	lost := 0
	for _, worker := range sim.cloud.workers {
		if !worker.dead && (len(worker.tasks) == 0 || lost < 2) {
			lost += len(worker.tasks)
			worker.die()
		}
	}
	sim.runUntil(sim.now + 25*second)
	names := sim.startDrainOf(t, "a", hasTasks)
	sim.runUntil(sim.now + 15*second)
	if lost != 2 || sim.drainChecker.halts > 0 || !sim.drainWaitsFor("budget of team red") {
		t.Errorf("%d lost, %d halts; %s", lost, sim.drainChecker.halts, sim.describeDrains())
	}
	sim.cloud.available = 20
	sim.runUntil(sim.now + 260*second)
	sim.checkAllGone(t, names)
}

// TestDrainOfFaultyMachines: what is wrong with the machines when the first grant is made
// keeps no drain from ending, except machines that hang for ever.
func TestDrainOfFaultyMachines(t *testing.T) {
	for name, breakMachine := range map[string]func(sim *simulation, worker *simWorker){
		"hangs": func(sim *simulation, worker *simWorker) { worker.faults.unresponsiveUntil = sim.now + 25*second },
		"deaf": func(sim *simulation, worker *simWorker) {
			worker.faults.inboundBlocked = true
			sim.schedule(30*second, func() { worker.faults.inboundBlocked = false })
		},
		"cut off":        func(sim *simulation, worker *simWorker) { worker.faults.partitionedUntil = sim.now + 30*second },
		"dies":           func(_ *simulation, worker *simWorker) { worker.die() },
		"is taken":       func(_ *simulation, worker *simWorker) { worker.reclaimAfterNotice(8 * second) },
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
				t.Errorf("%s: %d of %d machines are gone; %s", name, n, len(names), sim.describeDrains())
			}
			sim.checkRules(t)
		})
	}
}

// TestDrainKeepsLastReplica: the only place of a service's last replica is not emptied, and
// the drain says why; with a budget that allows it, it is.
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
			if left := len(names) - sim.countGone(names); left != replicasUp || sim.usedCPUs("red") != 1 {
				t.Errorf("with %d up, %d machines are left and %g replicas", replicasUp, left, sim.usedCPUs("red"))
			}
			if replicasUp > 0 && !sim.drainWaitsFor("replicas_up: 0 of service wk-000001 would be up, 1 must be") {
				t.Error(sim.describeDrains())
			}
			sim.checkRules(t)
		})
	}
}

// TestDrainBesideVersionWithoutDrains: nodes that know no drains serve beside those that do,
// and alone afterwards; no rule breaks and no budget is exceeded.
func TestDrainBesideVersionWithoutDrains(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newDrainSimulation(30+seed, 8)
			names := sim.startDrainOf(t, "a", nil)
			for i := range 3 { // one after the other goes back to the other version
				sim.schedule(time.Duration(8+10*i)*second, func() {
					controller := sim.controllers[(int(seed)+i)%3]
					controller.withoutDrains = true
					controller.crash(500 * millisecond)
				})
			}
			sim.runUntil(sim.now + 60*second)
			if sim.usedCPUs("red") != 8 || sim.usedCPUs("blue") != 8 {
				t.Errorf("%g and %g tasks run under the other version", sim.usedCPUs("red"), sim.usedCPUs("blue"))
			}
			for _, controller := range sim.controllers { // and forward again: the drain is resumed
				controller.withoutDrains = false
				controller.crash(500 * millisecond)
			}
			sim.runUntil(sim.now + 260*second)
			sim.checkAllGone(t, names)
		})
	}
}

// TestDrainEmptiesAllMachines: every machine is emptied and replaced, within the
// budgets, and the work runs on.
func TestDrainEmptiesAllMachines(t *testing.T) {
	for _, replace := range []bool{false, true} {
		t.Run(fmt.Sprintf("replace %v", replace), func(t *testing.T) {
			sim := newDrainSimulation(1, 10)
			names := sim.workerIDs(hasTasks)
			sim.requestDrain(startDrain("rack-1", names, replace), func(response drain.Response) {
				if response.Status != drain.StatusOK {
					t.Errorf("start: %+v", response)
				}
			})
			sim.runUntil(sim.now + 240*second)
			if n := sim.countGone(names); n != len(names) || sim.drainChecker.halts < 20 {
				t.Errorf("replace %v: %d of %d machines are gone after %d halts", replace, n, len(names), sim.drainChecker.halts)
			}
			if sim.usedCPUs("red") != 10 || sim.usedCPUs("blue") != 10 {
				t.Errorf("replace %v: %g and %g tasks run on", replace, sim.usedCPUs("red"), sim.usedCPUs("blue"))
			}
			sim.checkRules(t)
			// Each machine is closed and released, with a replacement also asked for and
			// named; each grant is made and removed; head, pages and their end take a few.
			most := 2*len(names) + 2*sim.drainChecker.halts + 8
			if replace {
				most += 2 * len(names)
			}
			if n := sim.countDrainChanges(); n > most {
				t.Errorf("replace %v: %d changes for %d machines and %d halts", replace, n, len(names), sim.drainChecker.halts)
			}
			if ref, twice := sim.grantedTwice(); twice {
				t.Errorf("replace %v: %+v is granted twice", replace, ref)
			}
			sim.requestDrain(drain.Request{Verb: drain.VerbStatus, ID: "rack-1"}, func(response drain.Response) {
				if len(response.Drains) != 1 || response.Drains[0].Phase != drain.PhaseDone {
					t.Errorf("status: %+v", response)
				}
			})
			sim.runUntil(sim.now + 10*second)
		})
	}
}
