package workers

import (
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// drainReasonUnreachable is the drain reason of unreachable workers, see Reachability.
const drainReasonUnreachable = "does not hear"

// detectUnreachable marks a worker unreachable if its heartbeats arrive but the answers and
// launches sent to it apparently do not. Heartbeats alone are no proof that the worker is
// reachable: if it counted as alive, it would be given task after task and run none of them.
func (r *Registry) detectUnreachable(worker *Worker) {
	if worker.Unreachable || !worker.seemsUnreachable() {
		return
	}
	worker.markUnreachable(r.runtime.Now())
	r.log.Info("worker is unreachable: heartbeats arrive, answers do not", "worker", worker.ID,
		"unacknowledged_heartbeats", worker.UnacknowledgedHeartbeats, "lost_launches", worker.LostLaunches)
}

// checkUnreachableWorker probes an unreachable worker every UnreachableProbeInterval. It drains
// the worker, so that its machine is returned, if the worker is still unreachable after more
// than the length of its lease and none of its tasks is left.
func (r *Registry) checkUnreachableWorker(worker *Worker, now time.Duration) {
	if now-worker.probedAt >= tuning.UnreachableProbeInterval {
		r.probeUnreachableWorker(worker, now)
	}
	if len(worker.Tasks) == 0 && worker.DrainReason == "" && now-worker.unreachableSince > r.settings.WorkerLease() {
		r.StopPlacements(worker.ID, drainReasonUnreachable)
	}
}

// probeUnreachableWorker sends an unreachable worker a direct message. The message carries no
// launch and renews no lease. An answer proves that the worker is reachable again.
func (r *Registry) probeUnreachableWorker(worker *Worker, now time.Duration) {
	worker.probedAt = now
	term := r.currentTerm()
	body, ok := r.encodeMessage(worker, CommandMessage{
		Token: r.commandToken(worker), Session: worker.Session, Commands: r.appendCancellationHalts(worker, []Command{}),
	})
	if !ok {
		return
	}
	r.postMessage(worker, body, tuning.CommandTimeout, func(response http1.Response, err error) {
		if err != nil || r.currentTerm() != term || r.workers[worker.ID] != worker || !worker.Unreachable {
			return
		}
		answer, err := ParseHeartbeat(response.Body)
		if err != nil || answer.WorkerID != worker.ID || answer.Token < term.token {
			return
		}
		r.log.Info("worker is reachable again", "worker", worker.ID)
		worker.markReachable()
		if worker.DrainReason == drainReasonUnreachable {
			worker.DrainReason = ""
		}
	})
}

// CountUnreachable returns the number of workers whose heartbeats arrive, as reporting, and
// how many of them are unreachable. A node that cannot reach most of its workers should
// relinquish its shards.
func (r *Registry) CountUnreachable() (unreachable, reporting int) {
	for _, worker := range r.sortedWorkers {
		if worker.HasReported && !worker.LeaseExpired {
			reporting++
			if worker.Unreachable {
				unreachable++
			}
		}
	}
	return unreachable, reporting
}
