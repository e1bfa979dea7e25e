package shard

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// changeSet holds the tasks that have changed since they were last written to the log.
type changeSet struct {
	tasks []*taskstate.Task
	// urgent is set when somebody waits for one of the changes to be durable. It outlives
	// the term, so that the first changes of the next one may leave at once.
	urgent bool
	// since is when the first of the changes was made.
	since time.Duration
}

// add takes a changed task in, once.
func (c *changeSet) add(task *taskstate.Task, urgent bool, now time.Duration) {
	if len(c.tasks) == 0 {
		c.since = now
	}
	if !task.Log.Dirty {
		task.Log.Dirty = true
		c.tasks = append(c.tasks, task)
	}
	c.urgent = c.urgent || urgent
}

// keep leaves only the tasks that a commit had no room for.
func (c *changeSet) keep(rest []*taskstate.Task) {
	c.tasks = append([]*taskstate.Task(nil), rest...)
	c.urgent = c.urgent && len(rest) > 0
}

// sharingDelay returns how long the changes may still wait for others to share a commit
// with.
func (c *changeSet) sharingDelay(now time.Duration) time.Duration {
	if c.urgent {
		return 0
	}
	return max(0, c.since+tuning.MaxCompletionDelay-now)
}
