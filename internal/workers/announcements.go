package workers

import (
	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// Announce tells a worker of the present token, directly: before it gets tasks again, its
// next heartbeat need not come first, which may be ten seconds away. The worker sends a
// heartbeat at once when it learns of a token. Announcements wait in a queue for AfterBatch.
func (r *Registry) Announce(id, addr string) {
	if addr == "" || r.released[id] {
		return
	}
	worker := r.ensureWorker(id)
	if worker.Addr == "" {
		worker.Addr = addr
	}
	if worker.Token < r.lease.Token() && !worker.Unreachable && !worker.delivery.announcementQueued {
		worker.delivery.announcementQueued = true
		r.announceQueue = append(r.announceQueue, worker)
	}
}

// announceToAll announces a new token. Workers heard of late come first: hundreds that are
// partitioned or dead, each of which is waited for, must not keep the others waiting.
func (r *Registry) announceToAll() {
	for _, silent := range []bool{false, true} {
		for _, worker := range r.sortedWorkers {
			if (r.termBeganAt-worker.LastHeartbeatAt > r.settings.WorkerDeadAfter()) == silent {
				r.Announce(worker.ID, worker.Addr)
			}
		}
	}
}

// sendAnnouncements sends the announcements that wait, a few at a time.
func (r *Registry) sendAnnouncements() {
	for r.announcementsInFlight < tuning.MaxConcurrentAnnouncements && len(r.announceQueue) > 0 {
		worker := r.announceQueue[0]
		r.announceQueue, worker.delivery.announcementQueued = r.announceQueue[1:], false
		token := r.lease.Token()
		if worker.Token >= token || r.workers[worker.ID] != worker || r.isZonePartitioned(worker.Zone) {
			continue
		}
		// Of a worker that this process has not heard of, the session is a guess;
		// refused for another one, the message does no harm.
		body, ok := r.encodeMessage(worker, CommandMessage{
			Token: token, Session: max(worker.Session, 1), Commands: r.appendCancellationHalts(worker, []Command{}),
		})
		if !ok {
			return
		}
		r.announcementsInFlight++
		term := r.currentTerm()
		r.postMessage(worker, body, tuning.AnnounceTimeout, func(response http1.Response, err error) {
			if r.currentTerm() != term {
				return // a new term announces anew
			}
			r.announcementsInFlight--
			if r.workers[worker.ID] == worker && err == nil {
				r.handleAnnouncementAnswer(worker, response.Body, token)
			}
		})
	}
}

// handleAnnouncementAnswer takes in the answer to an announcement, the worker's heartbeat.
// It proves that the worker hears, and what it lists; like any answer to a command it
// proves no task gone.
func (r *Registry) handleAnnouncementAnswer(worker *Worker, body []byte, token uint64) {
	answer, err := ParseHeartbeat(body)
	if err != nil || answer.WorkerID != worker.ID || answer.Token != token || answer.Session < worker.Session {
		return
	}
	if !worker.HasReported {
		r.setMachine(worker, answer)
	}
	if worker.Session == 0 {
		worker.Session = answer.Session
	}
	worker.LastHeartbeatAt = r.runtime.Now()
	if answer.Session == worker.Session && answer.Sequence > worker.Sequence {
		r.reconcileCommandAnswer(worker, answer)
	}
}
