package controller

import (
	"time"

	"lemonmoor/internal/http1"
)

// stateFaults are the faults of the state service and of the connection to it.
type stateFaults struct {
	outage             bool            // all requests get 503
	refusedControllers map[string]bool // requests of these controllers get 503, by name
	silentWatchPrefix  string          // watches of this key prefix are not answered
	silentWatchers     map[string]bool // the controllers for which that holds, by name; nil: all
	latency            time.Duration   // half of it is added in each direction, 25 times it in one of twelve cases
	lateCommitShare    float64         // share of transactions executed 2 to 12 s late, unanswered
	lostAnswerShare    float64         // share of transactions executed immediately, unanswered
}

// stateLimits are the limits that the state service enforces.
type stateLimits struct {
	writesPerSecond   float64 // puts and deletes, 0: unlimited
	requestsPerSecond float64 // 0: unlimited
	pageSize          int     // key-values in one answer, 0: simPageSize
	operations        int     // per transaction
	valueBytes        int
	undeclared        bool // the settings don't declare these limits, so exceeding them breaks no rule
}

// outageFor takes the state service down for a duration; afterwards every lease has its full
// TTL again.
func (s *simulation) outageFor(d time.Duration) {
	s.stateFaults.outage = true
	s.schedule(d, func() {
		s.stateFaults.outage = false
		s.state.renewAllLeases()
		s.state.notifyWatches()
	})
}

// refuseControllerFor makes the state service refuse one controller for a duration; its open
// watches get no answer before the end.
func (s *simulation) refuseControllerFor(node string, d time.Duration) {
	s.stateFaults.refusedControllers[node] = true
	s.schedule(d, func() {
		delete(s.stateFaults.refusedControllers, node)
		s.state.notifyWatches()
	})
}

// silenceWatches leaves the watches of a key prefix by some controllers unanswered for a duration.
func (s *simulation) silenceWatches(prefix string, d time.Duration, controllers ...*simController) {
	watchers := map[string]bool{}
	for _, controller := range controllers {
		if controller != nil {
			watchers[controller.name] = true
		}
	}
	s.stateFaults.silentWatchPrefix, s.stateFaults.silentWatchers = prefix, watchers
	s.schedule(d, func() {
		s.stateFaults.silentWatchPrefix = ""
		s.state.notifyWatches()
	})
}

// isSilent reports whether the watches of a controller are not answered.
func (f *stateFaults) isSilent(prefix, controller string) bool {
	return f.silentWatchPrefix != "" && prefix == f.silentWatchPrefix && (f.silentWatchers == nil || f.silentWatchers[controller])
}

// unavailableTo reports whether a fault prevents the service from answering a controller.
func (s *simStateService) unavailableTo(controller string) bool {
	return s.sim.stateFaults.outage || s.sim.stateFaults.refusedControllers[controller]
}

// receive serves a controller's request, unless a fault executes it late or loses its answer.
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
