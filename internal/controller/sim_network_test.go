package controller

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// networkFaults are the faults of the network between all places.
type networkFaults struct {
	lossShare   float64         // of messages that are lost, each way
	lateShare   float64         // of requests that are carried out up to a minute late, unanswered
	repeatShare float64         // of requests that are carried out once more, up to 30 s later
	partitions  map[string]bool // "a|b": no messages between places a and b
}

// exchange is one request on its way from one place to another, and its answer.
type exchange struct {
	sim      *simulation
	from, to string
	timeout  time.Duration
	serve    func(reply func(http1.Response))
	done     func(http1.Response, error)
	finished bool
}

// finish gives the sender the first answer or failure.
func (e *exchange) finish(response http1.Response, err error) {
	if !e.finished {
		e.finished = true
		e.done(response, err)
	}
}

// timeOut fails the request if there is no answer yet.
func (e *exchange) timeOut() { e.finish(http1.Response{}, eventloop.ErrNoAnswer) }

// serveUnanswered carries the request out; its sender hears nothing of that.
func (e *exchange) serveUnanswered() { e.serve(func(http1.Response) {}) }

// deliver carries the request out and brings the answer back, if nothing prevents it.
func (e *exchange) deliver() {
	e.serve(func(response http1.Response) {
		if e.sim.rng.Float64() < e.sim.network.lossShare || e.sim.partitioned(e.from, e.to) {
			return
		}
		e.sim.schedule(e.delay(), func() { e.finish(response, nil) })
	})
}

// delay draws what one way takes.
func (e *exchange) delay() time.Duration {
	delay := time.Duration(1+e.sim.rng.IntN(4)) * time.Millisecond
	if latency := e.sim.stateFaults.latency; e.to == "state" && latency > 0 {
		delay += latency / 2
		if e.sim.rng.IntN(12) == 0 {
			delay += latency * 25
		}
	}
	return delay
}

// meetPartition holds the request back until the partition is over, about, or refuses it.
func (e *exchange) handlePartition() {
	if e.sim.rng.IntN(2) == 0 {
		e.sim.schedule(time.Duration(5+e.sim.rng.IntN(40))*time.Second, e.serveUnanswered)
		e.sim.schedule(e.timeout, e.timeOut)
		return
	}
	e.sim.schedule(min(e.timeout, time.Second), func() { e.finish(http1.Response{}, eventloop.ErrNotSent) })
}

// partitioned tells whether there are no messages between two places.
func (s *simulation) partitioned(a, b string) bool {
	return s.network.partitions[a+"|"+b] || s.network.partitions[b+"|"+a]
}

// send carries a request from one place to another and its answer back, with
// the faults of the day.
func (s *simulation) send(from, to string, timeout time.Duration, serve func(reply func(http1.Response)), done func(http1.Response, error)) {
	request := &exchange{sim: s, from: from, to: to, timeout: timeout, serve: serve, done: done}
	if s.partitioned(from, to) {
		request.handlePartition()
		return
	}
	s.schedule(timeout, request.timeOut)
	roll := s.rng.Float64()
	switch {
	case roll < s.network.lossShare:
		return
	case roll < s.network.lossShare+s.network.lateShare:
		s.schedule(time.Duration(1+s.rng.IntN(60))*time.Second, request.serveUnanswered)
		return
	}
	if s.rng.Float64() < s.network.repeatShare {
		s.schedule(time.Duration(s.rng.IntN(30000))*time.Millisecond, request.serveUnanswered)
	}
	s.schedule(request.delay(), request.deliver)
}
