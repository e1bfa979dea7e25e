package controller

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/settings"
)

// drawLimits draws a team's budget.
func drawLimits(t *rapid.T) settings.DrainLimits {
	return teamBudget(rapid.IntRange(2, 4).Draw(t, "tasks"), float64(rapid.IntRange(2, 6).Draw(t, "cpus")), rapid.IntRange(0, 1).Draw(t, "replicas"))
}

// TestDrainsUnderTroubles: whatever happens meanwhile, no budget is exceeded by what
// the drains choose to disturb, and no rule is broken.
func TestDrainsUnderTroubles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.cloud.available = rapid.IntRange(10, 24).Draw(t, "room")
		if rapid.Bool().Draw(t, "several blocks") {
			sim.settings.Deployment.Teams[0].CPUs = 60
		}
		sim.withDrains(map[string]settings.DrainLimits{"red": drawLimits(t), "blue": drawLimits(t)},
			rapid.IntRange(1, 4).Draw(t, "at once"), float64(rapid.IntRange(0, 10).Draw(t, "wait")))
		sim.network.lossShare = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "loss")
		sim.imageFetchTime = rapid.SampledFrom([]time.Duration{0, 2 * second, 6 * second}).Draw(t, "fetch")
		sim.network.lateShare = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "late")
		sim.submitMixedJobs(rapid.IntRange(6, 18).Draw(t, "jobs"), 100*second)
		gang := newJob(jobSpec{
			id: "wk-000100", team: "red", tasks: 2, cpus: 1, runTime: 200 * second, estimateSeconds: 200, spot: true, gang: true,
			checkpointSeconds: rapid.SampledFrom([]float64{0, 2}).Draw(t, "save"),
		})
		sim.after(2*second, func() { sim.submitAndPoll(gang, 0) })
		replace := rapid.Bool().Draw(t, "replace")
		picked := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 12).Draw(t, "picked")
		pick := func() []string {
			all, names, seen := sim.workerIDs(nil), []string{}, map[string]bool{}
			for _, i := range picked {
				if len(all) > 0 && !seen[all[i%len(all)]] {
					seen[all[i%len(all)]] = true
					names = append(names, all[i%len(all)])
				}
			}
			return names
		}
		refused := 0
		start := func(id string) func() {
			return func() {
				names := pick()
				if len(names) == 0 {
					return
				}
				sim.requestDrain(startDrain(id, names, replace), func(response drain.Response) {
					// In time of trouble an operator's request is taken late; a machine that
					// it names may be gone by then, or a gang there that no budget lets go.
					if response.Status != drain.StatusOK {
						refused++
						if response.Field != "machine" && response.Field != "budget" {
							sim.checker.violated(ruleDrainNotAccepted, "start of %s: %+v", id, response)
						}
					}
				})
			}
		}
		sim.after(20*second, start("one"))
		if rapid.Bool().Draw(t, "two drains") {
			sim.after(24*second, start("two"))
		}
		verbs := rapid.SliceOfN(rapid.SampledFrom([]drain.Verb{drain.VerbPause, drain.VerbResume, drain.VerbCancel}), 0, 3).Draw(t, "verbs")
		for _, verb := range verbs {
			at := time.Duration(rapid.IntRange(22, 60).Draw(t, "verb at")) * second
			sim.after(at, func() { sim.requestDrain(drain.Request{Verb: verb, ID: "one"}, func(drain.Response) {}) })
		}
		for range rapid.IntRange(0, 4).Draw(t, "troubles") {
			drawn := rapid.SampledFrom(faults).Draw(t, "trouble")
			at := time.Duration(rapid.IntRange(18000, 60000).Draw(t, "at")) * ms
			span := time.Duration(rapid.IntRange(2, 30).Draw(t, "span")) * second
			which := rapid.IntRange(0, 7).Draw(t, "which")
			sim.after(at, func() { drawn.inject(sim, which, span) })
		}
		sim.run(100 * second)
		sim.network.lossShare, sim.network.lateShare = 0, 0
		clear(sim.network.partitions)
		sim.cancelServicesAt(0)
		sim.after(30*second, func() { sim.expectAnswersWithin(60 * second) })
		sim.run(320 * second)
		if n := sim.countGone(slices.Collect(maps.Keys(sim.drainChecker.namedMachines))); len(verbs) == 0 && refused == 0 && n < len(sim.drainChecker.namedMachines) {
			t.Errorf("%d of %d machines are gone; %s", n, len(sim.drainChecker.namedMachines), sim.describeDrains())
		}
		// Without a cancelled drain an attempt is granted once.
		if ref, twice := sim.grantedTwice(); twice && len(verbs) == 0 {
			t.Errorf("%+v is granted twice", ref)
		}
		sim.checkRules(t)
		if sim.checker.starts == 0 {
			t.Error("nothing ran")
		}
	})
}
