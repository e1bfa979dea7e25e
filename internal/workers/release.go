package workers

import (
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// Reasons for returning a machine to the cloud. The leader treats the first two differently
// from the others, since machines in a partitioned zone are silent too. A silent machine with
// urgent tasks is worth returning even there: its release proves the tasks gone, so that they
// can run elsewhere before the worker's lease would have expired.
const (
	ReleaseSilent       = "silent"
	ReleaseSilentUrgent = "silent with urgent tasks"
	releaseTerminated   = "taken by the cloud"
)

// MachineReleased is called when the cloud has taken a machine back at our request. It ends
// all placements on the machine and removes its worker.
func (r *Registry) MachineReleased(id string) {
	r.released[id] = true
	worker := r.workers[id]
	if worker == nil {
		return
	}
	r.endAllPlacements(worker, EvidenceMachineReleased)
	r.dropStraysOf(worker)
	delete(r.workers, id)
	r.sortedWorkers = slices.DeleteFunc(r.sortedWorkers, func(other *Worker) bool { return other == worker })
	delete(r.commandsDue, worker)
	delete(r.awaitingVerification, worker)
}

// ReleaseReason returns the reason for which the shard owner wants a machine returned now, or
// "" if it does not. A machine is returned only if no task on it is lost by that, or if the
// tasks are lost already. silent is the number of the shard's suspect workers and reporting
// the number of those that have ever reported. If most of them are silent, the workers are
// probably not at fault, and none is returned for its silence.
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
		return "" // the cloud will reclaim it
	case worker.DrainReason != "":
		// Unrecorded tasks on an unreachable worker end no later than its lease, so they do
		// not delay its return.
		if worker.isEmpty() || (len(worker.Tasks) == 0 && worker.DrainReason == drainReasonUnreachable) {
			return worker.DrainReason
		}
	case worker.isEmpty() && worker.Token >= r.lease.Token() && r.scheduler.IsClosedByDrain(worker.ID):
		return OperatorDrain
	}
	return ""
}

// IsSuspect reports whether a worker has sent no heartbeat for longer than WorkerDeadAfter,
// counted only from when this process processed heartbeats without interruption.
func (r *Registry) IsSuspect(worker *Worker) bool {
	return worker.HasReported && r.runtime.Now()-max(worker.LastHeartbeatAt, r.listeningSince) > r.settings.WorkerDeadAfter()
}

// IsCurrent reports whether a worker sends heartbeats under the current token, so that their
// task lists can be relied on.
func (r *Registry) IsCurrent(worker *Worker) bool {
	return worker.HasReported && !worker.LeaseExpired && !worker.Unreachable && worker.Token >= r.lease.Token() && !r.IsSuspect(worker)
}
