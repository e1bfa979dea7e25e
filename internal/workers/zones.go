package workers

import (
	"slices"
	"time"

	"lemonmoor/internal/tuning"
)

// zoneState is what the registry knows of a zone as a whole. One that is partitioned from
// this node falls silent at once, long before each of its workers counts as late.
type zoneState struct {
	lastHeartbeatAt  time.Duration // of any worker there
	reportingWorkers int           // that have reported to this process, as of the last Tick
}

// ensureZone finds or makes a zone's entry.
func (r *Registry) ensureZone(name string) *zoneState {
	zone := r.zones[name]
	if zone == nil {
		zone = &zoneState{}
		r.zones[name] = zone
	}
	return zone
}

// ReachableZones lists the zones from which a heartbeat has come of late, in the order of
// their names.
func (r *Registry) ReachableZones() []string {
	var names []string
	for name, zone := range r.zones {
		if zone.lastHeartbeatAt > 0 && r.runtime.Now()-zone.lastHeartbeatAt <= tuning.ZonePartitionAfter {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isZonePartitioned tells whether a zone seems to be partitioned from this node: it has
// many workers, and none has sent a heartbeat for a while, though those of others have.
func (r *Registry) isZonePartitioned(name string) bool {
	zone := r.zones[name]
	if zone == nil || !r.settings.IsZonePartitioned(zone.reportingWorkers, r.runtime.Now()-max(zone.lastHeartbeatAt, r.listeningSince)) {
		return false
	}
	for _, other := range r.zones {
		if other.lastHeartbeatAt > zone.lastHeartbeatAt+tuning.ZonePartitionAfter/2 {
			return true
		}
	}
	return false
}
