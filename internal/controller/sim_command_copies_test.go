package controller

import (
	"math"
	"time"

	"lemonmoor/internal/http1"
)

// commandCopies is the fault that direct commands which a worker has executed and answered arrive
// there once more.
type commandCopies struct {
	share    float64  // share of the executed commands that are copied
	retained []func() // copies that arrive when a lease changes hands; each call delivers one
	arrived  int
}

const (
	// Delays of a copy of a command; most copies are early ones.
	minCopyDelay = 200 * time.Millisecond
	maxCopyDelay = 2 * time.Minute
	// maxRetainedCopies bounds the copies that wait for a lease to change hands.
	maxRetainedCopies = 60
)

// copyCommands draws whether a copy of commands that a worker has executed arrives later, and when:
// after a delay, or when the lease of a shard or of the leader changes hands.
func (w *simWorker) copyCommands(request http1.ClientRequest) {
	sim, copies := w.sim, &w.sim.commandCopies
	if copies.share == 0 || sim.rng.Float64() >= copies.share {
		return
	}
	if sim.rng.IntN(4) == 0 && len(copies.retained) < maxRetainedCopies {
		copies.retained = append(copies.retained, func() { w.receiveCopy(request) })
		return
	}
	spread := float64(maxCopyDelay) / float64(minCopyDelay)
	delay := time.Duration(float64(minCopyDelay) * math.Pow(spread, sim.rng.Float64()))
	sim.schedule(delay, func() { w.receiveCopy(request) })
}

// receiveCopy executes a copy of commands, if their token and session still match. Nobody waits for
// the answer.
func (w *simWorker) receiveCopy(request http1.ClientRequest) {
	w.whenResponsive(func() {
		if !w.dead {
			w.sim.commandCopies.arrived++
			w.handleCommands(request, w.sim.now)
		}
	})
}

// releaseRetainedCommands delivers the retained copies of commands. It is called when the lease
// key of the leader or of a shard is written, that is, when a new term begins.
func (s *simulation) releaseRetainedCommands() {
	deliveries := s.commandCopies.retained
	s.commandCopies.retained = nil
	for i, deliver := range deliveries {
		s.schedule(time.Duration(1+i%40)*10*time.Millisecond, deliver)
	}
}
