package workers

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// CancelJob halts the tasks of a cancelled job by direct messages. A halt in the answer to
// the next heartbeat would leave seconds later, and would not reach a worker whose heartbeats
// are lost.
func (r *Registry) CancelJob(job *taskstate.Job) {
	for _, task := range job.Tasks {
		if task.State == taskstate.StatePlaced {
			r.markCommandsDue(task)
		}
	}
}

// appendCancellationHalts appends halts for the tasks of cancelled jobs that a worker may
// have. They are repeated, with any kind of message to the worker, until each task is proven
// gone. A repeated or late halt cannot end a later attempt, since it names the attempt.
func (r *Registry) appendCancellationHalts(worker *Worker, commands []Command) []Command {
	now := r.runtime.Now()
	for task := range worker.Tasks {
		if task.Job.Cancelled && task.Launch.IsSent() && len(commands) < tuning.MaxCommandsPerMessage {
			task.Halt.CancelSentAt = now
			commands = append(commands, haltCommand(task.Name(), task.WireAttempt(), 0))
		}
	}
	return commands
}

// haltsOfCancelledTasks returns halts for the tasks of cancelled jobs that a heartbeat lists,
// including tasks that are not in the records.
func (r *Registry) haltsOfCancelledTasks(heartbeat *Heartbeat) []Command {
	var commands []Command
	for i := range heartbeat.Tasks {
		reported := &heartbeat.Tasks[i]
		jobID, _, ok := parseTaskName(reported.Name)
		if !ok || reported.Phase == PhaseEnded || len(commands) >= tuning.MaxCommandsPerMessage {
			continue
		}
		if _, cancelled := r.tasks.CancellationAge(jobID); cancelled {
			commands = append(commands, haltCommand(reported.Name, reported.Attempt, 0))
		}
	}
	return commands
}

// mayOutliveCancellation reports whether a worker may have a task of a job cancelled so long
// ago that an answer could keep the task alive past the users' limit. The answer would renew
// the worker's lease as of the heartbeat, and it may be that no later message reaches the
// worker. Such a worker is not answered until the task is proven gone, by direct commands if
// they reach the worker, otherwise by the expiry of its lease.
func (r *Registry) mayOutliveCancellation(worker *Worker, heartbeat *Heartbeat) bool {
	for task := range worker.Tasks {
		if task.Job.Cancelled && task.Launch.IsSent() && r.isCancellationOverdue(task.Job.Spec.ID) {
			return true
		}
	}
	for i := range heartbeat.Tasks {
		reported := &heartbeat.Tasks[i]
		if jobID, _, ok := parseTaskName(reported.Name); ok && reported.Phase != PhaseEnded && r.isCancellationOverdue(jobID) {
			return true
		}
	}
	return false
}

// isCancellationOverdue reports whether a job is cancelled and its user may have known that for
// MaxKnowledgeAge or longer.
func (r *Registry) isCancellationOverdue(jobID string) bool {
	age, cancelled := r.tasks.CancellationAge(jobID)
	return cancelled && age >= r.settings.MaxKnowledgeAge()
}
