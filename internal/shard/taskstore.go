// Package shard manages the tasks of one shard of the machines while this process owns the
// shard. It ensures that each change of a task is durable before it is acted on: a placement
// is committed before its launch is sent, a completion before the worker is told to forget
// the task.
//
// It owns the working copy of the shard's records and the shard's log in the state service;
// both are used only within the event loop. It must never commit without the shard lease's
// fencing token as a condition, overwrite a log page that still holds the newest status of a
// task, or report a placement durable before its commit is answered.
package shard

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/term"
	"lemonmoor/internal/userapi"
)

// TaskHandler is called on events of a shard's tasks and jobs.
type TaskHandler interface {
	// TaskWaiting is called for a task that may be placed on a worker.
	TaskWaiting(task *taskstate.Task)
	// PlacementDurable is called when a task's placement is durable; the task may be
	// launched from then on.
	PlacementDurable(task *taskstate.Task)
	// CommittedUnderToken is called when a commit on condition of the shard's fencing token has
	// succeeded at a revision, which is lower than the token of any later owner.
	CommittedUnderToken(revision uint64)
	// RecordsLoaded is called when the records have been loaded under a new token, before
	// TaskWaiting is called for any of their tasks.
	RecordsLoaded()
	// GangDone is called when a status from another shard shows that a gang is done.
	GangDone(job *taskstate.Job)
	// DiscardTask removes a task from its worker because the task's record was deleted.
	DiscardTask(task *taskstate.Task)
	// CancelJob is called when a job that may have tasks on workers is cancelled.
	CancelJob(job *taskstate.Job)
}

// Dependencies are the components that a TaskStore uses.
type Dependencies struct {
	Runtime  eventloop.Runtime
	State    *statestore.Client
	Leases   *statestore.LeaseManager
	Catalog  *userapi.Catalog
	Records  *taskstate.Store
	Settings *settings.Settings
	Handler  TaskHandler
	Metrics  *metrics.Metrics
	Log      *slog.Logger
}

// TaskStore is the working copy of the tasks of one shard. It is empty except during a term,
// which lasts from BeginTerm, with the fencing token of the shard's lease, to EndTerm.
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

// BeginTerm loads the records under a new token. Only this process can change the log from
// then on: commits of earlier owners fail, because they have an earlier token as a condition.
func (s *TaskStore) BeginTerm(token uint64) {
	s.EndTerm()
	s.writer.token = token
	// The catalog is verified last, so that it contains every job that has records.
	s.deps.State.VerifyUntilCurrent(&s.terms, s.load, s.deps.Records, s.deps.Catalog)
}

// EndTerm discards all state, when the shard is lost or its records are about to be read
// again.
func (s *TaskStore) EndTerm() {
	s.terms.Advance()
	s.loaded = false
	s.tasks.reset()
	s.writer.endTerm()
}

// load builds the working copy from the records, which must be verified as current.
func (s *TaskStore) load() {
	s.deps.Records.EachRecord(func(record *taskstate.Record) {
		if record.Shard == s.shardIndex {
			s.addRecord(record)
		}
	})
	s.loaded = true
	s.deps.Log.Info("shard records loaded", "shard", s.shardIndex, "token", s.writer.token,
		"jobs", len(s.tasks.jobs), "records", len(s.tasks.groups),
		"records_revision", s.deps.Records.Revision(), "jobs_revision", s.deps.Catalog.Revision())
	s.deps.Handler.RecordsLoaded()
	for _, group := range s.tasks.groups {
		s.announceWaiting(group)
	}
}

// IsLoaded reports whether the records have been loaded under the current token.
func (s *TaskStore) IsLoaded() bool { return s.loaded }

// Job returns the job with an ID, nil if it has no tasks in the shard.
func (s *TaskStore) Job(id string) *taskstate.Job { return s.tasks.jobs[id] }

// EachJob calls fn for every job with tasks in the shard, in no particular order.
func (s *TaskStore) EachJob(fn func(*taskstate.Job)) {
	for _, job := range s.tasks.jobs {
		fn(job)
	}
}

// CancellationAge returns the longest time that can have passed since the user of a job was
// informed of its cancellation, and whether the job is cancelled at all.
func (s *TaskStore) CancellationAge(jobID string) (age time.Duration, cancelled bool) {
	return s.deps.Catalog.CancellationAge(jobID, s.deps.Settings.ClockSkew())
}

// TaskChanged schedules a changed task to be written to the log. A change is urgent if
// somebody waits for it to become durable; an urgent change does not wait for others to share
// its commit.
func (s *TaskStore) TaskChanged(task *taskstate.Task, urgent bool) {
	s.writer.taskChanged(task, urgent)
}

// Flush commits the changed tasks: immediately if one of the changes is urgent, otherwise
// after a delay in which further changes can join the commit.
func (s *TaskStore) Flush() {
	if s.loaded {
		s.writer.flush()
	}
}
