package shard

import (
	"time"

	"lemonmoor/internal/tokenbucket"
	"lemonmoor/internal/tuning"
)

// commitPacing decides when the next commit of log pages may be sent and how many operations
// it may carry.
type commitPacing struct {
	budget         tokenbucket.Bucket // of operations
	inFlight       int                // commits sent and not answered
	sentAt         time.Duration      // when the newest commit was sent
	refusals       int                // commits refused in a row
	backingOff     bool               // after a refusal
	flushScheduled bool
}

// endTerm forgets the commits in flight. The budget and the count of refusals stay: the
// service's limits do not change with the term.
func (p *commitPacing) endTerm() { p.inFlight, p.backingOff, p.flushScheduled = 0, false, false }

// mayPipeline reports whether the number of commits in flight allows another one at all.
func (p *commitPacing) mayPipeline() bool {
	return !p.backingOff && p.inFlight < tuning.MaxCommitsInFlight
}

// pipelineDelay returns how long the newest commit is still to be in flight alone; if its
// answer takes longer, others follow.
func (p *commitPacing) pipelineDelay(now time.Duration) time.Duration {
	if p.inFlight == 0 {
		return 0
	}
	return max(0, p.sentAt+tuning.CommitPipelineDelay-now)
}

// refill adds to the budget what has come in at a rate in operations a second.
func (p *commitPacing) refill(now time.Duration, rate float64) {
	p.budget.Refill(now, rate, max(1, rate))
}

// sent takes note of a commit that is sent now.
func (p *commitPacing) sent(now time.Duration, operations int) {
	p.inFlight++
	p.sentAt = now
	p.budget.Spend(float64(operations))
}
