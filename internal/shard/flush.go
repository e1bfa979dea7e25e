package shard

import (
	"time"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// later plans another flush.
func (s *TaskStore) later(d time.Duration) {
	if s.planned {
		return
	}
	s.planned = true
	term := s.term
	s.rt.After(max(d, time.Millisecond), func() {
		if term == s.term {
			s.planned = false
			s.Flush()
		}
	})
}

// rate is this block's part of the write budget, in changes per second.
func (s *TaskStore) rate() float64 {
	return s.set.Deployment.State.WriteRPS * tuning.ShardWriteShare * s.state.WriteShare() / float64(s.set.ShardCount())
}

// Flush commits changed tasks: at once if something waits for one, else after a
// while. A commit takes what has gathered. It goes alone for a moment; if its
// answer takes longer, others follow, since the order in which pages are written
// does not matter.
func (s *TaskStore) Flush() {
	if s.resting || s.flights >= tuning.MaxCommitsInFlight || !s.loaded || !s.leases.LeaseValid() || len(s.dirty) == 0 {
		return
	}
	now := s.rt.Now()
	if wait := s.began + tuning.CommitPipelineDelay - now; s.flights > 0 && wait > 0 {
		s.later(wait)
		return
	}
	s.budget = min(max(1, s.rate()), s.budget+s.rate()*(now-s.filled).Seconds())
	s.filled = now
	if wait := s.since + tuning.MaxCompletionDelay - now; !s.urgent && wait > 0 {
		s.later(wait)
		return
	}
	if s.budget < 1 {
		s.later(time.Duration((1 - s.budget) / s.rate() * float64(time.Second)))
		return
	}
	s.commit(min(s.state.MaxOperations(), int(s.budget), tuning.MaxCommitBytes/s.pageBytes()))
}

// pageBytes is the most that a page of the log may hold.
func (s *TaskStore) pageBytes() int {
	return min(tuning.MaxPageBytes, s.state.MaxValueBytes())
}

// saved is a task as it was when its page was written.
type saved struct {
	task    *taskstate.Task
	state   taskstate.State
	attempt uint64
	page    int
}

// commit writes what has changed to pages of the log, as many as one commit may take.
func (s *TaskStore) commit(most int) {
	values, on, rest, err := taskstate.PackPages(s.changed(), s.pageBytes(), most)
	if err != nil {
		s.log.Error("log pages do not encode", "err", err)
		return
	}
	s.dirty, s.urgent = append([]*taskstate.Task(nil), rest...), s.urgent && len(rest) > 0
	if len(values) == 0 {
		return
	}
	c := &pageCommit{free: s.pages.free(len(values))}
	var apply []statestore.Operation
	guards := []statestore.Condition{{Key: statestore.ShardKey(s.block), Revision: s.token}}
	for i, value := range values {
		// A commit that is carried out once more, later, must not bring back
		// what the page told then.
		key := taskstate.PageKey(s.block, c.free[i])
		guards = append(guards, statestore.Condition{Key: key, Revision: s.pages.at(c.free[i]).stamp})
		apply = append(apply, statestore.Operation{PutKey: key, Value: value})
		for _, t := range on[i] {
			t.Log.Dirty = false
			c.written = append(c.written, saved{t, t.State, t.Attempt, c.free[i]})
		}
	}
	term := s.term
	s.seq++
	c.seq = s.seq
	s.flights++
	s.began = s.rt.Now()
	s.budget -= float64(len(apply))
	s.state.CommitWithTimeout(guards, apply, s.state.CommitTimeout(), func(r statestore.CommitResult) {
		if term == s.term {
			s.answered(c, r)
		}
	})
}

// changed lists the tasks that are to be written.
func (s *TaskStore) changed() []*taskstate.Task {
	tasks := s.dirty[:0:0]
	take := func(t *taskstate.Task) {
		if s.chunks[t.Group.Key] == t.Group {
			tasks = append(tasks, t)
		}
	}
	for _, t := range s.dirty {
		take(t)
	}
	// What is still true of an old page moves on with the rest, so that the
	// page can be written over and the log stays as long as the work is.
	if s.flights == 0 {
		for _, t := range s.pages.oldest() {
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
	seq     uint64
	free    []int // the pages
	written []saved
}

// answered takes the outcome of a commit.
func (s *TaskStore) answered(c *pageCommit, r statestore.CommitResult) {
	term := s.term
	switch r.Outcome {
	case statestore.OutcomeOK:
		s.flights--
		s.pages.written(c.free, r.Revision)
		s.tries = 0
		for _, w := range c.written {
			s.durable(c.seq, w)
		}
		s.Flush()
	case statestore.OutcomeRefused, statestore.OutcomeInvalid:
		// Surely not carried out: the same again, a little later; in smaller
		// pages or commits if it was found too large.
		s.flights--
		s.pages.written(c.free, 0)
		s.tries++
		s.resting = true
		s.rt.After(s.state.Backoff(s.tries-1), func() {
			if term != s.term {
				return
			}
			s.resting = false
			for _, w := range c.written {
				s.TaskChanged(w.task, true)
			}
			s.Flush()
		})
	case statestore.OutcomeConflict:
		// The block is another's, or this node's under a newer token.
		s.leases.Refresh(func() {
			if term == s.term {
				s.log.Warn("guards failed, renewing the token", "block", s.block, "keys", r.FailedKeys)
				s.renew(term)
			}
		})
	default:
		// It may be carried out late. Under a new token its guard fails;
		// then the records are read anew.
		s.log.Info("commit without answer, renewing the token", "block", s.block)
		s.renew(term)
	}
}

// durable takes note that what a commit says of a task is stored.
func (s *TaskStore) durable(seq uint64, w saved) {
	t := w.task
	if s.chunks[t.Group.Key] != t.Group {
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
	s.pages.take(t.Log.Page)
	t.Log.Page = w.page
	s.pages.put(t.Log.Page, t)
	if w.state == taskstate.StateDone {
		t.DoneDurable = true
	}
}

// renew asks for a new token until there is one. Until then nothing is
// committed, so nothing is launched.
func (s *TaskStore) renew(term int) {
	if term != s.term {
		return
	}
	s.leases.RenewToken(s.block)
	s.rt.After(tuning.MaxStateBackoff, func() { s.renew(term) })
}
