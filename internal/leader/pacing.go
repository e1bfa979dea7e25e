package leader

import (
	"time"

	"lemonmoor/internal/tuning"
)

// pacing decides when the next dispatch round is due.
type pacing struct {
	requested        bool // something has changed since the last round
	timerSet         bool // for when the next round is due
	lastRoundAt      time.Duration
	minRoundInterval time.Duration
}

// untilNextRound returns how long the leader has to wait before it may act again.
func (p *pacing) untilNextRound(now time.Duration) time.Duration {
	if p.lastRoundAt <= 0 {
		return 0
	}
	return max(0, p.lastRoundAt+p.minRoundInterval-now)
}

// setMachineCount adapts the spacing to the cost of a round, which visits every machine.
func (p *pacing) setMachineCount(machines int) {
	p.minRoundInterval = tuning.MinRoundInterval + time.Duration(machines)*tuning.RoundIntervalPerMachine
}
