package fleet

import (
	"time"

	"lemonmoor/internal/agents"
	"lemonmoor/internal/tuning"
)

// silence is how long no owner has heard from a zone.
func (f *Fleet) silence(zone string) time.Duration { return f.rt.Now() - max(f.lit[zone], f.since) }

// dark tells whether a zone is cut off from the owners, though others are not.
// Its machines are no room and none are rented there; see tuning.DarkKeep.
func (f *Fleet) dark(zone string) bool {
	at, was := f.darkAt[zone] // stays so while any machine there is left
	if was = was && f.rt.Now()-at < tuning.DarkAfter; !was && !f.set.Dark(f.running[zone], f.silence(zone)) {
		return false
	}
	if f.silence(zone) <= tuning.DarkAfter {
		return false
	}
	for other := range f.lit {
		if f.silence(other) <= tuning.DarkAfter {
			return true
		}
	}
	return false
}

// spared tells whether a silent machine is kept because its zone is cut off.
// Those that may have urgent tasks on them are not, if the zone is a small part
// of all: then others can be had in their place.
func (f *Fleet) spared(m *machine) bool {
	zone := m.kind.Zone
	if !f.dark(zone) {
		// Back again, its machines have time to report: judged at the first
		// sign of life, most were returned just then.
		at, was := f.darkAt[zone]
		return was && f.rt.Now()-at < f.set.DeadAfter()
	}
	if f.silence(zone) > tuning.DarkKeep {
		return false
	}
	all := 0
	for _, n := range f.running {
		all += n
	}
	return m.state.Back != agents.SilentUrgent || float64(f.running[zone]) > tuning.DarkSmall*float64(all)
}
