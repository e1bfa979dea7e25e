package taskstate

import (
	"encoding/json"
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/statestore"
)

// Observer is called on changes of the records and of their tasks' statuses, in the order in
// which the store applies them.
type Observer interface {
	// RecordAdded is called for a new record.
	RecordAdded(record *Record)
	// RecordRemoved is called for a record that was deleted.
	RecordRemoved(record *Record)
	// TaskStatusChanged is called after the status of the task at a position of a record
	// has changed from the previous one.
	TaskStatusChanged(record *Record, position int, previous TaskStatus)
}

// Store is a node's copy of all records and of their tasks' statuses on the log pages. Every
// node has one, updated by a watch. It is used only within the event loop.
type Store struct {
	mirror        *statestore.Mirror
	observers     []Observer
	records       map[string]*Record            // by key
	recordsByJob  map[string]map[string]*Record // by job ID and key
	unreadable    unreadableRecords
	progress      map[string]*jobProgress // by job ID
	pageRevisions map[string]uint64       // by key
	log           *slog.Logger
}

// jobProgress is the progress of a job in numbers of tasks, as shown to its user.
type jobProgress struct {
	done, placed int
	running      int // placed tasks of a gang that have been seen running
}

// NewStore returns an empty store.
func NewStore(runtime eventloop.Runtime, state *statestore.Client, log *slog.Logger) *Store {
	s := &Store{
		records: map[string]*Record{}, recordsByJob: map[string]map[string]*Record{}, unreadable: unreadableRecords{},
		progress: map[string]*jobProgress{}, pageRevisions: map[string]uint64{}, log: log,
	}
	s.mirror = statestore.NewMirror(runtime, state, KeyPrefix, statestore.MirrorHandler{Apply: s.apply, Reset: s.reset})
	return s
}

// Observe registers an observer. It is called after the observers registered earlier.
func (s *Store) Observe(observer Observer) { s.observers = append(s.observers, observer) }

// SetWatchPause sets the function that returns the pause between two watch requests.
func (s *Store) SetWatchPause(pause func() time.Duration) { s.mirror.SetWatchPause(pause) }

// Start starts reading the records.
func (s *Store) Start() { s.mirror.Start() }

// Revision returns the revision of the state service up to which the store holds all changes.
func (s *Store) Revision() uint64 { return s.mirror.Revision() }

// Verify calls fn once the store is verified to hold everything that was committed before
// the call, or with an error if that could not be shown.
func (s *Store) Verify(fn func(error)) { s.mirror.Verify(fn) }

// Get returns a record, nil if there is none with that key.
func (s *Store) Get(key string) *Record { return s.records[key] }

// EachRecord calls fn for every record, in no particular order.
func (s *Store) EachRecord(fn func(*Record)) {
	for _, record := range s.records {
		fn(record)
	}
}

// JobRecords returns the records of a job by key. The map belongs to the store and must not
// be modified.
func (s *Store) JobRecords(jobID string) map[string]*Record { return s.recordsByJob[jobID] }

// HasUnreadableRecord reports whether a record of a job is stored that cannot be decoded. Then it
// is unknown which tasks of the job are dispatched.
func (s *Store) HasUnreadableRecord(jobID string) bool { return len(s.unreadable[jobID]) > 0 }

// PageRevision returns the revision of a log page, 0 if it was never written.
func (s *Store) PageRevision(shardIndex, page int) uint64 {
	return s.pageRevisions[PageKey(shardIndex, page)]
}

// Progress returns the numbers of a job's tasks that are done and that are placed.
func (s *Store) Progress(jobID string) (done, placed int) {
	if progress := s.progress[jobID]; progress != nil {
		return progress.done, progress.placed
	}
	return 0, 0
}

// RunningGangTasks returns the number of a gang's tasks that were seen running. Placed tasks
// may still be waiting for each other.
func (s *Store) RunningGangTasks(jobID string) int {
	if progress := s.progress[jobID]; progress != nil {
		return progress.running
	}
	return 0
}

// reset removes the records that are missing from a new listing. It does not remove and add
// records that are still listed, because an owner would lose track of the tasks on its
// workers.
func (s *Store) reset(entries []statestore.KeyValue) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Key] = true
	}
	for key := range s.records {
		if !listed[key] {
			s.apply(key, nil, 0)
		}
	}
	s.unreadable.retain(listed)
}

// apply applies a change of a key. The value is nil if the key was deleted.
func (s *Store) apply(key string, value json.RawMessage, revision uint64) {
	parsed, err := parseKey(key)
	switch {
	case err != nil:
		s.log.Error("unexpected key under the prefix of the records", "key", key, "err", err)
	case parsed.isPage && value != nil:
		s.pageRevisions[key] = revision
		s.applyPage(parsed.shardIndex, parsed.number, value)
	case parsed.isPage:
		// Pages are overwritten and never deleted, so the statuses stay unchanged.
	case value == nil:
		s.unreadable.remove(key, parsed.jobID)
		s.removeRecord(key)
	default:
		s.addRecord(key, parsed.jobID, value, revision)
	}
}

// addRecord adds a new record. It ignores a known one: records are written only once, and
// the statuses of a known record are newer than those of its stored form.
func (s *Store) addRecord(key, jobID string, value json.RawMessage, revision uint64) {
	if s.records[key] != nil {
		return
	}
	record, err := DecodeRecord(key, value, revision)
	if err != nil {
		s.log.Error("failed to decode a record, nothing more of its job is dispatched", "key", key, "err", err)
		s.unreadable.add(key, jobID)
		return
	}
	s.records[key] = record
	if s.recordsByJob[record.Job] == nil {
		s.recordsByJob[record.Job] = map[string]*Record{}
	}
	s.recordsByJob[record.Job][key] = record
	for _, status := range record.Statuses {
		s.updateProgress(record.Job, status, 1)
	}
	for _, observer := range s.observers {
		observer.RecordAdded(record)
	}
}

// removeRecord removes a record that was deleted.
func (s *Store) removeRecord(key string) {
	record := s.records[key]
	if record == nil {
		return
	}
	delete(s.records, key)
	delete(s.recordsByJob[record.Job], key)
	for _, status := range record.Statuses {
		s.updateProgress(record.Job, status, -1)
	}
	if len(s.recordsByJob[record.Job]) == 0 {
		delete(s.recordsByJob, record.Job)
		delete(s.progress, record.Job)
	}
	for _, observer := range s.observers {
		observer.RecordRemoved(record)
	}
}

// applyPage applies the statuses on a log page. It ignores those of removed records, which
// are obsolete.
func (s *Store) applyPage(shardIndex, page int, value json.RawMessage) {
	statuses, err := decodePage(value)
	if err != nil {
		s.log.Error("failed to decode a log page", "shard", shardIndex, "page", page, "err", err)
		return
	}
	var record *Record
	for _, logged := range statuses {
		if record == nil || record.Job != logged.jobID || record.Number != logged.number {
			record = s.records[RecordKey(shardIndex, logged.jobID, logged.number)]
		}
		if record == nil {
			continue
		}
		position := record.position(logged.index)
		if position < 0 {
			s.log.Error("log page names a task that its record lacks", "shard", shardIndex, "page", page, "key", record.Key, "task", logged.index)
			continue
		}
		s.applyStatus(record, position, logged.status, page)
	}
}

// applyStatus applies the status of a task on a log page. It ignores superseded statuses.
func (s *Store) applyStatus(record *Record, position int, status TaskStatus, page int) {
	previous := record.Statuses[position]
	switch {
	case status == previous || (status.State == StateDone && previous.State == StateDone):
		record.LogPages[position] = int32(page) // moved from a page that is to be overwritten
	case status.supersedes(previous):
		record.Statuses[position], record.LogPages[position] = status, int32(page)
		s.updateProgress(record.Job, previous, -1)
		s.updateProgress(record.Job, status, 1)
		for _, observer := range s.observers {
			observer.TaskStatusChanged(record, position, previous)
		}
	}
}

// updateProgress adds a task to a job's progress with a sign of 1, and removes it with -1.
func (s *Store) updateProgress(jobID string, status TaskStatus, sign int) {
	progress := s.progress[jobID]
	if progress == nil {
		progress = &jobProgress{}
		s.progress[jobID] = progress
	}
	switch status.State {
	case StateDone:
		progress.done += sign
	case StatePlaced:
		progress.placed += sign
		if status.Running {
			progress.running += sign
		}
	case StateWaiting, StateDropped, StateReturned:
	}
}
