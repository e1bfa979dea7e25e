package controller

import (
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
)

// TestEachTaskStartsOnceWithoutFaults checks that without faults each task starts once and
// that all machines are released after the last task.
func TestEachTaskStartsOnceWithoutFaults(t *testing.T) {
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
		t.Errorf("%d task starts, want %d: one per task", sim.checker.starts, total)
	}
	alive := 0
	for _, worker := range sim.cloud.workers {
		if !worker.released {
			alive++
		}
	}
	if alive > 0 {
		t.Errorf("%d machines are still rented at 90 s, long after the last task; want 0", alive)
	}
}

// TestLargeJobStartsDespiteUrgentFlood checks that a large job starts within four minutes of
// its submission while a flood of urgent jobs competes for its team's capacity.
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
		t.Errorf("the large job started at %v (0: never), want at most 260s", big.startedAt)
	}
}

// TestUnreachableMachineGetsFewTasksAndIsReleased checks a machine whose heartbeats arrive
// while answers and commands to it are lost: it is released, its tasks run on other machines, and
// it is not assigned one task after another, so that no task is dispatched more than six times.
func TestUnreachableMachineGetsFewTasksAndIsReleased(t *testing.T) {
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
		t.Error("the unreachable machine is not released after 88 s")
	}
	maxAttempt := uint64(0)
	for _, controller := range sim.controllers {
		controller.node.taskStates.EachRecord(func(record *taskstate.Record) {
			for _, status := range record.Statuses {
				maxAttempt = max(maxAttempt, status.Attempt)
			}
		})
	}
	if maxAttempt > 6 {
		t.Errorf("a task was dispatched %d times, want at most 6", maxAttempt)
	}
}
