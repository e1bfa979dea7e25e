package controller

import (
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
)

// TestQuietDayStartsEachTaskOnce: without faults everything runs once.
func TestQuietDayStartsEachTaskOnce(t *testing.T) {
	sim := newSimulation(1)
	total := 0
	for i := range 6 {
		job := newJob(jobSpec{id: jobID(i), team: "red", tasks: 5, cpus: 2, runTime: 3 * time.Second, spot: true})
		total += job.tasks
		sim.schedule(time.Duration(i)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	sim.runUntil(90 * time.Second)
	sim.checkRules(t)
	sim.checkAllDone(t)
	if sim.checker.starts != total {
		t.Errorf("%d starts for %d tasks", sim.checker.starts, total)
	}
	alive := 0
	for _, worker := range sim.cloud.workers {
		if !worker.released {
			alive++
		}
	}
	if alive > 0 {
		t.Errorf("%d machines still rented long after the last task", alive)
	}
}

// TestLargeJobStartsDespiteUrgentFlood: a large job whose team is crowded out by a flood of
// urgent work begins within four minutes all the same.
func TestLargeJobStartsDespiteUrgentFlood(t *testing.T) {
	sim := newSimulation(5)
	big := newJob(jobSpec{id: "wk-900000", team: "red", tasks: 6, cpus: 4, runTime: 20 * time.Second, spot: true})
	sim.schedule(20*time.Second, func() { sim.submitAndPoll(big, 0) })
	for i := range 150 {
		job := newJob(jobSpec{id: jobID(i), team: "blue", tasks: 20, cpus: 2, runTime: 8 * time.Second, spot: true, urgent: true})
		if i%2 == 0 {
			job.team = "red"
		}
		sim.schedule(time.Duration(i)*1500*time.Millisecond, func() { sim.submitAndPoll(job, 0) })
	}
	sim.runUntil(262 * time.Second)
	sim.checkRules(t)
	if big.startedAt == 0 {
		sim.dump()
	}
	if big.startedAt == 0 || big.startedAt > 260*time.Second {
		t.Errorf("the large job began at %v", big.startedAt)
	}
}

// TestDeafMachineGetsFewTasksAndIsReturned: a machine whose heartbeats arrive but which
// hears nothing gets no stream of tasks; those that it had run elsewhere, and it is
// returned.
func TestDeafMachineGetsFewTasksAndIsReturned(t *testing.T) {
	sim := newSimulation(6)
	for i := range 12 {
		job := newJob(jobSpec{id: jobID(i), team: "red", tasks: 6, cpus: 1, runTime: 3 * time.Second, spot: true})
		sim.schedule(time.Duration(i*5)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	var worker *simWorker
	sim.schedule(12*time.Second, func() {
		worker = sim.cloud.workers[0]
		worker.faults.inboundBlocked = true
	})
	sim.runUntil(100 * time.Second)
	sim.checkRules(t)
	sim.checkAllDone(t)
	if worker == nil || !worker.released {
		t.Error("the machine is still rented")
	}
	most := uint64(0)
	for _, controller := range sim.controllers {
		controller.node.taskStates.EachRecord(func(record *taskstate.Record) {
			for _, status := range record.Statuses {
				most = max(most, status.Attempt)
			}
		})
	}
	if most > 6 {
		t.Errorf("a task was dispatched %d times", most)
	}
}
