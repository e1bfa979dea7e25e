package fleet

import (
	"time"

	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// zoneSilence is how long no owner has heard from a zone.
func (f *Fleet) zoneSilence(zone string) time.Duration {
	return f.runtime.Now() - max(f.zoneHeardAt[zone], f.actingSince)
}

// isPartitioned tells whether a zone is cut off from the owners, though others are not.
// Its machines are no room and none are rented there; see tuning.DarkKeep.
func (f *Fleet) isPartitioned(zone string) bool {
	at, was := f.partitionedAt[zone] // stays so while any machine there is left
	if was = was && f.runtime.Now()-at < tuning.ZonePartitionAfter; !was && !f.settings.IsZonePartitioned(f.expectedByZone[zone], f.zoneSilence(zone)) {
		return false
	}
	if f.zoneSilence(zone) <= tuning.ZonePartitionAfter {
		return false
	}
	for other := range f.zoneHeardAt {
		if f.zoneSilence(other) <= tuning.ZonePartitionAfter {
			return true
		}
	}
	return false
}

// isSpared tells whether a silent machine is kept because its zone is cut off.
// Those that may have urgent tasks on them are not, if the zone is a small part
// of all: then others can be had in their place.
func (f *Fleet) isSpared(m *machine) bool {
	zone := m.kind.Zone
	if !f.isPartitioned(zone) {
		// Back again, its machines have time to report: judged at the first
		// sign of life, most were returned just then.
		at, was := f.partitionedAt[zone]
		return was && f.runtime.Now()-at < f.settings.WorkerDeadAfter()
	}
	if f.zoneSilence(zone) > tuning.ZonePartitionRetention {
		return false
	}
	all := 0
	for _, n := range f.expectedByZone {
		all += n
	}
	return m.status.ReleaseReason != workers.ReleaseSilentUrgent || float64(f.expectedByZone[zone]) > tuning.SmallZoneShare*float64(all)
}
