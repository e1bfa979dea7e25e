package tuning

import "time"

// Dispatch to the shards, and placement on machines.
const (
	// WaitBound is the wait in the extra queue after which a task goes first on the next
	// free machine. The users' design note starts at 30 s.
	WaitBound = 30 * time.Second
	// MaxQueuedShare is how much work may wait in a shard's queues, as a part of its
	// machines' processors; the rest waits with the leader, free for any shard.
	MaxQueuedShare = 0.5
	// MinRoundInterval is the least time between two rounds of placement or dispatch.
	MinRoundInterval = 25 * time.Millisecond
	// RoundIntervalPerMachine is added to MinRoundInterval for every machine. A round looks
	// at all of them, which takes some 0.1 µs each, and may take no more than a few
	// thousandths of a core.
	RoundIntervalPerMachine = 50 * time.Microsecond
	// StarvedAfter is how long a job waits for its first task before it goes before all
	// others. The users fail a day on which the largest jobs do not begin within four
	// minutes; a task may run for two before one ends.
	StarvedAfter = 75 * time.Second
	// MaxUrgentReserveShare is the most of a team's quota that is reserved for its urgent
	// jobs.
	MaxUrgentReserveShare = 0.35
	// UrgentReserveHalfLife is how fast the past demand of urgent jobs is forgotten.
	UrgentReserveHalfLife = 150 * time.Second
)
