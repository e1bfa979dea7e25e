package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/tuning"
)

// scenario is a combination of two faults, or of a fault and a special load, that overlap in
// time.
type scenario struct {
	name string
	// schedule schedules the faults and the load. After the run, overlapped reports whether the
	// two have overlapped.
	schedule func(sim *simulation, seed int) (overlapped func() bool)
}

// overlapScenarios are the scenarios of TestTwoFaults other than refusalScenarios and takeoverScenarios.
var overlapScenarios = []scenario{
	{"state service refuses the owner while launches wait for heartbeats and their jobs are cancelled", func(sim *simulation, _ int) func() bool {
		sim.checker.commandsPrompt = true
		sim.heartbeats.slowdown = 5
		sim.settings.Deployment.Workers.ReportS = 5
		sim.restart()
		sim.submitMixedJobs(6, 60*second)
		for i := range 8 { // their tasks are placed just before the refusal
			job := newJob(jobSpec{id: jobID(100 + i), team: "red", tasks: 2, cpus: 1, runTime: 30 * second, spot: true, urgent: true})
			sim.schedule(29*second+500*millisecond, func() { sim.submitAndPoll(job, 0) })
		}
		sim.schedule(29*second, func() { sim.commandsRefused = true })
		// The refusal begins when there are placements whose launches are not sent yet. When
		// machines have capacity for these jobs depends on what was rented for other jobs.
		placed, refused := 0, time.Duration(0)
		var refuse func()
		refuse = func() {
			controller := sim.ownerOfShard0()
			for _, tracked := range controller.node.shardOwners[0].workers.Workers() {
				for task := range tracked.Tasks {
					if task.PlacementDurable && !task.Launch.IsSent() {
						placed++
					}
				}
			}
			if placed == 0 && sim.now < 38*second {
				sim.schedule(100*millisecond, refuse)
				return
			}
			refused = sim.now
			sim.refuseControllerFor(controller.name, 9*second)
			sim.network.partitions["users|"+controller.name] = true
			for i := range 8 {
				if job := sim.jobs[jobID(100+i)]; job.cancel != nil {
					job.cancel()
				}
			}
		}
		sim.schedule(30*second+300*millisecond, refuse)
		sim.schedule(50*second, func() { sim.commandsRefused = false; clear(sim.network.partitions) })
		sim.cancelServicesAt(80 * second)
		return func() bool { return placed > 0 && sim.cancelledBetween(refused, refused+4*second) > 0 }
	}},
	{"users poll in bursts while jobs are cancelled and answers to transactions are lost", func(sim *simulation, seed int) func() bool {
		sim.users.burstQueries = true
		sim.stateFaults.lostAnswerShare = []float64{0, 0.2}[seed%2]
		sim.submitMixedJobs(20, 6*second)
		for i := range 40 {
			sim.schedule(time.Duration(2000+i*500)*millisecond, func() { sim.cancelRunningJobs(1) })
		}
		sim.cancelServicesAt(40 * second)
		return func() bool { return sim.cancelledBetween(0, 60*second) > 5 }
	}},
	{"invalid requests while leaders change", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(24, 5*second)
		sim.sendInvalidRequests(700 * millisecond)
		for i := range 5 {
			sim.schedule(time.Duration(12+i*8)*second, func() {
				sim.inject([]faultName{leaderCrashes, stateRefusesOwner, stateOutage, commitAnswersLost}[(seed+i)%4], seed, 6*second)
			})
		}
		sim.cancelServicesAt(60 * second)
		return func() bool { return sim.cancelledBetween(0, 90*second) > 0 }
	}},
	{"answers to transactions are lost, then the leader crashes", func(sim *simulation, seed int) func() bool {
		sim.users.burstQueries = true
		sim.stateFaults.lostAnswerShare = 0.25
		sim.schedule(50*second, func() { sim.stateFaults.lostAnswerShare = 0 })
		sim.submitMixedJobs(18, 8*second)
		sim.schedule(15*second, func() { sim.cancelRunningJobs(3) })
		sim.schedule(20*second, func() { sim.inject(leaderCrashes, seed, 8*second) })
		sim.cancelServicesAt(70 * second)
		return func() bool { return sim.cancelledBetween(0, 70*second) > 0 }
	}},
	{"transactions are applied late, then their controller crashes or is refused", func(sim *simulation, seed int) func() bool {
		sim.stateFaults.lateCommitShare = 0.25
		sim.schedule(50*second, func() { sim.stateFaults.lateCommitShare = 0 })
		sim.submitMixedJobs(18, 8*second)
		sim.schedule(15*second, func() { sim.cancelRunningJobs(3) })
		sim.schedule(20*second, func() {
			sim.inject([]faultName{leaderCrashes, ownerCrashes, stateRefusesOwner}[seed%3], seed, 8*second)
		})
		sim.cancelServicesAt(70 * second)
		return func() bool { return sim.cancelledBetween(0, 70*second) > 0 }
	}},
	{"teams at their limits, with machines of cancelled jobs out of reach and a new leader", func(sim *simulation, seed int) func() bool {
		atLimits := false
		sim.cloud.available = 30
		for i := range 30 {
			job := newJob(jobSpec{id: jobID(i), team: teamOf(i), tasks: 4, cpus: 1, runTime: 25 * second, estimateSeconds: 25, urgent: true, spot: true})
			sim.schedule(time.Duration(i*100)*millisecond, func() { sim.submitAndPoll(job, 0) })
		}
		sim.schedule(15*second, func() {
			atLimits = max(sim.usedCPUs("red"), sim.usedCPUs("blue")) == 24 && min(sim.usedCPUs("red"), sim.usedCPUs("blue")) >= 16
			sim.inject([]faultName{machinesHang, machinesPartitioned, workersReachNoController, workersReceiveNothing}[seed%4], seed, 20*second)
			sim.cancelRunningJobs(6)
		})
		sim.schedule(15*second+time.Duration(seed*300)*millisecond, func() { sim.inject([]faultName{leaderCrashes, ownerCrashes}[seed/2%2], seed, 10*second) })
		return func() bool { return atLimits && sim.cancelledBetween(15*second, 40*second) > 0 }
	}},
	{"jobs are cancelled while a shard changes owners", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 40*second)
		sim.schedule(20*second, func() {
			sim.inject([]faultName{ownerCrashes, stateRefusesOwner, workersCutFromOwner, ownerIsolated}[seed%4], seed, 25*second)
		})
		for i := range 30 {
			sim.schedule(19*second+time.Duration(i)*600*millisecond, func() { sim.cancelRunningJobs(1) })
		}
		sim.cancelServicesAt(70 * second)
		return func() bool { return sim.cancelledBetween(19*second, 45*second) > 5 }
	}},
	{"machines boot fast while transactions are applied late and leaders crash", func(sim *simulation, seed int) func() bool {
		sim.cloud.bootsFast = true
		sim.stateFaults.lateCommitShare = 0.3
		sim.schedule(40*second, func() { sim.stateFaults.lateCommitShare = 0 })
		sim.submitMixedJobs(20, 10*second)
		for i := range 4 {
			sim.schedule(time.Duration(3+i*4)*second, func() { sim.inject([]faultName{leaderRestartsAtOnce, leaderCrashes}[seed%2], seed%6, 6*second) })
		}
		sim.cancelServicesAt(70 * second)
		return func() bool { return len(sim.cloud.workers) > 1 }
	}},
	{"copies of old heartbeats arrive as a new leader or owner takes over", func(sim *simulation, seed int) func() bool {
		sim.heartbeats.retainedShare = 0.3
		sim.schedule(60*second, func() { sim.heartbeats.retainedShare = 0 })
		sim.submitMixedJobs(18, 9*second)
		retainedCopies := 0
		for i := range 6 {
			sim.schedule(time.Duration(10+i*7)*second, func() {
				retainedCopies += len(sim.heartbeats.retained)
				sim.inject([]faultName{leaderCrashes, ownerCrashes, stateRefusesOwner}[(seed+i)%3], seed%5, 12*second)
			})
		}
		sim.schedule(30*second, func() { sim.cancelRunningJobs(4) })
		sim.cancelServicesAt(80 * second)
		return func() bool { return retainedCopies > 5 }
	}},
	{"one-task jobs at the write limit, a quarter cancelled, during a fault of leader or state service", func(sim *simulation, seed int) func() bool {
		sim.limitWrites(25)
		sim.settings.Deployment.State.RPS = 70
		sim.restart()
		sim.cloud.available = 40
		cancelled := 0
		for i := range 240 {
			job := newJob(jobSpec{id: jobID(i), team: teamOf(i), tasks: 1, cpus: 1, runTime: time.Duration(2+sim.rng.IntN(6)) * second, spot: true})
			cancelAfter := time.Duration(0)
			if i%4 == 0 {
				cancelAfter = time.Duration(300+sim.rng.IntN(4000)) * millisecond
				cancelled++
			}
			sim.schedule(time.Duration(i)*250*millisecond, func() { sim.submitAndPoll(job, cancelAfter) })
		}
		sim.schedule(30*second, func() {
			sim.inject([]faultName{leaderCrashes, stateRefusesOwner, stateOutage}[seed%3], seed, 12*second)
		})
		return func() bool {
			pages := 0
			for key := range sim.state.keys {
				if strings.HasPrefix(key, "work/0/log/") {
					pages++
				}
			}
			return sim.cancelledBetween(0, 200*second) > cancelled/2 && pages < 2*tuning.LogCompactionPages
		}
	}},
	{"all controllers are down for longer than a lease while jobs are cancelled", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 40*second)
		sim.schedule(20*second, func() { sim.cancelRunningJobs(3) })
		sim.schedule(20*second+time.Duration(seed*200)*millisecond, func() { sim.inject(allControllersDown, seed, 16*second) })
		sim.schedule(40*second, func() { sim.cancelRunningJobs(2) })
		sim.cancelServicesAt(80 * second)
		return func() bool { return sim.cancelledBetween(20*second, 60*second) > 0 }
	}},
	{"tasks of small jobs end at different times across a change of leader or owner", func(sim *simulation, seed int) func() bool {
		partlyDoneJobs := 0
		for i := range 12 {
			job := newJob(jobSpec{id: jobID(i), team: "red", tasks: 2 + i%2, cpus: 1, runTime: 3 * second, runTimeStep: 8 * second, spot: true})
			sim.schedule(time.Duration(i*700)*millisecond, func() { sim.submitAndPoll(job, 0) })
		}
		sim.schedule(14*second, func() {
			for _, job := range sim.jobs {
				if len(job.completed) > 0 && len(job.completed) < job.tasks {
					partlyDoneJobs++
				}
			}
			sim.inject([]faultName{leaderCrashes, stateRefusesLeader, ownerCrashes}[seed%3], seed, 16*second)
		})
		return func() bool { return partlyDoneJobs > 0 }
	}},
	{"commands are delayed while machines hang and resume", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 12*second)
		unresponsive := 0
		for i := range 10 {
			sim.schedule(time.Duration(8+i*4)*second, func() {
				sim.forBusyWorkers(2, seed+i, func(worker *simWorker) {
					worker.faults.unresponsiveUntil, unresponsive = sim.now+time.Duration(2+i%4)*second, unresponsive+1
				})
				sim.cancelRunningJobs(1)
			})
		}
		sim.schedule(10*second, func() { sim.inject(commandsDelayed, seed, 30*second) })
		sim.cancelServicesAt(80 * second)
		return func() bool { return unresponsive > 5 }
	}},
	{"a zone with a controller is partitioned for longer than a lease while jobs are cancelled", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(18, 30*second)
		isolatedWorkers := 0
		sim.schedule(18*second, func() {
			name := sim.controllers[seed%3].name
			sim.isolate(name, 20*second)
			for _, worker := range sim.cloud.workers {
				if worker.zone == "b" {
					isolatedWorkers++
					worker.faults.onlyController, worker.controllerIndex = seed%3+1, seed%3
					sim.schedule(20*second, func() { worker.faults.onlyController = 0 })
				}
			}
			sim.cancelRunningJobs(4)
		})
		sim.cancelServicesAt(80 * second)
		return func() bool { return isolatedWorkers > 0 && sim.cancelledBetween(18*second, 60*second) > 0 }
	}},
	{"workers reach no controller, but commands reach them, while jobs are cancelled", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 30*second)
		sim.schedule(18*second, func() {
			for _, worker := range sim.cloud.workers {
				worker.faults.outboundBlockedUntil = sim.now + time.Duration(6+seed*2)*second
			}
			sim.cancelRunningJobs(4)
		})
		sim.cancelServicesAt(80 * second)
		return func() bool { return sim.cancelledBetween(18*second, 60*second) > 0 }
	}},
	{"users poll in bursts and cancel at the end of a job's last task", func(sim *simulation, _ int) func() bool {
		sim.users.burstQueries = true
		sim.users.cancelAtCompletion = true
		sim.submitMixedJobs(24, 4*second)
		sim.cancelServicesAt(60 * second)
		return func() bool { return sim.cancelledBetween(0, 100*second) > 2 }
	}},
	{"leader and owner crash while machines with long tasks are out of reach", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 45*second)
		sim.schedule(18*second, func() {
			sim.inject([]faultName{machinesPartitioned, workersReceiveNothing, workersReachNoController}[seed%3], seed, time.Duration(8+seed*2)*second)
			sim.inject(leaderCrashes, seed, 8*second)
			sim.inject(ownerCrashes, seed, 12*second)
			sim.cancelRunningJobs(3)
		})
		sim.cancelServicesAt(90 * second)
		return func() bool { return sim.cancelledBetween(18*second, 60*second) > 0 }
	}},
	{"state service is slow, refuses leader or owner, then is down", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 60*second)
		sim.schedule(12*second, func() { sim.stateFaults.latency = time.Duration(20+seed*10) * millisecond })
		sim.schedule(20*second, func() {
			sim.inject([]faultName{stateRefusesLeader, stateRefusesOwner}[seed%2], seed, 10*second)
			sim.cancelRunningJobs(5)
		})
		sim.schedule(26*second, func() { sim.outageFor(48 * second) })
		sim.schedule(80*second, func() { sim.stateFaults.latency = 0 })
		sim.cancelServicesAt(110 * second)
		return func() bool { return sim.cancelledBetween(20*second, 30*second) > 0 }
	}},
	{"leader or owner is isolated, with workers and users, while jobs are cancelled", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 40*second)
		sim.schedule(18*second, func() {
			sim.inject([]faultName{leaderIsolated, ownerIsolated}[seed%2], seed, time.Duration(10+seed*4)*second)
		})
		for i := range 10 {
			sim.schedule(18*second+time.Duration(i)*1500*millisecond, func() { sim.cancelRunningJobs(1) })
		}
		sim.cancelServicesAt(90 * second)
		return func() bool { return sim.cancelledBetween(18*second, 50*second) > 2 }
	}},
	{"owners crash one after the other, then all crash and one restarts", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 30*second)
		for i := range 4 {
			sim.schedule(time.Duration(15+i*2)*second, func() { sim.inject(ownerCrashes, seed, 2*second) })
		}
		sim.schedule(24*second, func() {
			sim.inject(allCrashOneRestarts, seed, 16*second)
			sim.cancelRunningJobs(3)
		})
		sim.cancelServicesAt(90 * second)
		return func() bool { return sim.cancelledBetween(24*second, 60*second) > 0 }
	}},
	{"machines of jobs with zone constraints die while leader and owner crash", func(sim *simulation, seed int) func() bool {
		deadMachines := 0
		for i := range 10 {
			job := newJob(jobSpec{id: jobID(i), team: teamOf(i), tasks: 4, cpus: 1, runTime: 12 * second, spot: true})
			switch i % 3 {
			case 0:
				job.zone = "b"
			case 1:
				job.sameZone = true
			case 2:
				job.spread = true
			}
			sim.schedule(time.Duration(i*500)*millisecond, func() { sim.submitAndPoll(job, 0) })
		}
		for i := range 4 {
			sim.schedule(time.Duration(10+i*4)*second, func() {
				sim.forBusyWorkers(1, seed+i, func(worker *simWorker) { worker.die(); deadMachines++ })
				sim.inject([]faultName{leaderRestartsAtOnce, ownerCrashes}[i%2], seed%4, 5*second)
			})
		}
		return func() bool { return deadMachines > 1 }
	}},
	{"leaders change ten times in two minutes, also inside an outage", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(18, 25*second)
		leaderTokens := map[uint64]bool{}
		for i := range 10 {
			sim.schedule(time.Duration(12+i*11)*second, func() {
				if controller := sim.leader(); controller != nil {
					leaderTokens[controller.node.leases.LeaderToken()] = true
					controller.crash(time.Duration(300+seed*200) * millisecond)
				}
			})
		}
		sim.schedule(40*second, func() { sim.outageFor(15 * second) })
		sim.schedule(45*second, func() { sim.cancelRunningJobs(3) })
		sim.cancelServicesAt(130 * second)
		return func() bool { return len(leaderTokens) > 6 }
	}},
}

// TestTwoFaults runs each scenario with several seeds and checks that no rule is broken, that
// every controller answers queries about every job within 75 s of the end of the faults, and
// that all work is done.
func TestTwoFaults(t *testing.T) {
	const seeds = 4
	for _, scenario := range slices.Concat(refusalScenarios, overlapScenarios, takeoverScenarios) {
		t.Run(scenario.name, func(t *testing.T) {
			runs, overlapped := 0, 0
			for seed := 1; seed <= seeds; seed++ {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					runs++
					if scenario.run(t, seed) {
						overlapped++
					}
				})
				if t.Failed() {
					return
				}
			}
			if runs == seeds && overlapped <= seeds/2 { // with a seed in -run not all seeds are played
				t.Errorf("the faults have overlapped with %d of %d seeds, want more than %d", overlapped, seeds, seeds/2)
			}
		})
	}
}

// run runs a scenario for five simulated minutes and reports whether its two faults have
// overlapped.
func (s scenario) run(t *testing.T, seed int) (overlapped bool) {
	sim := newSimulation(uint64(seed))
	if seed%2 == 0 {
		sim.useTwoShards()
	}
	haveOverlapped := s.schedule(sim, seed)
	sim.schedule(150*second, func() { sim.startRecoveryChecks() })
	sim.runUntil(300 * second)
	sim.checkRulesAndCompletion(t)
	return haveOverlapped()
}
