package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/tuning"
)

// The troubles of the operators' page, each as something that happens to the
// simulated deployment. which picks a node, a machine or a variant.

// meeting is one of the operators' meetings of two troubles. play sets it up; met
// tells, after the day, whether it has happened.
type scenario struct {
	name  string
	begin func(sim *simulation, seed int) (met func() bool)
}

// gap is the meeting that broke most of them: the state service refuses one node
// alone, others confirm cancellations, then it is down for all, while workers keep
// reporting to the old owner.
func refusalThenOutage(refused func(*simulation) *simController, before, outage time.Duration, with ...string) func(*simulation, int) func() bool {
	return func(sim *simulation, seed int) func() bool {
		sim.checker.commandsPrompt = true
		sim.submitMixedJobs(14, 70*second)
		const at = 20 * second
		sim.after(at-second, func() { sim.cancelRunningJobs(2) })
		sim.after(at, func() {
			sim.refuseControllerFor(refused(sim).name, 14*second)
			for i, name := range with {
				faultNamed(name)(sim, seed+i, 25*second)
			}
		})
		sim.after(at+before/4, func() { sim.cancelRunningJobs(8) })
		sim.after(at+before, func() { sim.outageFor(outage) })
		sim.after(at+before+100*ms, func() { sim.cancelRunningJobs(1) })
		sim.after(at+before+outage+100*ms, func() { sim.cancelRunningJobs(1) })
		sim.cancelServicesAt(at + before + outage + 40*second)
		return func() bool { return sim.cancelledBetween(at, at+before) >= 2 }
	}
}

var twoFaultScenarios = []scenario{
	{"gap, leader", refusalThenOutage((*simulation).leader, 2*second, 77*second)},
	{"gap, owner", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 77*second)},
	{"gap, owner, just below the lease", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 11*second)},
	{"gap, owner, just above the lease", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 13*second)},
	{"gap, owner, just below cancel_s", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 43*second)},
	{"gap, owner, just above cancel_s", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 47*second)},
	{"gap, owner, ends with the refusal", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 12*second)},
	{"gap, owner, ends before the refusal", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 8*second)},
	{"gap, owner, after it", refusalThenOutage((*simulation).ownerOfShard0, 13*second, 50*second)},
	{"gap, owner, hung machines", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 50*second, "machines hang")},
	{"gap, owner, deaf machines", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 50*second, "machines deaf")},
	{"gap, owner, mute machines", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 50*second, "machines mute")},
	{"the refusal meets the cancellation, a second later nobody is served", refusalThenOutage((*simulation).ownerOfShard0, second, 50*second)},
	{"launches wait for reports while their owner is refused and the jobs are called off", func(sim *simulation, seed int) func() bool {
		sim.checker.commandsPrompt = true
		sim.heartbeats.slowdown = 5
		sim.settings.Deployment.Workers.ReportS = 5
		sim.restart()
		sim.submitMixedJobs(6, 60*second)
		for i := range 8 { // placed just before the refusal
			job := newJob(jobSpec{id: fmt.Sprintf("wk-%06d", 100+i), team: "red", tasks: 2, cpus: 1, runTime: 30 * second, spot: true, urgent: true})
			sim.after(29*second+500*ms, func() { sim.submitAndPoll(job, 0) })
		}
		sim.after(29*second, func() { sim.commandsRefused = true })
		// The refusal comes when there are placements whose launches wait; how soon
		// machines have room for these jobs depends on what was rented for others.
		placed, refused := 0, time.Duration(0)
		var refuse func()
		refuse = func() {
			controller := sim.shardOwner(0)
			for _, tracked := range controller.node.owners[0].workers.Workers() {
				for k := range tracked.Tasks {
					if k.PlacementDurable && !k.LaunchSent {
						placed++
					}
				}
			}
			if placed == 0 && sim.now < 38*second {
				sim.after(100*ms, refuse)
				return
			}
			refused = sim.now
			sim.refuseControllerFor(controller.name, 9*second)
			sim.network.partitions["users|"+controller.name] = true
			for i := range 8 {
				if job := sim.jobs[fmt.Sprintf("wk-%06d", 100+i)]; job.cancel != nil {
					job.cancel()
				}
			}
		}
		sim.after(30*second+300*ms, refuse)
		sim.after(50*second, func() { sim.commandsRefused = false; clear(sim.network.partitions) })
		sim.cancelServicesAt(80 * second)
		return func() bool { return placed > 0 && sim.cancelledBetween(refused, refused+4*second) > 0 }
	}},
	{"users look closely", func(sim *simulation, seed int) func() bool {
		sim.users.pollClosely = true
		sim.stateFaults.lostAnswerShare = []float64{0, 0.2}[seed%2]
		sim.submitMixedJobs(20, 6*second)
		for i := range 40 {
			sim.after(time.Duration(2000+i*500)*ms, func() { sim.cancelRunningJobs(1) })
		}
		sim.cancelServicesAt(40 * second)
		return func() bool { return sim.cancelledBetween(0, 60*second) > 5 }
	}},
	{"users are mistaken while leaders change", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(24, 5*second)
		sim.sendMistakenRequests(700 * ms)
		for i := range 5 {
			sim.after(time.Duration(12+i*8)*second, func() {
				faultNamed([]string{"leader crashes", "owner refused", "outage", "unheard writes"}[(seed+i)%4])(sim, seed, 6*second)
			})
		}
		sim.cancelServicesAt(60 * second)
		return func() bool { return sim.cancelledBetween(0, 90*second) > 0 }
	}},
	{"only the answer of a transaction is lost", func(sim *simulation, seed int) func() bool {
		sim.users.pollClosely = true
		sim.stateFaults.lostAnswerShare = 0.25
		sim.after(50*second, func() { sim.stateFaults.lostAnswerShare = 0 })
		sim.submitMixedJobs(18, 8*second)
		sim.after(15*second, func() { sim.cancelRunningJobs(3) })
		sim.after(20*second, func() { faultNamed("leader crashes")(sim, seed, 8*second) })
		sim.cancelServicesAt(70 * second)
		return func() bool { return sim.cancelledBetween(0, 70*second) > 0 }
	}},
	{"a transaction is carried out late", func(sim *simulation, seed int) func() bool {
		sim.stateFaults.lateCommitShare = 0.25
		sim.after(50*second, func() { sim.stateFaults.lateCommitShare = 0 })
		sim.submitMixedJobs(18, 8*second)
		sim.after(15*second, func() { sim.cancelRunningJobs(3) })
		sim.after(20*second, func() {
			faultNamed([]string{"leader crashes", "owner crashes", "owner refused"}[seed%3])(sim, seed, 8*second)
		})
		sim.cancelServicesAt(70 * second)
		return func() bool { return sim.cancelledBetween(0, 70*second) > 0 }
	}},
	{"teams at their limits, machines of cancelled jobs out of reach, a new leader", func(sim *simulation, seed int) func() bool {
		full := false
		sim.cloud.available = 30
		for i := range 30 {
			job := newJob(jobSpec{id: fmt.Sprintf("wk-%06d", i), team: []string{"red", "blue"}[i%2], tasks: 4, cpus: 1, runTime: 25 * second, estimateSeconds: 25, urgent: true, spot: true})
			sim.after(time.Duration(i*100)*ms, func() { sim.submitAndPoll(job, 0) })
		}
		sim.after(15*second, func() {
			full = max(sim.usedCPUs("red"), sim.usedCPUs("blue")) == 24 && min(sim.usedCPUs("red"), sim.usedCPUs("blue")) >= 16
			faultNamed([]string{"machines hang", "machines cut off", "machines mute", "machines deaf"}[seed%4])(sim, seed, 20*second)
			sim.cancelRunningJobs(6)
		})
		sim.after(15*second+time.Duration(seed*300)*ms, func() { faultNamed([]string{"leader crashes", "owner crashes"}[seed/2%2])(sim, seed, 10*second) })
		return func() bool { return full && sim.cancelledBetween(15*second, 40*second) > 0 }
	}},
	{"jobs are called off while work changes hands", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 40*second)
		sim.after(20*second, func() {
			faultNamed([]string{"owner crashes", "owner refused", "workers cut from the owner", "owner apart"}[seed%4])(sim, seed, 25*second)
		})
		for i := range 30 {
			sim.after(19*second+time.Duration(i)*600*ms, func() { sim.cancelRunningJobs(1) })
		}
		sim.cancelServicesAt(70 * second)
		return func() bool { return sim.cancelledBetween(19*second, 45*second) > 5 }
	}},
	{"machines are up at once while writes lag, and the leader ends", func(sim *simulation, seed int) func() bool {
		sim.cloud.bootsFast = true
		sim.stateFaults.lateCommitShare = 0.3
		sim.after(40*second, func() { sim.stateFaults.lateCommitShare = 0 })
		sim.submitMixedJobs(20, 10*second)
		for i := range 4 {
			sim.after(time.Duration(3+i*4)*second, func() { faultNamed([]string{"leader back at once", "leader crashes"}[seed%2])(sim, seed%6, 6*second) })
		}
		sim.cancelServicesAt(70 * second)
		return func() bool { return len(sim.cloud.workers) > 1 }
	}},
	{"an old report reaches all as a new leader begins", func(sim *simulation, seed int) func() bool {
		sim.heartbeats.retainedShare = 0.3
		sim.after(60*second, func() { sim.heartbeats.retainedShare = 0 })
		sim.submitMixedJobs(18, 9*second)
		changes := 0
		for i := range 6 {
			sim.after(time.Duration(10+i*7)*second, func() {
				changes += len(sim.heartbeats.retained)
				faultNamed([]string{"leader crashes", "owner crashes", "owner refused"}[(seed+i)%3])(sim, seed%5, 12*second)
			})
		}
		sim.after(30*second, func() { sim.cancelRunningJobs(4) })
		sim.cancelServicesAt(80 * second)
		return func() bool { return changes > 5 }
	}},
	{"one-task jobs come four a second, a quarter is called off", func(sim *simulation, seed int) func() bool {
		sim.stateLimits.writesPerSecond = 25
		sim.settings.Deployment.State.WriteRPS, sim.settings.Deployment.State.RPS = 25, 70
		sim.restart()
		sim.cloud.available = 40
		n := 0
		for i := range 240 {
			job := newJob(jobSpec{id: fmt.Sprintf("wk-%06d", i), team: []string{"red", "blue"}[i%2], tasks: 1, cpus: 1, runTime: time.Duration(2+sim.rng.IntN(6)) * second, spot: true})
			off := time.Duration(0)
			if i%4 == 0 {
				off = time.Duration(300+sim.rng.IntN(4000)) * ms
				n++
			}
			sim.after(time.Duration(i)*250*ms, func() { sim.submitAndPoll(job, off) })
		}
		sim.after(30*second, func() {
			faultNamed([]string{"leader crashes", "owner refused", "outage"}[seed%3])(sim, seed, 12*second)
		})
		return func() bool {
			pages := 0
			for key := range sim.state.keys {
				if len(key) > 9 && key[:9] == "work/0/lo" {
					pages++
				}
			}
			return sim.cancelledBetween(0, 200*second) > n/2 && pages < 2*tuning.LogCompactionPages
		}
	}},
	{"all controllers are away for longer than a lease", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 40*second)
		sim.after(20*second, func() { sim.cancelRunningJobs(3) })
		sim.after(20*second+time.Duration(seed*200)*ms, func() { faultNamed("all are away")(sim, seed, 16*second) })
		sim.after(40*second, func() { sim.cancelRunningJobs(2) })
		sim.cancelServicesAt(80 * second)
		return func() bool { return sim.cancelledBetween(20*second, 60*second) > 0 }
	}},
	{"small jobs end far apart across a change of leader", func(sim *simulation, seed int) func() bool {
		over := 0
		for i := range 12 {
			job := newJob(jobSpec{id: fmt.Sprintf("wk-%06d", i), team: "red", tasks: 2 + i%2, cpus: 1, runTime: 3 * second, runTimeStep: 8 * second, spot: true})
			sim.after(time.Duration(i*700)*ms, func() { sim.submitAndPoll(job, 0) })
		}
		sim.after(14*second, func() {
			for _, job := range sim.jobs {
				if len(job.completed) > 0 && len(job.completed) < job.tasks {
					over++
				}
			}
			faultNamed([]string{"leader crashes", "leader refused", "owner crashes"}[seed%3])(sim, seed, 16*second)
		})
		return func() bool { return over > 0 }
	}},
	{"an order or its answer is held up, and the machine goes on", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 12*second)
		hung := 0
		for i := range 10 {
			sim.after(time.Duration(8+i*4)*second, func() {
				sim.forBusyWorkers(2, seed+i, func(worker *simWorker) { worker.faults.hungUntil, hung = sim.now+time.Duration(2+i%4)*second, hung+1 })
				sim.cancelRunningJobs(1)
			})
		}
		sim.after(10*second, func() { faultNamed("orders held up")(sim, seed, 30*second) })
		sim.cancelServicesAt(80 * second)
		return func() bool { return hung > 5 }
	}},
	{"a zone with a controller is cut off for longer than a lease", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(18, 30*second)
		cut := 0
		sim.after(18*second, func() {
			name := sim.controllers[seed%3].name
			sim.isolate(name, 20*second)
			for _, worker := range sim.cloud.workers {
				if worker.zone == "b" {
					cut++
					worker.faults.onlyController, worker.controllerIndex = seed%3+1, seed%3
					sim.after(20*second, func() { worker.faults.onlyController = 0 })
				}
			}
			sim.cancelRunningJobs(4)
		})
		sim.cancelServicesAt(80 * second)
		return func() bool { return cut > 0 && sim.cancelledBetween(18*second, 60*second) > 0 }
	}},
	{"workers reach no controller while orders reach them", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 30*second)
		sim.after(18*second, func() {
			for _, worker := range sim.cloud.workers {
				worker.faults.muteUntil = sim.now + time.Duration(6+seed*2)*second
			}
			sim.cancelRunningJobs(4)
		})
		sim.cancelServicesAt(80 * second)
		return func() bool { return sim.cancelledBetween(18*second, 60*second) > 0 }
	}},
	{"a question meets the end of a job's last task", func(sim *simulation, seed int) func() bool {
		sim.users.pollClosely = true
		sim.users.cancelAtCompletion = true
		sim.submitMixedJobs(24, 4*second)
		sim.cancelServicesAt(60 * second)
		return func() bool { return sim.cancelledBetween(0, 100*second) > 2 }
	}},
	{"the leader ends while machines with long tasks are out of reach", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 45*second)
		sim.after(18*second, func() {
			faultNamed([]string{"machines cut off", "machines deaf", "machines mute"}[seed%3])(sim, seed, time.Duration(8+seed*2)*second)
			faultNamed("leader crashes")(sim, seed, 8*second)
			faultNamed("owner crashes")(sim, seed, 12*second)
			sim.cancelRunningJobs(3)
		})
		sim.cancelServicesAt(90 * second)
		return func() bool { return sim.cancelledBetween(18*second, 60*second) > 0 }
	}},
	{"the state service is slow, refuses the leader, then everybody", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 60*second)
		sim.after(12*second, func() { sim.stateFaults.latency = time.Duration(20+seed*10) * ms })
		sim.after(20*second, func() {
			faultNamed([]string{"leader refused", "owner refused"}[seed%2])(sim, seed, 10*second)
			sim.cancelRunningJobs(5)
		})
		sim.after(26*second, func() { sim.outageFor(48 * second) })
		sim.after(80*second, func() { sim.stateFaults.latency = 0 })
		sim.cancelServicesAt(110 * second)
		return func() bool { return sim.cancelledBetween(20*second, 30*second) > 0 }
	}},
	{"a leader without state or peers, workers and users still with it", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 40*second)
		sim.after(18*second, func() {
			faultNamed([]string{"leader apart", "owner apart"}[seed%2])(sim, seed, time.Duration(10+seed*4)*second)
		})
		for i := range 10 {
			sim.after(18*second+time.Duration(i)*1500*ms, func() { sim.cancelRunningJobs(1) })
		}
		sim.cancelServicesAt(90 * second)
		return func() bool { return sim.cancelledBetween(18*second, 50*second) > 2 }
	}},
	{"controllers hand over and back, all end, one returns", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(16, 30*second)
		for i := range 4 {
			sim.after(time.Duration(15+i*2)*second, func() { faultNamed("owner crashes")(sim, seed, 2*second) })
		}
		sim.after(24*second, func() {
			faultNamed("all crash, one is back within a second")(sim, seed, 16*second)
			sim.cancelRunningJobs(3)
		})
		sim.cancelServicesAt(90 * second)
		return func() bool { return sim.cancelledBetween(24*second, 60*second) > 0 }
	}},
	{"jobs bound to a zone lose machines", func(sim *simulation, seed int) func() bool {
		dead := 0
		for i := range 10 {
			job := newJob(jobSpec{id: fmt.Sprintf("wk-%06d", i), team: []string{"red", "blue"}[i%2], tasks: 4, cpus: 1, runTime: 12 * second, spot: true})
			switch i % 3 {
			case 0:
				job.zone = "b"
			case 1:
				job.sameZone = true
			case 2:
				job.spread = true
			}
			sim.after(time.Duration(i*500)*ms, func() { sim.submitAndPoll(job, 0) })
		}
		for i := range 4 {
			sim.after(time.Duration(10+i*4)*second, func() {
				sim.forBusyWorkers(1, seed+i, func(worker *simWorker) { worker.die(); dead++ })
				faultNamed([]string{"leader back at once", "owner crashes"}[i%2])(sim, seed%4, 5*second)
			})
		}
		return func() bool { return dead > 1 }
	}},
	{"leaders change ten times in two minutes, also inside an outage", func(sim *simulation, seed int) func() bool {
		sim.submitMixedJobs(18, 25*second)
		changes := map[uint64]bool{}
		for i := range 10 {
			sim.after(time.Duration(12+i*11)*second, func() {
				if controller := sim.leader(); controller != nil {
					changes[controller.node.leases.LeaderToken()] = true
					controller.crash(time.Duration(300+seed*200) * ms)
				}
			})
		}
		sim.after(40*second, func() { sim.outageFor(15 * second) })
		sim.after(45*second, func() { sim.cancelRunningJobs(3) })
		sim.cancelServicesAt(130 * second)
		return func() bool { return len(changes) > 6 }
	}},
}

// TestMeetings plays each of the operators' meetings with several seeds. No rule is
// broken, every node answers about every job within 75 s of the last trouble, and all
// work gets done.
func TestMeetings(t *testing.T) {
	const seeds = 4
	for _, m := range twoFaultScenarios {
		t.Run(m.name, func(t *testing.T) {
			met := 0
			for seed := 1; seed <= seeds; seed++ {
				sim := newSimulation(uint64(seed))
				if seed%2 == 0 {
					sim.settings.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard // several blocks
					sim.restart()
				}
				happened := m.begin(sim, seed)
				sim.after(150*second, func() {
					sim.checker.faultsOverAt = sim.now
					sim.expectAnswersWithin(75 * second)
				})
				sim.run(300 * second)
				if happened() {
					met++
				}
				if t.Run(fmt.Sprint(seed), func(t *testing.T) { sim.checkRulesAndCompletion(t) }); t.Failed() {
					return
				}
			}
			if met <= seeds/2 {
				t.Errorf("the meeting has happened with %d of %d seeds", met, seeds)
			}
		})
	}
}
