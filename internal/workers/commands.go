package workers

import (
	"encoding/json"
	"errors"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// AfterBatch sends what has become due in a batch of events: announcements of the token,
// and direct messages with launches of placements that have become durable, and halts.
func (r *Registry) AfterBatch() {
	if !r.tasks.IsLoaded() || !r.lease.LeaseValid() {
		clear(r.commandsDue)
		return
	}
	r.sendAnnouncements()
	if len(r.awaitingVerification) > 0 && r.lease.CancellationsVerifiedSince(r.newestAwaitingPlacedAt) {
		for worker := range r.awaitingVerification {
			r.commandsDue[worker] = true
		}
		clear(r.awaitingVerification)
	}
	for worker := range r.commandsDue {
		if worker.delivery.inFlight {
			continue // considered again when the answer is in
		}
		delete(r.commandsDue, worker)
		if !worker.HasReported || worker.Token != r.lease.Token() || worker.LeaseExpired || worker.Unreachable {
			continue
		}
		r.sendDirectCommands(worker)
	}
}

// termID tells one term from another. Answers are compared with it in place of internal/term's
// guards, which take one more closure for each message.
type termID struct {
	beganAt time.Duration
	token   uint64
}

func (r *Registry) currentTerm() termID { return termID{r.termBeganAt, r.lease.Token()} }

// encodeMessage encodes a direct message; not ok, and logged, if it can't be.
func (r *Registry) encodeMessage(worker *Worker, message CommandMessage) (body []byte, ok bool) {
	body, err := json.Marshal(message)
	if err != nil {
		r.log.Error("failed to encode commands", "worker", worker.ID, "err", err)
		return nil, false
	}
	return body, true
}

// postMessage sends a direct message to a worker (protocol, POST /orders).
func (r *Registry) postMessage(worker *Worker, body []byte, timeout time.Duration, fn func(http1.Response, error)) {
	r.runtime.CallHTTP(worker.Addr, http1.ClientRequest{Method: "POST", Target: "/orders", Body: body}, timeout, fn)
}

// sendDirectCommands sends a worker the launches and halts that wait for it, if any. Each
// launch is in this one message only.
func (r *Registry) sendDirectCommands(worker *Worker) {
	message := CommandMessage{Token: r.lease.Token(), Session: worker.Session, Commands: []Command{}}
	launched := r.appendLaunches(worker, &message)
	r.appendHalts(worker, &message)
	if len(message.Commands) == 0 && !worker.delivery.probesTasks {
		return
	}
	worker.delivery.probesTasks = false
	body, ok := r.encodeMessage(worker, message)
	if !ok {
		return
	}
	attempts := make([]uint64, len(launched))
	for i, task := range launched {
		task.Launch.Sent, task.Launch.InFlight = true, true
		task.Gone.Session, task.Gone.AfterSequence = worker.Session, worker.Sequence
		attempts[i] = task.Attempt
	}
	worker.delivery.inFlight = true
	term := r.currentTerm()
	r.postMessage(worker, body, tuning.CommandTimeout, func(response http1.Response, err error) {
		if r.currentTerm() != term || r.workers[worker.ID] != worker {
			return // another term has read the records anew
		}
		worker.delivery.inFlight = false
		r.commandsDue[worker] = true
		r.handleDirectAnswer(worker, landLaunches(worker, launched, attempts), response, err)
	})
}

// landLaunches notes that launches are not in flight any more, and returns those tasks, in
// the same list, that still are as they were when the launches left.
func landLaunches(worker *Worker, launched []*taskstate.Task, attempts []uint64) []*taskstate.Task {
	unchanged := launched[:0]
	for i, task := range launched {
		if worker.Tasks[task] && task.Attempt == attempts[i] && task.Launch.InFlight {
			task.Launch.InFlight = false
			unchanged = append(unchanged, task)
		}
	}
	return unchanged
}

// appendLaunches adds the launches that wait for a worker to a message, and returns their
// tasks.
func (r *Registry) appendLaunches(worker *Worker, message *CommandMessage) []*taskstate.Task {
	if r.isDraining(worker) {
		return nil
	}
	var launched []*taskstate.Task
	for task := range worker.Tasks {
		if len(launched) >= tuning.MaxCommandsPerMessage || !task.Launchable() {
			continue
		}
		if !r.lease.CancellationsVerifiedSince(task.PlacedAt) {
			r.awaitingVerification[worker] = true
			r.newestAwaitingPlacedAt = max(r.newestAwaitingPlacedAt, task.PlacedAt)
			continue
		}
		launched = append(launched, task)
		message.Commands = append(message.Commands, launchCommand(task.Name(), task.WireAttempt()))
	}
	return launched
}

// appendHalts adds the halts that a worker has not been told, or has to be told again, to a
// message. Repeated or late, a halt does no harm: it names the attempt.
func (r *Registry) appendHalts(worker *Worker, message *CommandMessage) {
	for task := range worker.Tasks {
		if task.Halt.Decided && task.Observed.Reported && !task.Halt.Sent && len(message.Commands) < tuning.MaxCommandsPerMessage {
			task.Halt.Sent = true // if this is lost, the answer to the next heartbeat has it
			message.Commands = append(message.Commands, haltCommand(task.Name(), task.WireAttempt(), task.Halt.WindDownSeconds))
		}
	}
	for task := range worker.Tasks {
		if task.Job.Cancelled && task.Launch.Sent && r.runtime.Now()-task.Halt.CancelSentAt >= tuning.HaltRetryInterval {
			message.Commands = r.appendCancellationHalts(worker, message.Commands)
			break
		}
	}
	message.Commands = append(message.Commands, worker.delivery.pendingHalts...)
	worker.delivery.pendingHalts = nil
}

// deliveryOutcome is what came of a direct message.
type deliveryOutcome int

const (
	deliveryInDoubt  deliveryOutcome = iota // it may have been carried out, or may yet be
	deliveryRefused                         // it was surely not carried out, and will not be
	deliveryExecuted                        // it was carried out; the answer says what came of it
)

// outcomeOf tells what came of a direct message. The answer is the worker's heartbeat, nil
// if there is none.
func outcomeOf(worker *Worker, response http1.Response, err error) (deliveryOutcome, *Heartbeat, error) {
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

// handleDirectAnswer takes in what came of a direct message that carried launches.
func (r *Registry) handleDirectAnswer(worker *Worker, launched []*taskstate.Task, response http1.Response, err error) {
	outcome, answer, err := outcomeOf(worker, response, err)
	switch outcome {
	case deliveryRefused:
		for _, task := range launched {
			task.Launch.Sent, task.Gone.Session, task.Gone.AfterSequence = task.Observed.Reported, 0, 0
		}
	case deliveryExecuted:
		for _, task := range launched {
			task.Gone.Session, task.Gone.AfterSequence = answer.Session, answer.Sequence
		}
		if answer.Session == worker.Session && answer.Sequence > worker.Sequence && answer.Token <= r.lease.Token() {
			r.reconcileCommandAnswer(worker, answer)
		}
	case deliveryInDoubt:
		for _, task := range launched {
			task.Launch.InDoubt = !task.Observed.Reported
		}
	}
	if err != nil || response.Status != statusExecuted {
		// Not again at once: the answer to the next heartbeat carries the launches.
		delete(r.commandsDue, worker)
	}
	if errors.Is(err, eventloop.ErrNoAnswer) {
		worker.delivery.unansweredAt = r.runtime.Now()
	}
}
