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

// drawLimits draws the drain budget of a team.
func drawLimits(t *rapid.T) settings.DrainLimits {
	return teamBudget(rapid.IntRange(2, 4).Draw(t, "tasks"), float64(rapid.IntRange(2, 6).Draw(t, "cpus")), rapid.IntRange(0, 1).Draw(t, "replicas"))
}

// drawDrainSimulation draws a simulation with drains enabled, and its load.
func drawDrainSimulation(t *rapid.T) *simulation {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
	sim.cloud.available = rapid.IntRange(10, 24).Draw(t, "available")
	if rapid.Bool().Draw(t, "several shards") {
		sim.settings.Deployment.Teams[0].CPUs = 60
	}
	sim.enableDrains(map[string]settings.DrainLimits{"red": drawLimits(t), "blue": drawLimits(t)},
		rapid.IntRange(1, 4).Draw(t, "at once"), float64(rapid.IntRange(0, 10).Draw(t, "wait")))
	sim.network.lossShare = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "loss")
	sim.imageFetchTime = rapid.SampledFrom([]time.Duration{0, 2 * second, 6 * second}).Draw(t, "fetch")
	sim.network.lateShare = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "late")
	sim.submitMixedJobs(rapid.IntRange(6, 18).Draw(t, "jobs"), 100*second)
	gang := newJob(jobSpec{
		id: "wk-000100", team: "red", tasks: 2, cpus: 1, runTime: 200 * second, estimateSeconds: 200, spot: true, gang: true,
		checkpointSeconds: rapid.SampledFrom([]float64{0, 2}).Draw(t, "checkpoint"),
	})
	sim.schedule(2*second, func() { sim.submitAndPoll(gang, 0) })
	return sim
}

// drawnDrains starts the drains of one simulation. Each drain selects machines by the same
// indexes, machineIndexes, from the list of machines that are up when it starts.
type drawnDrains struct {
	sim            *simulation
	replace        bool
	machineIndexes []int
	refused        int // number of starts that were refused
}

// start sends an operator's request to start a drain.
func (d *drawnDrains) start(id string) {
	var machines []string
	all := d.sim.workerIDs(nil)
	for _, pick := range d.machineIndexes {
		if len(all) > 0 && !slices.Contains(machines, all[pick%len(all)]) {
			machines = append(machines, all[pick%len(all)])
		}
	}
	if len(machines) == 0 {
		return
	}
	d.sim.requestDrain(startDrain(id, machines, d.replace), func(response drain.Response) {
		if response.Status == drain.StatusOK {
			return
		}
		// Under faults a controller may process the request late. A machine that it names
		// may be gone by then, or run a gang that no budget allows to be disturbed.
		d.refused++
		if response.Field != "machine" && response.Field != "budget" {
			d.sim.checker.recordViolation(ruleDrainNotAccepted, "start of %s: %+v", id, response)
		}
	})
}

// TestDrainsUnderRandomFaults runs drains with drawn faults and operators' requests, and checks
// that the tasks halted by drains exceed no budget and that no rule is broken.
func TestDrainsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawDrainSimulation(t)
		drains := &drawnDrains{
			sim:            sim,
			replace:        rapid.Bool().Draw(t, "replace"),
			machineIndexes: rapid.SliceOfN(rapid.IntRange(0, 20), 1, 12).Draw(t, "picked"),
		}
		sim.schedule(20*second, func() { drains.start("one") })
		if rapid.Bool().Draw(t, "two drains") {
			sim.schedule(24*second, func() { drains.start("two") })
		}
		verbs := rapid.SliceOfN(rapid.SampledFrom([]drain.Verb{drain.VerbPause, drain.VerbResume, drain.VerbCancel}), 0, 3).Draw(t, "verbs")
		for _, verb := range verbs {
			verbAt := time.Duration(rapid.IntRange(22, 60).Draw(t, "verb at")) * second
			sim.schedule(verbAt, func() { sim.requestDrain(drain.Request{Verb: verb, ID: "one"}, func(drain.Response) {}) })
		}
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			fault := rapid.SampledFrom(faults).Draw(t, "fault")
			begin := time.Duration(rapid.IntRange(18000, 60000).Draw(t, "at")) * millisecond
			duration := time.Duration(rapid.IntRange(2, 30).Draw(t, "span")) * second
			variant := rapid.IntRange(0, 7).Draw(t, "which")
			sim.schedule(begin, func() { fault.inject(sim, injection{variant, duration}) })
		}
		sim.runUntil(100 * second)
		sim.network.lossShare, sim.network.lateShare = 0, 0
		clear(sim.network.partitions)
		sim.cancelServicesAt(0)
		sim.schedule(30*second, func() { sim.expectAnswersWithin(60 * second) })
		sim.runUntil(320 * second)
		checkDrainResult(t, sim, len(verbs) > 0, drains.refused > 0)
	})
}

// checkDrainResult checks the rules at the end of a simulation with drains. If no request
// interrupted the drains, it also checks that no attempt was granted twice and, if all starts
// were accepted, that all machines are gone.
func checkDrainResult(t *rapid.T, sim *simulation, interrupted, refused bool) {
	t.Helper()
	named := sim.drainChecker.namedMachines
	if gone := sim.countGone(slices.Collect(maps.Keys(named))); !interrupted && !refused && gone < len(named) {
		t.Errorf("%d of %d machines are gone, want all; %s", gone, len(named), sim.describeDrains())
	}
	// An attempt is granted at most once unless a drain is cancelled.
	if ref, twice := sim.grantedTwice(); twice && !interrupted {
		t.Errorf("attempt %+v is granted twice, want at most once", ref)
	}
	sim.checkRules(t)
	if sim.checker.starts == 0 {
		t.Error("no task was started")
	}
}
