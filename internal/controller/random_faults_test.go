package controller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/tuning"
)

// jobFor draws a job.
func drawJob(t *rapid.T, i int) *simJob {
	job := newJob(jobSpec{
		id:      fmt.Sprintf("wk-%06d", i),
		team:    rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
		tasks:   rapid.IntRange(1, 14).Draw(t, "tasks"),
		cpus:    rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus"),
		runTime: time.Duration(rapid.IntRange(200, 9000).Draw(t, "length")) * time.Millisecond,
		spot:    rapid.Bool().Draw(t, "spot"),
	})
	if rapid.IntRange(0, 2).Draw(t, "gang") == 0 {
		job.gang = true
		job.tasks = rapid.IntRange(1, min(8, int(20/job.cpus))).Draw(t, "mates")
		job.checkpointSeconds = rapid.SampledFrom([]float64{0, 2}).Draw(t, "save")
	}
	switch rapid.IntRange(0, 5).Draw(t, "place") {
	case 0:
		job.zone = "b"
	case 1:
		job.spread = true
	case 2:
		job.sameZone = true
	}
	return job
}

// TestRulesHoldUnderFaults plays days with generated jobs and faults and checks
// every rule of the protocol; once the faults are over, all work must get done.
func TestRulesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.network.lossShare = rapid.SampledFrom([]float64{0, 0.005, 0.03}).Draw(t, "loss")
		sim.network.lateShare = rapid.SampledFrom([]float64{0, 0.003, 0.02}).Draw(t, "late")
		sim.network.repeatShare = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "repeat")
		sim.imageFetchTime = rapid.SampledFrom([]time.Duration{0, 2 * time.Second, 5 * time.Second}).Draw(t, "fetch")
		sim.heartbeats.lateCopyShare = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "copies")
		if rapid.Bool().Draw(t, "several blocks") {
			sim.settings.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard
			sim.restart()
		}
		if rapid.IntRange(0, 3).Draw(t, "scarce changes") == 0 {
			sim.stateLimits.writesPerSecond = 15
			sim.settings.Deployment.State.WriteRPS = 15
			sim.restart()
		}
		const faultsEnd = 70 * time.Second
		for i := range rapid.IntRange(2, 8).Draw(t, "jobs") {
			job := drawJob(t, i)
			cancel := time.Duration(0)
			if rapid.IntRange(0, 3).Draw(t, "cancelled") == 0 {
				cancel = time.Duration(rapid.IntRange(100, 15000).Draw(t, "cancel after")) * time.Millisecond
			}
			sim.after(time.Duration(rapid.IntRange(0, 50).Draw(t, "at"))*time.Second, func() { sim.submitAndPoll(job, cancel) })
		}
		places := []string{"node-0", "node-1", "node-2", "state", "cloud", "workers", "users"}
		for range rapid.IntRange(0, 7).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(500, 60000).Draw(t, "fault at")) * time.Millisecond
			span := time.Duration(rapid.IntRange(300, 20000).Draw(t, "span")) * time.Millisecond
			which := rapid.IntRange(0, 11).Draw(t, "which")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 9: // the cloud takes a machine, with a notice
				sim.after(at, func() {
					if n := len(sim.cloud.workers); n > 0 {
						sim.cloud.workers[which%n].takeAfterNotice(time.Duration(which*2) * time.Second)
					}
				})
			case 0:
				sim.after(at, func() { sim.controllers[which%3].crash(span / 2) })
			case 1:
				sim.after(at, func() {
					for _, controller := range sim.controllers {
						controller.crash(span / 2)
					}
				})
			case 2:
				a := rapid.SampledFrom(places).Draw(t, "cut a")
				b := rapid.SampledFrom(places[:3]).Draw(t, "cut b")
				if a != b {
					sim.after(at, func() { sim.network.partitions[a+"|"+b] = true })
					sim.after(min(at+span, faultsEnd), func() { delete(sim.network.partitions, a+"|"+b) })
				}
			case 3:
				sim.after(at, func() { sim.stateFaults.outage = true })
				sim.after(at+span/2, func() {
					sim.stateFaults.outage = false
					sim.state.renewAllLeases()
				})
			case 4:
				sim.after(at, func() {
					if n := len(sim.cloud.workers); n > 0 {
						sim.cloud.workers[which%n].faults.hungUntil = sim.now + span
					}
				})
			case 6: // back at once, perhaps in the middle of an election
				sim.after(at, func() {
					sim.controllers[which%3].crash(100 * time.Millisecond)
					if which > 5 {
						sim.after(time.Duration(which)*100*time.Millisecond, func() { sim.controllers[(which+1)%3].crash(50 * time.Millisecond) })
					}
				})
			case 7: // no state service and no peers, but workers
				name := places[which%3]
				set := func(on bool) func() {
					return func() {
						for _, o := range append([]string{"state"}, places[:3]...) {
							if on && o != name {
								sim.network.partitions[name+"|"+o] = true
							} else {
								delete(sim.network.partitions, name+"|"+o)
							}
						}
					}
				}
				sim.after(at, set(true))
				sim.after(min(at+2*span, faultsEnd), set(false))
			case 8: // reports arrive, answers and orders do not
				sim.after(at, func() {
					if n := len(sim.cloud.workers); n > 0 {
						worker := sim.cloud.workers[which%n]
						worker.faults.deaf = true
						sim.after(min(at+3*span, faultsEnd)-at, func() { worker.faults.deaf = false })
					}
				})
			case 5:
				sim.after(at, func() {
					if n := len(sim.cloud.workers); n > 0 {
						worker := sim.cloud.workers[which%n]
						if which%2 == 0 {
							worker.faults.failsTasks = true
						} else if !worker.dead {
							worker.die()
						}
					}
				})
			}
		}
		sim.after(faultsEnd, func() {
			sim.network.lossShare, sim.network.lateShare, sim.network.repeatShare, sim.heartbeats.lateCopyShare = 0, 0, 0, 0
			sim.expectAnswersWithin(60 * time.Second)
		})
		sim.run(260 * time.Second)
		sim.checkRules(t)
		for _, job := range sim.jobs {
			if !job.accepted {
				t.Errorf("%s was never accepted", job.id)
			} else if job.reportedPhase == "" {
				sim.dump()
				t.Errorf("%s is not over: %d of %d tasks done", job.id, len(job.completed), job.tasks)
			}
		}
	})
}

// TestTroublesInPairs draws two or three troubles that fall together, and perhaps a
// third that comes as they end.
func TestTroublesInPairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		if rapid.Bool().Draw(t, "several blocks") {
			sim.settings.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard
			sim.restart()
		}
		sim.imageFetchTime = rapid.SampledFrom([]time.Duration{0, 2 * second, 5 * second}).Draw(t, "fetch")
		sim.users.pollClosely = rapid.Bool().Draw(t, "close looks")
		sim.cloud.bootsFast = rapid.Bool().Draw(t, "swift")
		sim.users.cancelAtCompletion = rapid.IntRange(0, 3).Draw(t, "called off at the end") == 0
		sim.submitMixedJobs(rapid.IntRange(6, 16).Draw(t, "jobs"), time.Duration(rapid.IntRange(5, 50).Draw(t, "length"))*second)
		at := time.Duration(rapid.IntRange(8000, 20000).Draw(t, "at")) * ms
		for range rapid.IntRange(2, 4).Draw(t, "troubles") {
			drawn := faults[rapid.IntRange(0, len(faults)-1).Draw(t, "which trouble")]
			which := rapid.IntRange(0, 7).Draw(t, "which")
			d := time.Duration(rapid.IntRange(500, 50000).Draw(t, "for")) * ms
			sim.after(at, func() { drawn.inject(sim, which, d) })
			at += time.Duration(rapid.IntRange(0, 4000).Draw(t, "later")) * ms
		}
		sim.cancelServicesAt(110 * second)
		sim.after(150*second, func() {
			sim.checker.faultsOverAt = sim.now
			sim.expectAnswersWithin(75 * second)
		})
		sim.run(330 * second)
		sim.checkRulesAndCompletion(t)
	})
}
