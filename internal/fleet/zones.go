package fleet

import (
	"time"

	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// silence is how long no owner has heard from a zone.
func (f *Fleet) silence(zone string) time.Duration {
	return f.rt.Now() - max(f.reachable[zone], f.since)
}

// isZonePartitioned tells whether a zone is cut off from the owners, though others are not.
// Its machines are no room and none are rented there; see tuning.DarkKeep.
func (f *Fleet) cutOff(zone string) bool {
	at, was := f.cutOffAt[zone] // stays so while any machine there is left
	if was = was && f.rt.Now()-at < tuning.ZonePartitionAfter; !was && !f.set.IsZonePartitioned(f.running[zone], f.silence(zone)) {
		return false
	}
	if f.silence(zone) <= tuning.ZonePartitionAfter {
		return false
	}
	for other := range f.reachable {
		if f.silence(other) <= tuning.ZonePartitionAfter {
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
	if !f.cutOff(zone) {
		// Back again, its machines have time to report: judged at the first
		// sign of life, most were returned just then.
		at, was := f.cutOffAt[zone]
		return was && f.rt.Now()-at < f.set.WorkerDeadAfter()
	}
	if f.silence(zone) > tuning.ZonePartitionRetention {
		return false
	}
	all := 0
	for _, n := range f.running {
		all += n
	}
	return m.state.ReleaseReason != workers.ReleaseSilentUrgent || float64(f.running[zone]) > tuning.SmallZoneShare*float64(all)
}
