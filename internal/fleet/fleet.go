// Package fleet rents machines for the work that waits, and returns those
// that are idle, broken or about to be taken.
package fleet

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// Lease is what the fleet asks of the lease.
type Lease interface {
	LeaderToken() uint64
	LeaseValid() bool
	ShardOwner(block int) string
}

// MachineKind is a kind of machine that can be rented.
type MachineKind struct {
	MachineType, Zone string
	Spot              bool
}

// Before orders kinds.
func (k MachineKind) Before(o MachineKind) bool {
	if k.MachineType != o.MachineType {
		return k.MachineType < o.MachineType
	}
	if k.Zone != o.Zone {
		return k.Zone < o.Zone
	}
	return k.Spot && !o.Spot
}

// machine is a rented machine as the cloud knows it.
type machine struct {
	id              string
	shard           int
	address         string
	kind            MachineKind
	rentedAt        time.Duration
	listed          bool
	booting         bool          // by the newest list
	runningSince    time.Duration // since when lists have said so, 0: they do not
	missedLists     int           // lists in a row without it, after it was listed
	failed          bool
	returning       bool // to be returned
	releaseInFlight bool // the request is under way
	returnReason    string
	drainReason     string // why its owner is asked to keep tasks off it
	status          MachineStatus
	reported        bool          // there is one
	idleSince       time.Duration // since when it has had no tasks
}

const epsilon = 1e-9 // sums of decimal amounts are not exact

// Fleet is the leader's view of the cloud.
type Fleet struct {
	runtime      eventloop.Runtime
	cloudAddress string
	leases       Lease
	loads        LoadSource
	settings     *settings.Settings
	log          *slog.Logger

	machineTypes       []jobs.MachineType
	machines           map[string]*machine
	releasedAt         map[string]time.Duration // when
	pausedUntil        map[MachineKind]time.Duration
	demands            []Demand
	movableJob         *jobs.Spec               // see Want
	peakCPUs           float64                  // processors of such work, the most of late
	leastCPUs          [2]float64               // and the least, in this window and the one before
	windowBeganAt      time.Duration            // when this window began
	peakUpdatedAt      time.Duration            // when that was last looked at
	worthwhileSince    time.Duration            // since when spot machines would be cheaper, 0: they would not
	statuses           []ownerStatus            // by block
	unreportedReleases [][]string               // by block: returned since the owner's last message
	zoneHeardAt        map[string]time.Duration // by zone: when an owner last heard from it
	expectedByZone     map[string]int           // by zone: machines that should report
	partitionedAt      map[string]time.Duration // by zone: when it was last cut off
	rentalCounter      uint64
	term               int
	termBeganAt        time.Duration
	actingSince        time.Duration // when this node could begin to act, this time
	listed             bool          // the machine list has been read in this term
	dispatchStalledAt  time.Duration // when there was last work that could not be handed out for want of changes
	rentalsInFlight    map[string]rentalRequest
	rentedByName       map[string][]string // machines rented in this term, by the request's name, see RentNamed
	keptIdle           map[string]bool     // not idle, see Keep
	tokens             float64
	refilledAt         time.Duration
}

// LoadSource tells what the tasks placed on machines take.
type LoadSource interface {
	MachineLoad(machineID string) MachineLoad
}

// Dependencies are what a fleet works with.
type Dependencies struct {
	Runtime  eventloop.Runtime
	Address  string // of the cloud
	Leases   Lease
	Loads    LoadSource
	Settings *settings.Settings
	Log      *slog.Logger
}

// New returns a fleet without any machines.
func New(dependencies Dependencies) *Fleet {
	set := dependencies.Settings
	return &Fleet{
		runtime: dependencies.Runtime, cloudAddress: dependencies.Address, leases: dependencies.Leases, loads: dependencies.Loads,
		settings: set, log: dependencies.Log,
		machines: map[string]*machine{}, releasedAt: map[string]time.Duration{}, pausedUntil: map[MachineKind]time.Duration{},
		rentalsInFlight: map[string]rentalRequest{}, rentedByName: map[string][]string{}, statuses: make([]ownerStatus, set.ShardCount()), unreportedReleases: make([][]string, set.ShardCount()),
		zoneHeardAt: map[string]time.Duration{}, expectedByZone: map[string]int{}, partitionedAt: map[string]time.Duration{},
	}
}

// BeginTerm starts a term.
func (f *Fleet) BeginTerm() {
	f.term++
	f.termBeganAt = f.runtime.Now()
	f.actingSince = f.termBeganAt
	f.listed, f.rentalCounter, f.dispatchStalledAt = false, 0, 0
	clear(f.machines)
	clear(f.rentalsInFlight)
	clear(f.rentedByName)
	f.keptIdle = nil
	clear(f.statuses)
	clear(f.pausedUntil)
	clear(f.zoneHeardAt)
	clear(f.expectedByZone)
	clear(f.partitionedAt)
	f.demands, f.movableJob, f.worthwhileSince, f.peakCPUs, f.leastCPUs = nil, nil, 0, 0, [2]float64{}
	term := f.term
	f.readList(term)
	f.runRound(term)
}

// EndTerm ends a term.
func (f *Fleet) EndTerm() { f.term++ }

// spendCall takes one call off the cloud's budget, if there is one.
func (f *Fleet) spendCall() bool {
	rate := f.settings.Deployment.Cloud.RPS * tuning.CloudRequestShare
	now := f.runtime.Now()
	f.tokens = min(max(1, rate*tuning.CloudRequestBurst.Seconds()), f.tokens+rate*(now-f.refilledAt).Seconds())
	f.refilledAt = now
	if f.tokens < 1 {
		return false
	}
	f.tokens--
	return true
}

// EachAvailable calls fn for the machines that take tasks or are about to.
func (f *Fleet) EachAvailable(fn func(*AvailableMachine)) {
	var r AvailableMachine
	for _, m := range f.machines {
		t := f.MachineType(m.kind.MachineType)
		if t == nil || m.returning || m.failed || m.drainReason != "" {
			continue
		}
		if m.reported && (!f.hasFreshStatus(m) || !m.status.AcceptsTasks) || f.isOverdue(m) || f.isPartitioned(m.kind.Zone) {
			continue
		}
		r = AvailableMachine{MachineKind: m.kind, ID: m.id, Shard: m.shard, MachineType: t, Booting: !m.reported}
		if r.Booting {
			r.ReadyIn = max(0, m.rentedAt+bootTime(t)-f.runtime.Now())
		}
		fn(&r)
	}
	// Machines whose rental is under way: their names, and so their blocks,
	// will be spread evenly.
	for _, h := range f.rentalsInFlight {
		t := f.MachineType(h.MachineType)
		for i := 0; t != nil && i < h.Number; i++ {
			r = AvailableMachine{MachineKind: h.kind(), Shard: i % len(f.statuses), MachineType: t, Booting: true, ReadyIn: bootTime(t)}
			fn(&r)
		}
	}
}

// NoteStalledDispatch tells that there is room for work which the state service's limits keep from
// being handed out: idle machines are about to be used.
func (f *Fleet) NoteStalledDispatch() { f.dispatchStalledAt = f.runtime.Now() }

// SetDemand tells for which tasks there is no room, and of which job most runs that could
// as well run on spot machines, nil if there is none.
func (f *Fleet) SetDemand(needs []Demand, movable *jobs.Spec) {
	// A need waits behind the work that goes before it, and that only. Tasks that are
	// queued already come first in the list, whatever their rank: services, which may
	// use no spot machines, were taken to wait behind all of the arrays, and small jobs
	// behind the largest, and hundreds of ordinary machines were rented for them.
	slices.SortStableFunc(needs, func(a, b Demand) int { return cmp.Compare(a.Rank, b.Rank) })
	f.demands, f.movableJob = needs, movable
}

// runRound looks at what to return and what to rent.
func (f *Fleet) runRound(term int) {
	if term != f.term {
		return
	}
	f.runtime.After(tuning.FleetRoundInterval, func() { f.runRound(term) })
	if !f.leases.LeaseValid() {
		f.actingSince = f.runtime.Now()
		return
	}
	f.evaluateMachines()
	f.releaseMachines(term)
	if f.listed {
		f.rentForDemand(term)
		f.exchangeExpensive(term)
	}
}
