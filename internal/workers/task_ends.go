package workers

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// processEnded processes a recorded task that the worker lists as ended.
func (c *reconciliation) processEnded(task *taskstate.Task, reported *ReportedTask) {
	registry := c.registry
	loss := taskstate.LossExited
	switch reported.Cause {
	case CauseDone:
		c.processCompleted(task, reported)
		return
	case CauseError:
		// Whether a gang had started is known from the heartbeats with its other tasks.
		loss = taskstate.LossVanished
		registry.recordTaskFailure(c.worker, task)
	case CauseFull:
		loss = taskstate.LossBeforeWaiting
		c.worker.RefusesUntil = registry.runtime.Now() + tuning.RefusedTaskPause
		task.Queue.NotBefore = registry.runtime.Now() + tuning.RefusedTaskPause/4
	case CauseBusy, CauseUnknown:
		loss = taskstate.LossBeforeWaiting
		task.Queue.NotBefore = registry.runtime.Now() + tuning.RefusedTaskPause
	case CauseHalted:
		if gang := task.Job.Gang; gang != nil && !gang.AttemptOver && task.Halt.Decided {
			loss = taskstate.LossVanished // a waiting task was halted to leave its machine
		}
	case CauseAlone:
		// Counts as a failure of neither the machine nor the job.
	case CauseMatesGone:
		// Counts as a failure of neither the machine nor the job, but shows that the gang
		// had started.
		if task.Job.Gang != nil {
			task.Job.Gang.Started = true
		}
	default:
		// An unknown cause does not prove the task gone. Once the worker has forgotten
		// the task, a heartbeat that does not list it is the proof.
		c.forget(reported)
		return
	}
	registry.endPlacement(c.worker, task, EvidenceExited, loss)
	c.forget(reported)
}

// processCompleted processes a recorded task that the worker lists as done. If the completion
// has to be recorded, the forget command is sent with a later answer, once the record is
// durable.
func (c *reconciliation) processCompleted(task *taskstate.Task, reported *ReportedTask) {
	registry := c.registry
	c.worker.recordSuccess(task)
	registry.recordCompletion(task.Job)
	if task.Job.Spec.IsService() && task.Job.Gang == nil {
		// A replica of a service is never done, so it is placed again.
		registry.endPlacement(c.worker, task, EvidenceExited, taskstate.LossExited)
		c.forget(reported)
		return
	}
	if !registry.takeOff(c.worker, task, EvidenceExited) {
		return
	}
	switch {
	case task.Job.Gang != nil && !task.Job.Cancelled:
		registry.tasks.TaskDone(task)
		registry.GangDone(task.Job)
	case task.Job.Cancelled:
		task.State, task.WorkerID = taskstate.StateWaiting, ""
		registry.tasks.DropTask(task)
		c.forget(reported)
	default:
		registry.tasks.TaskDone(task)
	}
}
