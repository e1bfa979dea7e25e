package workers

import (
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
)

// PlaceTask places a waiting task on a worker and has the placement recorded. The launch is
// sent once the placement is durable, see PlacementDurable.
func (r *Registry) PlaceTask(task *taskstate.Task, worker *Worker) {
	if task.State != taskstate.StateWaiting {
		r.metrics.ReportViolation(r.log, metrics.InvariantPlacedOnce, "worker", worker.ID, "task", task.Name(),
			"state", task.State.String(), "placed_on", task.WorkerID, "history", r.history(task.Name()))
		return
	}
	if gang := task.Job.Gang; gang != nil && !worker.HasImage(task.Job.Spec.Image) {
		gang.UncachedPlacements++
	}
	task.PlaceOn(worker.ID)
	task.PlacedAt = r.runtime.Now()
	// Requests the verification now, so that it completes while the placement is committed.
	r.lease.CancellationsVerifiedSince(task.PlacedAt)
	task.Launch.Place(r.lease.Token())
	r.addTask(worker, task)
	r.addStep(worker, task, taskstate.StepPlaced)
	r.tasks.TaskChanged(task, true)
}

// PlacementDurable is called when a placement has become durable, and makes the launch due.
// The launches of a gang become due together, when its last placement is durable.
func (r *Registry) PlacementDurable(task *taskstate.Task) {
	job := task.Job
	if job.Gang == nil {
		r.markCommandsDue(task)
		return
	}
	if !task.Launchable() {
		return
	}
	r.log.Debug("gang placed", "job", job.Spec.ID, "attempt", task.WireAttempt(), "count", len(job.Tasks),
		"uncached", job.Gang.UncachedPlacements, "age_s", r.ageSeconds(job))
	for _, member := range job.Tasks {
		r.markCommandsDue(member)
	}
}

// markCommandsDue makes AfterBatch consider a direct message to the worker of a task.
func (r *Registry) markCommandsDue(task *taskstate.Task) {
	if worker := r.workers[task.WorkerID]; worker != nil {
		r.commandsDue[worker] = true
	}
}

// ageSeconds returns the time since a job was submitted, in seconds.
func (r *Registry) ageSeconds(job *taskstate.Job) float64 {
	return float64(r.runtime.WallClock().UnixMilli()-job.SubmittedMS) / 1000
}

// DiscardTask removes a task from its machine after its record has been deleted. If it was launched,
// it may still be there, and no other attempt of it is launched before that is disproved. A former
// owner, whose lease is not certain, goes by what a later one has recorded.
func (r *Registry) DiscardTask(task *taskstate.Task) {
	worker := r.workers[task.WorkerID]
	if worker == nil {
		return
	}
	if task.Launch.IsSent() && r.lease.LeaseValid() {
		r.metrics.ReportViolation(r.log, metrics.InvariantRecordOutlivesTask, "worker", worker.ID, "task", task.Name(),
			"attempt", task.WireAttempt(), "history", task.History.Text(r.runtime.Now()))
		r.addStray(worker, taskAttempt{task.Name(), task.WireAttempt()}, task.Launch)
	}
	r.takeOff(worker, task, EvidenceRecordRemoved)
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
