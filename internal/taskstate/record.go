// Package taskstate is what has been handed out to the blocks of machines: the
// leader's records, the pages on which a block's owner logs what becomes of the
// tasks, every node's copy of both, and the tasks that an owner makes of them.
package taskstate

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// KeyPrefix of all records and pages: work/BLOCK/JOB/NUMBER, work/BLOCK/log/NUMBER.
const KeyPrefix = "work/"

// logName stands where a record's key has its job.
const logName = "log"

// RecordKey of a record.
func RecordKey(block int, job string, number int) string {
	return KeyPrefix + strconv.Itoa(block) + "/" + job + "/" + strconv.Itoa(number)
}

// PageKey is the key of a page of a block's log.
func PageKey(block, page int) string { return RecordKey(block, logName, page) }

// parseKey splits the key of a record or page.
func parseKey(key string) (block int, job string, number int, err error) {
	parts := strings.Split(strings.TrimPrefix(key, KeyPrefix), "/")
	if len(parts) != 3 || (parts[1] != logName && !jobs.ValidID(parts[1])) {
		return 0, "", 0, fmt.Errorf("not a work record: %q", key)
	}
	block, err1 := strconv.Atoi(parts[0])
	number, err2 := strconv.Atoi(parts[2])
	if err1 != nil || err2 != nil || block < 0 || number < 0 {
		return 0, "", 0, fmt.Errorf("not a work record: %q", key)
	}
	return block, parts[1], number, nil
}

// ShardOfKey is the block that a record or page belongs to, -1 if the key is
// neither's.
func ShardOfKey(key string) int {
	block, _, _, err := parseKey(key)
	if err != nil {
		return -1
	}
	return block
}

// ShardOf is the one of so many blocks that a machine belongs to, by its name
// alone.
func ShardOf(host string, blocks int) int {
	// Names are counted up, so their numbers spread neighbours evenly; a hash
	// covers other forms of name.
	if i := strings.LastIndexByte(host, '-'); i >= 0 {
		if n, err := strconv.ParseUint(host[i+1:], 10, 63); err == nil {
			return int(n % uint64(blocks))
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return int(h.Sum32() % uint32(blocks))
}

// TaskStatus is what the records say of one task.
type TaskStatus struct {
	State    State
	Attempt  uint64 // the last one used
	WorkerID string // of a placed task
	Running  bool   // a placed task of a gang has been seen running
}

// after tells whether a mark supersedes another of the same task in the same
// record. Marks only go forward: attempts grow, within an attempt a task is
// first placed, of a gang then seen running, then off its machine, then given
// back; done is the end. So the order in which pages are read does not matter, nor does reading one twice.
func (m TaskStatus) supersedes(o TaskStatus) bool {
	switch {
	case o.State == StateDone:
		return false
	case m.State == StateDone:
		return true
	case m.Attempt != o.Attempt:
		return m.Attempt > o.Attempt
	case m.State == StatePlaced && o.State == StatePlaced:
		return m.Running && !o.Running
	}
	return stateOrder[m.State] > stateOrder[o.State]
}

var stateOrder = [...]int{StatePlaced: 0, StateWaiting: 1, StateReturned: 2, StateDropped: 2, StateDone: 3}

// Record is tasks of a job handed to one block: written once by the leader,
// removed by it when they are over. What becomes of the tasks stands on the
// pages of the block's log.
type Record struct {
	Key      string
	Shard    int
	Job      string
	Number   int
	Revision uint64
	Zones    []string // fixed at hand-out for samePlace and spread
	// Of a gang that is divided among blocks: the attempt that the leader has
	// chosen for it, and the number of its tasks in this block.
	GangAttempt uint64
	PartSize    int

	TaskIndexes []int // the tasks, ascending
	Statuses    []TaskStatus
	LogPages    []int32 // where the mark stands; -1: in the record itself
}

// NewRecord makes a record of tasks; attempts gives the last attempts of those
// that have had any.
func NewRecord(block int, job string, number int, index []int, zones []string, attempts map[int]uint64) *Record {
	r := &Record{Key: RecordKey(block, job, number), Shard: block, Job: job, Number: number, TaskIndexes: index, Zones: zones}
	r.clearStatuses()
	for i, n := range index {
		r.Statuses[i].Attempt = attempts[n]
	}
	return r
}

// MarkAllDone makes it a record of tasks that are proven done already: those of a
// gang, one of whose tasks is.
func (r *Record) SetAllDone() {
	for i := range r.Statuses {
		r.Statuses[i] = TaskStatus{State: StateDone}
	}
}

func (r *Record) clearStatuses() {
	r.Statuses, r.LogPages = make([]TaskStatus, len(r.TaskIndexes)), make([]int32, len(r.TaskIndexes))
	for i := range r.LogPages {
		r.LogPages[i] = -1
	}
}

// position finds a task in the record, -1 if it is not there.
func (r *Record) position(task int) int {
	if k := task - r.TaskIndexes[0]; k >= 0 && k < len(r.TaskIndexes) && r.TaskIndexes[k] == task {
		return k
	}
	if k, ok := slices.BinarySearch(r.TaskIndexes, task); ok {
		return k
	}
	return -1
}

// storedRecord is the JSON form. Returned, Placed and Attempts are written by the
// first version only, which kept the tasks' states here; Done is also written
// for gangs.
type storedRecord struct {
	Indexes    string   `json:"i"`
	LastAttempts     string   `json:"w,omitempty"` // last attempts
	Zones    []string `json:"z,omitempty"`
	GangAttempt      uint64   `json:"g,omitempty"`
	PartSize     int      `json:"n,omitempty"`
	Done     string   `json:"d,omitempty"`
	Returned string   `json:"r,omitempty"`
	Placed   map[string]struct {
		Host    string `json:"h"`
		Attempt uint64 `json:"t"`
	} `json:"p,omitempty"`
	Attempts map[string]uint64 `json:"a,omitempty"`
}

// Encode writes the value of a record that has just been handed out.
func (r *Record) Encode() (json.RawMessage, error) {
	s := storedRecord{Zones: r.Zones, GangAttempt: r.GangAttempt, PartSize: r.PartSize}
	var index, last, done rangeList
	for k, i := range r.TaskIndexes {
		index.add(i, usualAttempt)
		if r.Statuses[k].State == StateDone {
			done.add(i, usualAttempt)
		}
		if a := r.Statuses[k].Attempt; a > 0 {
			last.add(i, a)
		}
	}
	s.Indexes, s.LastAttempts, s.Done = index.String(), last.String(), done.String()
	return json.Marshal(s)
}

// Decode reads a record.
func DecodeRecord(key string, value json.RawMessage, stamp uint64) (*Record, error) {
	block, job, number, err := parseKey(key)
	if err == nil && job == logName {
		err = fmt.Errorf("not a work record: %q", key)
	}
	if err != nil {
		return nil, err
	}
	var s storedRecord
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, fmt.Errorf("work record %s: %w", key, err)
	}
	r := &Record{Key: key, Shard: block, Job: job, Number: number, Revision: stamp, Zones: s.Zones, GangAttempt: s.GangAttempt, PartSize: s.PartSize}
	err = parseRanges(s.Indexes, jobs.MaxTasks, func(n indexRange) error {
		if len(r.TaskIndexes)+n.last-n.first >= tuning.MaxRecordTasks {
			return fmt.Errorf("more than %d tasks", tuning.MaxRecordTasks)
		}
		for i := n.first; i <= n.last; i++ {
			r.TaskIndexes = append(r.TaskIndexes, i)
		}
		return nil
	})
	if err != nil || len(r.TaskIndexes) == 0 {
		return nil, fmt.Errorf("work record %s: bad tasks %q (%v)", key, s.Indexes, err)
	}
	r.clearStatuses()
	if err := r.decodeStatuses(&s); err != nil {
		return nil, err
	}
	return r, nil
}

// decodeStatuses reads what a record itself says of its tasks; the first version kept all
// of it there.
func (r *Record) decodeStatuses(s *storedRecord) error {
	for _, part := range []struct {
		text string
		fn   func(*TaskStatus, uint64)
	}{
		{s.LastAttempts, func(m *TaskStatus, a uint64) { m.Attempt = a }},
		{s.Done, func(m *TaskStatus, _ uint64) { m.State = StateDone }},
		{s.Returned, func(m *TaskStatus, _ uint64) { m.State = StateReturned }},
	} {
		if err := r.updateRanges(part.text, part.fn); err != nil {
			return err
		}
	}
	for text, p := range s.Placed {
		if err := r.updateNamedTask(text, func(m *TaskStatus) { m.State, m.Attempt, m.WorkerID = StatePlaced, p.Attempt, p.Host }); err != nil {
			return err
		}
	}
	for text, a := range s.Attempts {
		if err := r.updateNamedTask(text, func(m *TaskStatus) { m.Attempt = a }); err != nil {
			return err
		}
	}
	return nil
}

// updateRanges calls fn for the marks of runs of tasks, with their attempt.
func (r *Record) updateRanges(text string, fn func(*TaskStatus, uint64)) error {
	return parseRanges(text, jobs.MaxTasks, func(n indexRange) error {
		for i := n.first; i <= n.last; i++ {
			if err := r.updateTask(i, func(m *TaskStatus) { fn(m, n.attempt) }); err != nil {
				return err
			}
		}
		return nil
	})
}

// updateNamedTask calls fn for the mark of a task named in a text.
func (r *Record) updateNamedTask(text string, fn func(*TaskStatus)) error {
	task, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("work record %s: no task %q", r.Key, text)
	}
	return r.updateTask(task, fn)
}

func (r *Record) updateTask(task int, fn func(*TaskStatus)) error {
	k := r.position(task)
	if k < 0 {
		return fmt.Errorf("work record %s: no task %d", r.Key, task)
	}
	fn(&r.Statuses[k])
	return nil
}
