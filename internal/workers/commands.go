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

// AfterBatch sends the messages that became due in a batch of events: announcements of the
// token, and direct messages with halts and with launches of placements that became durable.
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
			continue // considered again once the answer has arrived
		}
		delete(r.commandsDue, worker)
		if !worker.HasReported || !r.acknowledgesTerm(worker.Token) || worker.LeaseExpired || worker.Unreachable {
			continue
		}
		r.sendDirectCommands(worker)
	}
}

// termID identifies a term. Callbacks compare it to detect answers to messages of an earlier
// term. The guards of internal/term would allocate one more closure for each message.
type termID struct {
	beganAt time.Duration
	token   uint64
}

func (r *Registry) currentTerm() termID { return termID{r.termBeganAt, r.lease.Token()} }

// encodeMessage encodes a direct message as JSON. On failure it logs the error and returns
// ok false.
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

// sendDirectCommands sends a worker its pending launches and halts in one direct message, if
// there are any. A launch is sent in one message only and never repeated.
func (r *Registry) sendDirectCommands(worker *Worker) {
	message := CommandMessage{Token: r.commandToken(worker), Session: worker.Session, Commands: []Command{}}
	launched := r.appendLaunches(worker, &message)
	r.appendHalts(worker, &message)
	if len(message.Commands) == 0 && !worker.delivery.taskProbeDue {
		return
	}
	worker.delivery.taskProbeDue = false
	body, ok := r.encodeMessage(worker, message)
	if !ok {
		return
	}
	attempts := make([]uint64, len(launched))
	for i, task := range launched {
		task.Launch.Sent, task.Launch.InFlight, task.Launch.DirectToken = true, true, message.Token
		task.Gone.Session, task.Gone.AfterSequence = worker.Session, worker.Sequence
		attempts[i] = task.Attempt
	}
	r.logLaunches(worker, launchDirect, launched)
	worker.delivery.inFlight = true
	term := r.currentTerm()
	r.postMessage(worker, body, tuning.CommandTimeout, func(response http1.Response, err error) {
		if r.currentTerm() != term || r.workers[worker.ID] != worker {
			return // the records were reloaded in a later term, or the worker was removed
		}
		worker.delivery.inFlight = false
		r.commandsDue[worker] = true
		r.handleDirectAnswer(worker, clearInFlightLaunches(worker, launched, attempts), response, err)
	})
}

// launchWay is the way in which a launch is delivered to its worker.
type launchWay string

const (
	launchDirect   launchWay = "direct" // in a direct message
	launchInAnswer launchWay = "answer" // in the answer to a heartbeat
)

// logLaunches logs the launches that are sent in one message, if there are any, and what allows
// them: the token, the worker's session and the age of the knowledge of cancellations.
func (r *Registry) logLaunches(worker *Worker, way launchWay, launched []*taskstate.Task) {
	if len(launched) == 0 {
		return
	}
	attempts := make([]string, len(launched))
	for i, task := range launched {
		attempts[i] = taskAttempt{task.Name(), task.WireAttempt()}.String()
	}
	knowledgeAge, now := r.lease.KnowledgeAge(), r.runtime.Now()
	r.metrics.AddLaunches(string(way), len(launched), knowledgeAge.Seconds())
	r.log.Info("launches sent", "worker", worker.ID, "way", string(way), "tasks", attempts, "token", r.commandToken(worker),
		"session", worker.Session, "seq", worker.Sequence, "lease_age_ms", (now - worker.LeaseRenewedAt).Milliseconds(),
		"heard_ms", (now - worker.LastHeartbeatAt).Milliseconds(), "knowledge_ms", knowledgeAge.Milliseconds())
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

// appendLaunches appends a worker's pending launches to a message and returns their tasks.
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

// appendHalts appends to a message the halts that have not been sent to the worker yet and
// those that are due to be repeated. A repeated or late halt cannot end a later attempt, since
// it names the attempt.
func (r *Registry) appendHalts(worker *Worker, message *CommandMessage) {
	for task := range worker.Tasks {
		if task.Halt.Decided && task.Observed.Reported && !task.Halt.Sent && len(message.Commands) < tuning.MaxCommandsPerMessage {
			task.Halt.Sent = true // if this message is lost, the answer to the next heartbeat repeats it
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
