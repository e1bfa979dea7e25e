// Package block is the duty of a block's owner: it keeps the records of the
// tasks that were handed to the block, and commits every placement before its
// launch is sent.
package block

import (
	"log/slog"
	"slices"
	"time"

	"lemonmoor/internal/engine"
	"lemonmoor/internal/intake"
	"lemonmoor/internal/ledger"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// Shelf holds the tasks of one block while this process owns it.
type Shelf struct {
	// Waiting is called for a task that may be given to a machine.
	Waiting func(*work.Task)
	// Launchable is called when a placement is durable.
	Launchable func(*work.Task)
	// Loaded is called when the records of a new token have been read.
	Loaded func()
	// Discard takes a task that was never launched off its machine.
	Discard func(*work.Task)

	rt     engine.Runtime
	led    *ledger.Client
	office *ledger.Office
	cat    *intake.Catalog
	store  *work.Store
	set    *settings.Settings
	log    *slog.Logger
	block  int

	term    int // grows with every token; late answers of old ones are dropped
	token   uint64
	loaded  bool
	jobs    map[string]*work.Job
	chunks  map[string]*work.Chunk
	dirty   []*work.Chunk
	flying  bool
	tries   int
	planned bool
	budget  float64 // of changes
	filled  time.Duration
}

// NewShelf returns an empty shelf.
func NewShelf(rt engine.Runtime, led *ledger.Client, office *ledger.Office, cat *intake.Catalog, store *work.Store,
	set *settings.Settings, log *slog.Logger, block int) *Shelf {
	s := &Shelf{rt: rt, led: led, office: office, cat: cat, store: store, set: set, log: log, block: block}
	s.End()
	return s
}

// End forgets everything: the block is lost.
func (s *Shelf) End() {
	s.term++
	s.token, s.loaded, s.flying, s.planned = 0, false, false, false
	s.jobs, s.chunks, s.dirty = map[string]*work.Job{}, map[string]*work.Chunk{}, nil
}

// IsLoaded tells whether the records have been read under the present token.
func (s *Shelf) IsLoaded() bool { return s.loaded }

// Begin reads the records for a new token. Earlier owners' commits are guarded
// by the old stamp of the lease, so that only this process changes them now.
func (s *Shelf) Begin(token uint64) {
	s.End()
	s.token = token
	s.read(s.term, 0)
}

func (s *Shelf) read(term, try int) {
	retry := func() {
		s.rt.After(s.led.Backoff(try), func() {
			if term == s.term {
				s.read(term, try+1)
			}
		})
	}
	s.store.Check(func(err error) {
		if term != s.term {
			return
		}
		if err != nil {
			retry()
			return
		}
		// Then the catalog: it must hold every job that has work.
		s.cat.Check(func(err error) {
			switch {
			case term != s.term:
			case err != nil:
				retry()
			default:
				s.build()
			}
		})
	})
}

func (s *Shelf) build() {
	s.store.All(func(r *work.Record) {
		if r.Block == s.block {
			s.add(r)
		}
	})
	s.loaded = true
	s.log.Info("block read", "block", s.block, "token", s.token, "jobs", len(s.jobs), "records", len(s.chunks))
	s.Loaded()
	for _, c := range s.chunks {
		s.offer(c)
	}
}

// add takes a record in.
func (s *Shelf) add(r *work.Record) *work.Chunk {
	e := s.cat.Get(r.Job)
	if e == nil || e.Job == nil {
		return nil // its job is done; the leader removes what is left
	}
	j := s.jobs[r.Job]
	if j == nil {
		j = &work.Job{Desc: e.Job, Submitted: e.At, Within: s.cat.Within(e), Cancelled: e.Phase == intake.Cancelled,
			Tasks: map[int]*work.Task{}, Chunks: map[string]*work.Chunk{}}
		s.jobs[r.Job] = j
	}
	c := work.Load(j, r)
	s.chunks[c.Key] = c
	return c
}

// offer makes a chunk's waiting tasks known to the queues.
func (s *Shelf) offer(c *work.Chunk) {
	for _, t := range c.Tasks {
		if t.State != work.Waiting {
			continue
		}
		if c.Job.Cancelled {
			s.Drop(t)
		} else {
			s.Waiting(t)
		}
	}
}

// RecordChanged takes note of records that the leader made or removed. Of the
// others this process is the only writer.
func (s *Shelf) RecordChanged(old, now *work.Record) {
	if !s.loaded {
		return
	}
	switch {
	case old == nil && now.Block == s.block && s.chunks[now.Key] == nil:
		// If the watch of the jobs is behind that of the records, the job is
		// not known yet; JobChanged comes back to the record then.
		if c := s.add(now); c != nil {
			s.offer(c)
		}
	case now == nil && old.Block == s.block:
		s.remove(old.Key)
	}
}

// remove forgets a record that the leader has removed. Its tasks are done,
// or their job is cancelled and none was on a machine.
func (s *Shelf) remove(key string) {
	c := s.chunks[key]
	if c == nil {
		return
	}
	delete(s.chunks, key)
	delete(c.Job.Chunks, key)
	s.dirty = slices.DeleteFunc(s.dirty, func(d *work.Chunk) bool { return d == c })
	for _, t := range c.Tasks {
		if t.State == work.Placed {
			s.Discard(t)
		}
		if t.State != work.Done {
			t.State = work.Dropped
		}
		if c.Job.Tasks[t.Index] == t {
			delete(c.Job.Tasks, t.Index)
		}
	}
	if len(c.Job.Chunks) == 0 && s.jobs[c.Job.Desc.ID] == c.Job {
		delete(s.jobs, c.Job.Desc.ID)
	}
}

// JobChanged takes note of a cancelled job, and of a new one whose records
// came first.
func (s *Shelf) JobChanged(e *intake.Entry) {
	if !s.loaded {
		return
	}
	for key, r := range s.store.OfJob(e.ID) {
		if r.Block == s.block && s.chunks[key] == nil {
			if c := s.add(r); c != nil {
				s.offer(c)
			}
		}
	}
	j := s.jobs[e.ID]
	if j == nil || e.Phase != intake.Cancelled || j.Cancelled {
		return
	}
	j.Cancelled = true
	for _, t := range j.Tasks {
		if t.State == work.Waiting {
			s.Drop(t)
		}
	}
}

// Drop ends a task of a cancelled job that is on no machine.
func (s *Shelf) Drop(t *work.Task) {
	t.State = work.Dropped
	s.Changed(t, true) // without its placement the leader can end the job
}

// Recall gives up to n waiting tasks of a job back to the leader.
func (s *Shelf) Recall(job string, n int) {
	j := s.jobs[job]
	if !s.loaded || j == nil || j.Cancelled {
		return
	}
	for _, c := range j.Chunks {
		for i := len(c.Tasks) - 1; i >= 0 && n > 0; i-- {
			if t := c.Tasks[i]; t.State == work.Waiting {
				t.State = work.Returned
				delete(j.Tasks, t.Index)
				s.Changed(t, true)
				n--
			}
		}
	}
}

// Job finds a job with tasks in the block.
func (s *Shelf) Job(id string) *work.Job { return s.jobs[id] }

// Jobs calls fn for every job with tasks in the block.
func (s *Shelf) Jobs(fn func(*work.Job)) {
	for _, j := range s.jobs {
		fn(j)
	}
}

// Changed marks a task's record for a commit; urgent if something waits for
// it.
func (s *Shelf) Changed(t *work.Task, urgent bool) {
	c := t.Chunk
	if s.chunks[c.Key] != c {
		return
	}
	if !c.Dirty {
		c.Dirty, c.Urgent, c.Since = true, false, s.rt.Now()
		s.dirty = append(s.dirty, c)
	}
	c.Urgent = c.Urgent || urgent
}

// TaskDone notes a completed task. When nothing else of its record runs, the
// end of the job may wait for it.
func (s *Shelf) TaskDone(t *work.Task) {
	t.State = work.Done
	last := !slices.ContainsFunc(t.Chunk.Tasks, func(o *work.Task) bool {
		return o.State == work.Placed || o.State == work.Waiting
	})
	s.Changed(t, last)
}

// later plans another flush.
func (s *Shelf) later(d time.Duration) {
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
func (s *Shelf) rate() float64 {
	return s.set.Deployment.State.WriteRPS * tuning.WriteShare
}

// Flush commits changed records: those that something waits for at once, the
// others after a while. One commit is under way at a time.
func (s *Shelf) Flush() {
	if s.flying || !s.loaded || !s.office.Valid() || len(s.dirty) == 0 {
		return
	}
	now := s.rt.Now()
	s.budget = min(s.rate(), s.budget+s.rate()*(now-s.filled).Seconds())
	s.filled = now
	if s.budget < 1 {
		s.later(time.Duration(float64(time.Second) / s.rate()))
		return
	}
	most := min(s.set.Deployment.State.TxnOps, int(s.budget))
	var batch []*work.Chunk
	soonest := tuning.DoneDelay
	for _, urgent := range []bool{true, false} {
		for _, c := range s.dirty {
			if c.Urgent != urgent || len(batch) == most {
				continue
			}
			if wait := c.Since + tuning.DoneDelay - now; !urgent && wait > 0 && len(batch) == 0 {
				soonest = min(soonest, wait)
				continue
			}
			batch = append(batch, c)
		}
	}
	if len(batch) == 0 {
		s.later(soonest)
		return
	}
	s.commit(batch)
}

// saved is a task as it was when its record was encoded.
type saved struct {
	task    *work.Task
	state   work.State
	attempt uint64
}

func (s *Shelf) commit(batch []*work.Chunk) {
	guards := []ledger.Guard{{Key: ledger.BlockKey(s.block), Stamp: s.token}}
	var apply []ledger.Change
	var tasks []saved
	size := 0
	for i, c := range batch {
		value, err := c.Snapshot().Encode()
		if err != nil {
			s.log.Error("work record does not encode", "key", c.Key, "err", err)
			return
		}
		if size += len(value) + 200; size > tuning.CommitBytes && i > 0 {
			batch = batch[:i]
			break
		}
		guards = append(guards, ledger.Guard{Key: c.Key, Stamp: c.Stamp})
		apply = append(apply, ledger.Change{Set: c.Key, Value: value})
		for _, t := range c.Tasks {
			tasks = append(tasks, saved{t, t.State, t.Attempt})
		}
	}
	for _, c := range batch {
		c.Dirty, c.Urgent = false, false
	}
	s.dirty = slices.DeleteFunc(s.dirty, func(c *work.Chunk) bool { return !c.Dirty })
	undo := func() {
		for _, c := range batch {
			if s.chunks[c.Key] != c {
				continue
			}
			if !c.Dirty {
				c.Dirty, c.Since = true, s.rt.Now()
				s.dirty = append(s.dirty, c)
			}
			c.Urgent = true
		}
	}
	term := s.term
	s.flying = true
	s.budget -= float64(len(apply))
	s.led.Commit(guards, apply, func(r ledger.Result) {
		if term != s.term {
			return
		}
		switch r.Outcome {
		case ledger.OK:
			s.flying, s.tries = false, 0
			for _, c := range batch {
				c.Stamp = r.Epoch
			}
			for _, p := range tasks {
				t := p.task
				switch {
				case p.state == work.Done:
					t.DoneDurable = true
				case p.state == work.Placed && t.State == work.Placed && t.Attempt == p.attempt && !t.Durable:
					t.Durable = true
					s.Launchable(t)
				}
			}
			s.Flush()
		case ledger.Refused:
			// Surely not carried out: the same again, a little later.
			s.tries++
			s.rt.After(s.led.Backoff(s.tries-1), func() {
				if term == s.term {
					s.flying = false
					undo()
					s.Flush()
				}
			})
		case ledger.Conflict:
			s.conflict(term, r.Failed, undo)
		default:
			// It may be carried out late. Under a new token its guard fails;
			// then the records are read anew.
			s.log.Info("commit without answer, renewing the token", "block", s.block)
			s.renew(term)
		}
	})
}

// conflict finds out why a guard failed: the block is another's, or the leader
// has removed a record of a cancelled job.
func (s *Shelf) conflict(term int, failed []string, undo func()) {
	s.office.Verify(func() {
		if term != s.term {
			return // the block was lost, or has a new token
		}
		s.store.Check(func(err error) {
			if term != s.term {
				return
			}
			stranger := err != nil || slices.Contains(failed, ledger.BlockKey(s.block))
			for _, key := range failed {
				if s.store.Get(key) != nil {
					stranger = true
				}
			}
			if stranger {
				s.log.Warn("guards failed, renewing the token", "block", s.block, "keys", failed)
				s.renew(term)
				return
			}
			s.flying = false
			for _, key := range failed {
				s.remove(key)
			}
			undo()
			s.Flush()
		})
	})
}

// renew asks for a new token until there is one. Until then nothing is
// committed, so nothing is launched.
func (s *Shelf) renew(term int) {
	if term != s.term {
		return
	}
	s.office.Renew(s.block)
	s.rt.After(tuning.StateBackoffMax, func() { s.renew(term) })
}
