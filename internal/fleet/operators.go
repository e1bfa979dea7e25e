package fleet

import (
	"slices"
	"strings"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// MachineInfo is a machine as operators' tools see it.
type MachineInfo struct {
	MachineKind
	ID, Addr     string
	Shard        int
	HasReported  bool // its worker reports to its owner
	AcceptsTasks bool // it takes tasks
}

// IsListed tells whether the machine list has been read in this term.
func (f *Fleet) IsListed() bool { return f.listed }

// EachMachine calls fn for all machines, in the order of their names.
func (f *Fleet) EachMachine(fn func(MachineInfo)) {
	list := make([]*machine, 0, len(f.machines))
	for _, m := range f.machines {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *machine) int { return strings.Compare(a.id, b.id) })
	for _, m := range list {
		fn(f.info(m))
	}
}

// Machine finds a machine.
func (f *Fleet) Machine(id string) (MachineInfo, bool) {
	m := f.machines[id]
	if m == nil {
		return MachineInfo{}, false
	}
	return f.info(m), true
}

func (f *Fleet) info(m *machine) MachineInfo {
	up := m.reported && f.hasFreshStatus(m) && m.status.HasReported
	return MachineInfo{MachineKind: m.kind, ID: m.id, Addr: m.address, Shard: m.shard, HasReported: up, AcceptsTasks: up && m.status.AcceptsTasks && !m.returning && m.drainReason == ""}
}

// IsGone tells whether a machine does not exist any more: it was returned, or is in no
// list and no owner's message although both had time to show it.
func (f *Fleet) IsGone(id string) bool {
	if _, returned := f.releasedAt[id]; returned {
		return true
	}
	return f.machines[id] == nil && f.listed && f.runtime.Now()-f.termBeganAt > tuning.BootTimeoutSlack+2*f.settings.ListLag()
}

// KeepIdle has machines kept although they are idle; the ones named before are not any more.
func (f *Fleet) KeepIdle(machines map[string]bool) { f.keptIdle = machines }

// RentNamed rents one machine under a name that the caller has made durable, so that a
// later leader that asks again gets the same one. Until its answer is known, known is
// false; it is asked again then.
func (f *Fleet) RentNamed(name string, kind MachineKind) (host string, known bool) {
	if hosts, answered := f.rentedByName[name]; answered && len(hosts) > 0 {
		return hosts[0], true
	}
	if _, flying := f.rentalsInFlight[name]; flying || f.runtime.Now() < f.pausedUntil[kind] || f.isPartitioned(kind.Zone) || !f.spendCall() {
		return "", false
	}
	f.sendRental(f.term, rentalRequest{name, kind.MachineType, kind.Zone, kind.Spot, 1}, 0)
	return "", false
}

// HasWaitingWork tells whether tasks of a higher priority wait for room.
func (f *Fleet) HasWaitingWork(p jobs.Priority) bool {
	return slices.ContainsFunc(f.demands, func(n Demand) bool { return n.Tasks > 0 && n.Spec.Priority() > p })
}

// idleAge is how long a machine counts as idle.
func (f *Fleet) idleAge(m *machine) time.Duration {
	return f.runtime.Now() - max(m.idleSince, f.actingSince)
}
