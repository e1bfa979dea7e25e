package taskstate

import "slices"

// TaskStatus is what the record and the log pages say of one task.
type TaskStatus struct {
	State    State
	Attempt  uint64 // the last one used
	WorkerID string // of a placed task
	Running  bool   // a placed task of a gang has been seen running
}

// supersedes reports whether a status is newer than another one of the same task in the
// same record. A task's status only moves forward: attempts grow; within an attempt a task
// is first placed, of a gang then seen running, then off its worker, then returned; done is
// the end. So the order in which log pages are read does not matter, nor does reading one
// twice.
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

// stateOrder is the order of the states within an attempt.
var stateOrder = [...]int{StatePlaced: 0, StateWaiting: 1, StateReturned: 2, StateDropped: 2, StateDone: 3}

// notLogged stands for the log page of a status that only the record itself holds.
const notLogged = -1

// Record is tasks of a job that were dispatched to one shard. The leader writes it once and
// removes it when all of its tasks are over; what becomes of the tasks in between stands on
// the pages of the shard's log.
type Record struct {
	Key      string
	Shard    int
	Job      string // the job's ID
	Number   int
	Revision uint64
	// Zones are fixed at dispatch for jobs whose tasks are to share a zone or to spread
	// over several; see ZoneOf.
	Zones []string
	// GangAttempt is, for a gang that is divided among shards, the attempt that the
	// leader has chosen for it; PartSize is the number of its tasks in this shard. Both
	// are 0 for other jobs.
	GangAttempt uint64
	PartSize    int

	// TaskIndexes lists the tasks in ascending order. Statuses and LogPages have an
	// element for each: its newest status and the log page that holds it, -1 for the
	// record itself.
	TaskIndexes []int
	Statuses    []TaskStatus
	LogPages    []int32
}

// NewRecord returns a record of tasks; lastAttempts gives, by task, the last attempts of
// those that have had any.
func NewRecord(shardIndex int, jobID string, number int, taskIndexes []int, zones []string, lastAttempts map[int]uint64) *Record {
	r := &Record{
		Key: RecordKey(shardIndex, jobID, number), Shard: shardIndex, Job: jobID, Number: number,
		TaskIndexes: taskIndexes, Zones: zones,
	}
	r.clearStatuses()
	for position, index := range taskIndexes {
		r.Statuses[position].Attempt = lastAttempts[index]
	}
	return r
}

// SetAllDone makes it a record of tasks that are done already: those of a gang, one of whose
// tasks is known to be done.
func (r *Record) SetAllDone() {
	for i := range r.Statuses {
		r.Statuses[i] = TaskStatus{State: StateDone}
	}
}

// clearStatuses gives every task the status of one that was never placed.
func (r *Record) clearStatuses() {
	r.Statuses, r.LogPages = make([]TaskStatus, len(r.TaskIndexes)), make([]int32, len(r.TaskIndexes))
	for i := range r.LogPages {
		r.LogPages[i] = notLogged
	}
}

// position returns where a task stands in the record, -1 if it does not.
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
