package workers

import (
	"strconv"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
)

// Evidence is the proof on which a placement ends: why the task is not on its machine and cannot
// come to be there any more.
type Evidence int

const (
	// EvidenceNeverLaunched means that no launch of the placement has left.
	EvidenceNeverLaunched Evidence = iota
	// EvidenceExited means that the worker lists the attempt as ended, refused ones included.
	EvidenceExited
	// EvidenceNotListed means that a heartbeat that is newer than the launch and shows the
	// current token does not list the task.
	EvidenceNotListed
	// EvidenceLaterSession means that the worker has begun a later session than the launch's.
	EvidenceLaterSession
	// EvidenceLeaseExpired means that the lease of the worker's session has expired.
	EvidenceLeaseExpired
	// EvidenceMachineReleased means that the cloud has confirmed the release of the machine.
	EvidenceMachineReleased
	// EvidenceRecordRemoved means that the leader has removed the task's record.
	EvidenceRecordRemoved
)

// String returns the evidence's name in logs and metrics.
func (e Evidence) String() string {
	switch e {
	case EvidenceNeverLaunched:
		return "never launched"
	case EvidenceExited:
		return "exited"
	case EvidenceNotListed:
		return "not listed"
	case EvidenceLaterSession:
		return "later session"
	case EvidenceLeaseExpired:
		return "lease expired"
	case EvidenceMachineReleased:
		return "machine released"
	case EvidenceRecordRemoved:
		return "record removed"
	}
	return "evidence " + strconv.Itoa(int(e))
}

// takeOff removes a task from its machine, if the evidence holds, and reports whether it did. Every
// placement ends here, whatever becomes of the task.
func (r *Registry) takeOff(worker *Worker, task *taskstate.Task, evidence Evidence) bool {
	if !r.evidenceHolds(worker, task, evidence) {
		r.metrics.ReportViolation(r.log, metrics.InvariantEvidenceHolds, "worker", worker.ID, "task", task.Name(),
			"attempt", task.WireAttempt(), "evidence", evidence.String(), "session", worker.Session, "launch_session", task.Launch.NotBefore().Session,
			"history", r.history(task.Name()))
		return false
	}
	r.logPlacementEnd(worker, task, evidence)
	task.History.Add(taskstate.Step{
		At: r.runtime.Now(), Kind: taskstate.StepEnded, Attempt: task.WireAttempt(), WorkerID: worker.ID, Token: r.lease.Token(),
		Message: worker.newestHeartbeat(), Evidence: evidence.String(),
	})
	worker.gone.record(task, evidence, worker)
	worker.ended.retain(task)
	r.removeTask(worker, task)
	return true
}

// evidenceHolds checks the evidence on which a placement is to end against what the registry knows
// of the worker apart from the message or the timer that brought the evidence.
func (r *Registry) evidenceHolds(worker *Worker, task *taskstate.Task, evidence Evidence) bool {
	switch evidence {
	case EvidenceNeverLaunched:
		return !task.Launch.IsSent()
	case EvidenceExited:
		return task.Observed.Reported
	case EvidenceNotListed:
		return task.Launch.ProvesAbsence(worker.newestHeartbeat(), worker.Token)
	case EvidenceLaterSession:
		return task.Launch.IsVoidInSession(worker.Session)
	case EvidenceLeaseExpired:
		return r.runtime.Now()-worker.SessionSeenAt > r.settings.WorkerLease()
	case EvidenceMachineReleased:
		return r.released[worker.ID]
	case EvidenceRecordRemoved:
		return true // the leader's decision, see shard.TaskStore.RecordRemoved
	}
	return false
}

// logPlacementEnd logs the evidence on which a placement ends, with the state of the worker's
// session and lease.
func (r *Registry) logPlacementEnd(worker *Worker, task *taskstate.Task, evidence Evidence) {
	now := r.runtime.Now()
	r.metrics.AddPlacementEnded(evidence.String())
	r.log.Info("placement ended", "worker", worker.ID, "task", task.Name(), "attempt", task.WireAttempt(), "evidence", evidence.String(),
		"token", r.lease.Token(), "session", worker.Session, "seq", worker.Sequence,
		"launch_token", task.Launch.DirectToken(), "launch_session", task.Launch.NotBefore().Session, "launch_seq", task.Launch.NotBefore().Sequence,
		"in_doubt", task.Launch.IsInDoubt(),
		"lease_age_ms", (now - worker.LeaseRenewedAt).Milliseconds(), "heard_ms", (now - worker.LastHeartbeatAt).Milliseconds())
}

// endPlacement ends the placement of a task that is proven not to be on its machine. The kind
// of loss only matters for a gang.
func (r *Registry) endPlacement(worker *Worker, task *taskstate.Task, evidence Evidence, loss taskstate.Loss) {
	if !r.takeOff(worker, task, evidence) {
		return
	}
	task.TakeOffWorker()
	if task.Job.Cancelled {
		r.tasks.DropTask(task)
		return
	}
	if gang := task.Job.Gang; gang != nil {
		if gang.Done {
			r.tasks.TaskDone(task)
			return
		}
		r.gangTaskLost(task, loss)
	}
	r.tasks.TaskChanged(task, false)
	r.scheduler.TaskWaiting(task)
}

// endAllPlacements ends all placements on a machine whose tasks are all proven gone.
func (r *Registry) endAllPlacements(worker *Worker, evidence Evidence) {
	for task := range worker.Tasks {
		r.endPlacement(worker, task, evidence, taskstate.LossVanished)
	}
}
