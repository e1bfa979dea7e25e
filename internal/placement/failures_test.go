package placement

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// failTask takes a task off its machine, on which it has failed, and lets it wait again.
func (f *plannerFixture) failTask(task *taskstate.Task) {
	task.Job.Failures.Record(task, f.now)
	f.Worker(task.WorkerID).RemoveTask(task)
	task.TakeOffWorker()
	f.AddTask(task, f.now)
}

// TestTaskReturnsToTheMachineItFailedOn checks that a task that has failed on a machine is placed on
// another one at once if one has room, and on the same one after a while if there is no other.
func TestTaskReturnsToTheMachineItFailedOn(t *testing.T) {
	for _, machines := range [][]*jobs.MachineType{{small}, {small, small}, {small, large}} {
		fixture := newPlannerFixture(machines...)
		task := fixture.addJob(1, "standard", "x", 2, 1)[0]
		fixture.runRound()
		first := task.WorkerID
		fixture.now += time.Second
		fixture.failTask(task)
		fixture.runRound()
		if len(machines) > 1 {
			if task.State != taskstate.StatePlaced || task.WorkerID == first {
				t.Errorf("of %d machines, after a failure on %s: task %v on %q, want another one", len(machines), first, task.State, task.WorkerID)
			}
			continue
		}
		if task.State == taskstate.StatePlaced {
			t.Errorf("placed on the only machine at once after a failure there")
		}
		fixture.now += tuning.FirstAvoidance
		if fixture.runRound(); task.WorkerID != first {
			t.Errorf("not placed on the only machine %v after a failure there", tuning.FirstAvoidance)
		}
	}
}
