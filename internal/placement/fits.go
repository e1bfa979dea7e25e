package placement

import (
	"slices"
	"time"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// Allowed tells whether the job may use a machine at all.
func Allowed(task *taskstate.Task, worker *workers.Worker) bool {
	spec := task.Job.Spec
	return (spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, worker.MachineTypeName)) &&
		(spec.Zone == "" || spec.Zone == worker.Zone) && (task.Zone == "" || task.Zone == worker.Zone) &&
		(spec.Spot || !worker.Spot)
}

// fits tells whether a machine may take a task now, besides what is reserved for gangs.
func fits(task *taskstate.Task, worker *workers.Worker) bool {
	return fitsIn(task, worker, worker.Free().Minus(worker.Reserved))
}

// fitsWithReserved tells whether a machine may take a task now, also where room is reserved
// for gangs.
func fitsWithReserved(task *taskstate.Task, worker *workers.Worker) bool {
	return fitsIn(task, worker, worker.Free())
}

func fitsIn(task *taskstate.Task, worker *workers.Worker, available resource.Vector) bool {
	return task.Job.Spec.Resources().Fits(available) && task.Queue.AvoidWorker != worker.ID && Allowed(task, worker)
}

// couldFit tells whether a machine could take a task if it were empty.
func couldFit(task *taskstate.Task, worker *workers.Worker) bool {
	return worker.MachineType != nil && worker.MachineType.CanRun(task.Job.Spec) && task.Queue.AvoidWorker != worker.ID && Allowed(task, worker)
}

// isBarred tells whether a task may not go to a machine, whatever is free there.
func isBarred(task *taskstate.Task, worker *workers.Worker) bool {
	return task.Queue.AvoidWorker == worker.ID || slices.Contains(task.Tried.Workers, worker.ID) || !Allowed(task, worker)
}

// countThatFit tells how many tasks of a job a machine has room for.
func countThatFit(task *taskstate.Task, worker *workers.Worker) int {
	return task.Job.Spec.Resources().CountIn(worker.Free())
}

// countBesidesReserved tells how many tasks of a job a machine has room for besides what is
// reserved.
func countBesidesReserved(task *taskstate.Task, worker *workers.Worker) int {
	return task.Job.Spec.Resources().CountIn(worker.Free().Minus(worker.Reserved))
}

// countOnEmpty tells how many tasks of a job a machine would have room for if it were empty.
func countOnEmpty(task *taskstate.Task, worker *workers.Worker) int {
	if worker.MachineType == nil {
		return 0
	}
	return task.Job.Spec.Resources().CountIn(worker.MachineType.Resources())
}

// isDue tells whether a task is not paused, after a failure for example.
func isDue(task *taskstate.Task, now time.Duration) bool {
	return now >= task.Queue.NotBefore && now >= task.Job.NotBefore
}

// isUnconstrained tells whether a task may go wherever any other of its job may.
func isUnconstrained(task *taskstate.Task) bool {
	return task.Zone == "" && task.Queue.AvoidWorker == ""
}
