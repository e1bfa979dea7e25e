package controller

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// gangFault is one drawn occurrence of a fault of TestGangsUnderRandomFaults.
type gangFault struct {
	duration time.Duration
	variant  int // selects a controller, a machine or a zone
}

// onWorker calls fn for the worker that the fault selects, if there is one.
func (f gangFault) onWorker(sim *simulation, fn func(*simWorker)) {
	if workers := sim.cloud.workers; len(workers) > 0 {
		fn(workers[f.variant%len(workers)])
	}
}

// gangFaults are the kinds of faults injected around the starts of gangs; the test draws an
// index into the table.
var gangFaults = []struct {
	name   string
	inject func(sim *simulation, fault gangFault)
}{
	{"a machine dies", func(sim *simulation, fault gangFault) {
		fault.onWorker(sim, func(worker *simWorker) { worker.die() })
	}},
	{"a machine hangs", func(sim *simulation, fault gangFault) {
		fault.onWorker(sim, func(worker *simWorker) { worker.faults.unresponsiveUntil = sim.now + fault.duration })
	}},
	{"a worker is unreachable", func(sim *simulation, fault gangFault) {
		fault.onWorker(sim, func(worker *simWorker) {
			worker.faults.inboundBlocked = true
			sim.schedule(fault.duration, func() { worker.faults.inboundBlocked = false })
		})
	}},
	{"the cloud reclaims a machine after a notice", func(sim *simulation, fault gangFault) {
		fault.onWorker(sim, func(worker *simWorker) { worker.reclaimAfterNotice(fault.duration) })
	}},
	{"all tasks fail on a machine", func(sim *simulation, fault gangFault) {
		fault.onWorker(sim, func(worker *simWorker) { worker.faults.failsTasks = true })
	}},
	{"owners restart within a fraction of a second", func(sim *simulation, fault gangFault) {
		for _, controller := range sim.controllers {
			if controller.node != nil && controller.node.ownsShard() {
				controller.crash(fault.duration / 40)
			}
		}
	}},
	{"a controller crashes", func(sim *simulation, fault gangFault) {
		sim.controllers[fault.variant%len(sim.controllers)].crash(fault.duration / 2)
	}},
	{"a zone is partitioned", func(sim *simulation, fault gangFault) {
		zone := []string{"a", "b"}[fault.variant%2]
		for _, worker := range sim.cloud.workers {
			if worker.zone == zone {
				worker.faults.partitionedUntil = sim.now + fault.duration
			}
		}
	}},
	{"requests are executed late for 300 ms, including the owner's last commit", func(sim *simulation, _ gangFault) {
		sim.network.lateShare = 0.3
		sim.schedule(300*time.Millisecond, func() { sim.network.lateShare = 0 })
	}},
}

// drawGang draws the gang with number i.
func drawGang(t *rapid.T, i int) *simJob {
	job := newGang(i, rapid.IntRange(2, 6).Draw(t, "tasks"), rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus"))
	job.checkpointSeconds = rapid.SampledFrom([]float64{0, 2}).Draw(t, "checkpoint")
	job.sameZone = rapid.Bool().Draw(t, "one zone")
	job.spread = !job.sameZone && rapid.Bool().Draw(t, "spread")
	job.runTime = time.Duration(rapid.IntRange(500, 15000).Draw(t, "run time")) * time.Millisecond
	return job
}

// TestGangsUnderRandomFaults runs gangs with little capacity and faults around their starts:
// machines lost before, at and after the start, owner changes at every step, late heartbeats,
// unreachable and hanging machines, partitioned zones, reclaim notices and cancellations. It
// checks that no rule is broken and that every gang ends after the faults.
func TestGangsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.heartbeats.lateCopyShare = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late copies")
		sim.network.lateShare = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "late")
		sim.cloud.availablePerKind = rapid.SampledFrom([]int{2, 4}).Draw(t, "machines of a kind")
		if rapid.Bool().Draw(t, "several shards") {
			sim.useTwoShards()
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "gangs") {
			job := drawGang(t, i)
			cancelAfter := drawCancelAfter(t, 5, 20000)
			sim.schedule(time.Duration(rapid.IntRange(0, 15000).Draw(t, "at"))*time.Millisecond, func() { sim.submitAndPoll(job, cancelAfter) })
		}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			begin := time.Duration(rapid.IntRange(1000, 45000).Draw(t, "fault at")) * time.Millisecond
			fault := gangFault{
				duration: time.Duration(rapid.IntRange(200, 20000).Draw(t, "span")) * time.Millisecond,
				variant:  rapid.IntRange(0, 11).Draw(t, "which"),
			}
			kind := rapid.IntRange(0, len(gangFaults)-1).Draw(t, "kind")
			sim.schedule(begin, func() { gangFaults[kind].inject(sim, fault) })
		}
		sim.schedule(66*time.Second, func() { sim.network.lateShare, sim.heartbeats.lateCopyShare = 0, 0 })
		sim.runUntil(280 * time.Second)
		sim.checkRulesAndCompletion(t)
	})
}
