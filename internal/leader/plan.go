package leader

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/userapi"
)

// jobState is a job as the leader sees it.
type jobState struct {
	e         *userapi.Entry
	desc      *jobs.Spec
	rank      jobs.Rank
	cancelled bool
	zones     []string
	next      int            // first task never handed out
	back      []int          // returned by a block and not handed out again
	attempts  map[int]uint64 // last attempts of those
	number    int            // of the next record
	open      int            // handed out, neither done nor returned
	placed    int            // of those, on machines
	done      int
	waiting   []int // of those, in the blocks' queues
	ending    bool
	starved   bool          // waits for its first task for too long
	place     int           // in the order at the latest hand-out
	torn      time.Duration // a gang: since when only a part of it has come back
	handed    time.Duration // a gang: when it was last handed out
}

// left tells how many tasks are not handed out.
func (p *jobState) left() int { return len(p.back) + p.desc.Tasks - p.next }

// nth is the task k places behind the next to hand out.
func (p *jobState) nth(k int) int {
	if k < len(p.back) {
		return p.back[k]
	}
	return p.next + k - len(p.back)
}

// first is the next task to hand out.
func (p *jobState) first() int {
	if len(p.back) > 0 {
		return p.back[0]
	}
	return p.next
}

// before orders plans as the owners order jobs.
func before(a, b *jobState) bool {
	if a.starved != b.starved {
		return a.starved
	}
	return a.rank.Before(&b.rank)
}
