package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// recordTaskFailure records the failure of a task on a worker: its job avoids the worker for a
// while, and is paused if it fails again and again. A worker that is likely to be faulty is drained.
func (r *Registry) recordTaskFailure(worker *Worker, task *taskstate.Task) {
	job, now := task.Job, r.runtime.Now()
	if job.Failures.Record(task, now) { // a job may have a hundred thousand tasks
		job.Failures.Completed = job.Failures.Completed || job.HasDoneTask()
		job.Failures.RunsElsewhere = r.runsElsewhere(job, worker)
	}
	worker.recordFailure(job, now)
	r.log.Info("task failed", "worker", worker.ID, "task", task.Name(), "count", worker.ConsecutiveFailures, "rounds", job.Failures.Rounds,
		"avoided_s", max(0, job.Failures.AvoidsUntil(worker.ID)-now).Seconds(), "paused_s", max(0, job.Failures.PausedUntil-now).Seconds())
	r.drainIfFaulty(worker)
}

// recordCompletion records that a task of a job has completed. Workers on which the job has failed
// before may be faulty, since the job is not.
func (r *Registry) recordCompletion(job *taskstate.Job) {
	job.Failures.Completed = true
	for _, workerID := range job.Failures.Workers() {
		if worker := r.workers[workerID]; worker != nil {
			r.drainIfFaulty(worker)
		}
	}
	job.Failures.TaskCompleted()
}

// drainIfFaulty drains a worker that is likely to be faulty.
func (r *Registry) drainIfFaulty(worker *Worker) {
	if r.isLikelyFaulty(worker) && worker.drain(drainReasonFailures) {
		r.log.Warn("worker quarantined after failures", "worker", worker.ID, "count", worker.ConsecutiveFailures, "jobs", len(worker.FailedJobs))
	}
}

// isLikelyFaulty reports whether a worker, and not the jobs whose tasks have failed on it, is the
// likely cause: one of the jobs is sound, or several are not known to fail elsewhere, or there are too
// many for all of them to have been submitted with a mistake.
func (r *Registry) isLikelyFaulty(worker *Worker) bool {
	if worker.ConsecutiveFailures < tuning.FaultyWorkerFailures {
		return false
	}
	credible := 0 // jobs that are not known to fail elsewhere
	for id := range worker.FailedJobs {
		job := r.tasks.Job(id)
		switch {
		case job == nil: // it has ended
			credible++
		case job.Failures.IsSound():
			return true
		case !job.Failures.MayFailEverywhere():
			credible++
		}
	}
	return credible > 1 || len(worker.FailedJobs) >= tuning.FaultyWorkerJobs
}

// runsElsewhere reports whether a task of a job has been running on another worker for longer than
// any of those that have failed: the job probably does not fail everywhere.
func (r *Registry) runsElsewhere(job *taskstate.Job, worker *Worker) bool {
	minRunTime := job.Failures.LongestRun + time.Duration(float64(r.settings.HeartbeatInterval())*tuning.SoundRunHeartbeats)
	for _, task := range job.Tasks {
		if task.State == taskstate.StatePlaced && task.WorkerID != worker.ID && task.Observed.Running &&
			r.runtime.Now()-task.Observed.RunningSince >= minRunTime {
			return true
		}
	}
	return false
}
