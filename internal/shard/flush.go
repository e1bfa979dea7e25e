package shard

import (
	"time"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// scheduleFlush plans another flush.
func (s *TaskStore) scheduleFlush(d time.Duration) {
	if s.flushScheduled {
		return
	}
	s.flushScheduled = true
	term := s.term
	s.runtime.After(max(d, time.Millisecond), func() {
		if term == s.term {
			s.flushScheduled = false
			s.Flush()
		}
	})
}

// writesPerSecond is this block's part of the write budget, in changes per second.
func (s *TaskStore) writesPerSecond() float64 {
	return s.settings.Deployment.State.WriteRPS * tuning.ShardWriteShare * s.state.WriteShare() / float64(s.settings.ShardCount())
}

// Flush commits changed tasks: at once if something waits for one, else after a
// while. A commit takes what has gathered. It goes alone for a moment; if its
// answer takes longer, others follow, since the order in which pages are written
// does not matter.
func (s *TaskStore) Flush() {
	if s.backingOff || s.inFlight >= tuning.MaxCommitsInFlight || !s.loaded || !s.leases.LeaseValid() || len(s.dirty) == 0 {
		return
	}
	now := s.runtime.Now()
	if wait := s.newestCommitAt + tuning.CommitPipelineDelay - now; s.inFlight > 0 && wait > 0 {
		s.scheduleFlush(wait)
		return
	}
	s.budget = min(max(1, s.writesPerSecond()), s.budget+s.writesPerSecond()*(now-s.budgetRefilledAt).Seconds())
	s.budgetRefilledAt = now
	if wait := s.changedSince + tuning.MaxCompletionDelay - now; !s.urgentChange && wait > 0 {
		s.scheduleFlush(wait)
		return
	}
	if s.budget < 1 {
		s.scheduleFlush(time.Duration((1 - s.budget) / s.writesPerSecond() * float64(time.Second)))
		return
	}
	s.commit(min(s.state.MaxOperations(), int(s.budget), tuning.MaxCommitBytes/s.pageBytes()))
}

// pageBytes is the most that a page of the log may hold.
func (s *TaskStore) pageBytes() int {
	return min(tuning.MaxPageBytes, s.state.MaxValueBytes())
}

// writtenStatus is a task as it was when its page was written.
type writtenStatus struct {
	task    *taskstate.Task
	state   taskstate.State
	attempt uint64
	page    int
}

// commit writes what has changed to pages of the log, as many as one commit may take.
func (s *TaskStore) commit(most int) {
	values, on, rest, err := taskstate.PackPages(s.tasksToWrite(), s.pageBytes(), most)
	if err != nil {
		s.log.Error("log pages do not encode", "err", err)
		return
	}
	s.dirty, s.urgentChange = append([]*taskstate.Task(nil), rest...), s.urgentChange && len(rest) > 0
	if len(values) == 0 {
		return
	}
	c := &pageCommit{pages: s.pages.reserve(len(values))}
	var apply []statestore.Operation
	guards := []statestore.Condition{{Key: statestore.ShardKey(s.shardIndex), Revision: s.token}}
	for i, value := range values {
		// A commit that is carried out once more, later, must not bring back
		// what the page told then.
		key := taskstate.PageKey(s.shardIndex, c.pages[i])
		guards = append(guards, statestore.Condition{Key: key, Revision: s.pages.page(c.pages[i]).revision})
		apply = append(apply, statestore.Operation{PutKey: key, Value: value})
		for _, t := range on[i] {
			t.Log.Dirty = false
			c.statuses = append(c.statuses, writtenStatus{t, t.State, t.Attempt, c.pages[i]})
		}
	}
	term := s.term
	s.commitSequence++
	c.sequence = s.commitSequence
	s.inFlight++
	s.newestCommitAt = s.runtime.Now()
	s.budget -= float64(len(apply))
	s.state.CommitWithTimeout(guards, apply, s.state.CommitTimeout(), func(r statestore.CommitResult) {
		if term == s.term {
			s.handleCommitResult(c, r)
		}
	})
}

// tasksToWrite lists the tasks that are to be written.
func (s *TaskStore) tasksToWrite() []*taskstate.Task {
	tasks := s.dirty[:0:0]
	take := func(t *taskstate.Task) {
		if s.groups[t.Group.Key] == t.Group {
			tasks = append(tasks, t)
		}
	}
	for _, t := range s.dirty {
		take(t)
	}
	// What is still true of an old page moves on with the rest, so that the
	// page can be written over and the log stays as long as the work is.
	if s.inFlight == 0 {
		for _, t := range s.pages.compactionTasks() {
			if !t.Log.Dirty {
				t.Log.Dirty = true
				take(t)
			}
		}
	}
	return tasks
}

// pageCommit is a commit of pages under way.
type pageCommit struct {
	sequence     uint64
	pages    []int // the pages
	statuses []writtenStatus
}

// handleCommitResult takes the outcome of a commit.
func (s *TaskStore) handleCommitResult(c *pageCommit, r statestore.CommitResult) {
	term := s.term
	switch r.Outcome {
	case statestore.OutcomeOK:
		s.inFlight--
		s.pages.release(c.pages, r.Revision)
		s.refusals = 0
		for _, w := range c.statuses {
			s.markDurable(c.sequence, w)
		}
		s.Flush()
	case statestore.OutcomeRefused, statestore.OutcomeInvalid:
		// Surely not carried out: the same again, a little later; in smaller
		// pages or commits if it was found too large.
		s.inFlight--
		s.pages.release(c.pages, 0)
		s.refusals++
		s.backingOff = true
		s.runtime.After(s.state.Backoff(s.refusals-1), func() {
			if term != s.term {
				return
			}
			s.backingOff = false
			for _, w := range c.statuses {
				s.TaskChanged(w.task, true)
			}
			s.Flush()
		})
	case statestore.OutcomeConflict:
		// The block is another's, or this node's under a newer token.
		s.leases.Refresh(func() {
			if term == s.term {
				s.log.Warn("guards failed, renewing the token", "block", s.shardIndex, "keys", r.FailedKeys)
				s.renewTokenUntilReplaced(term)
			}
		})
	default:
		// It may be carried out late. Under a new token its guard fails;
		// then the records are read anew.
		s.log.Info("commit without answer, renewing the token", "block", s.shardIndex)
		s.renewTokenUntilReplaced(term)
	}
}

// markDurable takes note that what a commit says of a task is stored.
func (s *TaskStore) markDurable(seq uint64, w writtenStatus) {
	t := w.task
	if s.groups[t.Group.Key] != t.Group {
		return
	}
	if w.state == taskstate.StatePlaced && t.State == taskstate.StatePlaced && t.Attempt == w.attempt && !t.PlacementDurable {
		t.PlacementDurable = true
		s.PlacementDurable(t)
	}
	if seq < t.Log.Commit {
		return // a later commit's answer was faster; what it tells is newer
	}
	t.Log.Commit = seq
	s.pages.removeTask(t.Log.Page)
	t.Log.Page = w.page
	s.pages.addTask(t.Log.Page, t)
	if w.state == taskstate.StateDone {
		t.DoneDurable = true
	}
}

// renewTokenUntilReplaced asks for a new token until there is one. Until then nothing is
// committed, so nothing is launched.
func (s *TaskStore) renewTokenUntilReplaced(term int) {
	if term != s.term {
		return
	}
	s.leases.RenewToken(s.shardIndex)
	s.runtime.After(tuning.MaxStateBackoff, func() { s.renewTokenUntilReplaced(term) })
}
