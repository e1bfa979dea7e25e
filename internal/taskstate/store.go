package taskstate

import (
	"encoding/json"
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/statestore"
)

// Store is every node's copy of all records and of what the pages say of their
// tasks, fed by a watch.
type Store struct {
	// RecordAdded and Removed tell of records, Moved of a task of one that was
	// marked otherwise before.
	RecordAdded       func(*Record)
	RecordRemoved     func(*Record)
	TaskStatusChanged func(r *Record, position int, was TaskStatus)

	mirror  *statestore.Mirror
	records map[string]*Record
	byJob   map[string]map[string]*Record
	sums    map[string]*sum
	pages   map[string]uint64 // stamps of the pages
	log     *slog.Logger
}

// sum is what users are shown of a job.
type sum struct{ done, placed, running int }

// NewStore returns an empty store.
func NewStore(rt eventloop.Runtime, state *statestore.Client, log *slog.Logger) *Store {
	s := &Store{
		RecordAdded: func(*Record) {}, RecordRemoved: func(*Record) {}, TaskStatusChanged: func(*Record, int, TaskStatus) {},
		records: map[string]*Record{}, byJob: map[string]map[string]*Record{}, sums: map[string]*sum{},
		pages: map[string]uint64{}, log: log,
	}
	s.mirror = statestore.NewMirror(rt, state, KeyPrefix, statestore.MirrorHandler{Apply: s.apply, Reset: s.reset})
	return s
}

// reset removes the records that a new listing lacks. What is there still is not taken
// away and brought back: an owner would lose sight of the tasks on its machines.
func (s *Store) reset(rows []statestore.KeyValue) {
	there := make(map[string]bool, len(rows))
	for _, r := range rows {
		there[r.Key] = true
	}
	for key := range s.records {
		if !there[key] {
			s.apply(key, nil, 0)
		}
	}
}

// SetWatchPause sets how long to rest between changes.
func (s *Store) SetWatchPause(pause func() time.Duration) { s.mirror.SetWatchPause(pause) }

// Start begins to read the records.
func (s *Store) Start() { s.mirror.Start() }

// Verify calls fn when the store is proven to be current.
func (s *Store) Verify(fn func(error)) { s.mirror.Verify(fn) }

func (s *Store) apply(key string, value json.RawMessage, stamp uint64) {
	block, job, number, err := parseKey(key)
	if err != nil {
		s.log.Error("work record has a strange key", "err", err)
		return
	}
	if job == logName {
		if value != nil {
			s.pages[key] = stamp
			s.read(block, number, value)
		}
		return
	}
	old := s.records[key]
	if value == nil {
		if old != nil {
			delete(s.records, key)
			delete(s.byJob[old.Job], key)
			for _, m := range old.Statuses {
				s.count(job, m, -1)
			}
			if len(s.byJob[old.Job]) == 0 {
				delete(s.byJob, old.Job)
				delete(s.sums, old.Job)
			}
			s.RecordRemoved(old)
		}
		return
	}
	if old != nil {
		return // records are written once; it was read before
	}
	r, err := Decode(key, value, stamp)
	if err != nil {
		s.log.Error("work record does not parse", "err", err)
		return
	}
	s.records[key] = r
	if s.byJob[r.Job] == nil {
		s.byJob[r.Job] = map[string]*Record{}
	}
	s.byJob[r.Job][key] = r
	for _, m := range r.Statuses {
		s.count(job, m, 1)
	}
	s.RecordAdded(r)
}

// read takes a page in. Words on records that are gone mean nothing any more.
func (s *Store) read(block, page int, value json.RawMessage) {
	var r *Record
	err := readPage(value, func(job string, number, task int, m TaskStatus) {
		if r == nil || r.Job != job || r.Number != number {
			r = s.records[RecordKey(block, job, number)]
		}
		if r == nil {
			return
		}
		k := r.position(task)
		if k < 0 {
			s.log.Error("log page names a strange task", "record", r.Key, "task", task)
			return
		}
		was := r.Statuses[k]
		switch {
		case m == was || (m.State == StateDone && was.State == StateDone):
			r.LogPages[k] = int32(page) // copied from a page that is to be written over
		case m.after(was):
			r.Statuses[k], r.LogPages[k] = m, int32(page)
			s.count(job, was, -1)
			s.count(job, m, 1)
			s.TaskStatusChanged(r, k, was)
		}
	})
	if err != nil {
		s.log.Error("log page does not parse", "block", block, "page", page, "err", err)
	}
}

func (s *Store) count(job string, m TaskStatus, sign int) {
	n := s.sums[job]
	if n == nil {
		n = &sum{}
		s.sums[job] = n
	}
	switch m.State {
	case StateDone:
		n.done += sign
	case StatePlaced:
		n.placed += sign
		if m.Running {
			n.running += sign
		}
	}
}

// RunningTasks tells how many tasks of a gang run: placed ones may still wait for
// each other.
func (s *Store) RunningTasks(job string) int {
	if n := s.sums[job]; n != nil {
		return n.running
	}
	return 0
}

// Progress tells how many tasks of a job are done and on machines.
func (s *Store) Progress(job string) (done, placed int) {
	if n := s.sums[job]; n != nil {
		return n.done, n.placed
	}
	return 0, 0
}

// PageRevision is the stamp of a page, 0 if it was never written.
func (s *Store) PageRevision(block, page int) uint64 { return s.pages[PageKey(block, page)] }

// Get finds a record.
func (s *Store) Get(key string) *Record { return s.records[key] }

// EachRecord calls fn for every record.
func (s *Store) EachRecord(fn func(*Record)) {
	for _, r := range s.records {
		fn(r)
	}
}

// JobRecords returns the records of a job.
func (s *Store) JobRecords(job string) map[string]*Record { return s.byJob[job] }
