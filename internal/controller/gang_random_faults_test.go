package controller

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/tuning"
)

// TestGangsUnderFaults plays gangs with little room and troubles around their
// starts: losses of machines before, at and after them, new owners at every step,
// late reports, deaf and hanging machines, zones that are cut off, notices and
// cancellations. No rule is broken, and every gang ends once all is over.
func TestGangsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.heartbeats.lateCopyShare = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "copies")
		sim.network.lateShare = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "late")
		sim.cloud.perKind = rapid.SampledFrom([]int{2, 4}).Draw(t, "machines of a kind")
		if rapid.Bool().Draw(t, "several blocks") {
			sim.settings.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard
			sim.restart()
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "gangs") {
			job := newGang(i, rapid.IntRange(2, 6).Draw(t, "tasks"), rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus"))
			job.checkpointSeconds = rapid.SampledFrom([]float64{0, 2}).Draw(t, "save")
			job.sameZone = rapid.Bool().Draw(t, "one zone")
			job.spread = !job.sameZone && rapid.Bool().Draw(t, "spread")
			job.runTime = time.Duration(rapid.IntRange(500, 15000).Draw(t, "length")) * time.Millisecond
			cancel := time.Duration(0)
			if rapid.IntRange(0, 4).Draw(t, "cancelled") == 0 {
				cancel = time.Duration(rapid.IntRange(100, 20000).Draw(t, "cancel after")) * time.Millisecond
			}
			sim.after(time.Duration(rapid.IntRange(0, 15000).Draw(t, "at"))*time.Millisecond, func() { sim.submitAndPoll(job, cancel) })
		}
		some := func(which int, fn func(worker *simWorker)) {
			if n := len(sim.cloud.workers); n > 0 {
				fn(sim.cloud.workers[which%n])
			}
		}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(1000, 45000).Draw(t, "fault at")) * time.Millisecond
			span := time.Duration(rapid.IntRange(200, 20000).Draw(t, "span")) * time.Millisecond
			which := rapid.IntRange(0, 11).Draw(t, "which")
			kind := rapid.IntRange(0, 8).Draw(t, "kind")
			sim.after(at, func() {
				switch kind {
				case 0:
					some(which, func(worker *simWorker) { worker.die() })
				case 1:
					some(which, func(worker *simWorker) { worker.faults.hungUntil = sim.now + span })
				case 2:
					some(which, func(worker *simWorker) {
						worker.faults.deaf = true
						sim.after(span, func() { worker.faults.deaf = false })
					})
				case 3:
					some(which, func(worker *simWorker) { worker.takeAfterNotice(span) })
				case 4:
					some(which, func(worker *simWorker) { worker.faults.failsTasks = true })
				case 5: // a new owner, within a fraction of a second
					for _, controller := range sim.controllers {
						if controller.node != nil && controller.node.owning() {
							controller.crash(span / 40)
						}
					}
				case 6:
					sim.controllers[which%3].crash(span / 2)
				case 7:
					zone := []string{"a", "b"}[which%2]
					for _, worker := range sim.cloud.workers {
						if worker.zone == zone {
							worker.faults.partitionedUntil = sim.now + span
						}
					}
				case 8: // the last commit of the owner gets no answer
					sim.network.lateShare = 0.3
					sim.after(300*time.Millisecond, func() { sim.network.lateShare = 0 })
				}
			})
		}
		sim.after(66*time.Second, func() { sim.network.lateShare, sim.heartbeats.lateCopyShare = 0, 0 })
		sim.run(280 * time.Second)
		sim.checkRulesAndCompletion(t)
	})
}
