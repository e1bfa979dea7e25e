package tuning

import "time"

// Requests to the cloud.
const (
	// CloudRequestTimeout is the time after which a cloud request counts as unanswered.
	CloudRequestTimeout = 5 * time.Second
	// CloudRequestShare is the fraction of the cloud's calls per second that the leader uses.
	CloudRequestShare = 0.9
	// CloudRequestBurst is the time over which unused calls accumulate. The cloud allows two
	// seconds' worth of calls at once (PROTOCOL). With one second, the calls that a round
	// does not use are lost: a sixth of all calls at four per second.
	CloudRequestBurst = 1500 * time.Millisecond
	// MachineListInterval is the time between two readings of the machine list.
	MachineListInterval = 5 * time.Second
	// MachineListRetryDelay is the pause before a page of the machine list is requested again
	// when the cloud's calls are used up.
	MachineListRetryDelay = 400 * time.Millisecond
	// MachineTypesInterval is the time between two readings of the machine types, whose
	// prices change.
	MachineTypesInterval = 60 * time.Second
	// NoCapacityPause is how long no machine of a kind is requested after the cloud had too
	// few of them.
	NoCapacityPause = 12 * time.Second
	// MalformedRentalPause is how long no machine of a kind is requested after the cloud
	// refused a request for it as malformed: the next request would be malformed too.
	MalformedRentalPause = 5 * NoCapacityPause
	// MaxRentalMachines is the maximum number of machines in a rental request (PROTOCOL: 50).
	MaxRentalMachines = 50
	// MaxReleaseMachines is the maximum number of machines in a release request.
	MaxReleaseMachines = 100
	// MachineListPageSize is the number of machines requested per page of the machine list.
	MachineListPageSize = 500
	// MaxMachineTypesRetryDelay is the maximum pause before the machine types are requested
	// again after a failure: without them no machine is rented. A random factor between 0.5
	// and 1.5 is applied to the pause.
	MaxMachineTypesRetryDelay = 10 * time.Second
	// MaxRentalRetryDelay is the maximum pause before a rental request is repeated that was not
	// answered or failed on the cloud's side. The same random factor is applied to it.
	MaxRentalRetryDelay = 8 * time.Second
)

// Renting machines.
const (
	// FleetRoundInterval is the time between two rounds of renting and releasing.
	FleetRoundInterval = 1 * time.Second
	// BootTimeoutFactor times the nominal boot time, plus BootTimeoutSlack, is the time since
	// the rental after which a machine is released that has never reported and that the
	// machine list still shows booting. A machine that no list has shown gets longer.
	BootTimeoutFactor = 2.0
	// BootTimeoutSlack is added to the nominal boot time times BootTimeoutFactor. A new leader
	// also waits for at least this time before it releases a machine because it did not boot.
	BootTimeoutSlack = 10 * time.Second
	// UnknownTypeBootSeconds is the nominal boot time in seconds of a machine of an unknown
	// type.
	UnknownTypeBootSeconds = 60
	// MissedListsBeforeRelease is the number of consecutive machine lists from which a
	// machine must be missing before it is released. One list is not enough, since a list
	// can be older than the one before.
	MissedListsBeforeRelease = 3
	// RentBacklogShare is the fraction of a boot time for which the waiting work must keep
	// the existing machines busy before more are rented: a queue that is empty by the time
	// a machine has booted does not need the machine.
	RentBacklogShare = 0.5
	// QueueTimeShare is the fraction of the time left by the objectives that a queue may
	// take before machines are rented: estimates are often wrong by half.
	QueueTimeShare = 0.5
	// ExpensiveQueueFactor is the ratio of the queued work to the work that the machines, up
	// or booting, can do before the time of an objective, above which expensive machines
	// are rented. Small jobs go first, so most jobs of a queue that is half too long are in
	// time. A larger factor leaves more work to the cheap machines, but meets fewer deadlines
	// when spot machines are lost.
	ExpensiveQueueFactor = 1.5
	// MaxQueueTime bounds the wait of work when it is decided whether to rent spot machines
	// for it. An objective may require a shorter wait; for work without one this is the only
	// bound. The demand for expected gangs has it as objective.
	MaxQueueTime = 120 * time.Second
	// MissedObjectiveQueueTime is the maximum wait of work that has missed its objectives, or
	// has none, before expensive machines are rented for it. Such work is left to the cheap
	// machines unless they would take longer.
	MissedObjectiveQueueTime = 600 * time.Second
	// LargeMachinePenalty is the fraction by which the price of a machine is increased, when
	// kinds are compared, for each doubling of its processors: at about the same price,
	// large machines are left to large tasks.
	LargeMachinePenalty = 0.05
	// MaxPlannedRentals is the maximum number of machines of a kind that a round plans to
	// rent. How many the cloud has becomes known only when it fills a request in part.
	MaxPlannedRentals = 200
)

// Releasing machines.
const (
	// MachineIdleTimeout is how long a machine without tasks is retained, unless the
	// operators set another time.
	MachineIdleTimeout = 40 * time.Second
	// MinIdleTimeoutShare is the minimum fraction of MachineIdleTimeout for which an ordinary
	// machine is retained. It costs several times as much as a spot machine.
	MinIdleTimeoutShare = 0.3
	// AwaitedMachineGrace is how long an idle machine is retained after a waiting job was last known
	// to need it. While a job is returned to the leader and dispatched again, it is in no queue for
	// a moment.
	AwaitedMachineGrace = 5 * time.Second
	// IdleMachineShare is the fraction of the machines that may be idle for the whole of
	// MachineIdleTimeout. While more are idle, and more than MinIdleMachines, idle machines
	// are released after MinIdleTimeoutShare of it, as soon as expensive ones are.
	IdleMachineShare = 0.15
	// MinIdleMachines is the number of machines that may be idle for that long even if
	// IdleMachineShare allows fewer.
	MinIdleMachines = 4
	// ReleasedMachineMemory is how long a released machine is remembered. It must exceed the
	// lag of the machine list and the time for which a shard owner may be partitioned.
	ReleasedMachineMemory = 15 * time.Minute
)

// Exchange of ordinary machines for spot machines.
const (
	// MinExchangePriceRatio is the minimum ratio of the price of a task on an ordinary machine
	// to its price on an available spot machine for which the ordinary machine is
	// exchanged: the spot machine costs money while it boots, and may be reclaimed.
	MinExchangePriceRatio = 1.5
	// ExchangeDelay is how long an exchange must have been worthwhile before spot machines are
	// rented for it, and how long a new leader observes the work before it considers one.
	ExchangeDelay = 8 * time.Second
	// ExchangePeakHalfLife is the half-life of the recorded maximum of the work.
	ExchangePeakHalfLife = 120 * time.Second
	// ExchangeWindow is the length of a window of the minimum of the work. The minimum covers
	// the current window and the previous one.
	ExchangeWindow = 20 * time.Second
	// MinSteadyWorkShare is the minimum fraction of the recent maximum of the work that must
	// have been present throughout the windows: only such work keeps machines busy for
	// longer than they take to boot.
	MinSteadyWorkShare = 0.4
	// MinExchangeSpotMachines is the minimum number of spot machines that the steady work must
	// fill. With few spot machines, the fluctuations of the work are as large as the machines,
	// so an exchange does not pay.
	MinExchangeSpotMachines = 20
	// ExchangeReserveShare is the capacity reserved on ordinary machines, as a fraction of the
	// work that can run nowhere else: more of that work may arrive, and a new machine has
	// to boot first.
	ExchangeReserveShare = 0.5
)
