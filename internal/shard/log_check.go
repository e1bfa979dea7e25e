package shard

import (
	"time"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/tuning"
)

// logCheck asserts that the owner and the readers of the shard's log take the status of each task
// from the same page. The owner overwrites the pages from which it takes none.
type logCheck struct {
	checkedAt time.Duration
	// newestRevision is that of the newest commit of the term.
	newestRevision uint64
}

// CheckLog compares the pages of all tasks with the copy of the log, at most once per
// tuning.LogCheckInterval, and only while both are known to describe the same commits. A status on
// a page that the copy does not know is written again, which leaves the two agreed.
func (s *TaskStore) CheckLog() {
	now := s.deps.Runtime.Now()
	check := &s.writer.check
	if !s.loaded || now-check.checkedAt < tuning.LogCheckInterval || s.writer.pacing.inFlight > 0 || s.deps.Records.Revision() < check.newestRevision {
		return
	}
	if !s.deps.Leases.LeaseValid() {
		return // the copy may hold commits of a later owner already
	}
	check.checkedAt = now
	for _, group := range s.tasks.groups {
		record := s.deps.Records.Get(group.Key)
		if record == nil {
			continue
		}
		for position, task := range group.Tasks {
			if page := int(record.LogPages[position]); page != task.Log.Page && !task.Log.Dirty {
				s.deps.Metrics.ReportViolation(s.deps.Log, metrics.InvariantStatusOnPage, "shard", s.shardIndex, "token", s.writer.token,
					"task", task.Name(), "record", group.Key, "page", task.Log.Page, "copied_page", page)
				s.TaskChanged(task, true)
			}
		}
	}
}
