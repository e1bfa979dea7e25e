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

// pendingLaunches returns up to limit tasks whose launches can be sent to a worker now. Others wait
// until it is verified that their jobs are not cancelled.
func (r *Registry) pendingLaunches(worker *Worker, limit int) []*taskstate.Task {
	if !r.lease.LeaseValid() || r.isDraining(worker) || worker.Unreachable {
		return nil
	}
	var pending []*taskstate.Task
	for task := range worker.Tasks {
		if len(pending) >= limit || !r.mayLaunch(task) {
			continue
		}
		if !r.lease.CancellationsVerifiedSince(task.PlacedAt) {
			r.awaitingVerification[worker] = true
			r.newestAwaitingPlacedAt = max(r.newestAwaitingPlacedAt, task.PlacedAt)
			continue
		}
		pending = append(pending, task)
	}
	return pending
}

// appendLaunches appends the pending launches for the worker, to be sent with the answer to
// its heartbeat.
func (c *reconciliation) appendLaunches() {
	registry := c.registry
	launched := registry.pendingLaunches(c.worker, tuning.MaxCommandsPerMessage-len(c.commands))
	for _, task := range launched {
		task.Launch.SendInAnswer(c.heartbeat.number())
		registry.addStep(c.worker, task, taskstate.StepSentInAnswer)
		c.commands = append(c.commands, launchCommand(task.Name(), task.WireAttempt()))
	}
	registry.logLaunches(c.worker, launchInAnswer, launched)
}
