package workers

import (
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// ReleaseSilent is why a machine is given back that no longer reports; ReleaseSilentUrgent is
// why one that may have urgent tasks on it: returned, they are surely gone, and
// can run elsewhere before its lease would have run out.
const (
	ReleaseSilent       = "silent"
	ReleaseSilentUrgent = "silent with urgent tasks"
)

// MachineReleased notes that the cloud has taken a machine back at our request: it
// and all that was on it are gone.
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

// ReleaseReason tells whether, and why, the owner wants a machine returned now:
// nothing on it is lost by that, or it is lost already.
func (r *Registry) ReleaseReason(worker *Worker, silent, reporting int) string {
	now := r.runtime.Now()
	switch {
	case !worker.HasReported:
		return ""
	case worker.TerminationAt > 0 && (now > worker.TerminationAt-tuning.SpotNoticeReserve || (len(worker.Tasks) == 0 && worker.UnknownTasks == 0)):
		return "taken by the cloud"
	case r.IsSuspect(worker) && silent*2 <= reporting:
		for task := range worker.Tasks {
			if task.Job.Spec.Priority() >= jobs.PriorityUrgent {
				return ReleaseSilentUrgent
			}
		}
		return ReleaseSilent
	case worker.DrainReason != "" && worker.TerminationAt == 0 && len(worker.Tasks) == 0 && (worker.UnknownTasks == 0 || worker.DrainReason == drainReasonDeaf):
		return worker.DrainReason
	case worker.DrainReason == "" && worker.TerminationAt == 0 && len(worker.Tasks) == 0 && worker.UnknownTasks == 0 && worker.Token >= r.lease.Token() && r.scheduler.IsClosedByDrain(worker.ID):
		return OperatorDrain
	}
	return ""
}

// IsSuspect tells whether a machine has not reported for suspiciously long.
func (r *Registry) IsSuspect(worker *Worker) bool {
	return worker.HasReported && r.runtime.Now()-max(worker.LastHeartbeatAt, r.listeningSince) > r.settings.WorkerDeadAfter()
}

// IsCurrent tells whether a machine is heard under the present token, so that what its
// reports list is so.
func (r *Registry) IsCurrent(worker *Worker) bool {
	return worker.HasReported && !worker.LeaseExpired && !worker.Deaf && worker.Token >= r.lease.Token() && !r.IsSuspect(worker)
}
