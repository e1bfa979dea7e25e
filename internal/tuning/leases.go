package tuning

import "time"

// Leases of the controllers: leadership and ownership of shards.
const (
	// LeaseTTL is how long leadership and the ownership of shards last without renewal.
	// The users' design note starts at 10 s.
	LeaseTTL = 10 * time.Second
	// LeaseRenewInterval is the time between renewals: three tries fit into a lease.
	LeaseRenewInterval = 3 * time.Second
	// LeaseRenewRetryDelay is the pause before a failed renewal is tried again.
	LeaseRenewRetryDelay = 500 * time.Millisecond
	// DriftPerMille bounds the drift between two steady clocks in thousandths: 0.05 % each
	// (PROTOCOL), doubled because both ends drift.
	DriftPerMille = 1
	// LeaseMargin is taken off a lease's validity for scheduling delays of this process and
	// the coarse timers of small machines.
	LeaseMargin = 300 * time.Millisecond
	// MaxAnswerGracePeriod bounds how long a shard owner whose lease has expired goes on
	// answering heartbeats, so that a short outage of the state service ends no task.
	MaxAnswerGracePeriod = 12 * time.Second
	// LeaseEvaluateInterval is how often a node compares the leases with what it holds while
	// nothing changes.
	LeaseEvaluateInterval = 1 * time.Second
	// FirstAssignmentDelay is how long a new leader waits for controllers to register
	// before it assigns shards to them.
	FirstAssignmentDelay = 400 * time.Millisecond
	// ShardRebalanceDelay is how long the owners of the shards must have been the same
	// before one shard is moved for balance.
	ShardRebalanceDelay = 30 * time.Second
	// ElectionJitter spreads the tries of different nodes for a free lease.
	ElectionJitter = 150 * time.Millisecond
)

// What a shard owner does when no worker reaches it.
const (
	// AbstainAfterStepDown is how long a node that relinquished its shards, because no
	// worker reached it, takes none.
	AbstainAfterStepDown = 20 * time.Second
	// OwnerSilenceIntervals and OwnerSilenceSlack make up how long a shard owner with
	// machines hears no heartbeat at all before it relinquishes its shards: so many
	// heartbeat intervals, and a moment for messages on their way.
	OwnerSilenceIntervals = 2.5
	OwnerSilenceSlack     = 1500 * time.Millisecond
	// ManyWorkers is the number of workers with which one heartbeat interval of silence is
	// enough.
	ShortSilenceMinWorkers = 10
	// MaxSilenceDoublings is how often the time of silence doubles while the node hears no
	// worker either when its shards come back to it: sixteen times is longer than any lease.
	MaxSilenceDoublings = 4
)

// What a shard owner must know of cancellations before it acts.
const (
	// CancellationReserve is kept free between the end of the last possible task of a shard
	// owner that is cut off and the time by which cancelled tasks must be gone.
	CancellationReserve = 6 * time.Second
	// KnowledgeVerifyInterval is the time between two verifications that a shard owner's
	// copies of the jobs and of the leases are current, if users' questions bring none. What
	// an outage leaves of the greatest age of this knowledge is shorter by as much.
	KnowledgeVerifyInterval = 1500 * time.Millisecond
	// KnowledgeReserve is kept free between the end of the last task of a cancelled job
	// that an answer can have kept alive and the time by which it must be gone: for the
	// answer's way, coarse timers, and users who are told after the commit.
	KnowledgeReserve = 3 * time.Second
	// KnowledgeReserveShare bounds KnowledgeReserve, as a part of what lies between the
	// workers' lease and the cancellation limit: a few seconds in trial deployments.
	KnowledgeReserveShare = 0.25
	// MinKnowledgeAgeLimit is the least age of its knowledge that the settings must allow a
	// shard owner: a verification takes KnowledgeVerifyInterval and a request.
	MinKnowledgeAgeLimit = 2 * time.Second
	// MaxLaunchKnowledgeAge is how old the verification that a job is not cancelled may be
	// when a task of it is launched. It is never older than the placement.
	MaxLaunchKnowledgeAge = 2 * time.Second
	// HaltRetryInterval is the time between two direct commands to halt a task of a
	// cancelled job that is not proven gone.
	HaltRetryInterval = 2 * time.Second
	// WorkerLeaseMargin is added to a worker's lease before its tasks count as gone.
	WorkerLeaseMargin = 1500 * time.Millisecond
)
