package controller

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// networkFaults are the faults of the network. Its endpoints are the controllers by name,
// "state", "cloud", "workers", "users" and "operators". A single machine is "workers/ID".
type networkFaults struct {
	lossShare   float64         // share of messages lost, in each direction
	lateShare   float64         // share of requests executed up to a minute late, unanswered
	repeatShare float64         // share of requests executed a second time, up to 30 s later
	partitions  map[string]bool // "a|b": no messages between endpoints a and b
}

// exchange is one request from one endpoint to another, and its answer.
type exchange struct {
	sim      *simulation
	from, to string
	timeout  time.Duration
	serve    func(reply func(http1.Response))
	done     func(http1.Response, error)
	finished bool
}

// finish passes the first answer or failure to the sender; later ones are ignored.
func (e *exchange) finish(response http1.Response, err error) {
	if !e.finished {
		e.finished = true
		e.done(response, err)
	}
}

// timeOut fails the request if there is no answer yet.
func (e *exchange) timeOut() { e.finish(http1.Response{}, eventloop.ErrNoAnswer) }

// serveUnanswered executes the request and discards its answer.
func (e *exchange) serveUnanswered() { e.serve(func(http1.Response) {}) }

// deliver executes the request and returns its answer, unless the answer is lost or meets a
// partition.
func (e *exchange) deliver() {
	e.serve(func(response http1.Response) {
		if e.sim.rng.Float64() < e.sim.network.lossShare || e.sim.partitioned(e.from, e.to) {
			return
		}
		e.sim.schedule(e.delay(), func() { e.finish(response, nil) })
	})
}

// delay draws the latency of one direction. For a request to the state service and for its
// answer it adds half of the latency fault, and in one case of twelve 25 times the latency more.
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

// handlePartition either executes the request unanswered 5 to 44 s later, about the time that
// a partition lasts, or fails it as not sent.
func (e *exchange) handlePartition() {
	if e.sim.rng.IntN(2) == 0 {
		e.sim.schedule(time.Duration(5+e.sim.rng.IntN(40))*time.Second, e.serveUnanswered)
		e.sim.schedule(e.timeout, e.timeOut)
		return
	}
	e.sim.schedule(min(e.timeout, time.Second), func() { e.finish(http1.Response{}, eventloop.ErrNotSent) })
}

// partitioned reports whether a partition separates two endpoints.
func (s *simulation) partitioned(a, b string) bool {
	a, b = placeOf(a), placeOf(b)
	return s.network.partitions[a+"|"+b] || s.network.partitions[b+"|"+a]
}

// send sends a request from one endpoint to another and passes its answer to done, subject
// to the network faults of the day.
func (s *simulation) send(from, to string, timeout time.Duration, serve func(reply func(http1.Response)), done func(http1.Response, error)) {
	request := &exchange{sim: s, from: from, to: to, timeout: timeout, serve: serve, done: done}
	if s.partitioned(from, to) {
		request.handlePartition()
		return
	}
	if s.links != nil {
		request.sendOverLinks()
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
