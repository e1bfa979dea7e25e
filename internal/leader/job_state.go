package leader

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// jobState is what the leader knows of an unfinished job.
type jobState struct {
	entry      *userapi.Entry
	spec       *jobs.Spec
	team       *teamUsage // nil if the settings don't name the team
	rank       jobs.Rank
	position   int      // in the dispatch order, as of the newest round
	zones      []string // its tasks are bound to them in turn; empty: to none
	nextRecord int      // number of the next task record
	cancelled  bool
	ending     bool // the commit of its end is queued or in flight
	starved    bool // has waited too long for its first task
	pending    taskQueue
	counts     taskCounts
	gang       gangState
}

// taskCounts counts the tasks of a job that have been dispatched to shards.
type taskCounts struct {
	open           int   // dispatched, neither done nor returned
	placed         int   // open and on a machine
	done           int   // completed
	waitingByShard []int // open and in a shard's queue
}

// gangState is what the leader knows of a job of shape gang besides.
type gangState struct {
	// partReturnedSince is since when only a part of the gang has been returned, 0 if
	// none or all of it has.
	partReturnedSince time.Duration
	dispatchedAt      time.Duration // the last time
}

// taskQueue holds the tasks of a job that no shard has: those that shards have returned go
// first, then the ones never dispatched.
type taskQueue struct {
	total    int            // tasks of the job
	nextNew  int            // first task never dispatched
	returned []int          // returned by shards, in ascending order
	attempts map[int]uint64 // last attempts of tasks that were returned
}

// length returns how many tasks are to be dispatched.
func (q *taskQueue) length() int { return len(q.returned) + q.total - q.nextNew }

// at returns the task with so many others before it in the queue.
func (q *taskQueue) at(offset int) int {
	if offset < len(q.returned) {
		return q.returned[offset]
	}
	return q.nextNew + offset - len(q.returned)
}

// pop takes the next task out of the queue; retried: a shard has returned it before.
func (q *taskQueue) pop() (index int, retried bool) {
	index = q.at(0)
	if len(q.returned) > 0 {
		q.returned = q.returned[1:]
		return index, true
	}
	q.nextNew++
	return index, false
}

// tasksByZone counts how many of the next so many tasks must go to each of the zones; ""
// stands for any.
func (q *taskQueue) tasksByZone(zones []string, count int) map[string]int {
	byZone := map[string]int{}
	for offset := range count {
		byZone[taskstate.ZoneOf(zones, q.at(offset))]++
	}
	return byZone
}

// isComplete reports whether nothing of the job is left to run, so that its end can be
// committed.
func (j *jobState) isComplete() bool {
	if j.cancelled {
		// The shard owner has to write off every task before the record may go: a
		// placement that is on its way to the state service would be lost.
		return j.counts.open == 0
	}
	return !j.spec.IsService() && j.counts.done >= j.spec.Tasks && j.counts.open == 0
}

// updateStarved notes whether the job waits too long for its first task, and reports
// whether that has changed: a job that nothing has been done for is not passed over for
// ever.
func (j *jobState) updateStarved(age time.Duration, limit time.Duration) bool {
	begun := j.counts.placed+j.counts.done > 0
	switch {
	case !j.starved && !j.cancelled && !begun && age > limit:
		j.starved = true
	case j.starved && begun:
		j.starved = false
	default:
		return false
	}
	return true
}

// jobBefore orders jobs as the shard owners order them.
func jobBefore(a, b *jobState) bool {
	if a.starved != b.starved {
		return a.starved
	}
	return a.rank.Before(&b.rank)
}
