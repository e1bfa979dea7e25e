package leader

import (
	"time"

	"lemonmoor/internal/tuning"
)

// pacing decides when the next dispatch round is due.
type pacing struct {
	requested      bool // something has changed since the last round
	timerSet       bool // for when the next round is due
	lastTurnAt     time.Duration
	minTurnSpacing time.Duration
}

// untilNextTurn returns how long the leader has to wait before it may act again.
func (p *pacing) untilNextTurn(now time.Duration) time.Duration {
	if p.lastTurnAt <= 0 {
		return 0
	}
	return max(0, p.lastTurnAt+p.minTurnSpacing-now)
}

// setMachineCount adapts the spacing to the cost of a round, which visits every machine.
func (p *pacing) setMachineCount(machines int) {
	p.minTurnSpacing = tuning.MinRoundInterval + time.Duration(machines)*tuning.RoundIntervalPerMachine
}
