package tuning

import "time"

// Drains of machines by the operators.
const (
	// DefaultDrainMachinesAtOnce is how many machines of a drain are emptied at a time if
	// the operators set no number.
	DefaultDrainMachinesAtOnce = 4
	// MaxDrainMachinesAtOnce is the maximum number of machines that the operators may have
	// emptied at a time. It bounds the status messages, which list all tasks of closed
	// machines.
	MaxDrainMachinesAtOnce = 200
	// DefaultDrainWait is how long after the closing of a machine a drain waits for tasks that
	// are expected to end by then, if the operators set no time. It is a few times the
	// duration of most array tasks.
	DefaultDrainWait = 2 * time.Minute
	// DrainWriteShare is the fraction of the state service's write operations that drains may
	// use. They are the least urgent of all decisions.
	DrainWriteShare = 0.2
	// DrainStuckAfter is how long no move off a machine could be granted before another
	// machine is emptied in addition.
	DrainStuckAfter = 60 * time.Second
	// DrainStuckFactor is the maximum number of machines that are emptied at a time while
	// some are stuck, as a multiple of the configured number.
	DrainStuckFactor = 2
	// DrainNoRoomAfter is how long there must have been no room for a closed machine's tasks
	// before the machine is reopened and another one is rented for them. It spans a few
	// status messages.
	DrainNoRoomAfter = 5 * time.Second
	// MaxDrainRentalAttempts is the maximum number of machines rented one after the other as
	// replacement of one drained machine, while other work uses up their room.
	MaxDrainRentalAttempts = 4
	// MaxReportedDownServices is the maximum number of services of which a shard owner reports
	// replicas that are not up. With more, no replica may be disturbed at all.
	MaxReportedDownServices = 500
	// MaxDrainWaitReasons is the maximum number of wait reasons that a drain reports.
	MaxDrainWaitReasons = 12
	// MaxFinishedDrains is the number of finished drains that can still be queried.
	MaxFinishedDrains = 20
)

// Operators' commands.
const (
	// OperatorRetryDelay is the minimum pause before a request that no controller could
	// accept is sent again.
	OperatorRetryDelay = 1 * time.Second
	// DefaultOperatorTimeout is how long a command retries if no timeout is specified.
	DefaultOperatorTimeout = 20 * time.Second
)
