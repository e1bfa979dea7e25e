package fleet

import (
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// zoneTracker records which zones the shard owners receive heartbeats from.
type zoneTracker struct {
	settings *settings.Settings
	// reachableAt is the time at which an owner last reported a zone as reachable, by zone.
	reachableAt map[string]time.Duration
	// expected is the number of machines that should send heartbeats, by zone.
	expected map[string]int
	// partitionedAt is the last time at which a zone was partitioned, by zone.
	partitionedAt map[string]time.Duration
}

func newZoneTracker(settings *settings.Settings) zoneTracker {
	return zoneTracker{
		settings: settings, reachableAt: map[string]time.Duration{}, expected: map[string]int{},
		partitionedAt: map[string]time.Duration{},
	}
}

func (z *zoneTracker) reset() {
	clear(z.reachableAt)
	clear(z.expected)
	clear(z.partitionedAt)
}

// zoneTimes holds the time at which zones are evaluated, and the start of the period in which
// the leader's lease has been valid without a gap.
type zoneTimes struct{ now, actingSince time.Duration }

// silence returns the time since an owner last reported a zone as reachable, or since the
// leader's lease has been valid if that is shorter.
func (z *zoneTracker) silence(zone string, times zoneTimes) time.Duration {
	return times.now - max(z.reachableAt[zone], times.actingSince)
}

// isPartitioned reports whether a zone is unreachable for the shard owners while others are
// reachable. The machines of a partitioned zone do not count as capacity and none are rented
// there; see tuning.ZonePartitionRetention.
func (z *zoneTracker) isPartitioned(zone string, times zoneTimes) bool {
	silence := z.silence(zone, times)
	// A zone that was partitioned just before remains so even if the machines left there are
	// too few for IsZonePartitioned.
	wasPartitioned := z.wasPartitionedWithin(zone, tuning.ZonePartitionAfter, times.now)
	if !wasPartitioned && !z.settings.IsZonePartitioned(z.expected[zone], silence) {
		return false
	}
	if silence <= tuning.ZonePartitionAfter {
		return false
	}
	for other := range z.reachableAt {
		if z.silence(other, times) <= tuning.ZonePartitionAfter {
			return true
		}
	}
	return false
}

// wasPartitionedWithin reports whether a zone was last partitioned less than the given period
// ago.
func (z *zoneTracker) wasPartitionedWithin(zone string, period, now time.Duration) bool {
	partitionedAt, known := z.partitionedAt[zone]
	return known && now-partitionedAt < period
}

// isSmall reports whether a zone has at most tuning.SmallZoneShare of all machines.
func (z *zoneTracker) isSmall(zone string) bool {
	all := 0
	for _, machines := range z.expected {
		all += machines
	}
	return float64(z.expected[zone]) <= tuning.SmallZoneShare*float64(all)
}

func (f *Fleet) zoneTimes() zoneTimes { return zoneTimes{f.runtime.Now(), f.term.actingSince} }

// isPartitioned reports whether a zone is partitioned now.
func (f *Fleet) isPartitioned(zone string) bool { return f.zones.isPartitioned(zone, f.zoneTimes()) }

// recordPartitions records, and logs, the zones that are partitioned now.
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

// isRetained reports whether a silent machine is retained because its zone is partitioned.
// Machines that may run urgent tasks are not retained if the zone is small, because they can
// then be replaced by machines in other zones.
func (f *Fleet) isRetained(machine *machine) bool {
	zone, times := machine.kind.Zone, f.zoneTimes()
	if !f.zones.isPartitioned(zone, times) {
		// After a partition the machines get time to send heartbeats. If they were evaluated
		// as soon as the first one reports, most of them would be released.
		return f.zones.wasPartitionedWithin(zone, f.settings.WorkerDeadAfter(), times.now)
	}
	if f.zones.silence(zone, times) > tuning.ZonePartitionRetention {
		return false
	}
	return machine.status.ReleaseReason != workers.ReleaseSilentUrgent || !f.zones.isSmall(zone)
}
