package placement

import (
	"slices"
	"time"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// Allowed reports whether a task may run on a machine by its job's machine types, by the
// zones of the job and the task, and by whether the job may use spot machines.
func Allowed(task *taskstate.Task, worker *workers.Worker) bool {
	spec := task.Job.Spec
	return (spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, worker.MachineTypeName)) &&
		(spec.Zone == "" || spec.Zone == worker.Zone) && (task.Zone == "" || task.Zone == worker.Zone) &&
		(spec.Spot || !worker.Spot)
}

// fits reports whether a task can be placed on a machine now. The room that is reserved for gangs is
// left to them, unless the task has waited for as long as work may wait beside room.
func fits(task *taskstate.Task, worker *workers.Worker, now time.Duration) bool {
	if now-task.Queue.EnqueuedAt >= tuning.StarvedAfter {
		return fitsWithReserved(task, worker, now)
	}
	return fitsIn(task, worker, worker.Free().Minus(worker.Reserved), now)
}

// fitsWithReserved reports whether a task can be placed on a machine now, including in the
// room that is reserved for gangs.
func fitsWithReserved(task *taskstate.Task, worker *workers.Worker, now time.Duration) bool {
	return fitsIn(task, worker, worker.Free(), now)
}

// fitsIn reports whether a task can be placed now on a machine of which the given resources are
// available.
func fitsIn(task *taskstate.Task, worker *workers.Worker, available resource.Vector, now time.Duration) bool {
	return task.Job.Spec.Resources().Fits(available) && !isExcluded(task, worker, now)
}

// couldFit reports whether a task could be placed on a machine now if the machine were empty.
func couldFit(task *taskstate.Task, worker *workers.Worker, now time.Duration) bool {
	return worker.MachineType != nil && worker.MachineType.CanRun(task.Job.Spec) && !isExcluded(task, worker, now)
}

// isExcluded reports whether a task must not be placed on a machine now, regardless of free
// resources: its job does not allow the machine or avoids it after failures, or the task is a
// gang's that has been on it in this attempt.
func isExcluded(task *taskstate.Task, worker *workers.Worker, now time.Duration) bool {
	return !Allowed(task, worker) || task.Job.Failures.Avoids(worker.ID, now) || slices.Contains(task.Tried.Workers, worker.ID)
}

// countThatFit returns how many tasks of a job fit on a machine now, including in room that
// is reserved.
func countThatFit(task *taskstate.Task, worker *workers.Worker) int {
	return task.Job.Spec.Resources().CountIn(worker.Free())
}

// countThatFitUnreserved returns how many tasks of a job fit on a machine now without using
// reserved room.
func countThatFitUnreserved(task *taskstate.Task, worker *workers.Worker) int {
	return task.Job.Spec.Resources().CountIn(worker.Free().Minus(worker.Reserved))
}

// countThatFitEmpty returns how many tasks of a job would fit on a machine if it were empty.
func countThatFitEmpty(task *taskstate.Task, worker *workers.Worker) int {
	if worker.MachineType == nil {
		return 0
	}
	return task.Job.Spec.Resources().CountIn(worker.MachineType.Resources())
}

// isDue reports whether a task may start now. A task is paused after a failure, for example.
func isDue(task *taskstate.Task, now time.Duration) bool {
	return now >= task.Queue.NotBefore && now >= task.Job.NotBefore && !task.Job.Failures.IsPaused(now)
}

// isUnconstrained reports whether a task has no placement constraint beyond those of its job, since
// no zone is fixed for it.
func isUnconstrained(task *taskstate.Task) bool { return task.Zone == "" }
