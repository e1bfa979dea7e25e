package controller

import (
	"testing"
	"time"
)

// copyTroubles are the troubles in which attempts end while copies of their launches arrive.
var copyTroubles = map[string]func(*simulation){
	"tasks fail": func(sim *simulation) {
		for i := range 6 {
			sim.schedule(time.Duration(8+3*i)*second, func() { sim.inject(machinesFailTasks, i, 2*second) })
		}
	},
	"jobs are cancelled": func(sim *simulation) {
		for i := range 6 {
			sim.schedule(time.Duration(8+2*i)*second, func() { sim.cancelRunningJobs(2) })
		}
	},
	"machines are taken after a notice": func(sim *simulation) {
		sim.schedule(12*second, func() {
			sim.forBusyWorkers(4, 0, func(worker *simWorker) { worker.reclaimAfterNotice(20 * second) })
		})
	},
	"owner restarts within a second": func(sim *simulation) {
		for i := range 5 {
			sim.schedule(time.Duration(9+5*i)*second, func() {
				sim.inject(machinesFailTasks, i, 2*second)
				if owner := sim.ownerOfShard0(); owner != nil {
					owner.crash(300 * millisecond)
				}
			})
		}
	},
	"owner is deposed": func(sim *simulation) {
		sim.schedule(9*second, func() { sim.inject(ownerIsolated, 0, 20*second) })
		sim.schedule(10*second, func() { sim.inject(machinesFailTasks, 0, 3*second) })
		sim.schedule(14*second, func() { sim.cancelRunningJobs(3) })
	},
	"state service is down": func(sim *simulation) {
		sim.schedule(9*second, func() { sim.inject(machinesFailTasks, 0, 4*second) })
		sim.schedule(10*second, func() { sim.outageFor(40 * second) })
	},
	"leader restarts within a second": func(sim *simulation) {
		for i := range 5 {
			sim.schedule(time.Duration(9+5*i)*second, func() {
				sim.inject(leaderRestartsAtOnce, i, second)
				sim.cancelRunningJobs(1)
			})
		}
	},
}

// TestCopiesOfLaunchesStartNothingAgain guards against tasks that run on two machines, or after the
// cancellation of their job: every executed direct command arrives once more, for each way in
// which attempts end, and while owners change.
func TestCopiesOfLaunchesStartNothingAgain(t *testing.T) {
	for name, trouble := range copyTroubles {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				sim := newSimulation(seed + 1)
				sim.commandCopies.share = 1
				sim.heartbeats.onChange = true
				sim.submitMixedJobs(14, 6*second)
				trouble(sim)
				sim.cancelServicesAt(70 * second)
				sim.runUntil(330 * second)
				sim.checkRulesAndCompletion(t)
				if sim.commandCopies.arrived == 0 {
					t.Error("no copy has arrived")
				}
			}
		})
	}
}

// TestTokensOfMessagesGrowWithinATerm guards against a fix that ends a term for every attempt that a
// worker may forget: the shard's lease keeps its revision while tokens of messages grow.
func TestTokensOfMessagesGrowWithinATerm(t *testing.T) {
	sim := newSimulation(1)
	sim.heartbeats.onChange = true
	sim.submitMixedJobs(12, 3*second)
	sim.cancelServicesAt(40 * second)
	sim.runUntil(60 * second)
	termTokens, highest := map[uint64]bool{}, uint64(0)
	for _, change := range sim.state.log {
		if change.key == "lease/block/0" && change.value != nil {
			termTokens[change.revision] = true
		}
	}
	for _, worker := range sim.cloud.workers {
		highest = max(highest, worker.token)
	}
	if len(termTokens) != 1 || termTokens[highest] {
		t.Errorf("tokens of the shard %v, highest that a worker has seen %d, want one token and a higher one", termTokens, highest)
	}
	for _, worker := range sim.cloud.workers {
		for _, task := range worker.tasks {
			if !worker.dead && task.phase == phaseEnded {
				t.Errorf("%s still retains %s", worker.id, task.name)
			}
		}
	}
	sim.checkRules(t)
}
