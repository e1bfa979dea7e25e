package workers

import (
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// Reasons why a machine is to be returned to the cloud. The leader tells the first two
// from others: machines of a partitioned zone fall silent too. With urgent tasks on it, a
// machine is worth returning there too: released, they are surely gone, and can run
// elsewhere before its worker's lease would have expired.
const (
	ReleaseSilent       = "silent"
	ReleaseSilentUrgent = "silent with urgent tasks"
	releaseTerminated   = "taken by the cloud"
)

// MachineReleased notes that the cloud has taken a machine back at our request: it and all
// that was on it are gone.
func (r *Registry) MachineReleased(id string) {
	r.released[id] = true
	worker := r.workers[id]
	if worker == nil {
		return
	}
	r.endAllPlacements(worker)
	delete(r.workers, id)
	r.sortedWorkers = slices.DeleteFunc(r.sortedWorkers, func(other *Worker) bool { return other == worker })
	delete(r.commandsDue, worker)
	delete(r.awaitingVerification, worker)
}

// ReleaseReason tells whether, and why, the shard owner wants a machine returned now, "" if
// not: nothing on it is lost by that, or it is lost already. silent and reporting count the
// shard's suspect workers and those that have ever reported: if most are silent, the fault
// is hardly theirs.
func (r *Registry) ReleaseReason(worker *Worker, silent, reporting int) string {
	now := r.runtime.Now()
	switch {
	case !worker.HasReported:
		return ""
	case worker.TerminationAt > 0 && (now > worker.TerminationAt-tuning.SpotNoticeReserve || worker.isEmpty()):
		return releaseTerminated
	case r.IsSuspect(worker) && silent*2 <= reporting:
		for task := range worker.Tasks {
			if task.Job.Spec.Priority() >= jobs.PriorityUrgent {
				return ReleaseSilentUrgent
			}
		}
		return ReleaseSilent
	case worker.TerminationAt != 0:
		return "" // the cloud takes it
	case worker.DrainReason != "":
		// What a deaf worker lists beside its tasks ends with its lease, if not before.
		if worker.isEmpty() || (len(worker.Tasks) == 0 && worker.DrainReason == drainReasonDeaf) {
			return worker.DrainReason
		}
	case worker.isEmpty() && worker.Token >= r.lease.Token() && r.scheduler.IsClosedByDrain(worker.ID):
		return OperatorDrain
	}
	return ""
}

// IsSuspect tells whether a worker has sent no heartbeat for suspiciously long, though we
// listened.
func (r *Registry) IsSuspect(worker *Worker) bool {
	return worker.HasReported && r.runtime.Now()-max(worker.LastHeartbeatAt, r.listeningSince) > r.settings.WorkerDeadAfter()
}

// IsCurrent tells whether a worker is heard under the present token, so that what its
// heartbeats list is so.
func (r *Registry) IsCurrent(worker *Worker) bool {
	return worker.HasReported && !worker.LeaseExpired && !worker.Unreachable && worker.Token >= r.lease.Token() && !r.IsSuspect(worker)
}
