package fleet

import (
	"slices"
	"strings"

	"lemonmoor/internal/tuning"
)

// MachineInfo describes a machine to operators' tools.
type MachineInfo struct {
	MachineKind
	ID, Addr     string
	Shard        int
	HasReported  bool // its worker sends heartbeats to its shard owner
	AcceptsTasks bool
}

// IsListed reports whether the machine list has been read in this term.
func (f *Fleet) IsListed() bool { return f.term.listed }

// EachMachine calls fn for each machine, in the order of their IDs.
func (f *Fleet) EachMachine(fn func(MachineInfo)) {
	list := make([]*machine, 0, len(f.machines.byID))
	for _, m := range f.machines.byID {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *machine) int { return strings.Compare(a.id, b.id) })
	for _, m := range list {
		fn(f.info(m))
	}
}

// Machine returns the machine with the given ID, and whether it is known.
func (f *Fleet) Machine(id string) (MachineInfo, bool) {
	m := f.machines.byID[id]
	if m == nil {
		return MachineInfo{}, false
	}
	return f.info(m), true
}

func (f *Fleet) info(m *machine) MachineInfo {
	reports := f.hasFreshStatus(m) && m.status.HasReported
	return MachineInfo{
		MachineKind: m.kind, ID: m.id, Addr: m.address, Shard: m.shard, HasReported: reports,
		AcceptsTasks: reports && m.status.AcceptsTasks && !m.release.requested && m.drainReason == "",
	}
}

// IsGone reports whether a machine no longer exists: it was released, or no machine list and no
// status message of a shard owner contains it although enough of the term has passed for both.
func (f *Fleet) IsGone(id string) bool {
	if f.machines.isReleased(id) {
		return true
	}
	return f.machines.byID[id] == nil && f.term.listed &&
		f.runtime.Now()-f.term.beganAt > tuning.BootTimeoutSlack+2*f.settings.ListLag()
}

// KeepIdle sets the machines that are not released when idle. They replace those of the
// previous call.
func (f *Fleet) KeepIdle(machineIDs map[string]bool) { f.machines.retainedIdle = machineIDs }
