package workers

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// CancelJob has the tasks of a cancelled job halted at once: with the answer to the next
// heartbeat the halt would leave seconds later, and a worker whose heartbeats are lost can
// still be reached.
func (r *Registry) CancelJob(job *taskstate.Job) {
	for _, task := range job.Tasks {
		if task.State == taskstate.StatePlaced {
			r.commandsDueTo(task)
		}
	}
}

// appendCancellationHalts adds the halts of what a worker may have of cancelled jobs. They
// are repeated until each task is proven gone, by whichever message there is: a halt names
// the attempt, so that repeated or late it does no harm.
func (r *Registry) appendCancellationHalts(worker *Worker, commands []Command) []Command {
	now := r.runtime.Now()
	for task := range worker.Tasks {
		if task.Job.Cancelled && task.Launch.Sent && len(commands) < tuning.MaxCommandsPerMessage {
			task.Halt.CancelSentAt = now
			commands = append(commands, haltCommand(task.Name(), task.WireAttempt(), 0))
		}
	}
	return commands
}

// haltsOfCancelledTasks returns the halts of the tasks of cancelled jobs that a heartbeat
// lists, whether the records have them or not.
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

// mayOutliveCancellation tells whether a worker may have a task of a job that was cancelled
// so long ago that an answer could keep it alive past the users' limit: the worker's lease
// runs on from the heartbeat, and nothing more may reach it. Such a worker is not answered
// until the task is proven gone, by direct commands if they reach it, by the end of its
// lease if not.
func (r *Registry) mayOutliveCancellation(worker *Worker, heartbeat *Heartbeat) bool {
	for task := range worker.Tasks {
		if task.Job.Cancelled && task.Launch.Sent && r.isCancelledLongAgo(task.Job.Spec.ID) {
			return true
		}
	}
	for i := range heartbeat.Tasks {
		reported := &heartbeat.Tasks[i]
		if jobID, _, ok := parseTaskName(reported.Name); ok && reported.Phase != PhaseEnded && r.isCancelledLongAgo(jobID) {
			return true
		}
	}
	return false
}

func (r *Registry) isCancelledLongAgo(jobID string) bool {
	age, cancelled := r.tasks.CancellationAge(jobID)
	return cancelled && age >= r.settings.MaxKnowledgeAge()
}
