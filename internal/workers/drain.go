package workers

import (
	"lemonmoor/internal/taskstate"
)

// OperatorDrain is why a machine is given back that operators have drained.
const OperatorDrain = "drained by operators"

// accepts tells whether a machine may be given tasks as far as drains go, those of the
// daemon's own and the operators'.
func (t *Registry) accepts(h *Worker) bool {
	return h.DrainReason == "" && !t.scheduler.IsClosedByDrain(h.ID)
}

// IsCurrent tells whether a machine is heard under the present token, so that what its
// reports list is so.
func (t *Registry) IsCurrent(h *Worker) bool {
	return h.HasReported && !h.LeaseExpired && !h.Deaf && h.Token >= t.lease.Token() && !t.IsSuspect(h)
}

// HaltTask has a task halted that an operators' drain moves, with the time that it needs to
// save. The machine is told at once, and with each report until the task is gone.
func (t *Registry) HaltTask(k *taskstate.Task) {
	h := t.hosts[k.WorkerID]
	if h == nil || k.HaltDecided {
		return
	}
	k.Halt(k.Job.Spec.CheckpointSeconds)
	t.ready[h] = true
	t.log.Info("moving task", "host", h.ID, "task", k.Name(), "why", OperatorDrain)
}

// HaltGang has all tasks of a gang halted, at the same time. One that has not started
// has nothing to save.
func (t *Registry) HaltGang(j *taskstate.Job) {
	now := t.rt.Now()
	t.log.Info("moving gang", "job", j.Spec.ID, "why", OperatorDrain)
	if j.Gang.Started && j.Spec.CheckpointIntervalSeconds > 0 {
		t.saveAll(j, now)
		return
	}
	j.EndAttempt(now)
	for _, k := range j.Tasks {
		if h := t.hosts[k.WorkerID]; h != nil && k.State == taskstate.StatePlaced && k.LaunchSent {
			k.Halt(0)
			t.ready[h] = true
		}
	}
}
