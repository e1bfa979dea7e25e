package leader

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/userapi"
)

// jobState is a job as the leader sees it.
type jobState struct {
	entry         *userapi.Entry
	spec      *jobs.Spec
	rank      jobs.Rank
	cancelled bool
	zones     []string
	nextNew      int            // first task never handed out
	returned      []int          // returned by a block and not handed out again
	attempts  map[int]uint64 // last attempts of those
	nextRecord    int            // of the next record
	open      int            // handed out, neither done nor returned
	placed    int            // of those, on machines
	done      int
	waitingByShard   []int // of those, in the blocks' queues
	ending    bool
	starved   bool          // waits for its first task for too long
	position     int           // in the order at the latest hand-out
	partReturnedSince      time.Duration // a gang: since when only a part of it has come back
	dispatchedAt    time.Duration // a gang: when it was last handed out
}

// undispatched tells how many tasks are not handed out.
func (p *jobState) undispatched() int { return len(p.returned) + p.spec.Tasks - p.nextNew }

// taskAt is the task k places behind the next to hand out.
func (p *jobState) taskAt(k int) int {
	if k < len(p.returned) {
		return p.returned[k]
	}
	return p.nextNew + k - len(p.returned)
}

// nextTask is the next task to hand out.
func (p *jobState) nextTask() int {
	if len(p.returned) > 0 {
		return p.returned[0]
	}
	return p.nextNew
}

// jobBefore orders plans as the owners order jobs.
func jobBefore(a, b *jobState) bool {
	if a.starved != b.starved {
		return a.starved
	}
	return a.rank.Before(&b.rank)
}
