package settings

import (
	"time"

	"lemonmoor/internal/tuning"
)

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// HeartbeatInterval returns the time between two heartbeats of a worker.
func (s *Settings) HeartbeatInterval() time.Duration { return seconds(s.Deployment.Workers.ReportS) }

// WorkerDeadAfter returns how long a machine must be silent before it counts as dead. The
// duration depends on the heartbeat interval: with a fixed number of seconds, machines with
// long heartbeat intervals are returned as dead, with their tasks.
func (s *Settings) WorkerDeadAfter() time.Duration {
	return time.Duration(tuning.DeadWorkerIntervals*float64(s.HeartbeatInterval())) + tuning.DeadWorkerSlack
}

// OwnerSilenceLimit returns how long a node that owns shards with this number of reporting
// machines must receive no heartbeat at all before it suspects that it is partitioned.
func (s *Settings) OwnerSilenceLimit(machines int) time.Duration {
	intervals := tuning.OwnerSilenceIntervals
	if machines >= tuning.ShortSilenceMinWorkers {
		intervals /= 2
	}
	return time.Duration(intervals*float64(s.HeartbeatInterval())) + tuning.OwnerSilenceSlack
}

// IsZonePartitioned reports whether a zone with this number of machines, none of which sent a
// heartbeat for the duration of silence, is partitioned: silence is above
// tuning.ZonePartitionAfter, a time in which at least tuning.ZonePartitionHeartbeats would
// have arrived.
func (s *Settings) IsZonePartitioned(machines int, silence time.Duration) bool {
	return silence > tuning.ZonePartitionAfter &&
		float64(machines)*float64(tuning.ZonePartitionAfter) >= tuning.ZonePartitionHeartbeats*float64(s.HeartbeatInterval())
}

// WorkerLease returns how long a worker continues its tasks without an answer to its heartbeats.
func (s *Settings) WorkerLease() time.Duration { return seconds(s.Deployment.Workers.LeaseS) }

// ListLag returns the usual age of the cloud's machine list.
func (s *Settings) ListLag() time.Duration { return seconds(s.Deployment.Cloud.ListLagS) }

// GangWaitTimeout returns how long a task of a gang waits for the other tasks before it gives
// up.
func (s *Settings) GangWaitTimeout() time.Duration {
	return seconds(positiveOr(s.Deployment.Workers.GangWaitS, tuning.DefaultGangWaitTimeout.Seconds()))
}

// GangPeerTimeout returns the time within which the tasks of a gang detect that one of them is
// gone. Commands to save their progress must reach all tasks of a gang within this time.
func (s *Settings) GangPeerTimeout() time.Duration {
	return seconds(positiveOr(s.Deployment.Workers.GangPeerS, tuning.DefaultGangPeerTimeout.Seconds()))
}

// positiveOr returns value if it is above 0, otherwise fallback.
func positiveOr(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}

// AnswerGracePeriod returns how long a shard owner may answer heartbeats after its lease has
// expired. Its lease, this period and the workers' lease together stay below the time within
// which a cancelled task must be gone.
func (s *Settings) AnswerGracePeriod() time.Duration {
	available := seconds(s.Deployment.Workers.CancelS) - tuning.LeaseTTL - s.WorkerLease() - tuning.CancellationReserve
	return max(0, min(available, tuning.MaxAnswerGracePeriod))
}

// MaxKnowledgeAge returns the maximum age of a shard owner's knowledge of cancellations with
// which it may answer a heartbeat, that is, how long after a cancellation a machine that may
// have a task of the job can still be answered. The answer renews the worker's lease, and the
// task must be gone in time even if nothing reaches the worker after that answer.
func (s *Settings) MaxKnowledgeAge() time.Duration {
	lease := s.WorkerLease()
	return seconds(s.Deployment.Workers.CancelS) - lease - lease*tuning.DriftPerMille/1000 - s.knowledgeReserve()
}

// knowledgeReserve returns the margin that MaxKnowledgeAge leaves of the time between the
// workers' lease and cancel_s. It is tuning.KnowledgeReserve, or less if that time is short.
func (s *Settings) knowledgeReserve() time.Duration {
	available := seconds(s.Deployment.Workers.CancelS) - s.WorkerLease()
	return min(tuning.KnowledgeReserve, time.Duration(float64(available)*tuning.KnowledgeReserveShare))
}

// ClockSkew returns the maximum difference between the wall clocks of two nodes.
func (s *Settings) ClockSkew() time.Duration {
	return 2 * time.Duration(s.Deployment.SkewMS*float64(time.Millisecond))
}

// WaitBound returns the wait in the extra queue after which a task is placed first.
func (s *Settings) WaitBound() time.Duration {
	if bound := s.Operator.WaitBoundS; bound != nil {
		return seconds(*bound)
	}
	return tuning.WaitBound
}

// MachineIdleTimeout returns how long a machine without tasks is kept before it is returned.
func (s *Settings) MachineIdleTimeout() time.Duration {
	if timeout := s.Operator.IdleKeepS; timeout != nil {
		return seconds(*timeout)
	}
	return tuning.MachineIdleTimeout
}
