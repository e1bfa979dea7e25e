package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// AcceptsTasks tells whether a worker may be given tasks now. One that has left a command
// unanswered gets none before its next heartbeat: what is placed on a machine that is
// partitioned or dead waits there until its lease has expired.
func (r *Registry) AcceptsTasks(worker *Worker) bool {
	now := r.runtime.Now()
	suspectAfter := time.Duration(float64(r.settings.HeartbeatInterval()) * tuning.SuspectHeartbeats)
	return worker.HasReported && !worker.LeaseExpired && !worker.Unreachable && !r.isDraining(worker) && worker.MachineType != nil && worker.UnknownTasks == 0 &&
		worker.Token >= r.lease.Token() && now-worker.LastHeartbeatAt < suspectAfter && now >= worker.RefusesUntil &&
		worker.delivery.unansweredAt <= worker.LastHeartbeatAt && !r.isZonePartitioned(worker.Zone)
}

// PlaceTask gives a waiting task to a worker and has that recorded. The launch leaves once
// the placement is durable, see PlacementDurable.
func (r *Registry) PlaceTask(task *taskstate.Task, worker *Worker) {
	if gang := task.Job.Gang; gang != nil && !worker.HasImage(task.Job.Spec.Image) {
		gang.UncachedPlacements++
	}
	task.PlaceOn(worker.ID)
	task.PlacedAt = r.runtime.Now()
	// Asked for now, so that the verification comes while the placement is committed.
	r.lease.CancellationsVerifiedSince(task.PlacedAt)
	task.Gone.MinToken, task.Gone.Session, task.Gone.AfterSequence = r.lease.Token(), 0, 0
	r.addTask(worker, task)
	r.tasks.TaskChanged(task, true)
}

// PlacementDurable notes that a placement is durable. A gang is launched with the last of
// its placements, all of it.
func (r *Registry) PlacementDurable(task *taskstate.Task) {
	job := task.Job
	if job.Gang == nil {
		r.commandsDueTo(task)
		return
	}
	if !task.Launchable() {
		return
	}
	r.log.Debug("gang placed", "job", job.Spec.ID, "attempt", task.WireAttempt(), "count", len(job.Tasks),
		"uncached", job.Gang.UncachedPlacements, "age_s", r.ageSeconds(job))
	for _, member := range job.Tasks {
		r.commandsDueTo(member)
	}
}

// commandsDueTo has AfterBatch consider a direct message to the worker of a task.
func (r *Registry) commandsDueTo(task *taskstate.Task) {
	if worker := r.workers[task.WorkerID]; worker != nil {
		r.commandsDue[worker] = true
	}
}

// ageSeconds is how long ago a job was submitted.
func (r *Registry) ageSeconds(job *taskstate.Job) float64 {
	return float64(r.runtime.WallClock().UnixMilli()-job.SubmittedMS) / 1000
}

// DiscardTask takes a task that was never launched off its machine; its record is gone.
func (r *Registry) DiscardTask(task *taskstate.Task) {
	if worker := r.workers[task.WorkerID]; worker != nil {
		r.removeTask(worker, task)
	}
}

func (r *Registry) addTask(worker *Worker, task *taskstate.Task) {
	if !task.Observed.HasImage {
		worker.FetchingTasks++
	}
	worker.AddTask(task)
}

func (r *Registry) removeTask(worker *Worker, task *taskstate.Task) {
	if !worker.Tasks[task] {
		return
	}
	worker.RemoveTask(task)
	if len(worker.Tasks) == 0 {
		worker.IdleSince = r.runtime.Now()
	}
	if !task.Observed.HasImage {
		worker.FetchingTasks--
	}
	task.Observed.Running, task.Observed.HasImage = false, false
}

// endPlacement ends a placement: the task is surely not on its machine. How it was lost
// only matters for a gang.
func (r *Registry) endPlacement(worker *Worker, task *taskstate.Task, loss taskstate.Loss) {
	r.removeTask(worker, task)
	task.TakeOffWorker()
	if task.Job.Cancelled {
		r.tasks.DropTask(task)
		return
	}
	if gang := task.Job.Gang; gang != nil {
		if gang.Done {
			r.tasks.TaskDone(task)
			return
		}
		r.gangTaskLost(task, loss)
	}
	r.tasks.TaskChanged(task, false)
	r.scheduler.TaskWaiting(task)
}

// endAllPlacements ends all placements on a machine: none of the tasks is there any more.
func (r *Registry) endAllPlacements(worker *Worker) {
	for task := range worker.Tasks {
		r.endPlacement(worker, task, taskstate.LossVanished)
	}
}
