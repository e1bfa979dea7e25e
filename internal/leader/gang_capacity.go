package leader

import (
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
)

// machineScope selects the machines that are considered for a gang.
type machineScope int

const (
	scopeCached  machineScope = iota // machines that are up and cache the gang's image
	scopeUp                          // machines that are up
	scopeBooting                     // machines that are up or booting
)

// gangPlace is a shard to which a gang can be dispatched, and the zones to which its tasks are
// then bound.
type gangPlace struct {
	shard int
	zones []string
}

// fits reports whether a shard has room for the given number of tasks in each zone.
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

// occupyByZone allocates room in a shard for the given number of tasks in each zone, on
// machines that are up first.
func (v *capacityView) occupyByZone(job *jobState, tasksByZone map[string]int, shard int) {
	for zone, tasks := range tasksByZone {
		tasks -= v.occupy(job, machineSet{zone, shard, false}, tasks)
		v.occupy(job, machineSet{zone, shard, true}, tasks)
	}
}

// fitsTogether reports whether all shards together have room for the given number of tasks in
// each zone, on machines that are up.
func (v *capacityView) fitsTogether(spec *jobs.Spec, tasksByZone map[string]int) bool {
	fits := true
	for zone, needed := range tasksByZone {
		fits = fits && v.countTasks(spec, machineSet{zone, anyShard, false}, false) >= needed
	}
	return fits
}

// zoneChoices returns the alternative lists of zones to which the tasks of a gang may be
// bound.
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

// zonesToRent returns the zones for which demand for machines for a gang is added. For a gang
// that must stay in one zone it is the first in which machines can be rented now, else the
// first candidate.
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

// findPlace returns a place with room for a whole gang and reports whether there is one. The
// gang consists of the given number of tasks at the head of a queue.
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

// findPlaceOnEmptyMachines returns, of the places that could hold a gang if the machines that
// are up were empty, the one with the most room, and reports whether there is any. The owner of
// the shard then collects the room as it becomes free.
func (l *Leader) findPlaceOnEmptyMachines(job *jobState, tasks int) (place gangPlace, found bool) {
	room := l.emptyMachineRoom(job.spec)
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

// shardZone identifies the machines of a shard in a zone, "" for all zones.
type shardZone struct {
	shard int
	zone  string
}

// emptyMachineRoom returns how many tasks of a gang the machines that are up would hold if they
// were empty, by shard and zone.
func (l *Leader) emptyMachineRoom(spec *jobs.Spec) map[shardZone]int {
	room := map[shardZone]int{}
	now := l.runtime.Now()
	l.fleet.EachAvailable(func(machine *fleet.AvailableMachine) {
		if !machine.Booting && machine.CouldRun(spec, "") && !l.fleet.Backoff(spec.ID, machine.Shard).Avoids(machine.ID, now) {
			tasks := spec.Resources().CountIn(machine.MachineType.Resources())
			room[shardZone{machine.Shard, machine.Zone}] += tasks
			room[shardZone{machine.Shard, ""}] += tasks
		}
	})
	return room
}
