package workers

import (
	"slices"
	"time"

	"lemonmoor/internal/tuning"
)

// zoneState is what the table knows of a zone as a whole: one that is cut off falls
// silent at once, long before each of its machines is late.
type zoneState struct {
	lastHeartbeatAt  time.Duration // the newest report from it
	reportingWorkers int           // machines there that have reported, as of the last Tick
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

// ReachableZones lists the zones from which something has been heard of late.
func (r *Registry) ReachableZones() []string {
	var list []string
	for name, zone := range r.zones {
		if zone.lastHeartbeatAt > 0 && r.runtime.Now()-zone.lastHeartbeatAt <= tuning.ZonePartitionAfter {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// isZonePartitioned tells whether a zone seems to be cut off: many machines report from it,
// and none has for a while, though others are heard.
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
