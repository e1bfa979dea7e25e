package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/settings"
)

func limits(tasks int, cpus float64, replicas int) settings.DrainLimits {
	return settings.DrainLimits{Tasks: &tasks, CPUs: &cpus, ReplicasUp: &replicas}
}

// drainWorld is a deployment with drains on and so many long tasks of each team.
func drainWorld(seed uint64, tasks int, change func(*simJob)) *world {
	w := newWorld(seed)
	w.cloud.room = 30
	w.withDrains(map[string]settings.DrainLimits{"red": limits(2, 2, 1), "blue": limits(1, 4, 1)}, 3, 0)
	for i, team := range []string{"red", "blue"} {
		j := &simJob{id: fmt.Sprintf("wk-%06d", i+1), team: team, tasks: tasks, cpus: 1, length: time.Hour, expect: 3600, spot: true, done: map[int]bool{}}
		if change != nil {
			change(j)
		}
		w.after(0, func() { w.user(j, 0) })
	}
	w.run(25 * second)
	return w
}

func (w *world) verify(t interface{ Error(...any) }) {
	for _, b := range w.broken {
		t.Error(b)
	}
}

func startDrain(id string, names []string, replace bool) drain.Request {
	return drain.Request{Verb: drain.VerbStart, ID: id, Selection: drain.Selection{Machines: names}, Replace: replace}
}

// TestDrainEmptiesAllMachines: every machine is emptied and replaced, within the
// budgets, and the work runs on.
func TestDrainEmptiesAllMachines(t *testing.T) {
	for _, replace := range []bool{false, true} {
		w := drainWorld(1, 10, nil)
		names := w.hosts(hasTasks)
		w.operate(startDrain("rack-1", names, replace), func(r drain.Response) {
			if r.Status != drain.StatusOK {
				t.Errorf("start: %+v", r)
			}
		})
		w.run(w.now + 240*second)
		if n := w.emptied(names); n != len(names) || w.drains.halts < 20 {
			t.Errorf("replace %v: %d of %d machines are gone after %d halts", replace, n, len(names), w.drains.halts)
		}
		if w.used("red") != 10 || w.used("blue") != 10 {
			t.Errorf("replace %v: %g and %g tasks run on", replace, w.used("red"), w.used("blue"))
		}
		w.verify(t)
		// Each machine is closed and released, with a replacement also asked for and
		// named; each grant is made and removed; head, pages and their end take a few.
		most := 2*len(names) + 2*w.drains.halts + 8
		if replace {
			most += 2 * len(names)
		}
		if n := w.drainChanges(); n > most {
			t.Errorf("replace %v: %d changes for %d machines and %d halts", replace, n, len(names), w.drains.halts)
		}
		if ref, twice := w.grantedTwice(); twice {
			t.Errorf("replace %v: %+v is granted twice", replace, ref)
		}
		w.operate(drain.Request{Verb: drain.VerbStatus, ID: "rack-1"}, func(r drain.Response) {
			if len(r.Drains) != 1 || r.Drains[0].Phase != drain.PhaseDone {
				t.Errorf("status: %+v", r)
			}
		})
		w.run(w.now + 10*second)
	}
}

// drawLimits draws a team's budget.
func drawLimits(t *rapid.T) settings.DrainLimits {
	return limits(rapid.IntRange(2, 4).Draw(t, "tasks"), float64(rapid.IntRange(2, 6).Draw(t, "cpus")), rapid.IntRange(0, 1).Draw(t, "replicas"))
}

// TestDrainsUnderTroubles: whatever happens meanwhile, no budget is exceeded by what
// the drains choose to disturb, and no rule is broken.
func TestDrainsUnderTroubles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.cloud.room = rapid.IntRange(10, 24).Draw(t, "room")
		if rapid.Bool().Draw(t, "several blocks") {
			w.set.Deployment.Teams[0].CPUs = 60
		}
		w.withDrains(map[string]settings.DrainLimits{"red": drawLimits(t), "blue": drawLimits(t)},
			rapid.IntRange(1, 4).Draw(t, "at once"), float64(rapid.IntRange(0, 10).Draw(t, "wait")))
		w.loss = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "loss")
		w.fetch = rapid.SampledFrom([]time.Duration{0, 2 * second, 6 * second}).Draw(t, "fetch")
		w.late = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "late")
		w.fill(rapid.IntRange(6, 18).Draw(t, "jobs"), 100*second)
		gang := &simJob{
			id: "wk-000100", team: "red", tasks: 2, cpus: 1, length: 200 * second, expect: 200, spot: true, gang: true,
			saveEvery: rapid.SampledFrom([]float64{0, 2}).Draw(t, "save"), done: map[int]bool{},
		}
		w.after(2*second, func() { w.user(gang, 0) })
		replace := rapid.Bool().Draw(t, "replace")
		picked := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 12).Draw(t, "picked")
		pick := func() []string {
			all, names, seen := w.hosts(nil), []string{}, map[string]bool{}
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
				w.operate(startDrain(id, names, replace), func(r drain.Response) {
					// In time of trouble an operator's request is taken late; a machine that
					// it names may be gone by then, or a gang there that no budget lets go.
					if r.Status != drain.StatusOK {
						refused++
						if r.Field != "machine" && r.Field != "budget" {
							w.breaks("start of %s: %+v", id, r)
						}
					}
				})
			}
		}
		w.after(20*second, start("one"))
		if rapid.Bool().Draw(t, "two drains") {
			w.after(24*second, start("two"))
		}
		verbs := rapid.SliceOfN(rapid.SampledFrom([]drain.Verb{drain.VerbPause, drain.VerbResume, drain.VerbCancel}), 0, 3).Draw(t, "verbs")
		for _, verb := range verbs {
			at := time.Duration(rapid.IntRange(22, 60).Draw(t, "verb at")) * second
			w.after(at, func() { w.operate(drain.Request{Verb: verb, ID: "one"}, func(drain.Response) {}) })
		}
		for range rapid.IntRange(0, 4).Draw(t, "troubles") {
			x := rapid.SampledFrom(troubles).Draw(t, "trouble")
			at := time.Duration(rapid.IntRange(18000, 60000).Draw(t, "at")) * ms
			span := time.Duration(rapid.IntRange(2, 30).Draw(t, "span")) * second
			which := rapid.IntRange(0, 7).Draw(t, "which")
			w.after(at, func() { x.do(w, which, span) })
		}
		w.run(100 * second)
		w.loss, w.late = 0, 0
		clear(w.cut)
		w.finishAll(0)
		w.after(30*second, func() { w.asked(60 * second) })
		w.run(320 * second)
		if n := w.emptied(slices.Collect(maps.Keys(w.drains.named))); len(verbs) == 0 && refused == 0 && n < len(w.drains.named) {
			t.Errorf("%d of %d machines are gone; %s", n, len(w.drains.named), w.drainViews())
		}
		// Without a cancelled drain an attempt is granted once.
		if ref, twice := w.grantedTwice(); twice && len(verbs) == 0 {
			t.Errorf("%+v is granted twice", ref)
		}
		for _, b := range w.broken {
			t.Error(b)
		}
		if w.starts == 0 {
			t.Error("nothing ran")
		}
	})
}
