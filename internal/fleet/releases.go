package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
)

// Reasons for which the leader asks a machine's shard owner to assign no more tasks to it.
const (
	drainIdle      = "idle"
	drainExpensive = "expensive"
)

// evaluateMachines requests the release of machines that are silent, failed to boot or failed to
// report, and drains idle ones. Other releases that shard owners ask for are requested when
// their status messages are handled.
func (f *Fleet) evaluateMachines() {
	machines, idle := f.countMachines()
	f.recordPartitions()
	f.recordAwaited()
	maxIdle := max(tuning.MinIdleMachines, int(tuning.IdleMachineShare*float64(machines)))
	for _, machine := range f.machines.byID {
		switch {
		case machine.release.requested:
		case !machine.reported:
			f.evaluateUnreported(machine)
		default:
			if machine.isSilent() && !f.isRetained(machine) {
				f.requestRelease(machine, machine.status.ReleaseReason)
			}
			if f.isDispensable(machine, idle > maxIdle) {
				machine.drainReason = drainIdle // its owner stops assigning tasks, then requests the release
				idle--
			}
		}
	}
	f.machines.forgetReleased(f.runtime.Now())
}

// countMachines returns the number of machines that have reported and are not being released,
// and how many of them are idle. It also updates the number of expected machines by zone.
func (f *Fleet) countMachines() (machines, idle int) {
	clear(f.zones.expected)
	for _, m := range f.machines.byID {
		if m.isExpected() {
			f.zones.expected[m.kind.Zone]++
		}
		if m.reported && !m.release.requested {
			machines++
			if f.isIdle(m) {
				idle++
			}
		}
	}
	return machines, idle
}

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

// evaluateUnreported requests the release of a machine that should have reported by now.
func (f *Fleet) evaluateUnreported(machine *machine) {
	now := f.runtime.Now()
	bootSeconds := float64(tuning.UnknownTypeBootSeconds)
	if machineType := f.MachineType(machine.kind.MachineType); machineType != nil {
		bootSeconds = machineType.BootSeconds
	}
	limit := time.Duration(bootSeconds*tuning.BootTimeoutFactor*float64(time.Second)) + tuning.BootTimeoutSlack
	switch {
	case f.isOverdue(machine) && !f.isRetained(machine):
		f.requestRelease(machine, "does not report")
	case machine.listing.booting && now-machine.rentedAt > limit && now-f.term.beganAt > tuning.BootTimeoutSlack:
		f.requestRelease(machine, "never booted")
	case !machine.listing.listed && f.term.listed && now-max(machine.rentedAt, f.term.beganAt) > limit+2*f.settings.ListLag()+tuning.BootTimeoutSlack:
		// The cloud reclaimed the machine before any list showed it. It would count as
		// booting, and so as capacity, forever.
		f.requestRelease(machine, "never listed")
	}
}

// releaseMachines returns machines whose release is requested to the cloud, with at most one
// call.
func (f *Fleet) releaseMachines() {
	ids := f.nextReleases()
	if len(ids) == 0 || !f.cloud.spendCall() {
		return
	}
	for _, id := range ids {
		f.machines.byID[id].release.inFlight = true
	}
	finish := term.GuardValue(&f.term.counter, func(released bool) { f.finishRelease(ids, released) })
	f.cloud.release(ids, func(err error) {
		if err == nil {
			f.recordReleased(ids) // also if the term has ended: the machines are gone
		}
		finish(err == nil)
	})
}

// nextReleases returns the IDs of up to tuning.MaxReleaseMachines machines for the next release
// request.
func (f *Fleet) nextReleases() []string {
	var ids []string
	for _, m := range f.machines.byID {
		if !m.release.requested || m.release.inFlight {
			continue
		}
		ids = append(ids, m.id)
		if len(ids) == tuning.MaxReleaseMachines {
			break
		}
	}
	return ids
}

// recordReleased records that machines, and all tasks on them, are gone.
func (f *Fleet) recordReleased(ids []string) {
	for _, id := range ids {
		f.machines.releasedAt[id] = f.runtime.Now()
		shard := &f.shards[f.shardIndex(id)]
		shard.unreportedReleases = append(shard.unreportedReleases, id)
	}
}

// finishRelease removes the machines of a release request that succeeded. If it failed, the
// machines are released by a later request.
func (f *Fleet) finishRelease(ids []string, released bool) {
	for _, id := range ids {
		if released {
			delete(f.machines.byID, id)
		} else if m := f.machines.byID[id]; m != nil {
			m.release.inFlight = false
		}
	}
}
