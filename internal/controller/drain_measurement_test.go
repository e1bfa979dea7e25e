package controller

import (
	"fmt"
	"os"
	"testing"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/settings"
)

// meanBootSeconds is the mean boot time of a machine of the simulated cloud.
const meanBootSeconds = 2.5

// drainMeasurement is the measurement of one drain, or of the release of all machines at once.
// TestMeasureDrains prints means over the seeds of a drain, and the maximum of maxDisturbed.
type drainMeasurement struct {
	duration     time.Duration
	halts        int
	maxDisturbed map[string]int
	changes      int
	meanDownTime time.Duration // mean time from a halt until the task runs again
}

// measureDrain drains all machines of a deployment in which each of the teams red and blue runs
// the given number of tasks, one per machine. budget is the number of tasks of each team that
// may be disturbed, atOnce the number of machines drained at once.
func measureDrain(seed uint64, tasks, budget, atOnce int, replace bool) drainMeasurement {
	sim := newSimulation(seed)
	sim.imageFetchTime = 2 * second
	sim.cloud.available = 2 * tasks
	sim.enableDrains(map[string]settings.DrainLimits{"red": teamBudget(budget, 1000, 0), "blue": teamBudget(budget, 1000, 0)}, atOnce, 0)
	sim.startMeasuredJobs(tasks)
	names := sim.workerIDs(hasTasks)
	sim.cloud.available += 2 * tasks
	began := sim.now
	sim.requestDrain(startDrain("a", names, replace), func(drain.Response) {})
	for sim.now < began+time.Hour && (sim.countGone(names) < len(names) || len(sim.drainChecker.disturbed) > 0) {
		sim.runUntil(sim.now + 100*millisecond)
	}
	result := drainMeasurement{duration: sim.now - began, halts: sim.drainChecker.halts, maxDisturbed: sim.drainChecker.maxDisturbed, changes: sim.countDrainChanges()}
	if sim.drainChecker.halts > 0 {
		result.meanDownTime = sim.drainChecker.downTime / time.Duration(sim.drainChecker.halts)
	}
	return result
}

// startMeasuredJobs submits a long job of each team, whose tasks have a machine each, and gives
// them time to start.
func (s *simulation) startMeasuredJobs(tasks int) {
	for i, team := range []string{"red", "blue"} {
		job := newJob(jobSpec{
			id: jobID(i + 1), team: team, tasks: tasks, cpus: 2.3, runTime: 10 * time.Hour, estimateSeconds: 3600, spot: true, urgent: true,
			machineTypes: []string{"small"},
		})
		s.schedule(0, func() { s.submitAndPoll(job, 0) })
	}
	s.runUntil(30 * second)
}

// measureRelease measures the alternative without drains: operators release all machines to the
// cloud at once.
func measureRelease(seed uint64, tasks int) drainMeasurement {
	sim := newSimulation(seed)
	sim.imageFetchTime = 2 * second
	sim.cloud.available = 2 * tasks
	sim.enableDrains(nil, 1, 0)
	sim.startMeasuredJobs(tasks)
	sim.cloud.available += 2 * tasks
	began := sim.now
	for _, worker := range sim.cloud.workers {
		if !worker.dead {
			sim.cloud.endRental(worker)
		}
	}
	lostTasks := 2 * tasks
	for sim.now < began+time.Hour && sim.usedCPUs("red")+sim.usedCPUs("blue") < 2*float64(tasks)*2.3-0.01 {
		sim.runUntil(sim.now + 100*millisecond)
	}
	return drainMeasurement{duration: sim.now - began, halts: lostTasks, maxDisturbed: map[string]int{"red": tasks, "blue": tasks}}
}

// TestMeasureDrains prints the durations of drains. It is a measurement that checks nothing, and
// runs only with LEMONMOOR_MEASURE set.
func TestMeasureDrains(t *testing.T) {
	if os.Getenv("LEMONMOOR_MEASURE") == "" {
		t.Skip("a measurement: set LEMONMOOR_MEASURE to run it")
	}
	fmt.Println("| machines | budget of each team | at once | replace | seconds | least | disturbed at once | halt to run, s | changes a machine |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	const tasks, seeds = 10, 5
	for _, replace := range []bool{false, true} {
		for _, budget := range []int{1, 2, 5} {
			for _, atOnce := range []int{4, 20} {
				var duration, downTime, changes float64
				maxDisturbed := map[string]int{}
				for seed := range uint64(seeds) {
					r := measureDrain(seed+1, tasks, budget, atOnce, replace)
					duration += r.duration.Seconds() / seeds
					downTime += r.meanDownTime.Seconds() / seeds
					changes += float64(r.changes) / (2 * tasks * seeds)
					maxDisturbed["red"], maxDisturbed["blue"] = max(maxDisturbed["red"], r.maxDisturbed["red"]), max(maxDisturbed["blue"], r.maxDisturbed["blue"])
				}
				minDuration := meanBootSeconds + downTime*float64((tasks+budget-1)/budget)
				fmt.Printf("| %d | %d | %d | %v | %.1f | %.1f | %d, %d | %.2f | %.1f |\n", 2*tasks, budget, atOnce, replace, duration, minDuration, maxDisturbed["red"], maxDisturbed["blue"], downTime, changes)
			}
		}
	}
	for seed := range uint64(3) {
		r := measureRelease(seed+1, 10)
		fmt.Printf("| 20 | returned at once | - | - | %.1f | - | %d, %d | - | - |\n", r.duration.Seconds(), r.maxDisturbed["red"], r.maxDisturbed["blue"])
	}
}
