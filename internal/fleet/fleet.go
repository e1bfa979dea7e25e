// Package fleet rents machines for the work that waits, and releases those that are idle,
// broken or about to be taken.
//
// It owns the leader's view of the machines for the length of a term: which there are, by the
// cloud's list, by rentals and by the shard owners' status messages, and what is on its way.
// None of it is durable; a new leader reads the list and hears the owners anew.
//
// It must never release a machine that may have tasks on it, unless its owner wants that or it
// has been silent for too long, use a rental's name for another request, or make more calls to
// the cloud than its share of the budget.
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

// Leases tells what this process holds.
type Leases interface {
	// LeaderToken returns the fencing token of the leadership, 0 when it is not held.
	LeaderToken() uint64
	// LeaseValid reports whether what is held is surely held now.
	LeaseValid() bool
}

// Dependencies are what a fleet works with.
type Dependencies struct {
	Runtime  eventloop.Runtime
	Address  string // of the cloud
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

// termState is what is known of the term itself.
type termState struct {
	counter     term.Counter
	beganAt     time.Duration
	actingSince time.Duration // since when the lease has been valid, without a gap
	listed      bool          // the machine list has been read in this term
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

// BeginTerm starts a term: this process leads.
func (f *Fleet) BeginTerm() {
	f.term.counter.Advance()
	f.term.beganAt = f.runtime.Now()
	f.term.actingSince, f.term.listed = f.term.beganAt, false
	f.machines.reset()
	for i := range f.shards {
		f.shards[i].owner = ownerStatus{}
	}
	f.zones.reset()
	f.demand = demandState{}
	f.rentals.reset()
	f.exchange.reset()
	f.readList()
	f.runRound()
}

// EndTerm ends a term: answers to its requests are dropped.
func (f *Fleet) EndTerm() { f.term.counter.Advance() }

// shardIndex returns the shard to which a machine belongs by its ID.
func (f *Fleet) shardIndex(machineID string) int {
	return taskstate.ShardOf(machineID, len(f.shards))
}

// runRound decides what to release and what to rent, now and in every round from then on.
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
