package workers

import (
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// MachineReleased notes that the cloud has taken a machine back at our request: it
// and all that was on it are gone.
func (t *Registry) MachineReleased(id string) {
	t.gone[id] = true
	h := t.hosts[id]
	if h == nil {
		return
	}
	t.clear(h)
	delete(t.hosts, id)
	t.list = slices.DeleteFunc(t.list, func(o *Worker) bool { return o == h })
	delete(t.ready, h)
	delete(t.held, h)
}

// StopPlacements stops new tasks on a machine.
func (t *Registry) StopPlacements(id, why string) {
	if h := t.hosts[id]; h != nil && h.DrainReason == "" {
		h.DrainReason = why
		t.log.Info("draining machine", "host", id, "why", why)
	}
}

// ReleaseReason tells whether, and why, the owner wants a machine returned now:
// nothing on it is lost by that, or it is lost already.
func (t *Registry) ReleaseReason(h *Worker, silent, up int) string {
	now := t.rt.Now()
	switch {
	case !h.HasReported:
		return ""
	case h.TerminationAt > 0 && (now > h.TerminationAt-tuning.SpotNoticeReserve || (len(h.Tasks) == 0 && h.UnknownTasks == 0)):
		return "taken by the cloud"
	case t.IsSuspect(h) && silent*2 <= up:
		for k := range h.Tasks {
			if k.Job.Spec.Priority() >= jobs.PriorityUrgent {
				return ReleaseSilentUrgent
			}
		}
		return ReleaseSilent
	case h.DrainReason != "" && h.TerminationAt == 0 && len(h.Tasks) == 0 && (h.UnknownTasks == 0 || h.DrainReason == deafDrain):
		return h.DrainReason
	case h.DrainReason == "" && h.TerminationAt == 0 && len(h.Tasks) == 0 && h.UnknownTasks == 0 && h.Token >= t.lease.Token() && t.scheduler.IsClosedByDrain(h.ID):
		return OperatorDrain
	}
	return ""
}

// IsSuspect tells whether a machine has not reported for suspiciously long.
func (t *Registry) IsSuspect(h *Worker) bool {
	return h.HasReported && t.rt.Now()-max(h.LastHeartbeatAt, t.since) > t.set.WorkerDeadAfter()
}
