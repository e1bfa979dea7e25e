package workers

// directToken returns the highest token of the direct messages of this term that launched an
// attempt on a worker, 0 if there was none.
func (r *Registry) directToken(worker *Worker, attempt taskAttempt) uint64 {
	token := max(worker.ended.directLaunches[attempt].token, worker.gone[attempt].directToken)
	if task := r.findTask(attempt.name); task != nil && worker.Tasks[task] && task.WireAttempt() == attempt.attempt {
		token = max(token, task.Launch.DirectToken)
	}
	return token
}

// appendForgets appends the forgets of the ended attempts that the registry needs no longer.
func (c *reconciliation) appendForgets() {
	ended := &c.worker.ended
	first := len(c.commands)
	ended.dropForgotten(c.heartbeat)
	for _, reported := range c.ended {
		c.commands = append(c.commands, forgetCommand(reported))
		ended.addForgotten(reported.taskAttempt(), c.heartbeat.Sequence)
	}
	c.logForgets(c.commands[first:])
}

// logForgets logs the forgets that are sent in the answer to a heartbeat, if there are any: the
// tokens of the direct messages with their launches, 0 for none, the token of the answer and the
// one that the worker has shown.
func (c *reconciliation) logForgets(forgets []Command) {
	if len(forgets) == 0 {
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
		"token", registry.lease.Token(),
		"token_shown", c.heartbeat.Token, "session", c.heartbeat.Session, "seq", c.heartbeat.Sequence)
}
