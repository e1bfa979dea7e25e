package workers

import (
	"encoding/json"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// Announce tells a machine of the present token, directly: it need not come with
// its next report first, which may be ten seconds away, before it gets tasks
// again. The machine then reports at once.
func (r *Registry) Announce(id, addr string) {
	if addr == "" || r.released[id] {
		return
	}
	worker := r.ensureWorker(id)
	if worker.Addr == "" {
		worker.Addr = addr
	}
	if worker.Token < r.lease.Token() && !worker.Deaf && !worker.commands.announcementQueued {
		worker.commands.announcementQueued = true
		r.announceQueue = append(r.announceQueue, worker)
	}
}

// sendAnnouncements sends the announcements that wait, a few at a time.
func (r *Registry) sendAnnouncements() {
	for r.announcementsInFlight < tuning.MaxConcurrentAnnouncements && len(r.announceQueue) > 0 {
		worker := r.announceQueue[0]
		r.announceQueue, worker.commands.announcementQueued = r.announceQueue[1:], false
		token := r.lease.Token()
		if worker.Token >= token || r.workers[worker.ID] != worker || r.isZonePartitioned(worker.Zone) {
			continue
		}
		// Of a machine that this process has not heard of, the session is a
		// guess; refused for another one, the message does no harm.
		body, err := json.Marshal(CommandMessage{Token: token, Session: max(worker.Session, 1), Commands: r.appendCancellationHalts(worker, []Command{})})
		if err != nil {
			return
		}
		r.announcementsInFlight++
		termBeganAt := r.termBeganAt
		r.runtime.CallHTTP(worker.Addr, http1.ClientRequest{Method: "POST", Target: "/orders", Body: body}, tuning.AnnounceTimeout,
			func(response http1.Response, err error) {
				if r.termBeganAt != termBeganAt || r.lease.Token() != token {
					return // a new term greets anew
				}
				r.announcementsInFlight--
				if r.workers[worker.ID] == worker && err == nil {
					r.handleAnnouncementAnswer(worker, response.Body, token)
				}
			})
	}
}

// handleAnnouncementAnswer takes the answer to an announcement: the worker's report. It proves that
// the machine hears, and what it lists; like any answer to an order it proves
// nothing gone.
func (r *Registry) handleAnnouncementAnswer(worker *Worker, body []byte, token uint64) {
	heartbeat, err := ParseHeartbeat(body)
	if err != nil || heartbeat.WorkerID != worker.ID || heartbeat.Token != token || heartbeat.Session < worker.Session {
		return
	}
	if !worker.HasReported {
		worker.HasReported, worker.Addr, worker.MachineTypeName, worker.Zone, worker.Spot = true, heartbeat.Addr, heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot
		worker.MachineType = r.scheduler.MachineType(heartbeat.MachineType)
	}
	if worker.Session == 0 {
		worker.Session = heartbeat.Session
	}
	worker.LastHeartbeatAt = r.runtime.Now()
	if heartbeat.Session == worker.Session && heartbeat.Sequence > worker.Sequence {
		r.reconcile(worker, heartbeat, false)
	}
}
