package workers

import (
	"encoding/json"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// AfterBatch sends direct orders for placements that have become durable.
func (t *Registry) AfterBatch() {
	if !t.tasks.IsLoaded() || !t.lease.LeaseValid() {
		clear(t.ready)
		return
	}
	t.announceNext()
	if len(t.held) > 0 && t.lease.CancellationsVerifiedSince(t.heldAt) {
		for h := range t.held {
			t.ready[h] = true
		}
		clear(t.held)
	}
	for h := range t.ready {
		if h.commands.inFlight {
			continue // looked at again when the answer is in
		}
		delete(t.ready, h)
		if !h.HasReported || h.Token != t.lease.Token() || h.LeaseExpired || h.Deaf {
			continue
		}
		t.direct(h)
	}
}

// direct sends the launches that wait for a machine, each in this one message
// only.
func (t *Registry) direct(h *Worker) {
	token := t.lease.Token()
	msg := CommandMessage{Token: token, Session: h.Session, Commands: []Command{}}
	carried := t.launches(h, &msg)
	t.addHalts(h, &msg)
	if len(msg.Commands) == 0 && !h.commands.probeTasks {
		return
	}
	h.commands.probeTasks = false
	body, err := json.Marshal(msg)
	if err != nil {
		t.log.Error("orders do not encode", "err", err)
		return
	}
	attempts := make([]uint64, len(carried))
	for i, k := range carried {
		k.LaunchSent, k.LaunchInFlight, k.GoneSession, k.GoneAfterSequence = true, true, h.Session, h.Sequence
		attempts[i] = k.Attempt
	}
	h.commands.inFlight = true
	begun := t.begun
	t.rt.CallHTTP(h.Addr, http1.ClientRequest{Method: "POST", Target: "/orders", Body: body}, tuning.CommandTimeout,
		func(ans http1.Response, err error) {
			if t.begun != begun || t.lease.Token() != token || t.hosts[h.ID] != h {
				return // another term has read the records anew
			}
			h.commands.inFlight = false
			t.ready[h] = true
			mine := carried[:0:0]
			for i, k := range carried {
				if h.Tasks[k] && k.Attempt == attempts[i] && k.LaunchInFlight {
					k.LaunchInFlight = false
					mine = append(mine, k)
				}
			}
			t.directAnswered(h, mine, ans, err)
		})
}

// launches adds the launches that wait for a machine to a message, and returns their
// tasks.
func (t *Registry) launches(h *Worker, msg *CommandMessage) []*taskstate.Task {
	var carried []*taskstate.Task
	if !t.accepts(h) {
		return nil
	}
	for k := range h.Tasks {
		if len(carried) >= tuning.MaxCommandsPerMessage || !k.Launchable() {
			continue
		}
		if !t.lease.CancellationsVerifiedSince(k.PlacedAt) {
			t.held[h], t.heldAt = true, max(t.heldAt, k.PlacedAt)
			continue
		}
		carried = append(carried, k)
		msg.Commands = append(msg.Commands, Command{Verb: "launch", TaskName: k.Name(), Attempt: k.WireAttempt()})
	}
	return carried
}

// addHalts adds the halts that a machine has not been told, or has to be told again, to a
// message. Repeated or late, a halt does no harm: it names the attempt.
func (t *Registry) addHalts(h *Worker, msg *CommandMessage) {
	for k := range h.Tasks {
		if k.HaltDecided && k.Reported && !k.HaltSent && len(msg.Commands) < tuning.MaxCommandsPerMessage {
			k.HaltSent = true // if this is lost, the next report's answer has it
			msg.Commands = append(msg.Commands, halt(k.Name(), k.WireAttempt(), k.WindDownSeconds))
		}
	}
	for k := range h.Tasks {
		if k.Job.Cancelled && k.LaunchSent && t.rt.Now()-k.CancelHaltSentAt >= tuning.HaltRetryInterval {
			msg.Commands = t.halts(h, msg.Commands)
			break
		}
	}
	msg.Commands, h.commands.pendingHalts = append(msg.Commands, h.commands.pendingHalts...), nil
}

// directAnswered takes what came of a direct message that carried launches.
func (t *Registry) directAnswered(h *Worker, carried []*taskstate.Task, ans http1.Response, err error) {
	var r *Heartbeat
	if err == nil && (ans.Status == 200 || ans.Status == 409) {
		if r, err = ParseHeartbeat(ans.Body); err == nil && r.WorkerID != h.ID {
			r = nil
		}
	}
	switch {
	case err == eventloop.ErrNotSent || (err == nil && ans.Status == 409):
		for _, k := range carried {
			k.LaunchSent, k.GoneSession, k.GoneAfterSequence = k.Reported, 0, 0
		}
	case err == nil && ans.Status == 200 && r != nil:
		for _, k := range carried {
			k.GoneSession, k.GoneAfterSequence = r.Session, r.Sequence
		}
		if r.Session == h.Session && r.Sequence > h.Sequence && r.Token <= t.lease.Token() {
			t.read(h, r, false)
		}
	default:
		for _, k := range carried {
			k.LaunchInDoubt = !k.Reported
		}
	}
	if err != nil || ans.Status != 200 {
		// Not again at once: the next report carries the launches.
		delete(t.ready, h)
	}
	if err == eventloop.ErrNoAnswer {
		h.commands.unansweredAt = t.rt.Now()
	}
}
