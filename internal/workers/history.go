package workers

import (
	"slices"

	"lemonmoor/internal/taskstate"
)

// addStep adds a step to the history of a task on a worker. The worker's newest heartbeat is the
// message of the step.
func (r *Registry) addStep(worker *Worker, task *taskstate.Task, kind taskstate.StepKind) {
	r.addStepShownBy(worker, task, kind, worker.newestHeartbeat())
}

// addStepShownBy adds a step to the history of a task on a worker that a message of the worker shows.
func (r *Registry) addStepShownBy(worker *Worker, task *taskstate.Task, kind taskstate.StepKind, message taskstate.MessageNumber) {
	task.History.Add(taskstate.Step{
		At: r.runtime.Now(), Kind: kind, Attempt: task.WireAttempt(), WorkerID: worker.ID, Token: r.commandToken(worker), Message: message,
	})
}

// history returns the history of a task in one line, "" if no record names the task.
func (r *Registry) history(taskName string) string {
	task := r.findTask(taskName)
	if task == nil {
		return ""
	}
	return task.History.Text(r.runtime.Now())
}

// logUnrecorded logs an attempt that the worker lists as alive although the records do not place it
// there, when the worker lists it for the first time in a row.
func (c *reconciliation) logUnrecorded(reported *ReportedTask) {
	attempt := reported.taskAttempt()
	if !slices.Contains(c.earlierUnrecorded, attempt) {
		c.registry.log.Info("unrecorded attempt listed", "worker", c.worker.ID, "task", attempt.String(), "phase", string(reported.Phase),
			"session", c.heartbeat.Session, "seq", c.heartbeat.Sequence, "token_shown", c.heartbeat.Token, "token", c.registry.lease.Token(),
			"history", c.registry.history(reported.Name))
	}
	c.worker.unrecorded = append(c.worker.unrecorded, attempt)
}
