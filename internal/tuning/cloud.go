package tuning

import "time"

// Requests to the cloud.
const (
	// CloudRequestTimeout is when a cloud request counts as unanswered.
	CloudRequestTimeout = 5 * time.Second
	// CloudRequestShare is the part of the cloud's calls a second that the leader uses.
	CloudRequestShare = 0.9
	// CloudRequestBurst is how much of the calls may be saved up: the cloud allows two
	// seconds' worth at once (PROTOCOL). With one second's, what a round leaves over is
	// lost, a sixth of all calls at four a second.
	CloudRequestBurst = 1500 * time.Millisecond
	// MachineListInterval is the time between two readings of the machine list.
	MachineListInterval = 5 * time.Second
	// MachineListRetryDelay is how long a page of the machine list waits when the cloud's
	// calls are used up.
	MachineListRetryDelay = 400 * time.Millisecond
	// MachineTypesInterval is the time between two readings of the machine types, whose
	// prices change.
	MachineTypesInterval = 60 * time.Second
	// NoCapacityPause is how long no machine of a kind is asked for after the cloud had
	// none.
	NoCapacityPause = 12 * time.Second
	// MalformedRentalPause is how long no machine of a kind is asked for after the cloud
	// called a request malformed: the next one would be too.
	MalformedRentalPause = 5 * NoCapacityPause
	// MaxRentalMachines is the most machines of one rental request (PROTOCOL: 50).
	MaxRentalMachines = 50
	// MaxReleaseMachines is the most machines of one release request.
	MaxReleaseMachines = 100
	// MachineListPageSize is the number of machines asked for in one page of the list.
	MachineListPageSize = 500
	// MaxMachineTypesRetryDelay is the longest pause before the machine types are asked for
	// again: without them nothing is rented.
	MaxMachineTypesRetryDelay = 10 * time.Second
	// MaxRentalRetryDelay is the longest pause before a rental request that got no answer
	// is repeated.
	MaxRentalRetryDelay = 8 * time.Second
)

// Renting machines.
const (
	// FleetRoundInterval is the time between two rounds of renting and releasing.
	FleetRoundInterval = 1 * time.Second
	// BootTimeoutFactor times the nominal boot time, plus BootTimeoutSlack, is when a
	// machine that was never heard of is released.
	BootTimeoutFactor = 2.0
	// BootTimeoutSlack is added to the nominal boot time times BootTimeoutFactor.
	BootTimeoutSlack = 10 * time.Second
	// UnknownTypeBootSeconds is the nominal boot time of a machine whose type is not known,
	// in seconds.
	UnknownTypeBootSeconds = 60
	// MissedListsBeforeRelease is in how many lists in a row a machine must be missing to be
	// released: a list can be older than the one before.
	MissedListsBeforeRelease = 3
	// RentBacklogShare is the part of a boot time for which the waiting work must keep the
	// machines there are busy before others are rented: a queue that is gone by then needs
	// none.
	RentBacklogShare = 0.5
	// QueueTimeShare is the part of the time that the objectives leave which a queue may
	// take: estimates are often wrong by half.
	QueueTimeShare = 0.5
	// ExpensiveQueueFactor is how many times the work that the machines, up or booting, can
	// do before an objective's time must wait before a job for expensive machines to be
	// rented: small jobs go first, so that of a queue half too long most are in time. With
	// 1, 1.5 and 2 the days of a large deployment scored 0.660, 0.684 and 0.682 (simulated
	// machines); with 2 a day that loses spot machines had 0.88 of its deadlines instead of
	// 0.93.
	ExpensiveQueueFactor = 1.5
	// MaxQueueTime bounds the wait of work for which there is no objective.
	MaxQueueTime = 120 * time.Second
	// MissedObjectiveQueueTime bounds the wait of work that has missed its objectives, or
	// has none, before expensive machines are rented: it is left to the cheap ones unless
	// they would take longer.
	MissedObjectiveQueueTime = 600 * time.Second
	// LargeMachinePenalty is the part by which a machine counts as more expensive for each
	// doubling of its processors: at about the same price, large machines are left to large
	// tasks.
	LargeMachinePenalty = 0.05
	// MaxPlannedRentals is the most machines of a kind that one round plans to rent; how
	// many there are shows only when a request is filled in part.
	MaxPlannedRentals = 200
)

// Releasing machines.
const (
	// MachineIdleTimeout is how long a machine without tasks is kept.
	MachineIdleTimeout = 40 * time.Second
	// MinIdleTimeoutShare is the least part of MachineIdleTimeout for which an ordinary
	// machine is kept: it costs several times as much as a spot one.
	MinIdleTimeoutShare = 0.3
	// IdleMachineShare is the part of the machines that may be idle for all of
	// MachineIdleTimeout. Beyond it, and beyond MinIdleMachines, they are released as soon
	// as expensive ones are.
	IdleMachineShare = 0.15
	// MinIdleMachines is the number of idle machines that IdleMachineShare does not count.
	MinIdleMachines = 4
	// ReleasedMachineMemory is how long a released machine is remembered: longer than the
	// machine list lags behind, or a shard owner stays cut off.
	ReleasedMachineMemory = 15 * time.Minute
)

// Exchange of ordinary machines for spot machines.
const (
	// MinExchangePriceRatio is how many times as much a task must cost on an ordinary
	// machine as on a spot machine that can be had for the one to be rented for the other:
	// the spot machine is paid while it boots, and may be taken.
	MinExchangePriceRatio = 1.5
	// ExchangeDelay is how long the prices must have been so, and how long a new leader
	// observes first.
	ExchangeDelay = 8 * time.Second
	// ExchangePeakHalfLife is the half-life with which the most work there was is forgotten.
	ExchangePeakHalfLife = 120 * time.Second
	// ExchangeWindow is the time over which the least work is taken, once or twice.
	ExchangeWindow = 20 * time.Second
	// MinSteadyWorkShare is the least part of the most work of late that there must have
	// been all the time: only such work keeps machines busy for longer than they boot.
	MinSteadyWorkShare = 0.4
	// MinExchangeSpotMachines is how many spot machines the steady work must fill. With few,
	// the waves of work are as large as the machines, and an exchange cost 0.03 of a score
	// (simulated machines).
	MinExchangeSpotMachines = 20
	// ExchangeReserveShare is the room on ordinary machines that is reserved, as a part of
	// the work that can run nowhere else: more of it comes, and a machine takes a boot.
	ExchangeReserveShare = 0.5
)
