// Package tuning holds every constant of lemonmoor in one place, each with
// its unit and the reason for its value. Nothing here describes a particular
// deployment: what differs between deployments comes from the settings.
package tuning

import "time"

// Leases and takeover.
const (
	// LeaseTTL is how long the lead and block leases last without renewal.
	// The design starts at 10 s.
	LeaseTTL = 10 * time.Second
	// LeaseRenewInterval is the time between renewals: three tries fit into a lease.
	LeaseRenewInterval = 3 * time.Second
	// LeaseRenewRetryDelay is the pause before a failed renewal is tried again.
	LeaseRenewRetryDelay = 500 * time.Millisecond
	// DriftPerMille bounds the drift between two steady clocks (0.05 %), in
	// thousandths, doubled because both ends drift.
	DriftPerMille = 1
	// LeaseMargin is taken off a lease's validity for scheduling delays of
	// this process and the coarse timers of small machines.
	LeaseMargin = 300 * time.Millisecond
	// MaxAnswerGracePeriod bounds how long an owner past its lease goes on answering
	// reports, so that a short outage of the state service ends no task.
	MaxAnswerGracePeriod = 12 * time.Second
	// CancellationReserve is kept free between the end of the last possible task of a
	// cut-off owner and the cancellation limit.
	CancellationReserve = 6 * time.Second
	// KnowledgeVerifyInterval is the time between two proofs that an owner's copies of the jobs
	// and of the leases are current, if users' questions bring none: what an
	// outage leaves of MaxKnowledgeAge is shorter by that.
	KnowledgeVerifyInterval = 1500 * time.Millisecond
	// KnowledgeReserve is kept free between the end of the last task of a cancelled job
	// that an answer can have kept alive and the cancellation limit: for the
	// answer's way, coarse timers, and the users' being told after the commit.
	// It is no more than KnowledgeReserveShare of what lies between the two, which is a few
	// seconds on platforms set up for trials.
	KnowledgeReserve      = 3 * time.Second
	KnowledgeReserveShare = 0.25
	// MinKnowledgeAgeLimit is the least time that the settings must leave for it: a proof
	// takes KnowledgeVerifyInterval and a request.
	MinKnowledgeAgeLimit = 2 * time.Second
	// MaxLaunchKnowledgeAge is how old the proof may be that a job is not cancelled when a
	// task of it is launched; it is no older than the placement in any case.
	MaxLaunchKnowledgeAge = 2 * time.Second
	// HaltRetryInterval is the time between two direct orders to halt a task of a
	// cancelled job that is not proven gone.
	HaltRetryInterval = 2 * time.Second
	// WorkerLeaseMargin is added to a worker's lease before its tasks count as gone.
	WorkerLeaseMargin = 1500 * time.Millisecond
	// AbstainAfterStepDown is how long a node that gave up its lease, because
	// no worker reached it, leaves the lease to others.
	AbstainAfterStepDown = 20 * time.Second
	// OwnerSilenceIntervals and OwnerSilenceSlack make up how long an owner with machines hears no
	// report at all before it gives up its lease: so many report intervals, and
	// a moment for messages. With ManyWorkers machines one interval is enough.
	OwnerSilenceIntervals = 2.5
	OwnerSilenceSlack     = 1500 * time.Millisecond
	ManyWorkers           = 10
	// MaxSilenceDoublings is how often that time doubles while the node hears none either
	// when the block comes back to it: sixteen times is longer than any lease.
	MaxSilenceDoublings = 4
	// FirstAssignmentDelay is how long a new leader waits for controllers to enrol
	// before it leases blocks to them.
	FirstAssignmentDelay = 400 * time.Millisecond
	// ShardRebalanceDelay is how long the blocks' owners must have been the same
	// before one is moved for balance.
	ShardRebalanceDelay = 30 * time.Second
	// ElectionJitter spreads the nodes' tries for a free lease.
	ElectionJitter = 150 * time.Millisecond
)

// Requests to the state service.
const (
	// StateRequestTimeout is when a state request counts as unanswered. Answers
	// usually take 10 ms, now and then a few hundred.
	StateRequestTimeout = 1800 * time.Millisecond
	// MaxCommitTimeout is how long an owner's commit is waited for when answers are
	// slow; CommitTimeoutFactor how many times the usual answer's time that is. The
	// slowest answers take some fifty times as long as the usual ones.
	MaxCommitTimeout    = 8 * time.Second
	CommitTimeoutFactor = 60
	// LatencyAverageCount is the number of answers over which that time is averaged.
	LatencyAverageCount = 8
	// MaxCommitsInFlight is the most commits of one owner, or submissions' commits of
	// one node, under way at a time; CommitPipelineDelay is how long one goes alone.
	MaxCommitsInFlight  = 4
	CommitPipelineDelay = 60 * time.Millisecond
	// MinStateBackoff is the first pause after a refused request; it doubles.
	MinStateBackoff = 100 * time.Millisecond
	// MaxStateBackoff is the longest such pause.
	MaxStateBackoff = 1 * time.Second
	// WatchTimeout is how long a watch stays open on the service's side.
	WatchTimeout = 10 * time.Second
	// PassiveWatchPause is how long a node that neither leads nor owns a block rests
	// after changes before it watches on; its answers are checked anyway.
	PassiveWatchPause = 500 * time.Millisecond
	// FreshnessCheckInterval is the least time between two batched freshness checks of
	// one node; polls in between share a check. Where requests are scarce it is
	// longer, so that all nodes' checks take FreshnessCheckShare of them.
	FreshnessCheckInterval = 150 * time.Millisecond
	FreshnessCheckShare    = 0.2
	// WatchRequestShare is the part of the requests that the watches of the leader and
	// the owners take: a watch ends with each change and is opened anew.
	WatchRequestShare = 0.4
	// WatchBurst is how many changes in a row are followed at once after a quiet
	// time. The service allows bursts of one second's worth of requests.
	WatchBurst = 6
	// ListPageSize is the number of rows asked for in one listing.
	ListPageSize = 1000
	// ShardWriteShare is the part of the state service's write budget that an
	// owner's records may use; the rest is for submissions and cancellations.
	ShardWriteShare = 0.45
	// SubmissionWriteShare is the part of the changes a second that the submissions of all
	// nodes take while changes are scarce, which they are for WritesThrottledPeriod after one
	// was refused for it: decisions come before submissions. Without it three
	// hundred jobs at once kept anything from being handed out for half a minute.
	SubmissionWriteShare  = 0.45
	WritesThrottledPeriod = 1500 * time.Millisecond
	// StalledDispatchGrace is how long after a hand-out for which there were no changes idle
	// machines are not idle: what they wait for is to come.
	StalledDispatchGrace = 5 * time.Second
	// RecordSweepInterval is the time between two removals of records of jobs that are
	// over, and RecordSweepWriteShare the part of the changes that they take.
	RecordSweepInterval   = 1 * time.Second
	RecordSweepWriteShare = 0.2
	// MaxCompletionDelay is how long a completed task may wait to share a commit with
	// others; only the machine's memory of it waits.
	MaxCompletionDelay = 700 * time.Millisecond
	// MaxCommitBytes keeps a transaction below the service's 64 KiB.
	MaxCommitBytes = 48 * 1024
)

// Work records.
const (
	// MaxRecordTasks is the most tasks in one record. A record names its tasks in
	// runs; a thousand apart from each other still take less than 6 KB.
	MaxRecordTasks = 1000
	// MaxRetriedRecordTasks is the most tasks in one record that have been handed out
	// before.
	MaxRetriedRecordTasks = 200
	// NewTaskBytes is what a task that does not follow the one before it takes in
	// a record, RetriedTaskBytes what one with a last attempt does, RecordOverheadBytes what
	// the rest of it does.
	NewTaskBytes        = 7
	RetriedTaskBytes    = 30
	RecordOverheadBytes = 200
	// MaxPageBytes is the most that a page of a block's log holds. Larger values
	// are allowed on some sites; they would save few changes and cost every
	// node the reading.
	MaxPageBytes = 7 * 1024
	// ValueLimitShare of the state service's limit for a value is used.
	ValueLimitShare = 0.9
	// MinValueLimitKB is the smallest limit for a value that can be lived with: a
	// cancelled job and a lease take some 600 bytes.
	MinValueLimitKB = 0.75
	// MinValueBytes is the same in bytes, after ValueLimitShare.
	MinValueBytes = 690
	// WriteShareDecreaseFactor and WriteShareIncreasePerSecond are how the changes a second give way when the
	// service has refused some, at most once in WriteShareDecreaseInterval, and come back, for
	// each second: only where the settings say that its limits will fall.
	WriteShareDecreaseFactor    = 0.9
	WriteShareIncreasePerSecond = 0.01
	WriteShareDecreaseInterval  = 500 * time.Millisecond
	// LogCompactionPages is the length of a block's log, in pages, from which on old
	// pages are emptied. A takeover reads them in one listing.
	LogCompactionPages = 96
	// CPUsPerShard is how many guaranteed processors call for one more block.
	// Several blocks cost room that is scarce at a hundred machines; at several
	// hundred they share the reports and the sockets among the controllers, and
	// a lost owner stops a part of the machines only.
	CPUsPerShard = 3000
)

// Users.
const (
	// MaxHeaderBytes is the most bytes of a request's head.
	MaxHeaderBytes = 8 * 1024
	// MaxBodyBytes is the most bytes of a request's body (PROTOCOL).
	MaxBodyBytes = 64 * 1024
	// SlowRequestTimeout is when a request that arrives piecemeal is given up.
	SlowRequestTimeout = 10 * time.Second
	// IdleConnectionTimeout is when a connection without requests is closed.
	IdleConnectionTimeout = 120 * time.Second
	// RetryAfterSeconds is what refused users are told to wait, in seconds.
	RetryAfterSeconds = 1
	// MaxQueuedUserRequests is the number of waiting user requests from which on new
	// ones are refused at once.
	MaxQueuedUserRequests = 256
	// SubmissionTimeout bounds the tries to make a submission durable; users wait
	// 5 s for an answer.
	SubmissionTimeout = 3500 * time.Millisecond
	// UnhealthyAfter is how long a node may go without any answer from the
	// state service before it calls itself unhealthy, if a peer has one.
	UnhealthyAfter = 4 * time.Second
	// PeerHealthMaxAge is how long a peer's word counts that the state service answers it:
	// the peers are asked once a second.
	PeerHealthMaxAge = 2500 * time.Millisecond
)

// Workers.
const (
	// CommandTimeout is when a direct order counts as unanswered.
	CommandTimeout = 2500 * time.Millisecond
	// MaxConcurrentAnnouncements is the most machines that are told of a new token at a time,
	// and GreetTimeout how long each is waited for. It learns the token with its
	// next report in any case; a thousand silent ones are through in half a
	// minute.
	MaxConcurrentAnnouncements = 64
	AnnounceTimeout            = 1500 * time.Millisecond
	// MaxCommandsPerMessage keeps an answer's line below 64 KiB.
	MaxCommandsPerMessage = 200
	// SuspectHeartbeats is how many report intervals of silence keep new tasks
	// off a machine.
	SuspectHeartbeats = 2.2
	// DeadWorkerIntervals and DeadWorkerSlack make up how long a machine is silent, while
	// most others report, before it is returned: a report interval at its
	// longest, and what a worker needs that loses one answer and tries another
	// controller.
	DeadWorkerIntervals = 1.25
	DeadWorkerSlack     = 7 * time.Second
	// DeafHeartbeats is how many answered reports in a row a machine may send
	// without showing the token of the answers: the next one shows it, but for
	// one already under way and one lost answer.
	DeafHeartbeats = 3
	// DeafLaunches is the same for launches that never show: one may be lost
	// with a connection.
	DeafLaunches = 2
	// DeafProbeInterval is the time between two questions whether it hears again.
	DeafProbeInterval = 3 * time.Second
	// ZonePartitionAfter is how long nothing is heard of a zone that is cut off, and
	// DarkReports how many reports would have come from it in that time: with
	// fewer machines silence may be chance. It is below DeadWorkerSlack, so that a zone
	// counts as cut off before its first machine counts as dead.
	ZonePartitionAfter      = 5 * time.Second
	ZonePartitionHeartbeats = 12
	// ZonePartitionRetention is how long a zone's machines are kept while it is cut off. They
	// are back at once when it is; machines rented in their place boot as long
	// as most cuts last, and in the same zone never report.
	ZonePartitionRetention = 90 * time.Second
	// SmallZoneShare is the part of all machines up to which those of a zone that is
	// cut off are returned all the same when they may have urgent tasks.
	SmallZoneShare = 0.35
	// RefusedTaskPause keeps a task from a machine that refused it.
	RefusedTaskPause = 2 * time.Second
	// MinFailurePause is the first pause of a job that fails on machines that
	// other jobs do not fail on; it doubles up to MaxFailurePause.
	MinFailurePause = 2 * time.Second
	// MaxFailurePause is the longest such pause.
	MaxFailurePause = 60 * time.Second
	// FaultyWorkerFailures is the number of failures in a row, of different jobs or
	// not, after which a machine gets no more tasks.
	FaultyWorkerFailures = 2
	// SpotNoticeReserve is how long before the cloud takes a machine it is
	// returned, so that its tasks are known to be gone.
	SpotNoticeReserve = 2 * time.Second
	// CheckpointMargin is what an order to save may take on its way, a tick included.
	CheckpointMargin = 3 * time.Second
)

// Gangs.
const (
	// DefaultGangWaitTimeout and GangPeer stand in for times that the settings leave out.
	DefaultGangWaitTimeout = 30 * time.Second
	DefaultGangPeerTimeout = 5 * time.Second
	// GangAttemptStride is how many replacements of one task an attempt of its gang can
	// count: the stored number of a task's attempt is the gang's times this, plus
	// the replacements, so that it grows with each placement.
	GangAttemptStride = 1024
	// GangLeaderWait is how long a gang for which there is no room waits with the
	// leader, free for any place, before a block's owner collects room for it.
	GangLeaderWait = 3 * time.Second
	// GangDivideAfter is when a gang that no single block would hold is divided among
	// several: machines rented for it may be up by then.
	GangDivideAfter = 25 * time.Second
	// GangIdleRetention is how long an idle machine is kept when a gang waits for several
	// like it: as long as others may take to be had and to boot.
	GangIdleRetention = 100 * time.Second
	// GangReserveCount is how many gangs of a class there is room kept for, as large as
	// the largest of late, while some come: the users expect them to start within
	// seconds, and a machine takes half a minute to boot. GangReservePeriod is how long
	// after the last one.
	GangReserveCount  = 2
	GangReservePeriod = 90 * time.Second
	// MaxGangReserveShare is the most of all processors that are kept so: with few
	// machines it would be most of what large tasks have.
	MaxGangReserveShare = 0.1
	// PromptStartWithin is the wait below which a class is one of those.
	PromptStartWithin = 20 * time.Second
	// GangExtraMachinePenalty is what each further machine of a gang counts dearer: it runs at
	// the speed of the slowest.
	GangExtraMachinePenalty = 0.1
	// GangReturnTimeout is how long a gang of which a part is with a block and a part
	// came back is taken for one that is coming back.
	GangReturnTimeout = 5 * time.Second
	// GangLossNoticeMargin is what the news that the others have noticed a loss may take
	// after the time they have for that; then they are halted.
	GangLossNoticeMargin = 3 * time.Second
	// MinGangPause is the first pause of a gang that was never complete; it doubles
	// up to MaxGangPause, so that it does not spin.
	MinGangPause = 1 * time.Second
	MaxGangPause = 30 * time.Second
)

// Placement.
const (
	// WaitBound is the wait in the extra queue after which a task goes first
	// on the next free machine. The design starts at 30 s.
	WaitBound = 30 * time.Second
	// MaxQueuedShare is how much work may wait in a block's queues, as a part of its
	// machines' processors; the rest waits with the leader, free for any block.
	MaxQueuedShare = 0.5
	// MinRoundInterval is the least time between two placement rounds, or hand-outs.
	MinRoundInterval = 25 * time.Millisecond
	// RoundIntervalPerMachine is added to it for every machine: a round looks at all of
	// them, which takes some 0.1 µs each, and may take no more than a few
	// thousandths of a core.
	RoundIntervalPerMachine = 50 * time.Microsecond
	// StarvedAfter is how long a job waits for its first task before it goes
	// before all others. The users fail a day on which the largest jobs do not
	// begin within four minutes; a task may run for two before one ends.
	StarvedAfter = 75 * time.Second
	// MaxUrgentReserveShare is the most of a team's limit that is kept for its urgent jobs.
	MaxUrgentReserveShare = 0.35
	// UrgentReserveHalfLife is how fast their past wants are forgotten.
	UrgentReserveHalfLife = 150 * time.Second
)

// Cloud.
const (
	// CloudRequestTimeout is when a cloud request counts as unanswered.
	CloudRequestTimeout = 5 * time.Second
	// CloudRequestShare is the part of the cloud's call budget that the leader uses.
	CloudRequestShare = 0.9
	// CloudRequestBurst is how much of the budget may be saved up: the cloud allows
	// two seconds' worth at once. With one second's, what a look leaves over is
	// lost, a sixth of all calls at four a second.
	CloudRequestBurst = 1500 * time.Millisecond
	// FleetRoundInterval is the time between two looks at what to rent and return.
	FleetRoundInterval = 1 * time.Second
	// MachineListInterval is the time between two machine lists.
	MachineListInterval = 5 * time.Second
	// MachineListRetryDelay is how long a page of it waits when the cloud's calls are used up.
	MachineListRetryDelay = 400 * time.Millisecond
	// MachineTypesInterval is the time between two looks at the prices.
	MachineTypesInterval = 60 * time.Second
	// NoCapacityPause is how long a refused kind of machine is left alone.
	NoCapacityPause = 12 * time.Second
	// MachineIdleTimeout is how long a machine without tasks is kept.
	MachineIdleTimeout = 40 * time.Second
	// MinIdleTimeoutShare is the least part of it that an ordinary machine is kept, which
	// costs several times a spot one.
	MinIdleTimeoutShare = 0.3
	// IdleMachineShare is the part of the machines that may be idle for all of that time;
	// beyond it, and beyond MinIdleMachines, they go back as soon as dear ones do.
	IdleMachineShare = 0.15
	MinIdleMachines  = 4
	// BootTimeoutFactor times the nominal boot time, plus BootTimeoutSlack, is when a
	// machine that never reported is deleted.
	BootTimeoutFactor = 2.0
	// BootTimeoutSlack see BootTimeoutFactor.
	BootTimeoutSlack = 10 * time.Second
	// RentBacklogShare: machines are rented only when the waiting work would keep
	// those there are busy for longer than this part of a boot; a queue that is
	// gone by then needs none.
	RentBacklogShare = 0.5
	// QueueTimeShare is the part of the time that the users' aims leave which a
	// queue may take: estimates are often wrong by half.
	QueueTimeShare = 0.5
	// ExpensiveQueueFactor is how many times the work that the machines, up or booting, can do
	// before an aim must wait up to a job for dear machines to be rented: small jobs go
	// first, so that of a queue half too long most are in time. With 1, 1.5 and 2 the
	// days of a large deployment scored 0.660, 0.684 and 0.682 (simulated machines); with
	// 2 a day that loses spot machines had 0.88 of its deadlines instead of 0.93.
	ExpensiveQueueFactor = 1.5
	// MaxQueueTime bounds the wait of work for which there is no aim.
	MaxQueueTime = 120 * time.Second
	// MissedObjectiveQueueTime is the same for dear machines: work that has missed its
	// aims, or has none, is left to the cheap ones unless they would take long.
	MissedObjectiveQueueTime = 600 * time.Second
	// LargeMachinePenalty is what a machine counts dearer for each doubling of its
	// processors: at about the same price, large machines are left to large
	// tasks.
	LargeMachinePenalty = 0.05
	// ReleasedMachineMemory is how long a returned machine is remembered: longer
	// than a list lags or an owner stays cut off.
	ReleasedMachineMemory = 15 * time.Minute
	// MinExchangePriceRatio is how many times dearer than on a spot machine that can be had a
	// task must be on an ordinary one for the one to be rented for the other: it is
	// paid while it boots, and may be taken. ExchangeDelay is how long that must have
	// been so, and how long a new leader looks on first.
	MinExchangePriceRatio = 1.5
	ExchangeDelay         = 8 * time.Second
	// ExchangePeakHalfLife is how fast the most work there was is forgotten, as a half-life.
	ExchangePeakHalfLife = 120 * time.Second
	// ExchangeWindow is the time of which the least work is taken, once or twice.
	ExchangeWindow = 20 * time.Second
	// MinSteadyWorkShare is the least part of the most work of late that there must have
	// been all the time: only such work keeps machines busy for longer than they boot.
	MinSteadyWorkShare = 0.4
	// MinExchangeSpotMachines is how many spot machines such work must fill: with few the waves
	// are as large as the machines (ndiaye-vend-grid lost 0.03 by it).
	MinExchangeSpotMachines = 20
	// ExchangeReserveShare is the room on ordinary machines that is kept, as a part of the
	// work that can run nowhere else: more of it comes, and a machine takes a boot.
	ExchangeReserveShare = 0.5
	// MaxPlannedRentals is the most machines of a kind that one look plans to rent; how
	// many there are shows only when a request is filled in part.
	MaxPlannedRentals = 200
	// MaxRentalMachines is the most machines of one request (PROTOCOL: 50).
	MaxRentalMachines = 50
)

// Peers.
const (
	// StatusInterval is the time between two status messages of a block's owner to the
	// leader.
	StatusInterval = 1 * time.Second
	// StatusStaleAfter is when the leader no longer trusts an owner's last status message.
	StatusStaleAfter = 4 * time.Second
	// RelayWithin: a worker sent to its owner that is back this soon could
	// not reach it, and its reports are passed on instead.
	RelayWithin = 8 * time.Second
	// RelayPeriod is how long a worker's reports are passed on before it is sent
	// to its owner once more.
	RelayPeriod = 15 * time.Second
	// PeerRequestTimeout is when a peer's answer is no longer waited for; a worker
	// gives up after 4 s.
	PeerRequestTimeout = 2500 * time.Millisecond
	// PeerDialTimeout is when a connection to a peer counts as failed.
	PeerDialTimeout = 1 * time.Second
	// PeerPingAfter is how long a connection may be quiet before it is tested.
	PeerPingAfter = 3 * time.Second
	// PeerIdleTimeout is how long a connection to a peer stays open without messages.
	PeerIdleTimeout = 1 * time.Minute
	// MaxPeerMessageBytes is the most bytes of a message.
	MaxPeerMessageBytes = 1 << 20
)

// Sockets.
const (
	// TightSocketShare is the part of the platform's limit below which connections
	// that are not in use are closed. A machine may have one of its own and one
	// of ours; half of the machines may move here within a report interval.
	TightSocketShare = 0.15
	// ScarceSocketShare is the same for direct orders and users: the rest is for
	// the workers' reports.
	ScarceSocketShare = 0.06
	// ReservedSockets is the number of sockets kept for the state service, the
	// cloud and the peers.
	ReservedSockets = 32
	// SocketSweepInterval is the time between two looks for connections to close.
	SocketSweepInterval = 1 * time.Second
	// IdleClientConnectionTimeout is how long an unused connection to a worker or service is kept.
	IdleClientConnectionTimeout = 20 * time.Second
	// MaxIdleConnectionsPerAddress is how many of them to one address.
	MaxIdleConnectionsPerAddress = 3
	// AbandonedConnectionHeartbeats is how many report intervals of silence make a worker's
	// connection a forsaken one.
	AbandonedConnectionHeartbeats = 3
)

// Process.
const (
	// UserCommandBatch is how many user commands run before the other lanes are
	// looked at again.
	UserCommandBatch = 8
	// GoMemoryShare is the part of the memory quota that the Go runtime may
	// use before it collects harder; the rest is code, stacks and the kernel.
	GoMemoryShare = 0.6
	// GCPercent trades memory for processor time below that limit.
	GCPercent = 200
)

// Drains.
const (
	// DefaultDrainMachinesAtOnce is how many machines of a drain are emptied at a time, if the
	// operators do not say, and MaxDrainMachinesAtOnce the most that they may: the reports of
	// closed machines list all their tasks.
	DefaultDrainMachinesAtOnce = 4
	MaxDrainMachinesAtOnce     = 200
	// DefaultDrainWait is how long tasks that are about to end are waited for, if the operators
	// do not say: a few times what most tasks of an array take.
	DefaultDrainWait = 2 * time.Minute
	// DrainWriteShare is the part of the changes a second that the drains take: they are
	// the least urgent of all decisions.
	DrainWriteShare = 0.2
	// DrainStuckAfter is how long nothing of a machine could be granted until others are
	// taken in hand besides, up to DrainStuckFactor times as many in all.
	DrainStuckAfter  = 60 * time.Second
	DrainStuckFactor = 2
	// DrainNoRoomAfter is how long there must be no room for a closed machine's tasks until
	// it is opened again and a machine is rented for them: a few status messages.
	DrainNoRoomAfter = 5 * time.Second
	// MaxDrainRentalAttempts is how many machines are rented one after the other for one that is
	// drained, while other work takes their room.
	MaxDrainRentalAttempts = 4
	// MaxReportedDownServices is the most services of which an owner reports replicas that are not
	// up; with more, no replica may be disturbed at all.
	MaxReportedDownServices = 500
	// MaxDrainWaitReasons is how many reasons for its waiting a drain gives.
	MaxDrainWaitReasons = 12
	// MaxFinishedDrains is how many drains that are over can still be asked about.
	MaxFinishedDrains = 20
	// OperatorRetryDelay is when an operator's request that could not be taken is to be sent
	// again, and DefaultOperatorTimeout how long the command goes on trying, if not told.
	OperatorRetryDelay     = 1 * time.Second
	DefaultOperatorTimeout = 20 * time.Second
)
