package leader

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// jobState is the leader's state of an unfinished job.
type jobState struct {
	entry      *userapi.Entry
	spec       *jobs.Spec
	team       *teamUsage // nil if the team is not in the settings
	rank       jobs.Rank
	position   int      // place in the dispatch order of the latest round, from 0
	zones      []string // zones to which the tasks are bound in turn; empty: not bound
	nextRecord int      // number of the next task record
	cancelled  bool
	ending     bool // the commit of its end is queued or in flight
	starved    bool // has waited too long for its first task to be placed
	pending    taskQueue
	counts     taskCounts
	gang       gangState
}

// taskCounts counts the tasks of a job that have been dispatched to shards.
type taskCounts struct {
	open           int   // dispatched, neither done nor returned
	placed         int   // open and placed on a machine
	done           int   // completed
	waitingByShard []int // open and in the queue of a shard
}

// gangState is additional state of a job of shape gang. Times are by the loop's clock.
type gangState struct {
	// recalling is set when tasks of the gang were returned by a shard, or are missing from a
	// divided gang or from the records of an earlier leader: all of the gang has to be returned
	// before it is dispatched again. It is reset when no shard has a task of the gang.
	recalling bool
	// partReturnedSince is the time since which only a part of the gang has been returned,
	// 0 if none or all of it has been.
	partReturnedSince time.Duration
	dispatchedAt      time.Duration // time of the last dispatch
}

// taskQueue holds the tasks of a job that are not dispatched to a shard: first the tasks that
// were returned to the queue, by a shard or because their dispatch was not committed, be it by
// this leader or an earlier one, then those that were never removed from it.
type taskQueue struct {
	total    int            // number of tasks of the job
	nextNew  int            // index of the first task that was never removed from the queue
	returned []int          // indexes of tasks returned to the queue, in ascending order
	attempts map[int]uint64 // last attempts of tasks that shards have returned, by index
}

// length returns the number of tasks in the queue.
func (q *taskQueue) length() int { return len(q.returned) + q.total - q.nextNew }

// at returns the index of the task at an offset from the head of the queue.
func (q *taskQueue) at(offset int) int {
	if offset < len(q.returned) {
		return q.returned[offset]
	}
	return q.nextNew + offset - len(q.returned)
}

// pop removes the next task from the queue and returns its index, and whether the task was
// returned to the queue before.
func (q *taskQueue) pop() (index int, retried bool) {
	index = q.at(0)
	if len(q.returned) > 0 {
		q.returned = q.returned[1:]
		return index, true
	}
	q.nextNew++
	return index, false
}

// tasksByZone returns how many of the next count tasks are bound to each of the zones, or to
// any zone ("") if there are none.
func (q *taskQueue) tasksByZone(zones []string, count int) map[string]int {
	byZone := map[string]int{}
	for offset := range count {
		byZone[taskstate.ZoneOf(zones, q.at(offset))]++
	}
	return byZone
}

// isPartlyReturned reports whether tasks of a gang are in the queue that have to wait there for
// the rest of it. Tasks of a whole gang that did not fit into the commit of its dispatch do not:
// they follow those that were committed.
func (j *jobState) isPartlyReturned() bool { return j.gang.recalling && len(j.pending.returned) > 0 }

// isComplete reports whether the job has no tasks left to run, so that its end can be
// committed.
func (j *jobState) isComplete() bool {
	if j.cancelled {
		// The shard owner has to write off every task before its record may be removed.
		// Otherwise a placement that is on its way to the state service would be lost.
		return j.counts.open == 0
	}
	return !j.spec.IsService() && j.counts.done >= j.spec.Tasks && j.counts.open == 0
}

// updateStarved sets starved if no task of the job is placed or done and the age of the job
// exceeds the limit, and resets it once a task is. It reports whether starved has changed.
// Starved jobs are dispatched first, so that no job waits indefinitely.
func (j *jobState) updateStarved(age time.Duration, limit time.Duration) bool {
	hasStarted := j.counts.placed+j.counts.done > 0
	switch {
	case !j.starved && !j.cancelled && !hasStarted && age > limit:
		j.starved = true
	case j.starved && hasStarted:
		j.starved = false
	default:
		return false
	}
	return true
}

// jobBefore reports whether a is dispatched before b. Shard owners use the same order.
func jobBefore(a, b *jobState) bool {
	if a.starved != b.starved {
		return a.starved
	}
	return a.rank.Before(&b.rank)
}
