package controller

import (
	"encoding/json"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// heartbeatFaults are the faults of the way of heartbeats to controllers.
type heartbeatFaults struct {
	slowdown      int      // how many times slower workers send them, 0: not slower
	lateCopyShare float64  // of heartbeats of which a copy comes up to a minute late
	retainedShare float64  // of heartbeats of which copies are kept until a lease has changed hands
	retained      []func() // these copies: each call delivers one
}

// releaseRetainedHeartbeats delivers the copies of heartbeats that were kept for the next
// leader or owner: they arrive at all controllers just as it begins, and a little later.
func (s *simulation) releaseRetainedHeartbeats() {
	kept := s.heartbeats.retained
	s.heartbeats.retained = nil
	for i, fn := range kept {
		s.schedule(time.Duration(1+i%40)*10*time.Millisecond, fn)
	}
}

// heartbeatBody is the worker's next message, with its tasks as they are now.
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

// sendHeartbeat sends a heartbeat and, after its answer, schedules the next.
func (w *simWorker) sendHeartbeat() {
	if w.dead {
		return
	}
	if w.sim.now < w.faults.unresponsiveUntil {
		w.sim.schedule(w.faults.unresponsiveUntil-w.sim.now, w.sendHeartbeat)
		return
	}
	w.expireLease()
	if w.reachesNoController() {
		return
	}
	w.heartbeatNumber++
	number, session, sentAt := w.heartbeatNumber, w.session, w.sim.now
	body := w.heartbeatBody()
	controller := w.sim.controllers[w.controllerIndex]
	w.copyHeartbeat(body)
	controller.request("workers", "POST", "/agent/beat", body, 4*time.Second, func(response http1.Response, err error) {
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

// nextHeartbeat schedules the next heartbeat.
func (w *simWorker) nextHeartbeat(delay time.Duration) { w.sim.schedule(delay, w.sendHeartbeat) }

// reachesNoController tells whether a fault keeps the worker from the controller whose
// turn it is; then the next attempt is scheduled.
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

// copyHeartbeat has copies of a heartbeat arrive later, by the faults of the day.
func (w *simWorker) copyHeartbeat(body []byte) {
	sim, heartbeats := w.sim, &w.sim.heartbeats
	deliver := func(controller *simController) {
		controller.request("workers", "POST", "/agent/beat", body, time.Second, func(http1.Response, error) {})
	}
	if sim.rng.Float64() < heartbeats.lateCopyShare {
		// A copy comes seconds to well over a lease late, to any controller.
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

// heartbeatAnswered is what a worker does with the answer to its heartbeat of a session.
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
			w.execute(answer.Commands)
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
