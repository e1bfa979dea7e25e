package workers

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// takeEnded takes in a recorded task that has ended.
func (c *reconciliation) takeEnded(task *taskstate.Task, reported *ReportedTask) {
	registry := c.registry
	loss := taskstate.LossExited
	switch reported.Cause {
	case CauseDone:
		c.takeCompleted(task, reported)
		return
	case CauseError:
		// Whether the others of a gang had started shows in their heartbeats.
		loss = taskstate.LossVanished
		registry.noteTaskFailed(c.worker, task)
	case CauseFull:
		loss = taskstate.LossBeforeWaiting
		c.worker.RefusesUntil = registry.runtime.Now() + tuning.RefusedTaskPause
		task.Queue.NotBefore = registry.runtime.Now() + tuning.RefusedTaskPause/4
	case CauseBusy, CauseUnknown:
		loss = taskstate.LossBeforeWaiting
		task.Queue.NotBefore = registry.runtime.Now() + tuning.RefusedTaskPause
	case CauseHalted:
		if gang := task.Job.Gang; gang != nil && !gang.AttemptOver && task.Halt.Decided {
			loss = taskstate.LossVanished // one that waited was told to leave its machine
		}
	case CauseAlone:
		// Nothing against the machine or the job.
	case CauseMatesGone:
		// Nothing against the machine or the job either; but the gang had started.
		if task.Job.Gang != nil {
			task.Job.Gang.Started = true
		}
	default:
		// A cause not known here proves nothing gone. Forgotten by the worker,
		// the task is off the list, and that does.
		c.forgetIfTokenShown(reported)
		return
	}
	registry.endPlacement(c.worker, task, loss)
	c.forgetIfTokenShown(reported)
}

// takeCompleted takes in a recorded task that is done. Where the record has to say so, the
// worker is told to forget it by a later answer, when that is durable.
func (c *reconciliation) takeCompleted(task *taskstate.Task, reported *ReportedTask) {
	registry := c.registry
	c.worker.noteSuccess()
	task.Job.ConsecutiveFailures = 0
	switch {
	case task.Job.Gang != nil && !task.Job.Cancelled:
		registry.removeTask(c.worker, task)
		registry.tasks.TaskDone(task)
		registry.GangDone(task.Job)
	case task.Job.Spec.IsService():
		// A replica is never done: it starts anew.
		registry.endPlacement(c.worker, task, taskstate.LossExited)
		c.forget(reported)
	case task.Job.Cancelled:
		registry.removeTask(c.worker, task)
		task.State, task.WorkerID = taskstate.StateWaiting, ""
		registry.tasks.DropTask(task)
		c.forget(reported)
	default:
		registry.removeTask(c.worker, task)
		registry.tasks.TaskDone(task)
	}
}

// noteTaskFailed takes note of a failure: workers that fail whatever they start get no more
// tasks, and jobs that fail everywhere are slowed down.
func (r *Registry) noteTaskFailed(worker *Worker, task *taskstate.Task) {
	job := task.Job
	worker.noteFailure(job)
	task.Queue.AvoidWorker = worker.ID
	r.log.Info("task failed", "worker", worker.ID, "task", task.Name(), "count", worker.ConsecutiveFailures)
	job.ConsecutiveFailures++
	if job.ConsecutiveFailures >= tuning.SlowdownFailures {
		doublings := min(job.ConsecutiveFailures-tuning.SlowdownFailures, tuning.MaxFailurePauseDoublings)
		job.NotBefore = r.runtime.Now() + min(tuning.MinFailurePause<<doublings, tuning.MaxFailurePause)
	}
	// With tasks of one job only, the job may be the cause: it is if it fails elsewhere too.
	isWorkersFault := len(worker.FailedJobs) > 1 || job.ConsecutiveFailures < 2*worker.ConsecutiveFailures
	if worker.ConsecutiveFailures >= tuning.FaultyWorkerFailures && isWorkersFault && worker.drain(drainReasonFailures) {
		r.log.Warn("worker quarantined after failures", "worker", worker.ID, "count", worker.ConsecutiveFailures)
	}
}
