package taskstate

import "slices"

// TaskStatus is the status of one task in its record or on a log page.
type TaskStatus struct {
	State    State
	Attempt  uint64 // the last attempt used
	WorkerID string // the worker of a placed task
	Running  bool   // set once a placed task of a gang was seen running
}

// supersedes reports whether a status is newer than another one of the same task in the
// same record. A task's status only moves forward: attempt numbers grow; within an attempt a
// task is first placed, then (in a gang) seen running, then off its worker, then returned;
// done is final. Log pages can therefore be read in any order, and more than once.
func (s TaskStatus) supersedes(other TaskStatus) bool {
	switch {
	case other.State == StateDone:
		return false
	case s.State == StateDone:
		return true
	case s.Attempt != other.Attempt:
		return s.Attempt > other.Attempt
	case s.State == StatePlaced && other.State == StatePlaced:
		return s.Running && !other.Running
	}
	return stateOrder[s.State] > stateOrder[other.State]
}

// stateOrder gives the order of the states within an attempt.
var stateOrder = [...]int{StatePlaced: 0, StateWaiting: 1, StateReturned: 2, StateDropped: 2, StateDone: 3}

// noLogPage is the log page number of a status that is only in the record itself.
const noLogPage = -1

// Record is a set of tasks of a job that were dispatched to one shard. The leader writes it
// once and removes it when all of its tasks are closed; the status changes in between are on
// the pages of the shard's log.
type Record struct {
	Key      string
	Shard    int
	Job      string // job ID
	Number   int
	Revision uint64
	// Zones is fixed at dispatch for jobs whose tasks must share a zone or be spread over
	// several; see ZoneOf.
	Zones []string
	// For a gang that is divided among shards, GangAttempt is the attempt that the leader
	// has chosen for it and PartSize the number of its tasks in this shard. Both are 0 for
	// other jobs.
	GangAttempt uint64
	PartSize    int

	// TaskIndexes lists the tasks in ascending order. Statuses and LogPages have an
	// element for each task: its newest status and the number of the log page with that
	// status, -1 if it is in the record itself.
	TaskIndexes []int
	Statuses    []TaskStatus
	LogPages    []int32
}

// NewRecord returns a record of tasks that are not placed. lastAttempts maps the indexes of
// tasks that were attempted before to their last attempt.
func NewRecord(shardIndex int, jobID string, number int, taskIndexes []int, zones []string, lastAttempts map[int]uint64) *Record {
	record := &Record{
		Key: RecordKey(shardIndex, jobID, number), Shard: shardIndex, Job: jobID, Number: number,
		TaskIndexes: taskIndexes, Zones: zones,
	}
	record.clearStatuses()
	for position, index := range taskIndexes {
		record.Statuses[position].Attempt = lastAttempts[index]
	}
	return record
}

// SetAllDone marks all tasks of the record as done. It is used for a gang of which one task
// is known to be done.
func (r *Record) SetAllDone() {
	for i := range r.Statuses {
		r.Statuses[i] = TaskStatus{State: StateDone}
	}
}

// clearStatuses resets the status of every task to that of a task that was never placed.
func (r *Record) clearStatuses() {
	r.Statuses, r.LogPages = make([]TaskStatus, len(r.TaskIndexes)), make([]int32, len(r.TaskIndexes))
	for i := range r.LogPages {
		r.LogPages[i] = noLogPage
	}
}

// position returns the position of a task in the record, -1 if it is not part of it.
func (r *Record) position(taskIndex int) int {
	// The indexes of most records have no gaps.
	if i := taskIndex - r.TaskIndexes[0]; i >= 0 && i < len(r.TaskIndexes) && r.TaskIndexes[i] == taskIndex {
		return i
	}
	if i, found := slices.BinarySearch(r.TaskIndexes, taskIndex); found {
		return i
	}
	return -1
}
