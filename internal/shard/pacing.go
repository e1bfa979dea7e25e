package shard

import (
	"time"

	"lemonmoor/internal/tokenbucket"
	"lemonmoor/internal/tuning"
)

// commitPacing determines when the next commit of log pages may be sent and how many
// operations it may contain.
type commitPacing struct {
	budget         tokenbucket.Bucket // of operations
	inFlight       int                // commits sent and not answered
	sentAt         time.Duration      // when the newest commit was sent
	refusals       int                // consecutive refused commits
	backingOff     bool               // waiting after a refusal
	flushScheduled bool
}

// endTerm resets what belongs to the term's commits in flight. The budget and the refusal
// count are kept, because the service's limits do not change with the term.
func (p *commitPacing) endTerm() { p.inFlight, p.backingOff, p.flushScheduled = 0, false, false }

// canSendCommit reports whether another commit may be sent at all: the number in flight is
// below the limit and no backoff is in progress.
func (p *commitPacing) canSendCommit() bool {
	return !p.backingOff && p.inFlight < tuning.MaxCommitsInFlight
}

// pipelineDelay returns how long to wait for the answer to the newest commit in flight before
// another one may be sent without it; 0 if no commit is in flight.
func (p *commitPacing) pipelineDelay(now time.Duration) time.Duration {
	if p.inFlight == 0 {
		return 0
	}
	return max(0, p.sentAt+tuning.CommitPipelineDelay-now)
}

// refill adds to the budget what has accrued at a rate in operations per second.
func (p *commitPacing) refill(now time.Duration, rate float64) {
	p.budget.Refill(now, rate, max(1, rate))
}

// recordCommit records that a commit with a number of operations is sent now.
func (p *commitPacing) recordCommit(now time.Duration, operations int) {
	p.inFlight++
	p.sentAt = now
	p.budget.Spend(float64(operations))
}
