package workers

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// CancelJob has the tasks of a cancelled job halted at once: with the next report the
// order would leave seconds later, and a machine whose reports are lost can still
// be reached.
func (r *Registry) CancelJob(job *taskstate.Job) {
	for _, task := range job.Tasks {
		if worker := r.workers[task.WorkerID]; worker != nil && task.State == taskstate.StatePlaced {
			r.commandsDue[worker] = true
		}
	}
}

// appendCancellationHalts adds the orders that end what a machine may have of cancelled jobs. They are
// repeated until each task is proven gone, by whichever message there is: a halt
// names the attempt, so that repeated or late it does no harm.
func (r *Registry) appendCancellationHalts(worker *Worker, commands []Command) []Command {
	now := r.runtime.Now()
	for task := range worker.Tasks {
		if task.Job.Cancelled && task.LaunchSent && len(commands) < tuning.MaxCommandsPerMessage {
			task.CancelHaltSentAt = now
			commands = append(commands, haltCommand(task.Name(), task.WireAttempt(), 0))
		}
	}
	return commands
}

// haltsOfCancelledTasks gives the orders that end the tasks of cancelled jobs in a report.
func (r *Registry) haltsOfCancelledTasks(heartbeat *Heartbeat) []Command {
	var commands []Command
	for i := range heartbeat.Tasks {
		reported := &heartbeat.Tasks[i]
		job, _, ok := parseTaskName(reported.Name)
		if !ok || reported.Phase == "ended" || len(commands) >= tuning.MaxCommandsPerMessage {
			continue
		}
		if _, cancelled := r.tasks.CancellationAge(job); cancelled {
			commands = append(commands, haltCommand(reported.Name, reported.Attempt, 0))
		}
	}
	return commands
}

// mayOutliveCancellation tells whether a machine may have a task of a job that was cancelled so
// long ago that an answer could keep it alive past the users' limit: the worker's
// lease runs on from the report, and nothing more may reach it. Such a machine is
// not answered until the task is proven gone, by direct orders if they reach it, by
// the end of its lease if not.
func (r *Registry) mayOutliveCancellation(worker *Worker, heartbeat *Heartbeat) bool {
	cancelledLongAgo := func(job string) bool {
		age, cancelled := r.tasks.CancellationAge(job)
		return cancelled && age >= r.settings.MaxKnowledgeAge()
	}
	for task := range worker.Tasks {
		if task.Job.Cancelled && task.LaunchSent && cancelledLongAgo(task.Job.Spec.ID) {
			return true
		}
	}
	for i := range heartbeat.Tasks {
		if job, _, ok := parseTaskName(heartbeat.Tasks[i].Name); ok && heartbeat.Tasks[i].Phase != "ended" && cancelledLongAgo(job) {
			return true
		}
	}
	return false
}
