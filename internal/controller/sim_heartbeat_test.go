package controller

import (
	"encoding/json"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// heartbeatFaults are the faults in the sending and delivery of heartbeats.
type heartbeatFaults struct {
	slowdown      int      // factor on the interval between heartbeats, 0: 1
	lateCopyShare float64  // share of heartbeats of which a copy arrives up to a minute late
	retainedShare float64  // share of heartbeats of which copies are retained until the leader's or a shard's lease changes hands
	retained      []func() // the retained copies; each call delivers one
	onChange      bool     // workers also report at once when their tasks or their session change
}

// releaseRetainedHeartbeats delivers the retained copies of heartbeats. It is called when the
// lease key of the leader or of a shard is written, that is, when a new term begins. The copies
// are sent to all controllers 10 to 400 ms later.
func (s *simulation) releaseRetainedHeartbeats() {
	deliveries := s.heartbeats.retained
	s.heartbeats.retained = nil
	for i, deliver := range deliveries {
		s.schedule(time.Duration(1+i%40)*10*time.Millisecond, deliver)
	}
}

// heartbeatBody returns the worker's next heartbeat, with the current state of its tasks.
func (w *simWorker) heartbeatBody() []byte {
	list := []map[string]any{}
	for _, task := range w.tasks {
		list = append(list, map[string]any{"piece": task.name, "try": task.attempt, "phase": task.phase, "cause": task.cause, "stored": task.saved})
	}
	var notice any
	if w.reclaimAt > 0 {
		notice = (w.reclaimAt - w.sim.now).Seconds()
	}
	w.sequence++
	raw, err := json.Marshal(map[string]any{
		"host": w.id, "addr": w.addr, "build": w.machineType, "yard": w.zone, "loaners": w.spot,
		"shift": w.session, "tick": w.sequence, "baton": w.token, "warningS": notice, "pieces": list,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// sendHeartbeat sends a heartbeat and schedules the next one after its answer or failure.
func (w *simWorker) sendHeartbeat() {
	if w.dead {
		return
	}
	if w.sim.now < w.faults.unresponsiveUntil {
		w.nextHeartbeat(w.faults.unresponsiveUntil - w.sim.now)
		return
	}
	w.expireLease()
	if w.reachesNoController() {
		return
	}
	w.heartbeatNumber++
	w.heartbeatAwaitsAnswer, w.heartbeatSentAt = true, w.sim.now
	number, session, sentAt := w.heartbeatNumber, w.session, w.sim.now
	body := w.heartbeatBody()
	controller := w.sim.controllers[w.controllerIndex]
	w.copyHeartbeat(body)
	w.sendReport(controller, body, func(response http1.Response, err error) {
		if w.dead || number != w.heartbeatNumber {
			return
		}
		if w.faults.inboundBlocked || w.sim.now < w.faults.partitionedUntil || w.sim.now < w.faults.unresponsiveUntil {
			response, err = http1.Response{}, eventloop.ErrNoAnswer
		}
		w.expireLease()
		w.heartbeatAnswered(response, err, session, sentAt)
	})
}

// minHeartbeatPause is the shortest time between two heartbeats of a worker.
const minHeartbeatPause = 500 * time.Millisecond

// nextHeartbeat schedules the next heartbeat, in place of one that is scheduled already.
func (w *simWorker) nextHeartbeat(delay time.Duration) {
	w.heartbeatTimer++
	timer := w.heartbeatTimer
	w.heartbeatAwaitsAnswer = false
	w.sim.schedule(delay, func() {
		if timer == w.heartbeatTimer {
			w.sendHeartbeat()
		}
	})
}

// reportChange sends the next heartbeat as soon as it may be sent, if workers report changes on
// this day and no heartbeat awaits its answer.
func (w *simWorker) reportChange() {
	if w.sim.heartbeats.onChange && !w.heartbeatAwaitsAnswer {
		w.nextHeartbeat(w.heartbeatSentAt + minHeartbeatPause - w.sim.now)
	}
}

// reachesNoController reports whether a fault prevents the worker from reaching the current
// controller. If so, it schedules the next attempt.
func (w *simWorker) reachesNoController() bool {
	nextController := (w.controllerIndex + 1) % len(w.sim.controllers)
	switch {
	case w.sim.now < w.faults.partitionedUntil:
		w.controllerIndex = nextController
		w.nextHeartbeat(min(4*time.Second, w.faults.partitionedUntil-w.sim.now))
	case w.sim.now < w.faults.outboundBlockedUntil:
		w.controllerIndex = nextController
		w.nextHeartbeat(time.Second)
	case w.faults.onlyController > 0 && w.controllerIndex != w.faults.onlyController-1:
		w.controllerIndex = w.faults.onlyController - 1
		w.nextHeartbeat(time.Second)
	default:
		return false
	}
	return true
}

// copyHeartbeat delays or retains copies of a heartbeat as the heartbeat faults demand.
func (w *simWorker) copyHeartbeat(body []byte) {
	sim, heartbeats := w.sim, &w.sim.heartbeats
	deliver := func(controller *simController) {
		controller.request(workerHost(w), "POST", "/agent/beat", body, time.Second, func(http1.Response, error) {})
	}
	if sim.rng.Float64() < heartbeats.lateCopyShare {
		// The copy reaches a random controller 1 to 60 s late, which may be several worker
		// leases.
		sim.schedule(time.Duration(1+sim.rng.IntN(60))*time.Second, func() {
			deliver(sim.controllers[sim.rng.IntN(len(sim.controllers))])
		})
	}
	if heartbeats.retainedShare > 0 && sim.rng.Float64() < heartbeats.retainedShare && len(heartbeats.retained) < 60 {
		for _, controller := range sim.controllers {
			heartbeats.retained = append(heartbeats.retained, func() { deliver(controller) })
		}
	}
}

// heartbeatAnswered processes the answer to a heartbeat that was sent in a session at a time,
// and schedules the next heartbeat: to the same controller, after a redirection to the one
// named, after a failure or a redirection that names no other controller to the next one.
func (w *simWorker) heartbeatAnswered(response http1.Response, err error, session uint64, sentAt time.Duration) {
	rng := w.sim.rng
	if err == nil && response.Status == 200 {
		var answer struct {
			Token    uint64    `json:"baton"`
			Commands []command `json:"orders"`
		}
		if json.Unmarshal(response.Body, &answer) == nil && answer.Token >= w.token && session == w.session {
			w.token = answer.Token
			w.leaseFrom = max(w.leaseFrom, sentAt)
			w.execute(answer.Commands, w.sim.now)
		}
		w.nextHeartbeat(time.Duration(500+rng.IntN(1000)) * time.Millisecond * time.Duration(max(1, w.sim.heartbeats.slowdown)))
		return
	}
	if err == nil && response.Status == 421 {
		var redirect struct {
			Upstream string `json:"upstream"`
		}
		_ = json.Unmarshal(response.Body, &redirect)
		for i, controller := range w.sim.controllers {
			if controller.name == redirect.Upstream && i != w.controllerIndex {
				w.controllerIndex = i
				w.nextHeartbeat(time.Duration(rng.IntN(500)) * time.Millisecond)
				return
			}
		}
	}
	w.controllerIndex = (w.controllerIndex + 1) % len(w.sim.controllers)
	w.nextHeartbeat(time.Second)
}
