// Package shard holds the tasks of one shard of the machines while this process owns the
// shard. Its one job is that whatever becomes of a task is durable before anybody acts on
// it: a placement is committed before its launch is sent, a completion before the worker
// is told to forget the task.
//
// It owns the working copy of the shard's records and the shard's log in the state
// service; both are used within the event loop only. It must never commit without the
// shard lease's fencing token as a condition, overwrite a log page that still holds the
// newest status of a task, or report a placement durable before the answer to its commit.
package shard

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/term"
	"lemonmoor/internal/userapi"
)

// TaskHandler acts on what becomes of a shard's tasks.
type TaskHandler interface {
	// TaskWaiting is called for a task that may be placed on a worker.
	TaskWaiting(task *taskstate.Task)
	// PlacementDurable is called when a task's placement is durable, so that it may be
	// launched.
	PlacementDurable(task *taskstate.Task)
	// RecordsLoaded is called when the records have been read under a new token, before
	// TaskWaiting is called for any of their tasks.
	RecordsLoaded()
	// GangDone is called when a gang is done, as another shard has found.
	GangDone(job *taskstate.Job)
	// DiscardTask takes a task off its worker whose record is gone.
	DiscardTask(task *taskstate.Task)
	// CancelJob is called when a job is cancelled that may have tasks on workers.
	CancelJob(job *taskstate.Job)
}

// Dependencies is what a TaskStore works with.
type Dependencies struct {
	Runtime  eventloop.Runtime
	State    *statestore.Client
	Leases   *statestore.LeaseManager
	Catalog  *userapi.Catalog
	Records  *taskstate.Store
	Settings *settings.Settings
	Handler  TaskHandler
	Log      *slog.Logger
}

// TaskStore holds the tasks of one shard. It is empty except during a term: from
// BeginTerm, with the fencing token of the shard's lease, to EndTerm.
type TaskStore struct {
	deps       Dependencies
	shardIndex int
	terms      term.Counter
	loaded     bool
	tasks      workingSet
	writer     logWriter
}

// NewTaskStore returns the task store of a shard, empty until its first term.
func NewTaskStore(shardIndex int, deps Dependencies) *TaskStore {
	s := &TaskStore{deps: deps, shardIndex: shardIndex}
	s.writer = logWriter{deps: &s.deps, shardIndex: shardIndex, terms: &s.terms, tasks: &s.tasks}
	s.EndTerm()
	return s
}

// BeginTerm reads the records for a new token. Earlier owners' commits carry the earlier
// token as a condition and fail, so that only this process changes the log now.
func (s *TaskStore) BeginTerm(token uint64) {
	s.EndTerm()
	s.writer.token = token
	// The catalog comes last: it must hold every job that has records.
	s.deps.State.VerifyUntilCurrent(&s.terms, s.load, s.deps.Records, s.deps.Catalog)
}

// EndTerm forgets everything: the shard is lost, or is about to be read anew.
func (s *TaskStore) EndTerm() {
	s.terms.Advance()
	s.loaded = false
	s.tasks.reset()
	s.writer.endTerm()
}

// load builds the working copy from the records, which are current.
func (s *TaskStore) load() {
	s.deps.Records.EachRecord(func(record *taskstate.Record) {
		if record.Shard == s.shardIndex {
			s.addRecord(record)
		}
	})
	s.loaded = true
	s.deps.Log.Info("shard records loaded", "shard", s.shardIndex, "token", s.writer.token,
		"jobs", len(s.tasks.jobs), "records", len(s.tasks.groups))
	s.deps.Handler.RecordsLoaded()
	for _, group := range s.tasks.groups {
		s.announceWaiting(group)
	}
}

// IsLoaded reports whether the records have been read under the present token.
func (s *TaskStore) IsLoaded() bool { return s.loaded }

// Job returns a job that has tasks in the shard, nil if there is none of that ID.
func (s *TaskStore) Job(id string) *taskstate.Job { return s.tasks.jobs[id] }

// EachJob calls fn for every job with tasks in the shard, in no particular order.
func (s *TaskStore) EachJob(fn func(*taskstate.Job)) {
	for _, job := range s.tasks.jobs {
		fn(job)
	}
}

// CancellationAge returns how long ago the user of a job can have been told that it is
// cancelled, at most, and whether it is cancelled at all.
func (s *TaskStore) CancellationAge(jobID string) (age time.Duration, cancelled bool) {
	return s.deps.Catalog.CancellationAge(jobID, s.deps.Settings.ClockSkew())
}

// TaskChanged has a task written to the log: soon if the change is urgent, that is if
// somebody waits for it to be durable.
func (s *TaskStore) TaskChanged(task *taskstate.Task, urgent bool) {
	s.writer.taskChanged(task, urgent)
}

// Flush commits changed tasks: at once if one of the changes is urgent, else when they have
// waited for others to share the commit with.
func (s *TaskStore) Flush() {
	if s.loaded {
		s.writer.flush()
	}
}
