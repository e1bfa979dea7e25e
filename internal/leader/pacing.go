package leader

import (
	"time"

	"lemonmoor/internal/tuning"
)

// pacing determines when the next round is due, in which tasks are dispatched or records
// removed. Times are by the loop's clock.
type pacing struct {
	requested        bool // a dispatch round is requested, since something has changed
	timerSet         bool // a timer is set for the time at which the next round is due
	lastRoundAt      time.Duration
	minRoundInterval time.Duration
}

// untilNextRound returns how long the leader has to wait before the next round, 0 if it is due.
func (p *pacing) untilNextRound(now time.Duration) time.Duration {
	if p.lastRoundAt <= 0 {
		return 0
	}
	return max(0, p.lastRoundAt+p.minRoundInterval-now)
}

// setMachineCount adapts the interval to the cost of a round, which visits every machine.
func (p *pacing) setMachineCount(machines int) {
	p.minRoundInterval = tuning.MinRoundInterval + time.Duration(machines)*tuning.RoundIntervalPerMachine
}
