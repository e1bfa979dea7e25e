package tuning

import "time"

// Gangs.
const (
	// DefaultGangWaitTimeout stands in for gang_wait_s where the settings leave it out.
	DefaultGangWaitTimeout = 30 * time.Second
	// DefaultGangPeerTimeout stands in for gang_peer_s where the settings leave it out.
	DefaultGangPeerTimeout = 5 * time.Second
	// GangAttemptStride is how many replacements of one task an attempt of its gang can
	// count. The stored number of a task's attempt is the gang's times this, plus the
	// replacements, so that it grows with each placement.
	GangAttemptStride = 1024
	// GangLeaderWait is how long a gang for which there is no room waits with the leader,
	// free for any place, before a shard owner collects room for it.
	GangLeaderWait = 3 * time.Second
	// GangDivideAfter is when a gang that no single shard would hold is divided among
	// several: machines rented for it may be up by then.
	GangDivideAfter = 25 * time.Second
	// GangIdleRetention is how long an idle machine is kept when a gang waits for several
	// like it: as long as it may take to rent and boot the others.
	GangIdleRetention = 100 * time.Second
	// GangExtraMachinePenalty is the part by which each further machine of a gang counts as
	// more expensive: the gang runs at the speed of the slowest.
	GangExtraMachinePenalty = 0.1
	// GangReturnTimeout is how long a gang of which one part is with a shard and another
	// has been returned is taken for one that is being returned.
	GangReturnTimeout = 5 * time.Second
	// GangLossNoticeMargin is what the news that the other members have noticed a loss may
	// take after the time that they have for it; then they are halted.
	GangLossNoticeMargin = 3 * time.Second
	// MinGangPause is the first pause of a gang that was never complete; it doubles up to
	// MaxGangPause, so that the gang is not placed and ended without pause.
	MinGangPause = 1 * time.Second
	// MaxGangPause is the longest pause of a gang that was never complete.
	MaxGangPause = 30 * time.Second
)

// Room that is reserved for gangs to come: the users expect some classes to start within
// seconds, and a machine takes half a minute to boot.
const (
	// PromptStartWithin is the objective for the wait, below which a class is one of these.
	PromptStartWithin = 20 * time.Second
	// GangReserveCount is how many gangs of a class room is reserved for, each as large as
	// the largest of late.
	GangReserveCount = 2
	// GangReservePeriod is how long after the last gang of a class room is reserved.
	GangReservePeriod = 90 * time.Second
	// MaxGangReserveShare is the most of all processors that is reserved: with few machines
	// it would be most of what large tasks have.
	MaxGangReserveShare = 0.1
)
