package workers

import (
	"time"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/tuning"
)

// A worker that has forgotten an attempt executes a launch of it once more (protocol, "forget").
// A copy of a direct message may arrive at any time, and is executed while its token and session
// match. So an attempt may be forgotten only by a message with a higher token than those of all
// direct messages that launched it: the worker takes that token in before it executes the forget,
// and refuses the copies from then on. Launches of earlier terms had lower tokens than any of this
// term, and a launch in the answer to a heartbeat is not executed late.

// tokenDemand records how many attempts wait for a higher token before they can be forgotten.
type tokenDemand struct {
	attempts    int           // the most of any worker, since the last request
	requestedAt time.Duration // when a higher token was last requested, or the term began
}

// commandToken returns the token of the next message to a worker. It is no lower than that of any
// earlier message, since the worker drops a message with a lower token than it has seen.
func (r *Registry) commandToken(worker *Worker) uint64 {
	return max(worker.delivery.token, worker.Token, r.lease.Token())
}

// acknowledgesTerm reports whether a worker that shows a token refuses the messages of all earlier
// terms, and none of this one.
func (r *Registry) acknowledgesTerm(token uint64) bool {
	return token >= r.lease.Token() && token <= r.lease.NewestToken()
}

// directToken returns the highest token of the direct messages of this term that launched an
// attempt on a worker, 0 if there was none.
func (r *Registry) directToken(worker *Worker, attempt taskAttempt) uint64 {
	token := max(worker.ended.directLaunches[attempt].token, worker.gone[attempt].directToken)
	if task := r.findTask(attempt.name); task != nil && worker.Tasks[task] && task.WireAttempt() == attempt.attempt {
		token = max(token, task.Launch.DirectToken())
	}
	return token
}

// mayForget reports whether a worker may forget an attempt by a message with the given token: no
// copy of a message that launched the attempt is executed afterwards.
func (r *Registry) mayForget(worker *Worker, attempt taskAttempt, token uint64) bool {
	return r.directToken(worker, attempt) < token
}

// appendForgets appends the forgets of the ended attempts for which the token of the answer is
// high enough, and raises that token if some attempt needs it. The others wait.
func (c *reconciliation) appendForgets() {
	registry, ended := c.registry, &c.worker.ended
	c.raiseCommandToken()
	token := registry.commandToken(c.worker)
	first := len(c.commands)
	ended.dropForgotten(c.heartbeat)
	ended.waiting = 0
	for _, reported := range c.ended {
		attempt := reported.taskAttempt()
		if !registry.mayForget(c.worker, attempt, token) {
			ended.waiting++
		} else if len(c.commands) < tuning.MaxCommandsPerMessage {
			c.commands = append(c.commands, forgetCommand(reported))
			ended.addForgotten(attempt, c.heartbeat.Sequence)
		}
	}
	if token == registry.lease.NewestToken() {
		registry.tokenDemand.attempts = max(registry.tokenDemand.attempts, ended.waiting)
	}
	c.logForgets(c.commands[first:])
}

// raiseCommandToken raises the token of the messages to the worker if that allows it to forget
// attempts. While a direct message is in flight, a higher token could make the worker refuse it.
func (c *reconciliation) raiseCommandToken() {
	registry, worker := c.registry, c.worker
	if worker.delivery.inFlight {
		return
	}
	token := registry.commandToken(worker)
	for _, reported := range c.ended {
		if !registry.mayForget(worker, reported.taskAttempt(), token) {
			worker.delivery.token = registry.lease.NewestToken()
			return
		}
	}
}

// logForgets logs the forgets that are sent in the answer to a heartbeat, if there are any, and
// what allows them: the tokens of the direct messages with their launches, 0 for none, the token of
// the answer and the one that the worker has shown.
func (c *reconciliation) logForgets(forgets []Command) {
	if len(forgets) == 0 && c.worker.ended.waiting == 0 {
		return
	}
	registry := c.registry
	registry.metrics.AddForgets(len(forgets))
	attempts, launchTokens := make([]string, len(forgets)), make([]uint64, len(forgets))
	for i, forget := range forgets {
		attempt := taskAttempt{forget.TaskName, forget.Attempt}
		attempts[i], launchTokens[i] = attempt.String(), registry.directToken(c.worker, attempt)
	}
	registry.log.Info("forgets sent", "worker", c.worker.ID, "tasks", attempts, "launch_tokens", launchTokens,
		"token", registry.commandToken(c.worker),
		"token_shown", c.heartbeat.Token, "session", c.heartbeat.Session, "seq", c.heartbeat.Sequence,
		"listed", len(c.heartbeat.Tasks), "waiting", c.worker.ended.waiting)
}

// withoutUnsafeForgets asserts that an answer to a worker tells it to forget only what it may. It
// returns the commands of the answer, less any other forget.
func (r *Registry) withoutUnsafeForgets(worker *Worker, commands []Command) []Command {
	token := r.commandToken(worker)
	safe := commands[:0]
	for _, command := range commands {
		launchToken := r.directToken(worker, taskAttempt{command.TaskName, command.Attempt})
		if command.Verb == VerbForget && token <= launchToken {
			r.metrics.ReportViolation(r.log, metrics.InvariantForgetIsSafe, "worker", worker.ID, "task", command.TaskName,
				"attempt", command.Attempt, "launch_token", launchToken, "token", token)
			continue
		}
		safe = append(safe, command)
	}
	return safe
}

// requestNewerTokenIfDue requests a higher token if attempts wait for one: at most once in half a
// worker's lease, or at once if a worker is about to get no more tasks for it.
func (r *Registry) requestNewerTokenIfDue(now time.Duration) {
	demand := &r.tokenDemand
	waiting := 0
	for _, worker := range r.sortedWorkers {
		waiting += worker.ended.waiting
	}
	r.metrics.SetAttemptsToForget(r.shard, waiting)
	isUrgent := demand.attempts >= tuning.UrgentAttemptsToForget
	if demand.attempts == 0 || (!isUrgent && now-demand.requestedAt < r.settings.WorkerLease()/2) {
		return
	}
	r.log.Info("newer token requested", "waiting", waiting, "urgent", isUrgent, "token", r.lease.NewestToken())
	*demand = tokenDemand{requestedAt: now}
	r.metrics.AddTokenRequest(r.shard)
	r.lease.RequestNewerToken()
}
