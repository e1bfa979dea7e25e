package workers

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// handleEnded takes a task that has exited.
func (r *Registry) handleEnded(worker *Worker, task *taskstate.Task, reported *ReportedTask, tokenShown bool, commands []Command) []Command {
	loss := taskstate.LossExited
	switch reported.Cause {
	case "done":
		return r.handleCompleted(worker, task, reported, commands)
	case "error":
		// Whether the others had started shows in their reports.
		loss = taskstate.LossVanished
		r.recordFailure(worker, task)
	case "full":
		loss = taskstate.LossBeforeWaiting
		worker.RefusesUntil = r.runtime.Now() + tuning.RefusedTaskPause
		task.NotBefore = r.runtime.Now() + tuning.RefusedTaskPause/4
	case "busy", "unknown":
		loss = taskstate.LossBeforeWaiting
		task.NotBefore = r.runtime.Now() + tuning.RefusedTaskPause
	case "halted":
		if gang := task.Job.Gang; gang != nil && !gang.AttemptOver && task.HaltDecided {
			loss = taskstate.LossVanished // one that waited was told to leave its machine
		}
	case "alone", "mates_gone":
		// Nothing against the machine or the job.
		if task.Job.Gang != nil && reported.Cause == "mates_gone" {
			task.Job.Gang.Started = true
		}
	default:
		// A reason not known here proves nothing gone. Forgotten by the worker,
		// it is off the list, and that does.
		if !tokenShown {
			return commands
		}
		return append(commands, forgetCommand(reported))
	}
	r.endPlacement(worker, task, loss)
	if !tokenShown {
		return commands
	}
	return append(commands, forgetCommand(reported))
}

// handleCompleted takes a task that is done.
func (r *Registry) handleCompleted(worker *Worker, task *taskstate.Task, reported *ReportedTask, commands []Command) []Command {
	worker.ConsecutiveFailures = 0
	clear(worker.FailedJobs)
	task.Job.ConsecutiveFailures = 0
	if task.Job.Gang != nil && !task.Job.Cancelled {
		r.removeTask(worker, task)
		r.tasks.TaskDone(task)
		r.GangDone(task.Job)
		return commands
	}
	if task.Job.Spec.IsService() {
		r.endPlacement(worker, task, taskstate.LossExited)
		return append(commands, forgetCommand(reported))
	}
	r.removeTask(worker, task)
	if task.Job.Cancelled {
		task.State, task.WorkerID = taskstate.StateWaiting, ""
		r.tasks.DropTask(task)
		return append(commands, forgetCommand(reported))
	}
	r.tasks.TaskDone(task)
	return commands
}

// recordFailure takes note of a failure: machines that fail whatever they start get
// no more tasks, and jobs that fail everywhere are slowed down.
func (r *Registry) recordFailure(worker *Worker, task *taskstate.Task) {
	worker.ConsecutiveFailures++
	worker.FailedJobs[task.Job.Spec.ID] = true
	task.AvoidWorker = worker.ID
	r.log.Info("task failed", "host", worker.ID, "task", task.Name(), "in a row", worker.ConsecutiveFailures)
	task.Job.ConsecutiveFailures++
	if task.Job.ConsecutiveFailures >= 3 {
		pause := min(tuning.MinFailurePause<<min(task.Job.ConsecutiveFailures-3, 6), tuning.MaxFailurePause)
		task.Job.NotBefore = r.runtime.Now() + pause
	}
	if worker.ConsecutiveFailures >= tuning.FaultyWorkerFailures && (len(worker.FailedJobs) > 1 || task.Job.ConsecutiveFailures < 2*worker.ConsecutiveFailures) && worker.DrainReason == "" {
		worker.DrainReason = "fails its tasks"
		r.log.Warn("machine quarantined", "host", worker.ID, "failures", worker.ConsecutiveFailures)
	}
}
