package controller

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomFaultsEnd is the simulated time by which the faults of TestRulesHoldUnderRandomFaults
// have ended, except those of single machines: hangs, failing tasks and reclaim notices may last
// longer.
const randomFaultsEnd = 70 * time.Second

// randomFault is one drawn occurrence of a fault.
type randomFault struct {
	at, duration time.Duration
	variant      int // selects a controller or a machine
}

// controller returns the controller at the given offset from the one that the fault selects.
func (f randomFault) controller(sim *simulation, offset int) *simController {
	return sim.controllers[(f.variant+offset)%len(sim.controllers)]
}

// onWorker schedules fn at the start of the fault for the worker that the fault selects, if there
// is one.
func (f randomFault) onWorker(sim *simulation, fn func(*simWorker)) {
	sim.schedule(f.at, func() {
		if workers := sim.cloud.workers; len(workers) > 0 {
			fn(workers[f.variant%len(workers)])
		}
	})
}

// endAfter returns the end of a fault of the given duration, at most randomFaultsEnd.
func (f randomFault) endAfter(duration time.Duration) time.Duration {
	return min(f.at+duration, randomFaultsEnd)
}

// randomFaults are the kinds of faults; tests draw an index into the table.
var randomFaults = []struct {
	name     string
	schedule func(t *rapid.T, sim *simulation, fault randomFault)
}{
	{"a controller crashes", func(_ *rapid.T, sim *simulation, fault randomFault) {
		sim.schedule(fault.at, func() { fault.controller(sim, 0).crash(fault.duration / 2) })
	}},
	{"all controllers crash", func(_ *rapid.T, sim *simulation, fault randomFault) {
		sim.schedule(fault.at, func() {
			for _, controller := range sim.controllers {
				controller.crash(fault.duration / 2)
			}
		})
	}},
	{"two places are partitioned", func(t *rapid.T, sim *simulation, fault randomFault) {
		places := []string{"node-0", "node-1", "node-2", "state", "cloud", "workers", "users"}
		anyPlace := rapid.SampledFrom(places).Draw(t, "partition a")
		controller := rapid.SampledFrom(places[:3]).Draw(t, "partition b")
		if anyPlace != controller {
			pair := anyPlace + "|" + controller
			sim.schedule(fault.at, func() { sim.network.partitions[pair] = true })
			sim.schedule(fault.endAfter(fault.duration), func() { delete(sim.network.partitions, pair) })
		}
	}},
	{"the state service is down", func(_ *rapid.T, sim *simulation, fault randomFault) {
		sim.schedule(fault.at, func() { sim.stateFaults.outage = true })
		sim.schedule(fault.at+fault.duration/2, func() {
			sim.stateFaults.outage = false
			sim.state.renewAllLeases()
		})
	}},
	{"a machine hangs", func(_ *rapid.T, sim *simulation, fault randomFault) {
		fault.onWorker(sim, func(worker *simWorker) { worker.faults.unresponsiveUntil = sim.now + fault.duration })
	}},
	{"a machine dies, or all its tasks fail", func(_ *rapid.T, sim *simulation, fault randomFault) {
		fault.onWorker(sim, func(worker *simWorker) {
			if fault.variant%2 == 0 {
				worker.faults.failsTasks = true
			} else if !worker.dead {
				worker.die()
			}
		})
	}},
	{"a controller restarts at once, possibly during an election", func(_ *rapid.T, sim *simulation, fault randomFault) {
		sim.schedule(fault.at, func() {
			fault.controller(sim, 0).crash(100 * time.Millisecond)
			if fault.variant > 5 {
				sim.schedule(time.Duration(fault.variant)*100*time.Millisecond, func() { fault.controller(sim, 1).crash(50 * time.Millisecond) })
			}
		})
	}},
	{"a controller reaches only workers, not the state service or peers", func(_ *rapid.T, sim *simulation, fault randomFault) {
		name := fault.controller(sim, 0).name
		others := []string{"state"}
		for _, controller := range sim.controllers {
			if controller.name != name {
				others = append(others, controller.name)
			}
		}
		sim.schedule(fault.at, func() {
			for _, other := range others {
				sim.network.partitions[name+"|"+other] = true
			}
		})
		sim.schedule(fault.endAfter(2*fault.duration), func() {
			for _, other := range others {
				delete(sim.network.partitions, name+"|"+other)
			}
		})
	}},
	{"a worker is unreachable", func(_ *rapid.T, sim *simulation, fault randomFault) {
		fault.onWorker(sim, func(worker *simWorker) {
			worker.faults.inboundBlocked = true
			sim.schedule(fault.endAfter(3*fault.duration)-fault.at, func() { worker.faults.inboundBlocked = false })
		})
	}},
	{"the cloud reclaims a machine after a notice", func(_ *rapid.T, sim *simulation, fault randomFault) {
		fault.onWorker(sim, func(worker *simWorker) { worker.reclaimAfterNotice(time.Duration(fault.variant*2) * time.Second) })
	}},
}

// drawJob draws the job with number i.
func drawJob(t *rapid.T, i int) *simJob {
	job := newJob(jobSpec{
		id:      jobID(i),
		team:    rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
		tasks:   rapid.IntRange(1, 14).Draw(t, "tasks"),
		cpus:    rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus"),
		runTime: time.Duration(rapid.IntRange(200, 9000).Draw(t, "run time")) * time.Millisecond,
		spot:    rapid.Bool().Draw(t, "spot"),
	})
	if rapid.IntRange(0, 2).Draw(t, "gang") == 0 {
		job.gang = true
		job.tasks = rapid.IntRange(1, min(8, int(20/job.cpus))).Draw(t, "gang size")
		job.checkpointSeconds = rapid.SampledFrom([]float64{0, 2}).Draw(t, "checkpoint")
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

// drawCancelAfter draws the time from the submission of a job to its cancellation, 100 to
// limitMS milliseconds. It returns 0 for jobs that are not cancelled; one in oneIn is.
func drawCancelAfter(t *rapid.T, oneIn, limitMS int) time.Duration {
	if rapid.IntRange(0, oneIn-1).Draw(t, "cancelled") > 0 {
		return 0
	}
	return time.Duration(rapid.IntRange(100, limitMS).Draw(t, "cancel after")) * time.Millisecond
}

// drawSimulation draws a simulation and its message faults, which the caller ends at
// randomFaultsEnd.
func drawSimulation(t *rapid.T) *simulation {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
	sim.network.lossShare = rapid.SampledFrom([]float64{0, 0.005, 0.03}).Draw(t, "loss")
	sim.network.lateShare = rapid.SampledFrom([]float64{0, 0.003, 0.02}).Draw(t, "late")
	sim.network.repeatShare = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "repeat")
	sim.imageFetchTime = rapid.SampledFrom([]time.Duration{0, 2 * time.Second, 5 * time.Second}).Draw(t, "fetch")
	sim.heartbeats.lateCopyShare = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late copies")
	sim.commandCopies.share = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "copies of commands")
	if rapid.Bool().Draw(t, "several shards") {
		sim.useTwoShards()
	}
	if rapid.IntRange(0, 3).Draw(t, "limited writes") == 0 {
		sim.limitWrites(15)
		sim.restart()
	}
	return sim
}

// TestRulesHoldUnderRandomFaults runs simulations with drawn jobs and faults and checks every
// rule of PROTOCOL, and that all work is done after the faults have ended.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t)
		for i := range rapid.IntRange(2, 8).Draw(t, "jobs") {
			job := drawJob(t, i)
			cancelAfter := drawCancelAfter(t, 4, 15000)
			sim.schedule(time.Duration(rapid.IntRange(0, 50).Draw(t, "at"))*time.Second, func() { sim.submitAndPoll(job, cancelAfter) })
		}
		for range rapid.IntRange(0, 7).Draw(t, "faults") {
			fault := randomFault{
				at:       time.Duration(rapid.IntRange(500, 60000).Draw(t, "fault at")) * time.Millisecond,
				duration: time.Duration(rapid.IntRange(300, 20000).Draw(t, "span")) * time.Millisecond,
				variant:  rapid.IntRange(0, 11).Draw(t, "which"),
			}
			randomFaults[rapid.IntRange(0, len(randomFaults)-1).Draw(t, "kind")].schedule(t, sim, fault)
		}
		sim.schedule(randomFaultsEnd, func() {
			sim.network.lossShare, sim.network.lateShare, sim.network.repeatShare, sim.heartbeats.lateCopyShare = 0, 0, 0, 0
			sim.expectAnswersWithin(60 * time.Second)
		})
		sim.runUntil(260 * time.Second)
		sim.checkRules(t)
		for _, job := range sim.jobs {
			if !job.accepted {
				t.Errorf("%s is not accepted after 260 s", job.id)
			} else if !job.ended() {
				sim.dump()
				t.Errorf("%s has not ended after 260 s: %d of %d tasks done", job.id, len(job.completed), job.tasks)
			}
		}
	})
}

// TestRandomFaultsTogether draws two to four faults of the table faults, each of which begins at
// most 4 s after the one before so that they may overlap, and checks the rules and that all
// work is done.
func TestRandomFaultsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		if rapid.Bool().Draw(t, "several shards") {
			sim.useTwoShards()
		}
		sim.imageFetchTime = rapid.SampledFrom([]time.Duration{0, 2 * second, 5 * second}).Draw(t, "fetch")
		sim.users.burstQueries = rapid.Bool().Draw(t, "poll closely")
		sim.cloud.bootsFast = rapid.Bool().Draw(t, "boots fast")
		sim.users.cancelAtCompletion = rapid.IntRange(0, 3).Draw(t, "cancel at completion") == 0
		sim.submitMixedJobs(rapid.IntRange(6, 16).Draw(t, "jobs"), time.Duration(rapid.IntRange(5, 50).Draw(t, "run time"))*second)
		begin := time.Duration(rapid.IntRange(8000, 20000).Draw(t, "at")) * millisecond
		for range rapid.IntRange(2, 4).Draw(t, "faults") {
			fault := faults[rapid.IntRange(0, len(faults)-1).Draw(t, "which fault")]
			variant := rapid.IntRange(0, 7).Draw(t, "which")
			duration := time.Duration(rapid.IntRange(500, 50000).Draw(t, "for")) * millisecond
			sim.schedule(begin, func() { fault.inject(sim, injection{variant, duration}) })
			begin += time.Duration(rapid.IntRange(0, 4000).Draw(t, "later")) * millisecond
		}
		sim.cancelServicesAt(110 * second)
		sim.schedule(150*second, func() { sim.startRecoveryChecks() })
		sim.runUntil(330 * second)
		sim.checkRulesAndCompletion(t)
	})
}
