package workers

import (
	"strconv"
	"time"

	"lemonmoor/internal/tuning"
)

// Refusal is the reason for which no task may be placed on a worker now.
type Refusal int

const (
	// RefusalNone means that tasks may be placed on the worker.
	RefusalNone Refusal = iota
	// RefusalNotReported means that the worker has sent this process no heartbeat.
	RefusalNotReported
	// RefusalLeaseExpired means that the worker's lease has expired.
	RefusalLeaseExpired
	// RefusalUnreachable means that the worker's heartbeats arrive but our answers do not.
	RefusalUnreachable
	// RefusalDrained means that the worker or its machine is drained, see Health.DrainReason.
	RefusalDrained
	// RefusalUnknownType means that no machine type has the name that the worker reports.
	RefusalUnknownType
	// RefusalUnknownTasks means that the worker lists tasks that the records do not place there.
	RefusalUnknownTasks
	// RefusalEarlierToken means that the worker has not shown the current token yet.
	RefusalEarlierToken
	// RefusalSilent means that the worker has sent no heartbeat for too long.
	RefusalSilent
	// RefusalFull means that the worker has just refused a task for lack of room.
	RefusalFull
	// RefusalReportFull means that too many ended attempts wait to be forgotten by the worker.
	RefusalReportFull
	// RefusalUnanswered means that the worker has left a command unanswered.
	RefusalUnanswered
	// RefusalZonePartitioned means that nothing is heard from the worker's zone.
	RefusalZonePartitioned
)

var refusalNames = [...]string{
	RefusalNone:            "none",
	RefusalNotReported:     "not reported",
	RefusalLeaseExpired:    "lease expired",
	RefusalUnreachable:     "unreachable",
	RefusalDrained:         "drained",
	RefusalUnknownType:     "unknown machine type",
	RefusalUnknownTasks:    "unknown tasks",
	RefusalEarlierToken:    "earlier token",
	RefusalSilent:          "silent",
	RefusalFull:            "refused a task as full",
	RefusalReportFull:      "report full",
	RefusalUnanswered:      "command unanswered",
	RefusalZonePartitioned: "zone partitioned",
}

// String returns the reason's name in logs.
func (r Refusal) String() string {
	if r < 0 || int(r) >= len(refusalNames) {
		return "refusal " + strconv.Itoa(int(r))
	}
	return refusalNames[r]
}

// AcceptsTasks reports whether new tasks may be placed on a worker now.
func (r *Registry) AcceptsTasks(worker *Worker) bool { return r.Refusal(worker) == RefusalNone }

// Refusal returns the first reason for which no task may be placed on a worker now, or RefusalNone.
// A worker that left a command unanswered gets no task before its next heartbeat, since a task placed
// on a partitioned or dead machine has to wait there until the worker's lease has expired.
func (r *Registry) Refusal(worker *Worker) Refusal {
	now := r.runtime.Now()
	silentAfter := time.Duration(float64(r.settings.HeartbeatInterval()) * tuning.SuspectHeartbeats)
	switch {
	case !worker.HasReported:
		return RefusalNotReported
	case worker.LeaseExpired:
		return RefusalLeaseExpired
	case worker.Unreachable:
		return RefusalUnreachable
	case r.isDraining(worker):
		return RefusalDrained
	case worker.MachineType == nil:
		return RefusalUnknownType
	case worker.UnknownTasks > 0:
		return RefusalUnknownTasks
	case worker.Token < r.lease.Token():
		return RefusalEarlierToken
	case now-worker.LastHeartbeatAt >= silentAfter:
		return RefusalSilent
	case now < worker.RefusesUntil:
		return RefusalFull
	case !r.hasRoomInReport(worker):
		return RefusalReportFull
	case worker.delivery.unansweredAt > worker.LastHeartbeatAt:
		return RefusalUnanswered
	case r.isZonePartitioned(worker.Zone):
		return RefusalZonePartitioned
	}
	return RefusalNone
}

// hasRoomInReport reports whether the attempts that a worker may not forget yet leave room in its
// reports for more tasks.
func (r *Registry) hasRoomInReport(worker *Worker) bool {
	waiting := worker.ended.waiting
	return waiting == 0 || waiting+len(worker.Tasks) < tuning.MaxListedAttempts
}
