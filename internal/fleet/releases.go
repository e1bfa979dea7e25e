package fleet

import (
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
