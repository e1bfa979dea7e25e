package workers

import (
	"errors"
	"strconv"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
)

// deliveryOutcome is the result of sending a direct message.
type deliveryOutcome int

const (
	deliveryInDoubt  deliveryOutcome = iota // may have been executed, or may still be
	deliveryNotSent                         // was not executed and will not be
	deliveryRefused                         // the same, by the worker's answer
	deliveryExecuted                        // was executed; the answer lists the resulting tasks
)

// String returns the outcome's name in metrics.
func (o deliveryOutcome) String() string {
	switch o {
	case deliveryInDoubt:
		return "unanswered"
	case deliveryNotSent:
		return "not_sent"
	case deliveryRefused:
		return "refused"
	case deliveryExecuted:
		return "executed"
	}
	return "outcome " + strconv.Itoa(int(o))
}

// classifyDelivery returns the outcome of a direct message and the worker's heartbeat from
// the answer. The heartbeat is nil unless the worker has executed or refused the message.
func classifyDelivery(worker *Worker, response http1.Response, err error) (deliveryOutcome, *Heartbeat, error) {
	if errors.Is(err, eventloop.ErrNotSent) {
		return deliveryNotSent, nil, err
	}
	if err != nil || (response.Status != statusExecuted && response.Status != statusRefused) {
		return deliveryInDoubt, nil, err
	}
	answer, err := ParseHeartbeat(response.Body)
	switch {
	case err != nil:
		return deliveryInDoubt, nil, err
	case answer.WorkerID != worker.ID:
		return deliveryInDoubt, nil, nil
	case response.Status == statusRefused:
		return deliveryRefused, answer, nil
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
	for _, task := range launched {
		r.recordDelivery(worker, task, outcome, answer)
	}
	r.metrics.AddLaunchOutcomes(outcome.String(), len(launched))
	if outcome == deliveryExecuted && answer.Session == worker.Session && answer.Sequence > worker.Sequence && answer.Token <= r.lease.NewestToken() {
		r.reconcileCommandAnswer(worker, answer)
	}
	if err != nil || response.Status != statusExecuted {
		// No immediate retry: the answer to the next heartbeat carries the launches.
		delete(r.commandsDue, worker)
	}
	if errors.Is(err, eventloop.ErrNoAnswer) {
		worker.delivery.unansweredAt = r.runtime.Now()
	}
}

// recordDelivery records the outcome of the direct message that carried a task's launch.
func (r *Registry) recordDelivery(worker *Worker, task *taskstate.Task, outcome deliveryOutcome, answer *Heartbeat) {
	switch outcome {
	case deliveryNotSent:
		task.Launch.NotSent()
		r.addStep(worker, task, taskstate.StepNotSent)
	case deliveryRefused:
		task.Launch.Refused(answer.number())
		r.addStepShownBy(worker, task, taskstate.StepRefused, answer.number())
	case deliveryExecuted:
		task.Launch.Executed(answer.number())
		r.addStepShownBy(worker, task, taskstate.StepExecuted, answer.number())
	case deliveryInDoubt:
		task.Launch.Unanswered()
		r.addStep(worker, task, taskstate.StepUnanswered)
	}
}

// launchesInFlight returns the tasks whose placement has not changed since the launches were sent,
// reusing the slice launched.
func launchesInFlight(worker *Worker, launched []*taskstate.Task, attempts []uint64) []*taskstate.Task {
	unchanged := launched[:0]
	for i, task := range launched {
		if worker.Tasks[task] && task.Attempt == attempts[i] && task.Launch.IsInFlight() {
			unchanged = append(unchanged, task)
		}
	}
	return unchanged
}
