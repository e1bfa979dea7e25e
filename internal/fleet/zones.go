package fleet

import (
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// zoneTracker knows which zones the shard owners hear from.
type zoneTracker struct {
	settings *settings.Settings
	// heardAt is when an owner last heard from a zone, by zone.
	heardAt map[string]time.Duration
	// expected is the machines that should send heartbeats, by zone.
	expected map[string]int
	// partitionedAt is when a zone was last found to be partitioned, by zone.
	partitionedAt map[string]time.Duration
}

func newZoneTracker(settings *settings.Settings) zoneTracker {
	return zoneTracker{
		settings: settings, heardAt: map[string]time.Duration{}, expected: map[string]int{},
		partitionedAt: map[string]time.Duration{},
	}
}

func (z *zoneTracker) reset() {
	clear(z.heardAt)
	clear(z.expected)
	clear(z.partitionedAt)
}

// zoneMoment is a moment at which zones are judged, by a leader that has acted since another
// one.
type zoneMoment struct{ now, actingSince time.Duration }

// silence returns how long no owner has heard from a zone.
func (z *zoneTracker) silence(zone string, moment zoneMoment) time.Duration {
	return moment.now - max(z.heardAt[zone], moment.actingSince)
}

// isPartitioned reports whether a zone is cut off from the shard owners, though others are
// not. Its machines are no capacity and none are rented there; see
// tuning.ZonePartitionRetention.
func (z *zoneTracker) isPartitioned(zone string, moment zoneMoment) bool {
	silence := z.silence(zone, moment)
	// It stays so while any machine there is left.
	wasPartitioned := z.wasPartitionedWithin(zone, tuning.ZonePartitionAfter, moment.now)
	if !wasPartitioned && !z.settings.IsZonePartitioned(z.expected[zone], silence) {
		return false
	}
	if silence <= tuning.ZonePartitionAfter {
		return false
	}
	for other := range z.heardAt {
		if z.silence(other, moment) <= tuning.ZonePartitionAfter {
			return true
		}
	}
	return false
}

// wasPartitionedWithin reports whether a zone was found to be partitioned less than a period
// ago.
func (z *zoneTracker) wasPartitionedWithin(zone string, period, now time.Duration) bool {
	partitionedAt, known := z.partitionedAt[zone]
	return known && now-partitionedAt < period
}

// isSmall reports whether a zone has only a small part of all machines.
func (z *zoneTracker) isSmall(zone string) bool {
	all := 0
	for _, machines := range z.expected {
		all += machines
	}
	return float64(z.expected[zone]) <= tuning.SmallZoneShare*float64(all)
}

func (f *Fleet) zoneMoment() zoneMoment { return zoneMoment{f.runtime.Now(), f.term.actingSince} }

// isPartitioned reports whether a zone is cut off from the shard owners now.
func (f *Fleet) isPartitioned(zone string) bool { return f.zones.isPartitioned(zone, f.zoneMoment()) }

// notePartitions notes the zones that are partitioned now.
func (f *Fleet) recordPartitions() {
	now := f.runtime.Now()
	for zone, machines := range f.zones.expected {
		if !f.isPartitioned(zone) {
			continue
		}
		partitionedAt, known := f.zones.partitionedAt[zone]
		if !known || now-partitionedAt > f.settings.WorkerDeadAfter() {
			f.log.Info("zone is partitioned", "zone", zone, "machines", machines)
		}
		f.zones.partitionedAt[zone] = now
	}
}

// isSpared reports whether a silent machine is kept because its zone is partitioned. Those
// that may have urgent tasks on them are not, if the zone is a small part of all: then others
// can be had in their place.
func (f *Fleet) isRetained(machine *machine) bool {
	zone, moment := machine.kind.Zone, f.zoneMoment()
	if !f.zones.isPartitioned(zone, moment) {
		// Back again, its machines have time to send heartbeats: judged at the first sign
		// of life, most were released just then.
		return f.zones.wasPartitionedWithin(zone, f.settings.WorkerDeadAfter(), moment.now)
	}
	if f.zones.silence(zone, moment) > tuning.ZonePartitionRetention {
		return false
	}
	return machine.status.ReleaseReason != workers.ReleaseSilentUrgent || !f.zones.isSmall(zone)
}
