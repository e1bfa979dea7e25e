package tuning

import "time"

// Dispatch to the shards, and placement on machines.
const (
	// WaitBound is the wait in the extra queue after which a task has precedence on the
	// next free machine, unless the operators set another time. The users' design note
	// proposes 30 s to start with.
	WaitBound = 30 * time.Second
	// MaxQueuedShare is the maximum amount of work in a shard's queues, as a fraction of its
	// machines' processors. The rest waits with the leader, which can dispatch it to any
	// shard.
	MaxQueuedShare = 0.5
	// PassedOverAfter is how long a task waits beside a machine with room before that is logged.
	PassedOverAfter = 30 * time.Second
	// PassedOverInterval is the time after which that is logged again for the same job.
	PassedOverInterval = 1 * time.Minute
	// PassedOverCheckInterval is the time between two searches for such tasks.
	PassedOverCheckInterval = 5 * time.Second
	// MinRoundInterval is the minimum time between two rounds of placement or dispatch.
	MinRoundInterval = 25 * time.Millisecond
	// RoundIntervalPerMachine is added to MinRoundInterval for every machine. A round examines
	// all machines, at about 0.1 µs each, and may use no more than a few thousandths of a
	// core.
	RoundIntervalPerMachine = 50 * time.Microsecond
	// StarvedAfter is how long a job waits for its first task before it precedes all others.
	// A day counts as failed for the users if the largest jobs do not begin within four
	// minutes, and a task may run for two minutes before one ends.
	StarvedAfter = 75 * time.Second
	// MaxUrgentReserveShare is the maximum fraction of a team's quota that is reserved for its
	// urgent jobs.
	MaxUrgentReserveShare = 0.35
	// UrgentReserveHalfLife is the half-life of the past demand of urgent jobs.
	UrgentReserveHalfLife = 150 * time.Second
)
