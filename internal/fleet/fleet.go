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
	id      string
	block   int
	addr    string
	kind    MachineKind
	rented  time.Duration
	listed  bool
	booting bool          // by the newest list
	running time.Duration // since when lists have said so, 0: they do not
	missed  int           // lists in a row without it, after it was listed
	failed  bool
	release bool // to be returned
	asked   bool // the request is under way
	why     string
	drain   string // why its owner is asked to keep tasks off it
	state   MachineStatus
	known   bool          // there is one
	idle    time.Duration // since when it has had no tasks
}

const slack = 1e-9 // sums of decimal amounts are not exact

// Fleet is the leader's view of the cloud.
type Fleet struct {
	rt    eventloop.Runtime
	addr  string
	lease Lease
	loads LoadSource
	set   *settings.Settings
	log   *slog.Logger

	types      []jobs.MachineType
	machines   map[string]*machine
	returned   map[string]time.Duration // when
	pauses     map[MachineKind]time.Duration
	needs      []Demand
	movable    *jobs.Spec               // see Want
	peak       float64                  // processors of such work, the most of late
	least      [2]float64               // and the least, in this window and the one before
	turned     time.Duration            // when this window began
	peaked     time.Duration            // when that was last looked at
	wanting    time.Duration            // since when spot machines would be cheaper, 0: they would not
	statuses   []statusHeard            // by block
	unreported [][]string               // by block: returned since the owner's last message
	reachable  map[string]time.Duration // by zone: when an owner last heard from it
	running    map[string]int           // by zone: machines that should report
	cutOffAt   map[string]time.Duration // by zone: when it was last cut off
	counter    uint64
	term       int
	begun      time.Duration
	since      time.Duration // when this node could begin to act, this time
	listed     bool          // the machine list has been read in this term
	stalled    time.Duration // when there was last work that could not be handed out for want of changes
	inFlight   map[string]hire
	named      map[string][]string // machines rented in this term, by the request's name, see RentNamed
	kept       map[string]bool     // not idle, see Keep
	tokens     float64
	filled     time.Duration
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
		rt: dependencies.Runtime, addr: dependencies.Address, lease: dependencies.Leases, loads: dependencies.Loads,
		set: set, log: dependencies.Log,
		machines: map[string]*machine{}, returned: map[string]time.Duration{}, pauses: map[MachineKind]time.Duration{},
		inFlight: map[string]hire{}, named: map[string][]string{}, statuses: make([]statusHeard, set.ShardCount()), unreported: make([][]string, set.ShardCount()),
		reachable: map[string]time.Duration{}, running: map[string]int{}, cutOffAt: map[string]time.Duration{},
	}
}

// BeginTerm starts a term.
func (f *Fleet) BeginTerm() {
	f.term++
	f.begun = f.rt.Now()
	f.since = f.begun
	f.listed, f.counter, f.stalled = false, 0, 0
	clear(f.machines)
	clear(f.inFlight)
	clear(f.named)
	f.kept = nil
	clear(f.statuses)
	clear(f.pauses)
	clear(f.reachable)
	clear(f.running)
	clear(f.cutOffAt)
	f.needs, f.movable, f.wanting, f.peak, f.least = nil, nil, 0, 0, [2]float64{}
	term := f.term
	f.list(term)
	f.round(term)
}

// EndTerm ends a term.
func (f *Fleet) EndTerm() { f.term++ }

// afford takes one call off the cloud's budget, if there is one.
func (f *Fleet) afford() bool {
	rate := f.set.Deployment.Cloud.RPS * tuning.CloudRequestShare
	now := f.rt.Now()
	f.tokens = min(max(1, rate*tuning.CloudRequestBurst.Seconds()), f.tokens+rate*(now-f.filled).Seconds())
	f.filled = now
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
		if t == nil || m.release || m.failed || m.drain != "" {
			continue
		}
		if m.known && (!f.fresh(m) || !m.state.AcceptsTasks) || f.unheard(m) || f.cutOff(m.kind.Zone) {
			continue
		}
		r = AvailableMachine{MachineKind: m.kind, ID: m.id, Shard: m.block, MachineType: t, Booting: !m.known}
		if r.Booting {
			r.ReadyIn = max(0, m.rented+bootTime(t)-f.rt.Now())
		}
		fn(&r)
	}
	// Machines whose rental is under way: their names, and so their blocks,
	// will be spread evenly.
	for _, h := range f.inFlight {
		t := f.MachineType(h.Build)
		for i := 0; t != nil && i < h.Number; i++ {
			r = AvailableMachine{MachineKind: h.kind(), Shard: i % len(f.statuses), MachineType: t, Booting: true, ReadyIn: bootTime(t)}
			fn(&r)
		}
	}
}

// NoteStalledDispatch tells that there is room for work which the state service's limits keep from
// being handed out: idle machines are about to be used.
func (f *Fleet) NoteStalledDispatch() { f.stalled = f.rt.Now() }

// SetDemand tells for which tasks there is no room, and of which job most runs that could
// as well run on spot machines, nil if there is none.
func (f *Fleet) SetDemand(needs []Demand, movable *jobs.Spec) {
	// A need waits behind the work that goes before it, and that only. Tasks that are
	// queued already come first in the list, whatever their rank: services, which may
	// use no spot machines, were taken to wait behind all of the arrays, and small jobs
	// behind the largest, and hundreds of ordinary machines were rented for them.
	slices.SortStableFunc(needs, func(a, b Demand) int { return cmp.Compare(a.Rank, b.Rank) })
	f.needs, f.movable = needs, movable
}

// round looks at what to return and what to rent.
func (f *Fleet) round(term int) {
	if term != f.term {
		return
	}
	f.rt.After(tuning.FleetRoundInterval, func() { f.round(term) })
	if !f.lease.LeaseValid() {
		f.since = f.rt.Now()
		return
	}
	f.judge()
	f.release(term)
	if f.listed {
		f.rent(term)
		f.exchange(term)
	}
}
