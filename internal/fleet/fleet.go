// Package fleet rents machines for waiting work and releases machines that are idle, broken or
// about to be reclaimed by the cloud.
//
// For the length of a term it owns the leader's view of the machines: those that exist,
// according to the cloud's machine list, the rentals and the status messages of the shard
// owners, and the rentals and releases in flight. None of it is durable; a new leader rebuilds
// it from the list and the owners' next status messages.
//
// Invariants: a machine that may run tasks is released only if its owner requests it or it has
// been silent for too long; the name of a rental is never reused for another request; calls to
// the cloud stay within the leader's share of the cloud's request budget.
package fleet

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
)

// Leases reports the leases that this process holds.
type Leases interface {
	// LeaderToken returns the fencing token of the leader lease, 0 if it is not held.
	LeaderToken() uint64
	// LeaseValid reports whether the leases held are certain not to have expired.
	LeaseValid() bool
}

// Dependencies are the collaborators and settings of a Fleet.
type Dependencies struct {
	Runtime  eventloop.Runtime
	Address  string // address of the cloud's interface
	Leases   Leases
	Loads    LoadSource
	Settings *settings.Settings
	Log      *slog.Logger
}

// Fleet is the leader's view of the machines. It belongs to the event loop and is not safe for
// concurrent use.
type Fleet struct {
	runtime  eventloop.Runtime
	leases   Leases
	loads    LoadSource
	settings *settings.Settings
	log      *slog.Logger

	term     termState
	cloud    cloudClient
	types    machineTypes
	machines machineTable
	shards   []shardState
	zones    zoneTracker
	demand   demandState
	rentals  rentals
	exchange exchangeState
}

// termState is the state of the current term.
type termState struct {
	counter     term.Counter
	beganAt     time.Duration
	actingSince time.Duration // start of the period in which the lease has been valid without a gap
	listed      bool          // whether the machine list has been read in this term
}

// New returns a fleet without any machines.
func New(dependencies Dependencies) *Fleet {
	return &Fleet{
		runtime: dependencies.Runtime, leases: dependencies.Leases, loads: dependencies.Loads,
		settings: dependencies.Settings, log: dependencies.Log,
		cloud:    cloudClient{runtime: dependencies.Runtime, address: dependencies.Address, settings: dependencies.Settings},
		machines: newMachineTable(),
		shards:   make([]shardState, dependencies.Settings.ShardCount()),
		zones:    newZoneTracker(dependencies.Settings),
		rentals:  newRentals(),
	}
}

// BeginTerm resets the fleet at the start of a term in which this process leads, and starts
// reading the machine list and running rounds.
func (f *Fleet) BeginTerm() {
	f.term.counter.Advance()
	f.term.beganAt = f.runtime.Now()
	f.term.actingSince, f.term.listed = f.term.beganAt, false
	f.machines.reset()
	for i := range f.shards {
		f.shards[i].owner, f.shards[i].backoffs = ownerStatus{}, nil
	}
	f.zones.reset()
	f.demand = demandState{}
	f.rentals.reset()
	f.exchange.reset()
	f.readList()
	f.runRound()
}

// EndTerm ends a term. Answers to its outstanding requests are dropped.
func (f *Fleet) EndTerm() { f.term.counter.Advance() }

// shardIndex returns the index of the shard to which a machine ID is mapped.
func (f *Fleet) shardIndex(machineID string) int {
	return taskstate.ShardOf(machineID, len(f.shards))
}

// runRound releases and rents machines, and schedules the next round. While the lease is not
// valid it neither releases nor rents any, and rents none before the machine list has been read.
func (f *Fleet) runRound() {
	f.runtime.After(tuning.FleetRoundInterval, f.term.counter.Guard(f.runRound))
	if !f.leases.LeaseValid() {
		f.term.actingSince = f.runtime.Now()
		return
	}
	f.evaluateMachines()
	f.releaseMachines()
	if f.term.listed {
		f.rentForDemand()
		f.exchangeExpensive()
	}
}
