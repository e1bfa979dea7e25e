package controller

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// heldLink is the fault that the link of a machine holds messages back, in either direction, and
// delivers them in order when it goes on, also if their senders have given up.
type heldLink struct {
	toWorkerUntil   time.Duration
	fromWorkerUntil time.Duration
}

// holdLink holds the link of a machine for a duration: what the machine sends, what is sent to it, or
// both, by the variant.
func (w *simWorker) holdLink(variant int, duration time.Duration) {
	until := w.sim.now + duration
	if variant%3 != 0 {
		w.faults.link.toWorkerUntil = max(w.faults.link.toWorkerUntil, until)
	}
	if variant%3 != 1 {
		w.faults.link.fromWorkerUntil = max(w.faults.link.fromWorkerUntil, until)
	}
}

// whenDelivered runs fn now, or at a time until which a link is held. Those of the same time run in
// the order of the calls.
func (w *simWorker) whenDelivered(heldUntil time.Duration, fn func()) {
	if w.sim.now >= heldUntil {
		fn()
		return
	}
	w.sim.schedule(heldUntil-w.sim.now, fn)
}

// sendReport sends a report to a controller over the machine's link. done is called once, with the
// answer or, after reportTimeout, with ErrNoAnswer.
func (w *simWorker) sendReport(controller *simController, body []byte, done func(http1.Response, error)) {
	over := false
	finish := func(response http1.Response, err error) {
		if !over {
			over = true
			done(response, err)
		}
	}
	w.sim.schedule(reportTimeout, func() { finish(http1.Response{}, eventloop.ErrNoAnswer) })
	w.whenDelivered(w.faults.link.fromWorkerUntil, func() {
		controller.request(workerHost(w), "POST", "/agent/beat", body, reportTimeout, func(response http1.Response, err error) {
			w.whenDelivered(w.faults.link.toWorkerUntil, func() { finish(response, err) })
		})
	})
}

// reportTimeout is the time after which a worker drops the answer to a report.
const reportTimeout = 4 * time.Second
