package workers

import (
	"encoding/json"
	"time"

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
	launched := r.pendingLaunches(worker, tuning.MaxCommandsPerMessage)
	for _, task := range launched {
		message.Commands = append(message.Commands, launchCommand(task.Name(), task.WireAttempt()))
	}
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
		task.Launch.SendDirectly(message.Token, worker.newestHeartbeat())
		attempts[i] = task.Attempt
		r.addStep(worker, task, taskstate.StepSentDirectly)
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
		r.handleDirectAnswer(worker, launchesInFlight(worker, launched, attempts), response, err)
	})
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
		if task.Job.Cancelled && task.Launch.IsSent() && r.runtime.Now()-task.Halt.CancelSentAt >= tuning.HaltRetryInterval {
			message.Commands = r.appendCancellationHalts(worker, message.Commands)
			break
		}
	}
	message.Commands = append(message.Commands, worker.delivery.pendingHalts...)
	worker.delivery.pendingHalts = nil
}
