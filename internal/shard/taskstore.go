// Package shard is the duty of a block's owner: it keeps the records of the
// tasks that were handed to the block, and commits every placement before its
// launch is sent.
package shard

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// TaskStore holds the tasks of one block while this process owns it.
type TaskStore struct {
	// TaskWaiting is called for a task that may be given to a machine.
	TaskWaiting func(*taskstate.Task)
	// PlacementDurable is called when a placement is durable.
	PlacementDurable func(*taskstate.Task)
	// RecordsLoaded is called when the records of a new token have been read.
	RecordsLoaded func()
	// GangDone is told that a gang is done, as another block has proven.
	GangDone func(*taskstate.Job)
	// DiscardTask takes a task that was never launched off its machine.
	DiscardTask func(*taskstate.Task)
	// CancelJob is told that a job is cancelled that may have tasks on machines.
	CancelJob func(*taskstate.Job)

	runtime     eventloop.Runtime
	state  *statestore.Client
	leases *statestore.LeaseManager
	catalog    *userapi.Catalog
	records  *taskstate.Store
	settings    *settings.Settings
	log    *slog.Logger
	shardIndex  int

	term    int // grows with every token; late answers of old ones are dropped
	token   uint64
	loaded  bool
	jobs    map[string]*taskstate.Job
	groups  map[string]*taskstate.TaskGroup
	dirty   []*taskstate.Task
	urgentChange  bool          // something waits for a commit of those
	changedSince   time.Duration // when the first of them changed
	pages   logPages
	inFlight int  // commits under way
	backingOff bool // after a refused one
	commitSequence     uint64
	newestCommitAt   time.Duration // the newest of those
	refusals   int
	flushScheduled bool
	budget  float64 // of changes
	budgetRefilledAt  time.Duration
}

// NewTaskStore returns an empty task store.
func NewTaskStore(rt eventloop.Runtime, state *statestore.Client, leases *statestore.LeaseManager, cat *userapi.Catalog, store *taskstate.Store,
	set *settings.Settings, log *slog.Logger, block int,
) *TaskStore {
	s := &TaskStore{runtime: rt, state: state, leases: leases, catalog: cat, records: store, settings: set, log: log, shardIndex: block}
	s.EndTerm()
	return s
}

// EndTerm forgets everything: the block is lost.
func (s *TaskStore) EndTerm() {
	s.term++
	s.token, s.loaded, s.inFlight, s.backingOff, s.flushScheduled = 0, false, 0, false, false
	s.jobs, s.groups, s.dirty = map[string]*taskstate.Job{}, map[string]*taskstate.TaskGroup{}, nil
	s.pages = logPages{revisionOf: func(n int) uint64 { return s.records.PageRevision(s.shardIndex, n) }}
}

// IsLoaded tells whether the records have been read under the present token.
func (s *TaskStore) IsLoaded() bool { return s.loaded }

// BeginTerm reads the records for a new token. Earlier owners' commits are guarded
// by the old stamp of the lease, so that only this process changes them now.
func (s *TaskStore) BeginTerm(token uint64) {
	s.EndTerm()
	s.token = token
	s.loadRecords(s.term, 0)
}

func (s *TaskStore) loadRecords(term, try int) {
	retry := func() {
		s.runtime.After(s.state.Backoff(try), func() {
			if term == s.term {
				s.loadRecords(term, try+1)
			}
		})
	}
	s.records.Verify(func(err error) {
		if term != s.term {
			return
		}
		if err != nil {
			retry()
			return
		}
		// Then the catalog: it must hold every job that has work.
		s.catalog.Verify(func(err error) {
			switch {
			case term != s.term:
			case err != nil:
				retry()
			default:
				s.buildFromRecords()
			}
		})
	})
}

func (s *TaskStore) buildFromRecords() {
	s.records.EachRecord(func(r *taskstate.Record) {
		if r.Shard == s.shardIndex {
			s.addRecord(r)
		}
	})
	s.loaded = true
	s.log.Info("block read", "block", s.shardIndex, "token", s.token, "jobs", len(s.jobs), "records", len(s.groups))
	s.RecordsLoaded()
	for _, c := range s.groups {
		s.announceWaiting(c)
	}
}

// addRecord takes a record in.
func (s *TaskStore) addRecord(r *taskstate.Record) *taskstate.TaskGroup {
	e := s.catalog.Get(r.Job)
	if e == nil || e.Spec == nil {
		return nil // its job is done; the leader removes what is left
	}
	j := s.jobs[r.Job]
	if j == nil {
		j = taskstate.NewJob(e.Spec, e.SubmittedMS, s.catalog.WithinQuota(e))
		j.Cancelled = e.Phase == userapi.PhaseCancelled
		if e.Spec.IsGang() {
			j.Gang = &taskstate.Gang{}
			for _, o := range s.records.JobRecords(r.Job) {
				for _, m := range o.Statuses {
					j.PartDoneElsewhere = j.PartDoneElsewhere || (o.Shard != s.shardIndex && m.State == taskstate.StateDone)
				}
			}
		}
		s.jobs[r.Job] = j
	}
	c := taskstate.LoadRecord(j, r)
	s.groups[c.Key] = c
	for _, t := range c.Tasks {
		s.pages.addTask(t.Log.Page, t)
	}
	return c
}

// announceWaiting makes a chunk's waiting tasks known to the queues.
func (s *TaskStore) announceWaiting(c *taskstate.TaskGroup) {
	for _, t := range c.Tasks {
		if t.State != taskstate.StateWaiting {
			continue
		}
		if c.Job.Cancelled {
			s.DropTask(t)
		} else {
			s.TaskWaiting(t)
		}
	}
}

// RecordAdded takes in what the leader has handed out. If the watch of the jobs
// is behind that of the records, the job is not known yet; JobChanged comes back
// to the record then.
func (s *TaskStore) RecordAdded(r *taskstate.Record) {
	if !s.loaded || r.Shard != s.shardIndex || s.groups[r.Key] != nil {
		return
	}
	if c := s.addRecord(r); c != nil {
		s.announceWaiting(c)
	}
}

// RecordRemoved forgets a record that the leader has removed: its tasks are
// done, or given back.
func (s *TaskStore) RecordRemoved(r *taskstate.Record) {
	c := s.groups[r.Key]
	if !s.loaded || c == nil {
		return
	}
	delete(s.groups, c.Key)
	delete(c.Job.Groups, c.Key)
	for _, t := range c.Tasks {
		if t.State == taskstate.StatePlaced {
			s.log.Error("a record was removed while a task may run", "task", t.Name())
			s.DiscardTask(t)
		}
		if t.State != taskstate.StateDone {
			t.State = taskstate.StateDropped
		}
		s.pages.removeTask(t.Log.Page)
		if c.Job.Tasks[t.Index] == t {
			delete(c.Job.Tasks, t.Index)
		}
	}
	if len(c.Job.Groups) == 0 && s.jobs[c.Job.Spec.ID] == c.Job {
		delete(s.jobs, c.Job.Spec.ID)
	}
}

// JobChanged takes note of a cancelled job, and of a new one whose records
// came first.
func (s *TaskStore) JobChanged(e *userapi.Entry) {
	if !s.loaded {
		return
	}
	for key, r := range s.records.JobRecords(e.ID) {
		if r.Shard == s.shardIndex && s.groups[key] == nil {
			if c := s.addRecord(r); c != nil {
				s.announceWaiting(c)
			}
		}
	}
	j := s.jobs[e.ID]
	if j == nil || e.Phase != userapi.PhaseCancelled || j.Cancelled {
		return
	}
	j.Cancelled = true
	for _, t := range j.Tasks {
		if t.State == taskstate.StateWaiting {
			s.DropTask(t)
		}
	}
	s.CancelJob(j)
}

// CancellationAge is how long ago a job's user can have been told that it is
// cancelled, at most, if it is.
func (s *TaskStore) CancellationAge(id string) (time.Duration, bool) {
	return s.catalog.CancellationAge(id, s.settings.ClockSkew())
}

// TaskStatusChanged takes note of a task of another block: one of a divided gang that is
// done means that all are.
func (s *TaskStore) TaskStatusChanged(r *taskstate.Record, k int, _ taskstate.TaskStatus) {
	if !s.loaded || r.Shard == s.shardIndex || r.Statuses[k].State != taskstate.StateDone {
		return
	}
	if j := s.jobs[r.Job]; j != nil && j.Gang != nil && !j.PartDoneElsewhere {
		j.PartDoneElsewhere = true
		s.GangDone(j)
	}
}

// DropTask ends a task of a cancelled job that is on no machine. The leader removes
// a record only when its owner has written all of it off: removed on the
// leader's own judgement, a placement committed meanwhile would be lost.
func (s *TaskStore) DropTask(t *taskstate.Task) {
	t.State = taskstate.StateDropped
	t.Group.OpenTasks--
	s.TaskChanged(t, t.Group.OpenTasks == 0)
}

// RecallTasks gives up to n waiting tasks of a job back to the leader.
func (s *TaskStore) RecallTasks(job string, n int) {
	j := s.jobs[job]
	if !s.loaded || j == nil || j.Cancelled {
		return
	}
	if g := j.Gang; g != nil {
		if g.Attempt > 0 || g.Done || n < len(j.Tasks) {
			return // whole or not at all
		}
		n = len(j.Tasks)
	}
	for _, c := range j.Groups {
		for i := len(c.Tasks) - 1; i >= 0 && n > 0; i-- {
			if t := c.Tasks[i]; t.State == taskstate.StateWaiting {
				t.State = taskstate.StateReturned
				c.OpenTasks--
				delete(j.Tasks, t.Index)
				s.TaskChanged(t, true)
				n--
			}
		}
	}
}

// Job finds a job with tasks in the block.
func (s *TaskStore) Job(id string) *taskstate.Job { return s.jobs[id] }

// EachJob calls fn for every job with tasks in the block.
func (s *TaskStore) EachJob(fn func(*taskstate.Job)) {
	for _, j := range s.jobs {
		fn(j)
	}
}

// TaskChanged marks a task for a commit; urgent if something waits for it.
func (s *TaskStore) TaskChanged(t *taskstate.Task, urgent bool) {
	if s.groups[t.Group.Key] != t.Group {
		return
	}
	if len(s.dirty) == 0 {
		s.changedSince = s.runtime.Now()
	}
	if !t.Log.Dirty {
		t.Log.Dirty = true
		s.dirty = append(s.dirty, t)
	}
	s.urgentChange = s.urgentChange || urgent
}

// TaskDone notes a completed task. When nothing else of its record is open, the
// end of the job may wait for it.
func (s *TaskStore) TaskDone(t *taskstate.Task) {
	t.State = taskstate.StateDone
	t.Group.OpenTasks--
	s.TaskChanged(t, t.Group.OpenTasks == 0)
}
