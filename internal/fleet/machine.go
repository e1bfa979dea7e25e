package fleet

import (
	"time"

	"lemonmoor/internal/workers"
)

// MachineKind is a kind of machine that can be rented.
type MachineKind struct {
	MachineType, Zone string
	Spot              bool
}

// Before orders kinds by type, then zone, spot machines first.
func (k MachineKind) Before(other MachineKind) bool {
	if k.MachineType != other.MachineType {
		return k.MachineType < other.MachineType
	}
	if k.Zone != other.Zone {
		return k.Zone < other.Zone
	}
	return k.Spot && !other.Spot
}

// machine is a machine rented from the cloud.
type machine struct {
	id       string
	shard    int
	address  string
	kind     MachineKind
	rentedAt time.Duration
	listing  machineListing
	release  machineRelease
	// drainReason is why its shard owner is asked to keep tasks off it, "" if it is not.
	drainReason string
	// reported: its worker has reported to a shard owner, and status is the newest that an
	// owner has told.
	reported  bool
	status    MachineStatus
	idleSince time.Duration
}

// machineListing is what the cloud's machine list says of a machine.
type machineListing struct {
	listed       bool // it has been in a list
	booting      bool // by the newest list
	failed       bool
	runningSince time.Duration // since when lists have called it running, 0: they do not
	missedLists  int           // lists in a row without it, after it was listed
}

// machineRelease says that a machine is to be returned to the cloud.
type machineRelease struct {
	requested bool
	inFlight  bool // the cloud has been asked
	reason    string
}

// newMachine returns a machine of which nothing else is known yet.
func newMachine(id string, shard int, kind MachineKind, rentedAt time.Duration) *machine {
	return &machine{id: id, shard: shard, kind: kind, rentedAt: rentedAt}
}

// observe takes in what the list says of the machine.
func (m *machine) observe(listed *listedMachine, now time.Duration) {
	m.address = listed.Address
	m.listing.listed, m.listing.missedLists = true, 0
	m.listing.booting = listed.Phase == phaseBooting
	if m.listing.booting {
		m.listing.runningSince = 0
	} else if m.listing.runningSince == 0 {
		m.listing.runningSince = now
	}
}

// isSilent reports whether its owner wants the machine released because it is silent.
func (m *machine) isSilent() bool {
	return m.status.ReleaseReason == workers.ReleaseSilent || m.status.ReleaseReason == workers.ReleaseSilentUrgent
}

// isExpected reports whether the machine's worker should be sending heartbeats.
func (m *machine) isExpected() bool {
	return !m.release.requested && !m.listing.failed && (m.reported || m.listing.runningSince > 0)
}

// hasFreshStatus reports whether the owner's status of a machine is new enough. Status
// messages come every second, whatever the workers' heartbeat interval.
func (f *Fleet) hasFreshStatus(m *machine) bool {
	return m.reported && f.shards[m.shard].owner.isFresh(f.runtime.Now())
}

// isIdle reports whether a machine takes tasks and has none.
func (f *Fleet) isIdle(m *machine) bool {
	return m.drainReason == "" && f.hasFreshStatus(m) && m.status.AcceptsTasks && !m.status.Busy
}

// isOverdue reports whether a machine that the lists call running has not reported to its
// owner, which has been there for long enough. One that died before its first heartbeat, or
// while the controllers were down, counted as booting for ever, and nothing was rented in its
// place.
func (f *Fleet) isOverdue(m *machine) bool {
	now, owner := f.runtime.Now(), &f.shards[m.shard].owner
	return !m.reported && m.listing.runningSince > 0 && owner.isFresh(now) &&
		now-max(owner.respondingSince, m.listing.runningSince, f.term.actingSince) > f.settings.WorkerDeadAfter()
}

// idleFor returns for how long a machine counts as idle. An outage, in which nothing could be
// dispatched, does not count.
func (f *Fleet) idleFor(m *machine) time.Duration {
	return f.runtime.Now() - max(m.idleSince, f.term.actingSince)
}

// requestRelease has a machine returned to the cloud.
func (f *Fleet) requestRelease(m *machine, reason string) {
	if m.release.requested {
		return
	}
	m.release.requested, m.release.reason = true, reason
	f.log.Info("releasing machine", "machine", m.id, "reason", reason)
}
