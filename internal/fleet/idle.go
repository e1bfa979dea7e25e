package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lemonmoor/internal/tuning"
)

// isDispensable reports whether a machine has been idle for too long and may be drained. Idle
// time during an outage, when nothing can be dispatched, does not show that a machine is not
// needed. If it counted, most machines would be released just when the outage ends.
func (f *Fleet) isDispensable(machine *machine, manyIdle bool) bool {
	if !f.isIdle(machine) || f.idleFor(machine) <= f.idleTimeout(machine, manyIdle) || f.machines.retainedIdle[machine.id] {
		return false
	}
	now := f.runtime.Now()
	if f.demand.wasStalled(now) {
		return false
	}
	if f.isAwaitedByGang(machine) && now-machine.idleSince < tuning.GangIdleRetention {
		machine.awaitedAt = now
	}
	return now-machine.awaitedAt >= tuning.AwaitedMachineGrace
}

// idleTimeout returns how long an idle machine is retained. manyIdle is set when more machines
// are idle than are retained for the whole timeout, as after a burst; that many are not needed
// soon.
func (f *Fleet) idleTimeout(m *machine, manyIdle bool) time.Duration {
	timeout := f.settings.MachineIdleTimeout()
	if t := f.MachineType(m.kind.MachineType); t != nil && !m.kind.Spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
		// Retaining an ordinary machine should cost no more than retaining a spot machine for
		// the whole timeout.
		timeout = time.Duration(float64(timeout) * max(t.SpotPrice/t.Price, tuning.MinIdleTimeoutShare))
	}
	if manyIdle {
		timeout = min(timeout, time.Duration(float64(f.settings.MachineIdleTimeout())*tuning.MinIdleTimeoutShare))
	}
	return timeout
}

// isAwaitedByGang reports whether a gang that the machine could run waits for room. A gang needs
// several machines at a time, and they may become available one by one.
func (f *Fleet) isAwaitedByGang(m *machine) bool {
	empty := f.emptyMachine(m.kind)
	if empty.MachineType == nil {
		return false
	}
	for i := range f.demand.list {
		demand := &f.demand.list[i]
		if demand.Spec.IsGang() && demand.Tasks > 0 && empty.CouldRun(demand.Spec, demand.Zone) {
			return true
		}
	}
	return false
}

// recordAwaited records which idle machines are to run a job that waits: it will be placed there soon,
// or after a pause. Otherwise they would be released, and others rented when the job is placed again.
// One is retained for each job, for a gang as many as it needs. While a gang needs more machines than
// there are, isAwaitedByGang retains all.
func (f *Fleet) recordAwaited() {
	if len(f.demand.list) == 0 {
		return
	}
	idle := f.idleByKind()
	kinds := slices.SortedFunc(maps.Keys(idle), compareKinds)
	for i := range f.demand.list {
		demand := &f.demand.list[i]
		remaining := demand.Queued // tasks
		if !demand.Spec.IsGang() {
			remaining = min(1, demand.Queued+demand.Tasks)
		}
		for _, kind := range kinds {
			if remaining > 0 && f.emptyMachine(kind).CouldRun(demand.Spec, demand.Zone) {
				remaining -= f.awaitMachines(idle[kind], remaining, tasksOn(f.MachineType(kind.MachineType), demand.Spec))
			}
		}
	}
}

// awaitMachines records as many of the machines as awaited as a number of tasks need, of which each
// machine holds tasksEach, and returns for how many tasks there is room.
func (f *Fleet) awaitMachines(machines []*machine, tasks, tasksEach int) int {
	room := 0
	for _, m := range machines {
		if room >= tasks {
			break
		}
		m.awaitedAt = f.runtime.Now()
		room += tasksEach
	}
	return room
}

// idleByKind returns the idle machines of each kind, in the order of their IDs.
func (f *Fleet) idleByKind() map[MachineKind][]*machine {
	idle := map[MachineKind][]*machine{}
	for _, m := range f.machines.byID {
		if f.isIdle(m) && f.MachineType(m.kind.MachineType) != nil {
			idle[m.kind] = append(idle[m.kind], m)
		}
	}
	for _, machines := range idle {
		slices.SortFunc(machines, func(a, b *machine) int { return strings.Compare(a.id, b.id) })
	}
	return idle
}

// compareKinds compares kinds of machines in the order of MachineKind.Before, for sorting.
func compareKinds(a, b MachineKind) int {
	switch {
	case a.Before(b):
		return -1
	case b.Before(a):
		return 1
	}
	return 0
}
