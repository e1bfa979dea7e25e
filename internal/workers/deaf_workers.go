package workers

import (
	"encoding/json"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

const drainReasonDeaf = "does not hear"

// detectDeafness decides whether a machine that reports hears us too. To have been heard
// is no proof of that: seen as alive, it swallowed task after task.
func (r *Registry) detectDeafness(worker *Worker) {
	if worker.Deaf || (worker.UnacknowledgedHeartbeats < tuning.DeafHeartbeats && worker.LostLaunches < tuning.DeafLaunches) {
		return
	}
	worker.Deaf, worker.deafSince, worker.probedAt = true, r.runtime.Now(), r.runtime.Now()
	r.log.Info("machine reports but does not hear", "host", worker.ID, "unheard", worker.UnacknowledgedHeartbeats, "lost", worker.LostLaunches)
}

// probeDeafWorker asks a deaf machine directly. No order is in the message and it renews
// no lease; its answer is the proof that the machine hears again.
func (r *Registry) probeDeafWorker(worker *Worker) {
	now := r.runtime.Now()
	if now-worker.probedAt < tuning.DeafProbeInterval {
		return
	}
	worker.probedAt = now
	token := r.lease.Token()
	body, err := json.Marshal(CommandMessage{Token: token, Session: worker.Session, Commands: r.appendCancellationHalts(worker, []Command{})})
	if err != nil {
		return
	}
	r.runtime.CallHTTP(worker.Addr, http1.ClientRequest{Method: "POST", Target: "/orders", Body: body}, tuning.CommandTimeout,
		func(response http1.Response, err error) {
			if err != nil || r.lease.Token() != token || r.workers[worker.ID] != worker || !worker.Deaf {
				return
			}
			heartbeat, err := ParseHeartbeat(response.Body)
			if err != nil || heartbeat.WorkerID != worker.ID || heartbeat.Token < token {
				return
			}
			r.log.Info("machine hears again", "host", worker.ID)
			worker.markHearing()
			if worker.DrainReason == drainReasonDeaf {
				worker.DrainReason = ""
			}
		})
}

func (w *Worker) markHearing() { w.Deaf, w.UnacknowledgedHeartbeats, w.LostLaunches = false, 0, 0 }

// CountDeaf tells how many of the machines that report do not hear, and how many
// report.
func (r *Registry) CountDeaf() (deaf, reporting int) {
	for _, worker := range r.sortedWorkers {
		if worker.HasReported && !worker.LeaseExpired {
			reporting++
			if worker.Deaf {
				deaf++
			}
		}
	}
	return deaf, reporting
}
