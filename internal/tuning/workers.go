package tuning

import "time"

// Messages to workers.
const (
	// CommandTimeout is when a direct command counts as unanswered.
	CommandTimeout = 2500 * time.Millisecond
	// MaxConcurrentAnnouncements is the most workers that are told of a new token at a
	// time. A worker learns the token with its next heartbeat in any case.
	MaxConcurrentAnnouncements = 64
	// AnnounceTimeout is how long each worker that is told of a new token is waited for: a
	// thousand silent ones are through in half a minute.
	AnnounceTimeout = 1500 * time.Millisecond
	// MaxCommandsPerMessage keeps the line of an answer below 64 KiB (PROTOCOL).
	MaxCommandsPerMessage = 200
	// CheckpointMargin is what a command to save progress may take on its way, with one
	// round of the loop that sends it.
	CheckpointMargin = 3 * time.Second
)

// Silent and deaf workers. A deaf worker's heartbeats arrive, while answers and commands to
// it are lost.
const (
	// SuspectHeartbeats is how many heartbeat intervals of silence keep new tasks off a
	// machine.
	SuspectHeartbeats = 2.2
	// DeadWorkerIntervals and DeadWorkerSlack make up how long a machine is silent, while
	// most others are heard, before it is released: a heartbeat interval at its longest, and
	// what a worker needs that loses one answer and tries another controller.
	DeadWorkerIntervals = 1.25
	DeadWorkerSlack     = 7 * time.Second
	// DeafHeartbeats is how many answered heartbeats in a row a worker may send without
	// showing the token of the answers: the next one shows it, but for one on its way and
	// one lost answer.
	UnreachableAfterHeartbeats = 3
	// DeafLaunches is how many launches in a row may never show in a worker's heartbeats:
	// one may be lost with a connection.
	UnreachableAfterLaunches = 2
	// DeafProbeInterval is the time between two probes whether a deaf worker hears again.
	UnreachableProbeInterval = 3 * time.Second
)

// Zones that are cut off (partitioned).
const (
	// ZonePartitionAfter is how long nothing is heard of a zone before it counts as
	// partitioned. It is below DeadWorkerSlack, so that a zone counts as partitioned before
	// its first machine counts as dead.
	ZonePartitionAfter = 5 * time.Second
	// ZonePartitionHeartbeats is how many heartbeats would have come from the zone in that
	// time at the least: with fewer machines silence may be chance.
	ZonePartitionHeartbeats = 12
	// ZonePartitionRetention is how long the machines of a partitioned zone are kept. They
	// are usable at once when the zone is back; machines rented in their place boot as long
	// as most partitions last, and in the same zone are not heard either.
	ZonePartitionRetention = 90 * time.Second
	// SmallZoneShare is the part of all machines up to which those of a partitioned zone
	// are released all the same when they may have urgent tasks.
	SmallZoneShare = 0.35
)

// Failures on workers.
const (
	// RefusedTaskPause keeps a task from a machine that refused it.
	RefusedTaskPause = 2 * time.Second
	// MinFailurePause is the first pause of a job that fails on machines on which other
	// jobs do not fail; it doubles up to MaxFailurePause.
	MinFailurePause = 2 * time.Second
	// MaxFailurePause is the longest pause of a job that fails.
	MaxFailurePause = 60 * time.Second
	// SlowdownFailures is the number of failures in a row from which on a job is paused:
	// fewer may be the fault of a machine.
	SlowdownFailures = 3
	// MaxFailurePauseDoublings keeps the doubling of the pause from overflowing.
	MaxFailurePauseDoublings = 6
	// FaultyWorkerFailures is the number of failures in a row, of one job or of several,
	// after which a machine gets no more tasks.
	FaultyWorkerFailures = 2
	// SpotNoticeReserve is how long before the cloud takes a spot machine it is released,
	// so that its tasks are known to be gone.
	SpotNoticeReserve = 2 * time.Second
)
