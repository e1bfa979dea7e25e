package controller

import (
	"fmt"
	"os"
	"testing"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/settings"
)

// meanBoot is what a machine of the simulated cloud takes to boot, in seconds.
const meanBoot = 2.5

// drainTimes is one row of what TestMeasureDrains prints.
type drainTimes struct {
	took    time.Duration
	halts   int
	most    map[string]int
	changes int
	gap     time.Duration // the mean time from a halt until the task runs again
}

// measureDrain drains all machines of a deployment with so many tasks of red, a part as
// large of blue, and one task to a machine.
func measureDrain(seed uint64, tasks, budget, atOnce int, replace bool) drainTimes {
	w := newWorld(seed)
	w.fetch = 2 * second
	w.cloud.room = 2 * tasks
	w.withDrains(map[string]settings.DrainLimits{"red": limits(budget, 1000, 0), "blue": limits(budget, 1000, 0)}, atOnce, 0)
	for i, team := range []string{"red", "blue"} {
		j := &simJob{
			id: fmt.Sprintf("wk-%06d", i+1), team: team, tasks: tasks, cpus: 2.3, length: 10 * time.Hour, expect: 3600, spot: true, urgent: true,
			builds: []string{"small"}, done: map[int]bool{},
		}
		w.after(0, func() { w.user(j, 0) })
	}
	w.run(30 * second)
	names := w.hosts(func(k *worker) bool { return len(k.tasks) > 0 })
	w.cloud.room += 2 * tasks
	began := w.now
	w.operate(startDrain("a", names, replace), func(drain.Response) {})
	for w.now < began+time.Hour && (w.emptied(names) < len(names) || len(w.drains.disturbed) > 0) {
		w.run(w.now + 100*ms)
	}
	t := drainTimes{took: w.now - began, halts: w.drains.halts, most: w.drains.most, changes: w.drainChanges()}
	if w.drains.halts > 0 {
		t.gap = w.drains.gaps / time.Duration(w.drains.halts)
	}
	return t
}

// measureRelease returns all machines to the cloud at once, as operators would without
// drains.
func measureRelease(seed uint64, tasks int) drainTimes {
	w := newWorld(seed)
	w.fetch = 2 * second
	w.cloud.room = 2 * tasks
	w.withDrains(nil, 1, 0)
	for i, team := range []string{"red", "blue"} {
		j := &simJob{
			id: fmt.Sprintf("wk-%06d", i+1), team: team, tasks: tasks, cpus: 2.3, length: 10 * time.Hour, expect: 3600, spot: true, urgent: true,
			builds: []string{"small"}, done: map[int]bool{},
		}
		w.after(0, func() { w.user(j, 0) })
	}
	w.run(30 * second)
	w.cloud.room += 2 * tasks
	began := w.now
	for _, k := range w.cloud.workers {
		if !k.dead {
			k.released = true
			k.die()
			w.cloud.room++
		}
	}
	lost := 2 * tasks
	for w.now < began+time.Hour && w.used("red")+w.used("blue") < 2*float64(tasks)*2.3-0.01 {
		w.run(w.now + 100*ms)
	}
	return drainTimes{took: w.now - began, halts: lost, most: map[string]int{"red": tasks, "blue": tasks}}
}

// TestMeasureDrains prints how long drains take, with LEMONMOOR_MEASURE set: a
// measurement, not a test.
func TestMeasureDrains(t *testing.T) {
	if os.Getenv("LEMONMOOR_MEASURE") == "" {
		t.Skip("a measurement: set LEMONMOOR_MEASURE")
	}
	fmt.Println("| machines | budget of each team | at once | replace | seconds | least | disturbed at once | halt to run, s | changes a machine |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	const tasks, seeds = 10, 5
	for _, replace := range []bool{false, true} {
		for _, budget := range []int{1, 2, 5} {
			for _, atOnce := range []int{4, 20} {
				var took, gap, changes float64
				most := map[string]int{}
				for seed := range uint64(seeds) {
					r := measureDrain(seed+1, tasks, budget, atOnce, replace)
					took += r.took.Seconds() / seeds
					gap += r.gap.Seconds() / seeds
					changes += float64(r.changes) / (2 * tasks * seeds)
					most["red"], most["blue"] = max(most["red"], r.most["red"]), max(most["blue"], r.most["blue"])
				}
				least := meanBoot + gap*float64((tasks+budget-1)/budget)
				fmt.Printf("| %d | %d | %d | %v | %.1f | %.1f | %d, %d | %.2f | %.1f |\n", 2*tasks, budget, atOnce, replace, took, least, most["red"], most["blue"], gap, changes)
			}
		}
	}
	for seed := range uint64(3) {
		r := measureRelease(seed+1, 10)
		fmt.Printf("| 20 | returned at once | - | - | %.1f | - | %d, %d | - | - |\n", r.took.Seconds(), r.most["red"], r.most["blue"])
	}
}
