package tuning

import "time"

// Leases of the controllers: leadership and ownership of shards.
const (
	// LeaseTTL is how long leadership and the ownership of shards last without renewal. The
	// users' design note proposes 10 s to start with.
	LeaseTTL = 10 * time.Second
	// LeaseRenewInterval is the time between renewals. Three tries fit into a lease.
	LeaseRenewInterval = 3 * time.Second
	// LeaseRenewRetryDelay is the pause before a failed renewal is retried.
	LeaseRenewRetryDelay = 500 * time.Millisecond
	// DriftPerMille bounds the drift between two monotonic clocks in thousandths: 0.05 % each
	// (PROTOCOL), doubled because both clocks drift.
	DriftPerMille = 1
	// LeaseMargin is subtracted from a lease's validity for scheduling delays of this process
	// and the coarse timers of small machines.
	LeaseMargin = 300 * time.Millisecond
	// MaxAnswerGracePeriod is the maximum time for which a shard owner whose lease has expired
	// still answers heartbeats, so that a short outage of the state service ends no task.
	MaxAnswerGracePeriod = 12 * time.Second
	// LeaseEvaluateInterval is the time between two comparisons of the stored leases with
	// those that a node has, while nothing changes.
	LeaseEvaluateInterval = 1 * time.Second
	// FirstAssignmentDelay is how long a new leader waits for controllers to register before
	// it assigns shards to them.
	FirstAssignmentDelay = 400 * time.Millisecond
	// ShardRebalanceDelay is how long the owners of the shards must have been unchanged before
	// one shard is moved for balance.
	ShardRebalanceDelay = 30 * time.Second
	// ElectionJitter spreads the attempts of different nodes to acquire a vacant leadership:
	// each node pauses for this time, multiplied by its rank plus a random number below 1.
	ElectionJitter = 150 * time.Millisecond
)

// Shard owners that no worker reaches.
const (
	// AbstainAfterStepDown is how long a node that relinquished its shards, because no worker
	// reached it, abstains from owning any.
	AbstainAfterStepDown = 20 * time.Second
	// OwnerSilenceIntervals and OwnerSilenceSlack define how long a shard owner with machines
	// receives no heartbeat at all before it asks its peers and, if workers may reach them,
	// relinquishes its shards: this number of heartbeat intervals, plus the slack for
	// messages on their way.
	OwnerSilenceIntervals = 2.5
	OwnerSilenceSlack     = 1500 * time.Millisecond
	// ShortSilenceMinWorkers is the minimum number of workers with which half of
	// OwnerSilenceIntervals, about one heartbeat interval, is enough.
	ShortSilenceMinWorkers = 10
	// MaxSilenceDoublings limits how often the allowed silence doubles while the node receives
	// no heartbeat even after its shards return to it. Sixteen times the allowed silence is
	// longer than any lease.
	MaxSilenceDoublings = 4
)

// Knowledge of cancellations that a shard owner needs before it acts.
const (
	// CancellationReserve is the margin between the end of the last possible task of a
	// partitioned shard owner and the time by which cancelled tasks must be gone.
	CancellationReserve = 6 * time.Second
	// KnowledgeVerifyInterval is the time between two verifications that a shard owner's
	// copies of the jobs and of the leases are current, unless users' requests cause one
	// earlier. When an outage begins, the knowledge may already be this old, and its remaining
	// time to the maximum age is shorter by as much.
	KnowledgeVerifyInterval = 1500 * time.Millisecond
	// KnowledgeReserve is the margin between the end of the last task of a cancelled job that
	// an answer can have kept alive and the time by which the task must be gone. It covers
	// the transit of the answer, coarse timers, and users who are answered after the commit.
	KnowledgeReserve = 3 * time.Second
	// KnowledgeReserveShare bounds KnowledgeReserve, as a fraction of the time between the
	// workers' lease and the cancellation limit, which is a few seconds in trial deployments.
	KnowledgeReserveShare = 0.25
	// MinKnowledgeAgeLimit is the minimum that the settings must allow as maximum age of a
	// shard owner's knowledge. A verification takes KnowledgeVerifyInterval and a request.
	MinKnowledgeAgeLimit = 2 * time.Second
	// MaxLaunchKnowledgeAge is the maximum age of the verification that a job is not cancelled
	// when a task of it is launched. The verification is also never older than the
	// placement.
	MaxLaunchKnowledgeAge = 2 * time.Second
	// HaltRetryInterval is the time between two direct commands to halt a task of a cancelled
	// job that is not proven gone.
	HaltRetryInterval = 2 * time.Second
	// WorkerLeaseMargin is added to a worker's lease before its tasks count as gone.
	WorkerLeaseMargin = 1500 * time.Millisecond
)
