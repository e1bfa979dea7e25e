package workers

import (
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
)

// strayAttempt is an attempt that may run on a worker although no record places it there: a message
// showed it alive after it was considered gone, or its record was removed. No other attempt of the
// task is launched before the worker is proven not to have it.
type strayAttempt struct {
	workerID string
	attempt  uint64
	launch   taskstate.Launch // decides which heartbeats prove the absence
	reported bool             // a launch was held back for it, which was reported
}

// addStray records a stray attempt of a task on a worker.
func (r *Registry) addStray(worker *Worker, attempt taskAttempt, launch taskstate.Launch) {
	r.strays[attempt.name] = &strayAttempt{workerID: worker.ID, attempt: attempt.attempt, launch: launch}
}

// recoverStrays begins a term under a token: launches of earlier terms are void for a worker that
// shows it.
func (r *Registry) recoverStrays(token uint64) {
	for _, stray := range r.strays {
		stray.launch.Recover(token)
	}
}

// isOnStray reports whether a placed task itself is the stray attempt.
func (s *strayAttempt) isOnStray(task *taskstate.Task) bool {
	return task.WorkerID == s.workerID && task.WireAttempt() == s.attempt
}

// mayLaunch reports whether a task can be launched: its placement is durable, and no stray attempt
// of it may run elsewhere. A launch that is held back for that violates an invariant.
func (r *Registry) mayLaunch(task *taskstate.Task) bool {
	if !task.Launchable() {
		return false
	}
	if len(r.strays) == 0 {
		return true
	}
	name := task.Name()
	stray := r.strays[name]
	if stray == nil || stray.isOnStray(task) {
		return true
	}
	if !stray.reported {
		stray.reported = true
		r.metrics.ReportViolation(r.log, metrics.InvariantOtherAttemptsGone, "task", name, "attempt", task.WireAttempt(), "worker", task.WorkerID,
			"alive_attempt", stray.attempt, "alive_worker", stray.workerID, "history", task.History.Text(r.runtime.Now()))
	}
	return false
}

// updateStrays compares a regular heartbeat of a worker with its stray attempts, and drops those that
// it proves gone.
func (c *reconciliation) updateStrays() {
	for name, stray := range c.registry.strays {
		if stray.workerID != c.worker.ID {
			continue
		}
		switch {
		case c.listsAlive(taskAttempt{name, stray.attempt}):
			stray.launch.Listed(c.heartbeat.number())
		case stray.launch.IsVoidInSession(c.heartbeat.Session), stray.launch.ProvesAbsence(c.heartbeat.number(), c.heartbeat.Token):
			c.registry.dropStray(name)
		case stray.launch.IsInDoubt():
			c.registry.lease.RenewToken()
		}
	}
}

// listsAlive reports whether the heartbeat lists an attempt that has not ended.
func (c *reconciliation) listsAlive(attempt taskAttempt) bool {
	for i := range c.heartbeat.Tasks {
		reported := &c.heartbeat.Tasks[i]
		if reported.taskAttempt() == attempt {
			return reported.Phase != PhaseEnded
		}
	}
	return false
}

// dropStraysOf drops the stray attempts on a worker, whose tasks are all gone.
func (r *Registry) dropStraysOf(worker *Worker) {
	for name, stray := range r.strays {
		if stray.workerID == worker.ID {
			r.dropStray(name)
		}
	}
}

// dropStray drops a stray attempt that is proven gone, and makes the launch due that waited for it.
func (r *Registry) dropStray(name string) {
	delete(r.strays, name)
	if task := r.findTask(name); task != nil && task.State == taskstate.StatePlaced {
		r.markCommandsDue(task)
	}
}
