package leader

import (
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
)

// machineScope is the machines that are considered for a gang.
type machineScope int

const (
	scopeCached  machineScope = iota // machines that are up and have its image
	scopeUp                          // all that are up
	scopeBooting                     // those that are up or boot
)

// gangPlace is where a gang can be dispatched to: a shard, with its tasks bound to zones.
type gangPlace struct {
	shard int
	zones []string
}

// fits reports whether a shard has room for so many tasks by zone.
func (v *capacityView) fits(spec *jobs.Spec, tasksByZone map[string]int, shard int, scope machineScope) bool {
	for zone, needed := range tasksByZone {
		room := v.countTasks(spec, machineSet{zone, shard, false}, scope == scopeCached)
		if scope == scopeBooting && room < needed {
			room += v.countTasks(spec, machineSet{zone, shard, true}, false)
		}
		if room < needed {
			return false
		}
	}
	return true
}

// occupyByZone takes the room for so many tasks by zone, first on machines that are up.
func (v *capacityView) occupyByZone(job *jobState, tasksByZone map[string]int, shard int) {
	for zone, tasks := range tasksByZone {
		tasks -= v.occupy(job, machineSet{zone, shard, false}, tasks)
		v.occupy(job, machineSet{zone, shard, true}, tasks)
	}
}

// fitsTogether reports whether the shards together have room for so many tasks by zone, on
// machines that are up.
func (v *capacityView) fitsTogether(spec *jobs.Spec, tasksByZone map[string]int) bool {
	fits := true
	for zone, needed := range tasksByZone {
		fits = fits && v.countTasks(spec, machineSet{zone, anyShard, false}, false) >= needed
	}
	return fits
}

// zoneChoices lists the zones that a gang's tasks may be bound to.
func (l *Leader) zoneChoices(job *jobState) [][]string {
	if !job.spec.SameZone {
		return [][]string{job.zones}
	}
	var choices [][]string
	for _, zone := range l.fleet.CandidateZones(job.spec) {
		choices = append(choices, []string{zone})
	}
	return choices
}

// zonesToRent returns the zones in which machines for a gang are asked for: one where some
// can be had.
func (l *Leader) zonesToRent(job *jobState) []string {
	choices := l.zoneChoices(job)
	if !job.spec.SameZone || len(choices) == 0 {
		return job.zones
	}
	for _, zones := range choices {
		if l.fleet.IsRentable(job.spec, zones[0]) {
			return zones
		}
	}
	return choices[0]
}

// findPlace looks for a shard with room for all of a gang: the next so many tasks of a queue.
func (r *dispatchRound) findPlace(job *jobState, queue *taskQueue, tasks int, scope machineScope) (place gangPlace, found bool) {
	choices := r.leader.zoneChoices(job)
	for _, shard := range r.capacity.shardsByPreference(r.leader.machines.homeShard(job.spec.Image)) {
		for _, zones := range choices {
			if r.capacity.fits(job.spec, queue.tasksByZone(zones, tasks), shard, scope) {
				return gangPlace{shard, zones}, true
			}
		}
	}
	return gangPlace{}, false
}

// findPlaceIfEmpty looks for a shard whose machines would hold a gang if they were empty:
// its owner collects the room.
func (l *Leader) findPlaceIfEmpty(job *jobState, tasks int) (place gangPlace, found bool) {
	room := l.roomIfEmpty(job.spec)
	bestRoom := 0
	for _, zones := range l.zoneChoices(job) {
		for shard := range l.settings.ShardCount() {
			fits, totalRoom := true, 0
			for zone, needed := range job.pending.tasksByZone(zones, tasks) {
				available := room[shardZone{shard, zone}]
				fits = fits && available >= needed
				totalRoom += available
			}
			if fits && totalRoom > bestRoom {
				place, found, bestRoom = gangPlace{shard, zones}, true, totalRoom
			}
		}
	}
	return place, found
}

// shardZone is the machines of a shard in a zone; "" stands for all zones.
type shardZone struct {
	shard int
	zone  string
}

// roomIfEmpty returns how many tasks of a gang the machines that are up would hold if they
// were empty.
func (l *Leader) roomIfEmpty(spec *jobs.Spec) map[shardZone]int {
	room := map[shardZone]int{}
	l.fleet.EachAvailable(func(machine *fleet.AvailableMachine) {
		if !machine.Booting && machine.CouldRun(spec, "") {
			tasks := spec.Resources().CountIn(machine.MachineType.Resources())
			room[shardZone{machine.Shard, machine.Zone}] += tasks
			room[shardZone{machine.Shard, ""}] += tasks
		}
	})
	return room
}
