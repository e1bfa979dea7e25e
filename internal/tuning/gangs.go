package tuning

import "time"

// Gangs.
const (
	// DefaultGangWaitTimeout is the default of gang_wait_s in the settings.
	DefaultGangWaitTimeout = 30 * time.Second
	// DefaultGangPeerTimeout is the default of gang_peer_s in the settings.
	DefaultGangPeerTimeout = 5 * time.Second
	// GangAttemptStride is the number of stored attempt numbers of a task per attempt of its
	// gang. The stored number of a task's attempt is the gang's times this, plus the
	// task's replacements within the attempt, so that it grows with each placement.
	GangAttemptStride = 1024
	// GangLeaderWait is how long a gang without room stays in the leader's queue, from which
	// it can go to any place, before it is dispatched to a shard owner that collects room
	// for it.
	GangLeaderWait = 3 * time.Second
	// GangDivideAfter is the wait after which a gang that does not fit into any single shard
	// is divided among several. Machines rented for it may be up by then.
	GangDivideAfter = 25 * time.Second
	// GangIdleRetention is how long an idle machine is retained while a gang waits for several
	// like it: as long as it may take to rent and boot the others.
	GangIdleRetention = 100 * time.Second
	// GangExtraMachinePenalty is the fraction by which each further machine of a gang
	// increases its price when kinds are compared: the gang runs at the speed of the
	// slowest machine.
	GangExtraMachinePenalty = 0.1
	// GangReturnTimeout is how long a gang of which a shard has one part and has returned
	// another is assumed to be in the course of being returned.
	GangReturnTimeout = 5 * time.Second
	// GangLossNoticeMargin is added to the time within which the other members notice a loss,
	// for the report of it to arrive. After that the members are halted.
	GangLossNoticeMargin = 3 * time.Second
	// MinGangPause is the first pause of a gang that was never complete. It doubles up to
	// MaxGangPause. Without it the gang would be placed and ended continuously.
	MinGangPause = 1 * time.Second
	// MaxGangPause is the maximum pause of a gang that was never complete.
	MaxGangPause = 30 * time.Second
)

// Reservations for expected gangs: the users expect some classes to start within seconds, and
// a machine takes half a minute to boot.
const (
	// PromptStartWithin is the objective for the wait below which room is reserved for a
	// class.
	PromptStartWithin = 20 * time.Second
	// GangReserveCount is the number of gangs of a class for which room is reserved, each as
	// large as the largest recent one.
	GangReserveCount = 2
	// GangReservePeriod is how long after the last gang of a class room is reserved.
	GangReservePeriod = 90 * time.Second
	// MaxGangReserveShare is the maximum fraction of all processors that is reserved. Without
	// a limit, a small cluster would reserve most of the room that large tasks have.
	MaxGangReserveShare = 0.1
)
