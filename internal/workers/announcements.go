package workers

import (
	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// Announce queues a direct message with the current token to a worker, unless the worker
// has shown that token, is unreachable or runs on a released machine. AfterBatch sends it.
// The worker sends a heartbeat as soon as it learns of a token, so that it accepts tasks
// again without waiting for its next regular heartbeat, which may be ten seconds away.
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

// announceToAll announces a new token to all workers, those with a recent heartbeat first:
// each announcement to a partitioned or dead worker occupies a slot until it times out, and
// hundreds of them must not delay the others.
func (r *Registry) announceToAll() {
	for _, silent := range []bool{false, true} {
		for _, worker := range r.sortedWorkers {
			if (r.termBeganAt-worker.LastHeartbeatAt > r.settings.WorkerDeadAfter()) == silent {
				r.Announce(worker.ID, worker.Addr)
			}
		}
	}
}

// sendAnnouncements sends queued announcements, at most MaxConcurrentAnnouncements at a time.
func (r *Registry) sendAnnouncements() {
	for r.announcementsInFlight < tuning.MaxConcurrentAnnouncements && len(r.announceQueue) > 0 {
		worker := r.announceQueue[0]
		r.announceQueue, worker.delivery.announcementQueued = r.announceQueue[1:], false
		if worker.Token >= r.lease.Token() || r.workers[worker.ID] != worker || r.isZonePartitioned(worker.Zone) {
			continue
		}
		// The session of a worker that has not reported to this process is assumed to be 1.
		// If that is wrong, the worker refuses the message and learns the token with its
		// next heartbeat.
		body, ok := r.encodeMessage(worker, CommandMessage{
			Token: r.commandToken(worker), Session: max(worker.Session, 1), Commands: r.appendCancellationHalts(worker, []Command{}),
		})
		if !ok {
			return
		}
		r.announcementsInFlight++
		term := r.currentTerm()
		r.postMessage(worker, body, tuning.AnnounceTimeout, func(response http1.Response, err error) {
			if r.currentTerm() != term {
				return // the new term sends its own announcements
			}
			r.announcementsInFlight--
			if r.workers[worker.ID] == worker && err == nil {
				r.handleAnnouncementAnswer(worker, response.Body)
			}
		})
	}
}

// handleAnnouncementAnswer processes the answer to an announcement, which is the worker's
// heartbeat. It proves that the worker is reachable and that the tasks it lists are on its
// machine. Like any answer to a command, it does not prove any task gone.
func (r *Registry) handleAnnouncementAnswer(worker *Worker, body []byte) {
	answer, err := ParseHeartbeat(body)
	if err != nil || answer.WorkerID != worker.ID || !r.acknowledgesTerm(answer.Token) || answer.Session < worker.Session {
		return
	}
	if !worker.HasReported {
		r.setMachine(worker, answer)
	}
	if worker.Session == 0 {
		r.observeSession(worker, answer.Session)
	}
	worker.LastHeartbeatAt = r.runtime.Now()
	if answer.Session == worker.Session && answer.Sequence > worker.Sequence {
		r.reconcileCommandAnswer(worker, answer)
	}
}
