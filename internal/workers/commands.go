package workers

import (
	"encoding/json"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// AfterBatch sends direct orders for placements that have become durable.
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
		if worker.commands.inFlight {
			continue // looked at again when the answer is in
		}
		delete(r.commandsDue, worker)
		if !worker.HasReported || worker.Token != r.lease.Token() || worker.LeaseExpired || worker.Deaf {
			continue
		}
		r.sendDirectCommands(worker)
	}
}

// sendDirectCommands sends the launches that wait for a machine, each in this one message
// only.
func (r *Registry) sendDirectCommands(worker *Worker) {
	token := r.lease.Token()
	message := CommandMessage{Token: token, Session: worker.Session, Commands: []Command{}}
	launched := r.appendLaunches(worker, &message)
	r.appendHalts(worker, &message)
	if len(message.Commands) == 0 && !worker.commands.probeTasks {
		return
	}
	worker.commands.probeTasks = false
	body, err := json.Marshal(message)
	if err != nil {
		r.log.Error("orders do not encode", "err", err)
		return
	}
	attempts := make([]uint64, len(launched))
	for i, task := range launched {
		task.LaunchSent, task.LaunchInFlight, task.GoneSession, task.GoneAfterSequence = true, true, worker.Session, worker.Sequence
		attempts[i] = task.Attempt
	}
	worker.commands.inFlight = true
	termBeganAt := r.termBeganAt
	r.runtime.CallHTTP(worker.Addr, http1.ClientRequest{Method: "POST", Target: "/orders", Body: body}, tuning.CommandTimeout,
		func(response http1.Response, err error) {
			if r.termBeganAt != termBeganAt || r.lease.Token() != token || r.workers[worker.ID] != worker {
				return // another term has read the records anew
			}
			worker.commands.inFlight = false
			r.commandsDue[worker] = true
			stillLaunching := launched[:0:0]
			for i, task := range launched {
				if worker.Tasks[task] && task.Attempt == attempts[i] && task.LaunchInFlight {
					task.LaunchInFlight = false
					stillLaunching = append(stillLaunching, task)
				}
			}
			r.handleDirectAnswer(worker, stillLaunching, response, err)
		})
}

// appendLaunches adds the launches that wait for a machine to a message, and returns their
// tasks.
func (r *Registry) appendLaunches(worker *Worker, message *CommandMessage) []*taskstate.Task {
	var launched []*taskstate.Task
	if !r.accepts(worker) {
		return nil
	}
	for task := range worker.Tasks {
		if len(launched) >= tuning.MaxCommandsPerMessage || !task.Launchable() {
			continue
		}
		if !r.lease.CancellationsVerifiedSince(task.PlacedAt) {
			r.awaitingVerification[worker], r.newestAwaitingPlacedAt = true, max(r.newestAwaitingPlacedAt, task.PlacedAt)
			continue
		}
		launched = append(launched, task)
		message.Commands = append(message.Commands, Command{Verb: "launch", TaskName: task.Name(), Attempt: task.WireAttempt()})
	}
	return launched
}

// appendHalts adds the halts that a machine has not been told, or has to be told again, to a
// message. Repeated or late, a halt does no harm: it names the attempt.
func (r *Registry) appendHalts(worker *Worker, message *CommandMessage) {
	for task := range worker.Tasks {
		if task.HaltDecided && task.Reported && !task.HaltSent && len(message.Commands) < tuning.MaxCommandsPerMessage {
			task.HaltSent = true // if this is lost, the next report's answer has it
			message.Commands = append(message.Commands, haltCommand(task.Name(), task.WireAttempt(), task.WindDownSeconds))
		}
	}
	for task := range worker.Tasks {
		if task.Job.Cancelled && task.LaunchSent && r.runtime.Now()-task.CancelHaltSentAt >= tuning.HaltRetryInterval {
			message.Commands = r.appendCancellationHalts(worker, message.Commands)
			break
		}
	}
	message.Commands, worker.commands.pendingHalts = append(message.Commands, worker.commands.pendingHalts...), nil
}

// handleDirectAnswer takes what came of a direct message that carried launches.
func (r *Registry) handleDirectAnswer(worker *Worker, launched []*taskstate.Task, response http1.Response, err error) {
	var heartbeat *Heartbeat
	if err == nil && (response.Status == 200 || response.Status == 409) {
		if heartbeat, err = ParseHeartbeat(response.Body); err == nil && heartbeat.WorkerID != worker.ID {
			heartbeat = nil
		}
	}
	switch {
	case err == eventloop.ErrNotSent || (err == nil && response.Status == 409):
		for _, task := range launched {
			task.LaunchSent, task.GoneSession, task.GoneAfterSequence = task.Reported, 0, 0
		}
	case err == nil && response.Status == 200 && heartbeat != nil:
		for _, task := range launched {
			task.GoneSession, task.GoneAfterSequence = heartbeat.Session, heartbeat.Sequence
		}
		if heartbeat.Session == worker.Session && heartbeat.Sequence > worker.Sequence && heartbeat.Token <= r.lease.Token() {
			r.reconcile(worker, heartbeat, false)
		}
	default:
		for _, task := range launched {
			task.LaunchInDoubt = !task.Reported
		}
	}
	if err != nil || response.Status != 200 {
		// Not again at once: the next report carries the launches.
		delete(r.commandsDue, worker)
	}
	if err == eventloop.ErrNoAnswer {
		worker.commands.unansweredAt = r.runtime.Now()
	}
}
