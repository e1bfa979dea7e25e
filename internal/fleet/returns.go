package fleet

import (
	"encoding/json"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// unheard tells whether a machine that the lists call running has not reported
// to its owner, which has been there for long enough. One that died before its
// first report, or while the controllers were down, counted as booting for ever,
// and nothing was rented in its place.
func (f *Fleet) unheard(m *machine) bool {
	w, now := &f.statuses[m.block], f.rt.Now()
	return !m.known && m.running > 0 && w.any && now-w.heard < tuning.StatusStaleAfter &&
		now-max(w.since, m.running, f.since) > f.set.WorkerDeadAfter()
}

// silent tells whether a machine's owner wants it back because it is silent.
func (m *machine) silent() bool {
	return m.state.ReleaseReason == workers.ReleaseSilent || m.state.ReleaseReason == workers.ReleaseSilentUrgent
}

func (f *Fleet) giveBack(m *machine, why string) {
	if m.release {
		return
	}
	m.release, m.why = true, why
	f.log.Info("returning machine", "host", m.id, "why", why)
}

// judge decides which machines go back beside those that their owners give
// back.
func (f *Fleet) judge() {
	now := f.rt.Now()
	machines, idle := f.countMachines()
	f.noteCutOffs()
	spare := max(tuning.MinIdleMachines, int(tuning.IdleMachineShare*float64(machines)))
	for _, m := range f.machines {
		switch {
		case m.release:
		case !m.known:
			f.judgeUnknown(m)
		default:
			if m.silent() && !f.spared(m) {
				f.giveBack(m, m.state.ReleaseReason)
			}
			// Idle in an outage, when nothing could be handed out, says nothing of
			// what is needed: most machines went back just when it was over.
			if m.idles(f) && f.idleAge(m) > f.idleKeep(m, idle > spare) && !f.kept[m.id] &&
				(f.stalled <= 0 || now-f.stalled >= tuning.StalledDispatchGrace) && (!f.awaited(m) || now-m.idle >= tuning.GangIdleRetention) {
				m.drain = "idle" // its owner agrees, then gives it back
				idle--
			}
		}
	}
	for id, at := range f.returned {
		if now-at > tuning.ReleasedMachineMemory {
			delete(f.returned, id)
		}
	}
}

// countMachines counts the machines that report, and those of them that are idle, and
// notes how many there should be in each zone.
func (f *Fleet) countMachines() (machines, idle int) {
	clear(f.running)
	for _, m := range f.machines {
		if !m.release && !m.failed && (m.known || m.running > 0) {
			f.running[m.kind.Zone]++
		}
		if m.known && !m.release {
			machines++
			if m.idles(f) {
				idle++
			}
		}
	}
	return machines, idle
}

// noteCutOffs notes the zones that are cut off now.
func (f *Fleet) noteCutOffs() {
	now := f.rt.Now()
	for zone := range f.running {
		if !f.cutOff(zone) {
			continue
		}
		if _, was := f.cutOffAt[zone]; !was || now-f.cutOffAt[zone] > f.set.WorkerDeadAfter() {
			f.log.Info("zone is cut off", "zone", zone, "machines", f.running[zone])
		}
		f.cutOffAt[zone] = now
	}
}

// judgeUnknown gives a machine back that has not reported when it should have.
func (f *Fleet) judgeUnknown(m *machine) {
	now := f.rt.Now()
	boot := 60.0
	if t := f.MachineType(m.kind.MachineType); t != nil {
		boot = t.BootSeconds
	}
	limit := time.Duration(boot*tuning.BootTimeoutFactor*float64(time.Second)) + tuning.BootTimeoutSlack
	switch {
	case f.unheard(m) && !f.spared(m):
		f.giveBack(m, "does not report")
	case m.booting && now-m.rented > limit && now-f.begun > tuning.BootTimeoutSlack:
		f.giveBack(m, "never booted")
	case !m.listed && f.listed && now-max(m.rented, f.begun) > limit+2*f.set.ListLag()+tuning.BootTimeoutSlack:
		// Taken by the cloud before any list had it: it counted as booting,
		// and so as room, for ever.
		f.giveBack(m, "never listed")
	}
}

// idleKeep is how long a machine is kept that is idle; many: most are, as after a burst,
// and so many are not soon needed.
func (f *Fleet) idleKeep(m *machine, many bool) time.Duration {
	keep := f.set.MachineIdleTimeout()
	if t := f.MachineType(m.kind.MachineType); t != nil && !m.kind.Spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
		// Kept ready as long as a spot machine would be for the money.
		keep = time.Duration(float64(keep) * max(t.SpotPrice/t.Price, tuning.MinIdleTimeoutShare))
	}
	if many {
		keep = min(keep, time.Duration(float64(f.set.MachineIdleTimeout())*tuning.MinIdleTimeoutShare))
	}
	return keep
}

// awaited tells whether a gang waits for machines of which this is one: it needs
// several at a time, and they may come one by one.
func (f *Fleet) awaited(m *machine) bool {
	for i := range f.needs {
		n := &f.needs[i]
		if r := f.empty(m.kind); n.Spec.IsGang() && n.Tasks > 0 && r.MachineType != nil && r.CouldRun(n.Spec, n.Zone) {
			return true
		}
	}
	return false
}

// idles tells whether a machine takes tasks and has none.
func (m *machine) idles(f *Fleet) bool {
	return m.drain == "" && f.fresh(m) && m.state.AcceptsTasks && !m.state.Busy
}

// release returns machines to the cloud.
func (f *Fleet) release(term int) {
	var names []string
	for _, m := range f.machines {
		if !m.release || m.asked {
			continue
		}
		names = append(names, m.id)
		if len(names) == 100 {
			break
		}
	}
	if len(names) == 0 || !f.afford() {
		return
	}
	for _, id := range names {
		f.machines[id].asked = true
	}
	body, err := json.Marshal(map[string][]string{"hosts": names})
	if err != nil {
		return
	}
	f.rt.CallHTTP(f.addr, http1.ClientRequest{Method: "POST", Target: "/rentals/release", Body: body}, tuning.CloudRequestTimeout,
		func(ans http1.Response, err error) {
			ok := err == nil && ans.Status == 200
			if ok {
				// Whoever leads now: the machines are gone.
				for _, id := range names {
					f.returned[id] = f.rt.Now()
					b := taskstate.ShardOf(id, len(f.statuses))
					f.unreported[b] = append(f.unreported[b], id)
				}
			}
			if term != f.term {
				return
			}
			for _, id := range names {
				if ok {
					delete(f.machines, id)
				} else if m := f.machines[id]; m != nil {
					m.asked = false
				}
			}
		})
}
