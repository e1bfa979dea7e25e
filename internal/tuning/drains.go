package tuning

import "time"

// Drains of machines by the operators.
const (
	// DefaultDrainMachinesAtOnce is how many machines of a drain are emptied at a time if
	// the operators do not say.
	DefaultDrainMachinesAtOnce = 4
	// MaxDrainMachinesAtOnce is the most machines that the operators may have emptied at a
	// time: the status messages list all tasks of closed machines.
	MaxDrainMachinesAtOnce = 200
	// DefaultDrainWait is how long tasks that are about to end are waited for if the
	// operators do not say: a few times what most tasks of an array take.
	DefaultDrainWait = 2 * time.Minute
	// DrainWriteShare is the part of the state service's write operations that drains may
	// take: they are the least urgent of all decisions.
	DrainWriteShare = 0.2
	// DrainStuckAfter is how long nothing of a machine could be granted before another
	// machine is taken in hand besides.
	DrainStuckAfter = 60 * time.Second
	// DrainStuckFactor is how many times the machines at once are taken in hand at most
	// while some are stuck.
	DrainStuckFactor = 2
	// DrainNoRoomAfter is how long there must be no room for a closed machine's tasks
	// before it is opened again and a machine is rented for them: a few status messages.
	DrainNoRoomAfter = 5 * time.Second
	// MaxDrainRentalAttempts is how many machines are rented one after the other for one
	// that is drained, while other work takes their room.
	MaxDrainRentalAttempts = 4
	// MaxReportedDownServices is the most services of which a shard owner reports replicas
	// that are not up; with more, no replica may be disturbed at all.
	MaxReportedDownServices = 500
	// MaxDrainWaitReasons is how many reasons for its waiting a drain gives.
	MaxDrainWaitReasons = 12
	// MaxFinishedDrains is how many finished drains can still be asked about.
	MaxFinishedDrains = 20
)

// Operators' commands.
const (
	// OperatorRetryDelay is when a request that could not be taken is sent again.
	OperatorRetryDelay = 1 * time.Second
	// DefaultOperatorTimeout is how long a command goes on trying if it is not told.
	DefaultOperatorTimeout = 20 * time.Second
)
