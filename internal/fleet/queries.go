package fleet

import (
	"slices"
	"strings"

	"lemonmoor/internal/tuning"
)

// MachineInfo is a machine as operators' tools see it.
type MachineInfo struct {
	MachineKind
	ID, Addr     string
	Shard        int
	HasReported  bool // its worker sends heartbeats to its owner
	AcceptsTasks bool // it takes tasks
}

// IsListed reports whether the machine list has been read in this term.
func (f *Fleet) IsListed() bool { return f.term.listed }

// EachMachine calls fn for all machines, in the order of their IDs.
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

// Machine returns a machine; false if it is not known.
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

// IsGone reports whether a machine does not exist any more: it was released, or is in no list
// and no owner's message although both had time to show it.
func (f *Fleet) IsGone(id string) bool {
	if f.machines.isReleased(id) {
		return true
	}
	return f.machines.byID[id] == nil && f.term.listed &&
		f.runtime.Now()-f.term.beganAt > tuning.BootTimeoutSlack+2*f.settings.ListLag()
}

// KeepIdle has machines kept although they are idle; those of the call before are not any
// more.
func (f *Fleet) KeepIdle(machineIDs map[string]bool) { f.machines.keptIdle = machineIDs }
