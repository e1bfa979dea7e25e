package tuning

import "time"

// Messages to workers.
const (
	// CommandTimeout is the time after which a direct command counts as unanswered.
	CommandTimeout = 2500 * time.Millisecond
	// MaxConcurrentAnnouncements is the maximum number of workers to which a new token is
	// announced at a time. A worker learns the token with its next heartbeat in any case.
	MaxConcurrentAnnouncements = 64
	// AnnounceTimeout is how long the answer of each worker to which a new token is announced
	// is waited for. At this value a thousand silent workers take half a minute.
	AnnounceTimeout = 1500 * time.Millisecond
	// MaxCommandsPerMessage keeps the line of an answer below 64 KiB (PROTOCOL).
	MaxCommandsPerMessage = 200
	// MaxListedAttempts is the number of attempts on a worker, running ones and ended ones that it
	// may not forget yet, from which it gets no more tasks while any of the latter is among them.
	// At up to 104 bytes each they stay below the 64 KiB of a report (PROTOCOL).
	MaxListedAttempts = 512
	// UrgentAttemptsToForget is the number of ended attempts that a worker may not forget yet from
	// which a higher token is requested at once.
	UrgentAttemptsToForget = MaxListedAttempts / 4
	// CheckpointMargin is the time allowed for a checkpoint command to reach its worker,
	// including one round of the loop that sends it.
	CheckpointMargin = 3 * time.Second
)

// Silent and unreachable workers. The heartbeats of an unreachable worker arrive, but answers
// and commands to it are lost.
const (
	// SuspectHeartbeats is the number of heartbeat intervals of silence after which a machine
	// gets no new tasks.
	SuspectHeartbeats = 2.2
	// DeadWorkerIntervals and DeadWorkerSlack define how long a machine is silent, while most
	// others are not, before it is released: the longest heartbeat interval, plus the time
	// that a worker needs to try another controller after a lost answer.
	DeadWorkerIntervals = 1.25
	DeadWorkerSlack     = 7 * time.Second
	// UnreachableAfterHeartbeats is the number of consecutive answered heartbeats without the
	// token of the answers after which a worker counts as unreachable. The heartbeat after
	// an answer shows the token, except for one that is already on its way and one after a
	// lost answer.
	UnreachableAfterHeartbeats = 3
	// UnreachableAfterLaunches is the number of consecutive launches that no heartbeat has
	// listed after which a worker counts as unreachable. One launch may be lost with a
	// connection.
	UnreachableAfterLaunches = 2
	// UnreachableProbeInterval is the time between two probes of an unreachable worker.
	UnreachableProbeInterval = 3 * time.Second
)

// Partitioned zones.
const (
	// ZonePartitionAfter is the time without any heartbeat from a zone after which the zone
	// counts as partitioned. It is below DeadWorkerSlack, so that a zone counts as
	// partitioned before its first machine counts as dead.
	ZonePartitionAfter = 5 * time.Second
	// ZonePartitionHeartbeats is the minimum number of heartbeats that must have been expected
	// from the zone in that time. With fewer machines the silence may be chance.
	ZonePartitionHeartbeats = 12
	// ZonePartitionRetention is how long the machines of a partitioned zone are retained. They
	// are usable as soon as the partition ends. Machines rented in their place take as long
	// to boot as most partitions last, and in the same zone they are unreachable too.
	ZonePartitionRetention = 90 * time.Second
	// SmallZoneShare is the fraction of all machines up to which a partitioned zone counts as
	// small. Machines of a small zone that may have urgent tasks are released nevertheless.
	SmallZoneShare = 0.35
)

// Failures on workers.
const (
	// RefusedTaskPause is how long a task that a machine refused is not placed again. If the
	// machine was full, the machine gets no tasks for this time, and the task pauses for a
	// quarter of it.
	RefusedTaskPause = 2 * time.Second
	// FirstAvoidance is how long a job avoids a machine after its tasks have failed there. A
	// machine that fails tasks for a few seconds may be the only one with room.
	FirstAvoidance = 10 * time.Second
	// RepeatedAvoidance is how long the job avoids the machine if they have failed there again. A
	// machine can be rented in that time. It stays below the 90 s for which a job may wait beside
	// a machine with room.
	RepeatedAvoidance = 45 * time.Second
	// MaxFailedWorkers is the number of machines on which a job's failures are distinguished.
	MaxFailedWorkers = 16
	// MinFailurePause is the pause of a job after SlowdownFailures failures of its tasks, those at
	// the same time counted once, without a completed one in between, on any machines. It doubles
	// with each further failure, up to MaxFailurePause.
	MinFailurePause = 2 * time.Second
	// MaxFailurePause is the maximum pause of a job whose tasks fail.
	MaxFailurePause = 60 * time.Second
	// SlowdownFailures is the number of consecutive failures from which a job is paused. Fewer
	// may be the fault of a machine.
	SlowdownFailures = 3
	// MaxFailurePauseDoublings prevents an overflow when the pause is doubled.
	MaxFailurePauseDoublings = 6
	// FaultyWorkerFailures is the number of consecutive failures after which a machine gets no
	// more tasks, if their jobs are not the likely cause.
	FaultyWorkerFailures = 2
	// FaultyWorkerJobs is the number of jobs that have failed on a machine in a row from which the
	// machine is the likely cause, even if each of them has failed elsewhere too.
	FaultyWorkerJobs = 3
	// SoundRunHeartbeats is the number of heartbeat intervals for which a task of a job runs on one
	// machine to show that those that fail on another one are not the job's fault.
	SoundRunHeartbeats = 2
	// SpotNoticeReserve is how long before the cloud reclaims a spot machine it is released,
	// so that its tasks are known to be gone.
	SpotNoticeReserve = 2 * time.Second
)
