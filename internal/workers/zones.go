package workers

import (
	"slices"
	"time"

	"lemonmoor/internal/tuning"
)

// zoneState is the registry's state of a zone as a whole. All workers of a zone that is
// partitioned from this node fall silent at once, which shows long before each of them is
// silent for long enough to be suspect.
type zoneState struct {
	lastHeartbeatAt  time.Duration // of any worker there
	reportingWorkers int           // workers that have reported to this process, as of the last Tick
}

// ensureZone returns the entry of a zone, creating it if there is none.
func (r *Registry) ensureZone(name string) *zoneState {
	zone := r.zones[name]
	if zone == nil {
		zone = &zoneState{}
		r.zones[name] = zone
	}
	return zone
}

// ReachableZones returns the names, sorted, of the zones from which a heartbeat has arrived
// within the last ZonePartitionAfter.
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

// isZonePartitioned reports whether a zone seems to be partitioned from this node: it has many
// workers, none of them has sent a heartbeat for a while, and those of other zones have.
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
