package controller

import (
	"time"

	"lemonmoor/internal/http1"
)

// stateFaults are the faults of the state service and of the way to it.
type stateFaults struct {
	outage             bool            // 503 for all
	refusedControllers map[string]bool // 503 for these alone, by name
	silentWatchPrefix  string          // a prefix of keys: no watch of it is answered
	latency            time.Duration   // each way takes half of it more, one in twelve 25 times as much more
	lateCommitShare    float64         // of transactions that are not answered, and carried out 2 to 12 s later
	lostAnswerShare    float64         // of transactions that are carried out at once and not answered
}

// stateLimits is what the state service takes.
type stateLimits struct {
	writesPerSecond float64 // puts and deletes, 0: any number
	operations      int     // of a transaction
	valueBytes      int
	undeclared      bool // the settings don't tell these limits: exceeding them breaks no rule
}

// outageFor has the state service down for a while; afterwards every lease has its full
// time again.
func (s *simulation) outageFor(d time.Duration) {
	s.stateFaults.outage = true
	s.schedule(d, func() {
		s.stateFaults.outage = false
		s.state.renewAllLeases()
		s.state.notifyWatches()
	})
}

// refuseControllerFor has the state service refuse one controller for a while; its open
// watches wait.
func (s *simulation) refuseControllerFor(node string, d time.Duration) {
	s.stateFaults.refusedControllers[node] = true
	s.schedule(d, func() {
		delete(s.stateFaults.refusedControllers, node)
		s.state.notifyWatches()
	})
}

// unavailableTo tells whether a fault keeps the service from answering a controller.
func (s *simStateService) unavailableTo(controller string) bool {
	return s.sim.stateFaults.outage || s.sim.stateFaults.refusedControllers[controller]
}

// receive takes a controller's request, unless a fault of the day has it carried out late
// or its answer lost.
func (s *simStateService) receive(from string, request http1.ClientRequest, reply func(http1.Response)) {
	faults := &s.sim.stateFaults
	noReply := func(http1.Response) {}
	if faults.lateCommitShare+faults.lostAnswerShare > 0 && request.Target == "/commit" && !s.unavailableTo(from) {
		switch roll := s.sim.rng.Float64(); {
		case roll < faults.lateCommitShare:
			s.sim.schedule(time.Duration(2000+s.sim.rng.IntN(10000))*time.Millisecond, func() { s.sim.state.serve(from, request, noReply) })
			return
		case roll < faults.lateCommitShare+faults.lostAnswerShare:
			s.serve(from, request, noReply)
			return
		}
	}
	s.serve(from, request, reply)
}
