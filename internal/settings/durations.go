package settings

import (
	"time"

	"lemonmoor/internal/tuning"
)

// seconds turns a decimal number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// HeartbeatInterval returns the time between two heartbeats of a worker.
func (s *Settings) HeartbeatInterval() time.Duration { return seconds(s.Deployment.Workers.ReportS) }

// WorkerDeadAfter returns how long a machine is silent before it counts as dead. It follows
// the interval of the heartbeats: counted in fixed seconds, it once had machines with slow
// heartbeats returned as dead, with their tasks.
func (s *Settings) WorkerDeadAfter() time.Duration {
	return time.Duration(tuning.DeadWorkerIntervals*float64(s.HeartbeatInterval())) + tuning.DeadWorkerSlack
}

// OwnerSilenceLimit returns how long a shard owner of so many machines hears none of them
// before it takes itself to be partitioned.
func (s *Settings) OwnerSilenceLimit(machines int) time.Duration {
	intervals := tuning.OwnerSilenceIntervals
	if machines >= tuning.ShortSilenceMinWorkers {
		intervals /= 2
	}
	return time.Duration(intervals*float64(s.HeartbeatInterval())) + tuning.OwnerSilenceSlack
}

// IsZonePartitioned reports whether the silence of a whole zone with so many machines means
// that it is partitioned: many heartbeats would have come in that time.
func (s *Settings) IsZonePartitioned(machines int, silence time.Duration) bool {
	return silence > tuning.ZonePartitionAfter &&
		float64(machines)*float64(tuning.ZonePartitionAfter) >= tuning.ZonePartitionHeartbeats*float64(s.HeartbeatInterval())
}

// WorkerLease returns how long a worker goes on without an answer.
func (s *Settings) WorkerLease() time.Duration { return seconds(s.Deployment.Workers.LeaseS) }

// ListLag returns how far the cloud's machine list is behind, as a rule.
func (s *Settings) ListLag() time.Duration { return seconds(s.Deployment.Cloud.ListLagS) }

// GangWaitTimeout returns how long a task of a gang waits for the others before it gives up.
func (s *Settings) GangWaitTimeout() time.Duration {
	return seconds(positiveOr(s.Deployment.Workers.GangWaitS, tuning.DefaultGangWaitTimeout.Seconds()))
}

// GangPeerTimeout returns how soon the tasks of a gang notice that one of them is gone, and
// within which all must be told to save their progress.
func (s *Settings) GangPeerTimeout() time.Duration {
	return seconds(positiveOr(s.Deployment.Workers.GangPeerS, tuning.DefaultGangPeerTimeout.Seconds()))
}

// positiveOr returns the value if it is set, else the other.
func positiveOr(value, other float64) float64 {
	if value > 0 {
		return value
	}
	return other
}

// AnswerGracePeriod returns how long a shard owner past its lease may answer heartbeats: its
// lease, this period and the workers' lease together stay below the time within which a
// cancelled task must be gone.
func (s *Settings) AnswerGracePeriod() time.Duration {
	available := seconds(s.Deployment.Workers.CancelS) - tuning.LeaseTTL - s.WorkerLease() - tuning.CancellationReserve
	return max(0, min(available, tuning.MaxAnswerGracePeriod))
}

// MaxKnowledgeAge returns how long after a cancellation a machine that may have a task of
// the job can still be answered, and so the greatest age of an owner's knowledge of
// cancellations: the answer renews the worker's lease, and the task must be gone in
// time even if nothing reaches the worker after it.
func (s *Settings) MaxKnowledgeAge() time.Duration {
	lease := s.WorkerLease()
	return seconds(s.Deployment.Workers.CancelS) - lease - lease*tuning.DriftPerMille/1000 - s.knowledgeReserve()
}

// knowledgeReserve returns the margin by which MaxKnowledgeAge stays below the time that
// there is: less where the times are short.
func (s *Settings) knowledgeReserve() time.Duration {
	available := seconds(s.Deployment.Workers.CancelS) - s.WorkerLease()
	return min(tuning.KnowledgeReserve, time.Duration(float64(available)*tuning.KnowledgeReserveShare))
}

// ClockSkew returns a bound of the difference of two nodes' times of day.
func (s *Settings) ClockSkew() time.Duration {
	return 2 * time.Duration(s.Deployment.SkewMS*float64(time.Millisecond))
}

// WaitBound returns the longest wait in the extra queue before a task goes first.
func (s *Settings) WaitBound() time.Duration {
	if bound := s.Operator.WaitBoundS; bound != nil {
		return seconds(*bound)
	}
	return tuning.WaitBound
}

// MachineIdleTimeout returns how long a machine without tasks is kept.
func (s *Settings) MachineIdleTimeout() time.Duration {
	if timeout := s.Operator.IdleKeepS; timeout != nil {
		return seconds(*timeout)
	}
	return tuning.MachineIdleTimeout
}
