package fleet

import (
	"time"

	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
)

// Reasons for which the leader has a machine's owner keep tasks off it.
const (
	drainIdle      = "idle"
	drainExpensive = "expensive"
)

// evaluateMachines decides which machines are released beside those that their owners want
// released.
func (f *Fleet) evaluateMachines() {
	machines, idle := f.countMachines()
	f.recordPartitions()
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
				machine.drainReason = drainIdle // its owner agrees, then wants it released
				idle--
			}
		}
	}
	f.machines.forgetReleased(f.runtime.Now())
}

// countMachines counts the machines that report, and those of them that are idle, and notes
// how many there should be in each zone.
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

// isDispensable reports whether a machine has been idle for too long. Idle in an outage, when
// nothing could be dispatched, says nothing of what is needed: most machines were released
// just when it was over.
func (f *Fleet) isDispensable(m *machine, manyIdle bool) bool {
	if !f.isIdle(m) || f.idleFor(m) <= f.idleTimeout(m, manyIdle) || f.machines.retainedIdle[m.id] {
		return false
	}
	now := f.runtime.Now()
	if f.demand.wasStalled(now) {
		return false
	}
	return !f.isAwaitedByGang(m) || now-m.idleSince >= tuning.GangIdleRetention
}

// idleTimeout returns how long a machine is kept that is idle. manyIdle: most are, as after a
// burst, and so many are not soon needed.
func (f *Fleet) idleTimeout(m *machine, manyIdle bool) time.Duration {
	timeout := f.settings.MachineIdleTimeout()
	if t := f.MachineType(m.kind.MachineType); t != nil && !m.kind.Spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
		// Kept ready as long as a spot machine would be for the money.
		timeout = time.Duration(float64(timeout) * max(t.SpotPrice/t.Price, tuning.MinIdleTimeoutShare))
	}
	if manyIdle {
		timeout = min(timeout, time.Duration(float64(f.settings.MachineIdleTimeout())*tuning.MinIdleTimeoutShare))
	}
	return timeout
}

// isAwaitedByGang reports whether a gang waits for machines of which this is one: it needs
// several at a time, and they may come one by one.
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

// evaluateUnreported releases a machine that has not reported when it should have.
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
		// Taken by the cloud before any list had it: it counted as booting, and so as room,
		// for ever.
		f.requestRelease(machine, "never listed")
	}
}

// releaseMachines returns machines to the cloud.
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
			f.recordReleased(ids) // whoever leads now: the machines are gone
		}
		finish(err == nil)
	})
}

// nextReleases lists machines that one request releases.
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

// noteReleased notes that machines are gone, with all on them.
func (f *Fleet) recordReleased(ids []string) {
	for _, id := range ids {
		f.machines.releasedAt[id] = f.runtime.Now()
		shard := &f.shards[f.shardIndex(id)]
		shard.unreportedReleases = append(shard.unreportedReleases, id)
	}
}

// finishRelease forgets the machines of a release request, or has them released again.
func (f *Fleet) finishRelease(ids []string, released bool) {
	for _, id := range ids {
		if released {
			delete(f.machines.byID, id)
		} else if m := f.machines.byID[id]; m != nil {
			m.release.inFlight = false
		}
	}
}
