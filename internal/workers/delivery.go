package workers

import (
	"errors"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
)

// deliveryOutcome is the result of sending a direct message.
type deliveryOutcome int

const (
	deliveryInDoubt  deliveryOutcome = iota // may have been executed, or may still be
	deliveryRefused                         // was not executed and will not be
	deliveryExecuted                        // was executed; the answer lists the resulting tasks
)

// classifyDelivery returns the outcome of a direct message and the worker's heartbeat from
// the answer. The heartbeat is nil unless the message was executed.
func classifyDelivery(worker *Worker, response http1.Response, err error) (deliveryOutcome, *Heartbeat, error) {
	if errors.Is(err, eventloop.ErrNotSent) {
		return deliveryRefused, nil, err
	}
	if err != nil || (response.Status != statusExecuted && response.Status != statusRefused) {
		return deliveryInDoubt, nil, err
	}
	answer, err := ParseHeartbeat(response.Body)
	switch {
	case err != nil:
		return deliveryInDoubt, nil, err
	case response.Status == statusRefused:
		return deliveryRefused, nil, nil
	case answer.WorkerID != worker.ID:
		return deliveryInDoubt, nil, nil
	}
	return deliveryExecuted, answer, nil
}

// Statuses of the answers to direct messages (protocol, POST /orders).
const (
	statusExecuted = 200
	statusRefused  = 409 // for a lower token or another session
)

// handleDirectAnswer processes the answer, or the lack of one, to a direct message that
// carried the launches of the given tasks.
func (r *Registry) handleDirectAnswer(worker *Worker, launched []*taskstate.Task, response http1.Response, err error) {
	outcome, answer, err := classifyDelivery(worker, response, err)
	switch outcome {
	case deliveryRefused:
		for _, task := range launched {
			task.Launch.Sent, task.Gone.Session, task.Gone.AfterSequence = task.Observed.Reported, 0, 0
		}
	case deliveryExecuted:
		for _, task := range launched {
			task.Gone.Session, task.Gone.AfterSequence = answer.Session, answer.Sequence
		}
		if answer.Session == worker.Session && answer.Sequence > worker.Sequence && answer.Token <= r.lease.NewestToken() {
			r.reconcileCommandAnswer(worker, answer)
		}
	case deliveryInDoubt:
		for _, task := range launched {
			task.Launch.InDoubt = !task.Observed.Reported
		}
	}
	if err != nil || response.Status != statusExecuted {
		// No immediate retry: the answer to the next heartbeat carries the launches.
		delete(r.commandsDue, worker)
	}
	if errors.Is(err, eventloop.ErrNoAnswer) {
		worker.delivery.unansweredAt = r.runtime.Now()
	}
}

// clearInFlightLaunches marks launches as no longer in flight. It returns the tasks whose
// placement has not changed since the launches were sent, reusing the slice launched.
func clearInFlightLaunches(worker *Worker, launched []*taskstate.Task, attempts []uint64) []*taskstate.Task {
	unchanged := launched[:0]
	for i, task := range launched {
		if worker.Tasks[task] && task.Attempt == attempts[i] && task.Launch.InFlight {
			task.Launch.InFlight = false
			unchanged = append(unchanged, task)
		}
	}
	return unchanged
}
