package workers

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// launchWay is the way in which a launch is delivered to its worker.
type launchWay string

const (
	launchDirect   launchWay = "direct" // in a direct message
	launchInAnswer launchWay = "answer" // in the answer to a heartbeat
)

// logLaunches logs the launches that are sent in one message, if there are any, and what allows
// them: the token, the worker's session and the age of the knowledge of cancellations.
func (r *Registry) logLaunches(worker *Worker, way launchWay, launched []*taskstate.Task) {
	if len(launched) == 0 {
		return
	}
	attempts := make([]string, len(launched))
	for i, task := range launched {
		attempts[i] = taskAttempt{task.Name(), task.WireAttempt()}.String()
	}
	knowledgeAge, now := r.lease.KnowledgeAge(), r.runtime.Now()
	r.metrics.AddLaunches(string(way), len(launched), knowledgeAge.Seconds())
	r.log.Info("launches sent", "worker", worker.ID, "way", string(way), "tasks", attempts, "token", r.commandToken(worker),
		"session", worker.Session, "seq", worker.Sequence, "lease_age_ms", (now - worker.LeaseRenewedAt).Milliseconds(),
		"heard_ms", (now - worker.LastHeartbeatAt).Milliseconds(), "knowledge_ms", knowledgeAge.Milliseconds())
}

// appendLaunches appends a worker's pending launches to a message and returns their tasks.
func (r *Registry) appendLaunches(worker *Worker, message *CommandMessage) []*taskstate.Task {
	if r.isDraining(worker) {
		return nil
	}
	var launched []*taskstate.Task
	for task := range worker.Tasks {
		if len(launched) >= tuning.MaxCommandsPerMessage || !task.Launchable() {
			continue
		}
		if !r.lease.CancellationsVerifiedSince(task.PlacedAt) {
			r.awaitingVerification[worker] = true
			r.newestAwaitingPlacedAt = max(r.newestAwaitingPlacedAt, task.PlacedAt)
			continue
		}
		launched = append(launched, task)
		message.Commands = append(message.Commands, launchCommand(task.Name(), task.WireAttempt()))
	}
	return launched
}

// appendLaunches appends the pending launches for the worker, to be sent with the answer to
// its heartbeat.
func (c *reconciliation) appendLaunches() {
	registry := c.registry
	if !registry.lease.LeaseValid() || registry.isDraining(c.worker) || c.worker.Unreachable {
		return
	}
	var launched []*taskstate.Task
	for task := range c.worker.Tasks {
		if len(c.commands) < tuning.MaxCommandsPerMessage && task.Launchable() && registry.lease.CancellationsVerifiedSince(task.PlacedAt) {
			task.Launch.SendInAnswer(c.heartbeat.number())
			registry.addStep(c.worker, task, taskstate.StepSentInAnswer)
			c.commands = append(c.commands, launchCommand(task.Name(), task.WireAttempt()))
			launched = append(launched, task)
		}
	}
	registry.logLaunches(c.worker, launchInAnswer, launched)
}
