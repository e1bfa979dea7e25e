package fleet

import (
	"time"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/workers"
)

// MachineKind is a kind of machine that can be rented: a type in a zone, spot or ordinary.
type MachineKind struct {
	MachineType, Zone string
	Spot              bool
}

// Before reports whether k sorts before other: by type, then by zone, spot machines first.
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
	// drainReason is the reason for which the shard owner is asked to assign no more tasks to
	// the machine, "" if it is not asked to.
	drainReason string
	// reported is whether its worker has sent a heartbeat to a shard owner.
	reported bool
	// status is the latest one received from a shard owner.
	status    MachineStatus
	idleSince time.Duration
	awaitedAt time.Duration // when a job that waits was last known to need it, see recordAwaited
}

// machineListing is the state of a machine according to the cloud's machine list.
type machineListing struct {
	listed       bool // it has been in a list
	booting      bool // according to the latest list
	failed       bool
	runningSince time.Duration // start of the period in which lists show it running, 0 if they do not
	missedLists  int           // consecutive lists without it, after it was listed
}

// machineRelease is the state of the return of a machine to the cloud.
type machineRelease struct {
	requested bool
	inFlight  bool // a release request has been sent and not been answered yet
	reason    string
}

// newMachine returns a machine that has neither been listed nor reported.
func newMachine(id string, shard int, kind MachineKind, rentedAt time.Duration) *machine {
	return &machine{id: id, shard: shard, kind: kind, rentedAt: rentedAt}
}

// applyListEntry updates the machine from an entry of the machine list.
func (m *machine) applyListEntry(listed *listedMachine, now time.Duration) {
	m.address = listed.Address
	m.listing.listed, m.listing.missedLists = true, 0
	m.listing.booting = listed.Phase == phaseBooting
	if m.listing.booting {
		m.listing.runningSince = 0
	} else if m.listing.runningSince == 0 {
		m.listing.runningSince = now
	}
}

// isSilent reports whether the shard owner requests the machine's release because it is silent.
func (m *machine) isSilent() bool {
	return m.status.ReleaseReason == workers.ReleaseSilent || m.status.ReleaseReason == workers.ReleaseSilentUrgent
}

// isExpected reports whether the machine's worker should be sending heartbeats.
func (m *machine) isExpected() bool {
	return !m.release.requested && !m.listing.failed && (m.reported || m.listing.runningSince > 0)
}

// hasFreshStatus reports whether a machine has reported and its shard owner's last status
// message is recent enough. Status messages are sent every second, whatever the workers'
// heartbeat interval.
func (f *Fleet) hasFreshStatus(m *machine) bool {
	return m.reported && f.shards[m.shard].owner.isFresh(f.runtime.Now())
}

// isIdle reports whether a machine accepts tasks and has none, neither according to its shard's owner
// nor according to the task records: the owner's status is up to a second old.
func (f *Fleet) isIdle(m *machine) bool {
	return m.drainReason == "" && f.hasFreshStatus(m) && m.status.AcceptsTasks && !m.status.Busy &&
		f.loads.MachineLoad(m.id).CPUs < resource.Epsilon
}

// isOverdue reports whether a machine that lists show running has not reported to its shard
// owner, although the owner has been responding for long enough. Without this rule a machine
// that died before its first heartbeat, or while the controllers were down, would count as
// booting forever, and nothing would be rented in its place.
func (f *Fleet) isOverdue(m *machine) bool {
	now, owner := f.runtime.Now(), &f.shards[m.shard].owner
	return !m.reported && m.listing.runningSince > 0 && owner.isFresh(now) &&
		now-max(owner.respondingSince, m.listing.runningSince, f.term.actingSince) > f.settings.WorkerDeadAfter()
}

// idleFor returns the time for which a machine counts as idle. Time before the end of an
// outage, in which nothing could be dispatched, is not counted.
func (f *Fleet) idleFor(m *machine) time.Duration {
	return f.runtime.Now() - max(m.idleSince, f.term.actingSince)
}

// requestRelease marks a machine to be returned to the cloud. Only the first reason is recorded.
func (f *Fleet) requestRelease(m *machine, reason string) {
	if m.release.requested {
		return
	}
	m.release.requested, m.release.reason = true, reason
	f.log.Info("releasing machine", "machine", m.id, "reason", reason)
}
