package shard

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// changeSet collects the tasks that have changed since they were last written to the log.
type changeSet struct {
	tasks []*taskstate.Task
	// urgent is set when somebody waits for one of the changes to become durable. It is
	// kept across terms, so that the first changes of the next term may be committed
	// without delay.
	urgent bool
	// firstChangeAt is when the first change of the set was made.
	firstChangeAt time.Duration
}

// add adds a changed task unless it is already in the set.
func (c *changeSet) add(task *taskstate.Task, urgent bool, now time.Duration) {
	if len(c.tasks) == 0 {
		c.firstChangeAt = now
	}
	if !task.Log.Dirty {
		task.Log.Dirty = true
		c.tasks = append(c.tasks, task)
	}
	c.urgent = c.urgent || urgent
}

// retain replaces the set by the tasks that did not fit into a commit.
func (c *changeSet) retain(rest []*taskstate.Task) {
	c.tasks = append([]*taskstate.Task(nil), rest...)
	c.urgent = c.urgent && len(rest) > 0
}

// batchingDelay returns how much longer the changes may wait for further ones to share
// their commit: 0 if one of them is urgent.
func (c *changeSet) batchingDelay(now time.Duration) time.Duration {
	if c.urgent {
		return 0
	}
	return max(0, c.firstChangeAt+tuning.MaxCompletionDelay-now)
}
