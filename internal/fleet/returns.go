package fleet

import (
	"encoding/json"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// isOverdue tells whether a machine that the lists call running has not reported
// to its owner, which has been there for long enough. One that died before its
// first report, or while the controllers were down, counted as booting for ever,
// and nothing was rented in its place.
func (f *Fleet) isOverdue(m *machine) bool {
	w, now := &f.statuses[m.shard], f.runtime.Now()
	return !m.reported && m.runningSince > 0 && w.known && now-w.heardAt < tuning.StatusStaleAfter &&
		now-max(w.since, m.runningSince, f.actingSince) > f.settings.WorkerDeadAfter()
}

// isSilent tells whether a machine's owner wants it back because it is silent.
func (m *machine) isSilent() bool {
	return m.status.ReleaseReason == workers.ReleaseSilent || m.status.ReleaseReason == workers.ReleaseSilentUrgent
}

func (f *Fleet) returnMachine(m *machine, why string) {
	if m.returning {
		return
	}
	m.returning, m.returnReason = true, why
	f.log.Info("returning machine", "host", m.id, "why", why)
}

// evaluateMachines decides which machines go back beside those that their owners give
// back.
func (f *Fleet) evaluateMachines() {
	now := f.runtime.Now()
	machines, idle := f.countMachines()
	f.notePartitions()
	spare := max(tuning.MinIdleMachines, int(tuning.IdleMachineShare*float64(machines)))
	for _, m := range f.machines {
		switch {
		case m.returning:
		case !m.reported:
			f.evaluateUnreported(m)
		default:
			if m.isSilent() && !f.isSpared(m) {
				f.returnMachine(m, m.status.ReleaseReason)
			}
			// Idle in an outage, when nothing could be handed out, says nothing of
			// what is needed: most machines went back just when it was over.
			if m.isIdle(f) && f.idleAge(m) > f.idleTimeout(m, idle > spare) && !f.keptIdle[m.id] &&
				(f.dispatchStalledAt <= 0 || now-f.dispatchStalledAt >= tuning.StalledDispatchGrace) && (!f.isAwaitedByGang(m) || now-m.idleSince >= tuning.GangIdleRetention) {
				m.drainReason = "idle" // its owner agrees, then gives it back
				idle--
			}
		}
	}
	for id, at := range f.releasedAt {
		if now-at > tuning.ReleasedMachineMemory {
			delete(f.releasedAt, id)
		}
	}
}

// countMachines counts the machines that report, and those of them that are idle, and
// notes how many there should be in each zone.
func (f *Fleet) countMachines() (machines, idle int) {
	clear(f.expectedByZone)
	for _, m := range f.machines {
		if !m.returning && !m.failed && (m.reported || m.runningSince > 0) {
			f.expectedByZone[m.kind.Zone]++
		}
		if m.reported && !m.returning {
			machines++
			if m.isIdle(f) {
				idle++
			}
		}
	}
	return machines, idle
}

// notePartitions notes the zones that are cut off now.
func (f *Fleet) notePartitions() {
	now := f.runtime.Now()
	for zone := range f.expectedByZone {
		if !f.isPartitioned(zone) {
			continue
		}
		if _, was := f.partitionedAt[zone]; !was || now-f.partitionedAt[zone] > f.settings.WorkerDeadAfter() {
			f.log.Info("zone is cut off", "zone", zone, "machines", f.expectedByZone[zone])
		}
		f.partitionedAt[zone] = now
	}
}

// evaluateUnreported gives a machine back that has not reported when it should have.
func (f *Fleet) evaluateUnreported(m *machine) {
	now := f.runtime.Now()
	boot := 60.0
	if t := f.MachineType(m.kind.MachineType); t != nil {
		boot = t.BootSeconds
	}
	limit := time.Duration(boot*tuning.BootTimeoutFactor*float64(time.Second)) + tuning.BootTimeoutSlack
	switch {
	case f.isOverdue(m) && !f.isSpared(m):
		f.returnMachine(m, "does not report")
	case m.booting && now-m.rentedAt > limit && now-f.termBeganAt > tuning.BootTimeoutSlack:
		f.returnMachine(m, "never booted")
	case !m.listed && f.listed && now-max(m.rentedAt, f.termBeganAt) > limit+2*f.settings.ListLag()+tuning.BootTimeoutSlack:
		// Taken by the cloud before any list had it: it counted as booting,
		// and so as room, for ever.
		f.returnMachine(m, "never listed")
	}
}

// idleTimeout is how long a machine is kept that is idle; many: most are, as after a burst,
// and so many are not soon needed.
func (f *Fleet) idleTimeout(m *machine, many bool) time.Duration {
	keep := f.settings.MachineIdleTimeout()
	if t := f.MachineType(m.kind.MachineType); t != nil && !m.kind.Spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
		// Kept ready as long as a spot machine would be for the money.
		keep = time.Duration(float64(keep) * max(t.SpotPrice/t.Price, tuning.MinIdleTimeoutShare))
	}
	if many {
		keep = min(keep, time.Duration(float64(f.settings.MachineIdleTimeout())*tuning.MinIdleTimeoutShare))
	}
	return keep
}

// isAwaitedByGang tells whether a gang waits for machines of which this is one: it needs
// several at a time, and they may come one by one.
func (f *Fleet) isAwaitedByGang(m *machine) bool {
	for i := range f.demands {
		n := &f.demands[i]
		if r := f.emptyMachine(m.kind); n.Spec.IsGang() && n.Tasks > 0 && r.MachineType != nil && r.CouldRun(n.Spec, n.Zone) {
			return true
		}
	}
	return false
}

// isIdle tells whether a machine takes tasks and has none.
func (m *machine) isIdle(f *Fleet) bool {
	return m.drainReason == "" && f.hasFreshStatus(m) && m.status.AcceptsTasks && !m.status.Busy
}

// releaseMachines returns machines to the cloud.
func (f *Fleet) releaseMachines(term int) {
	var names []string
	for _, m := range f.machines {
		if !m.returning || m.releaseInFlight {
			continue
		}
		names = append(names, m.id)
		if len(names) == 100 {
			break
		}
	}
	if len(names) == 0 || !f.spendCall() {
		return
	}
	for _, id := range names {
		f.machines[id].releaseInFlight = true
	}
	body, err := json.Marshal(map[string][]string{"hosts": names})
	if err != nil {
		return
	}
	f.runtime.CallHTTP(f.cloudAddress, http1.ClientRequest{Method: "POST", Target: "/rentals/release", Body: body}, tuning.CloudRequestTimeout,
		func(ans http1.Response, err error) {
			ok := err == nil && ans.Status == 200
			if ok {
				// Whoever leads now: the machines are gone.
				for _, id := range names {
					f.releasedAt[id] = f.runtime.Now()
					b := taskstate.ShardOf(id, len(f.statuses))
					f.unreportedReleases[b] = append(f.unreportedReleases[b], id)
				}
			}
			if term != f.term {
				return
			}
			for _, id := range names {
				if ok {
					delete(f.machines, id)
				} else if m := f.machines[id]; m != nil {
					m.releaseInFlight = false
				}
			}
		})
}
