package workers

import (
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// drainReasonDeaf is why a worker gets no more tasks that is deaf, see Hearing.
const drainReasonDeaf = "does not hear"

// detectDeafness decides whether a worker whose heartbeats arrive hears us too. The
// heartbeats are no proof of that: taken for alive, a deaf worker swallowed task after task.
func (r *Registry) detectDeafness(worker *Worker) {
	if worker.Unreachable || !worker.seemsDeaf() {
		return
	}
	worker.markDeaf(r.runtime.Now())
	r.log.Info("worker is deaf: heartbeats arrive, answers do not", "worker", worker.ID,
		"unacknowledged_heartbeats", worker.UnacknowledgedHeartbeats, "lost_launches", worker.LostLaunches)
}

// checkDeafWorker asks a deaf worker now and then whether it hears again. When its tasks
// have been settled, and it still doesn't, its machine is to be returned.
func (r *Registry) checkDeafWorker(worker *Worker, now time.Duration) {
	if now-worker.probedAt >= tuning.DeafProbeInterval {
		r.probeDeafWorker(worker, now)
	}
	if len(worker.Tasks) == 0 && worker.DrainReason == "" && now-worker.deafSince > r.settings.WorkerLease() {
		r.StopPlacements(worker.ID, drainReasonDeaf)
	}
}

// probeDeafWorker asks a deaf worker directly. The message carries no launch and renews no
// lease; the answer is the proof that the worker hears again.
func (r *Registry) probeDeafWorker(worker *Worker, now time.Duration) {
	worker.probedAt = now
	token := r.lease.Token()
	body, ok := r.encodeMessage(worker, CommandMessage{
		Token: token, Session: worker.Session, Commands: r.appendCancellationHalts(worker, []Command{}),
	})
	if !ok {
		return
	}
	r.postMessage(worker, body, tuning.CommandTimeout, func(response http1.Response, err error) {
		if err != nil || r.lease.Token() != token || r.workers[worker.ID] != worker || !worker.Unreachable {
			return
		}
		answer, err := ParseHeartbeat(response.Body)
		if err != nil || answer.WorkerID != worker.ID || answer.Token < token {
			return
		}
		r.log.Info("worker is no longer deaf", "worker", worker.ID)
		worker.markHearing()
		if worker.DrainReason == drainReasonDeaf {
			worker.DrainReason = ""
		}
	})
}

// CountDeaf tells how many of the workers whose heartbeats arrive are deaf, and how many
// there are. A node most of whose workers are deaf had better give its shards up.
func (r *Registry) CountUnreachable() (deaf, reporting int) {
	for _, worker := range r.sortedWorkers {
		if worker.HasReported && !worker.LeaseExpired {
			reporting++
			if worker.Unreachable {
				deaf++
			}
		}
	}
	return deaf, reporting
}
