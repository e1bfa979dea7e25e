package leader

import (
	"lemonmoor/internal/gangforecast"
	"lemonmoor/internal/tuning"
)

// observeGang adds a gang to the forecast if the gangs of its class are expected to start
// promptly: more gangs of the class may follow.
func (l *Leader) observeGang(job *jobState) {
	if l.settings.StartsPromptly(job.spec.Class) && job.counts.done == 0 {
		l.gangs.Observe(job.spec, job.spec.Tasks, l.runtime.Now())
	}
}

// reserveForGangs reserves room for the gangs that the forecast expects, and adds demand for
// machines where there is not enough. Other jobs, which may wait, use the remaining room.
func (r *dispatchRound) reserveForGangs() {
	remainingCPUs := 0.0 // limit of the processors that may still be reserved
	for _, cpus := range r.capacity.totalCPUs {
		remainingCPUs += tuning.MaxGangReserveShare * cpus
	}
	for _, class := range r.leader.gangs.Recent(r.leader.runtime.Now()) {
		zones := []string{""}
		if class.Spec.SameZone {
			zones = r.leader.fleet.CandidateZones(class.Spec)
		}
		for range tuning.GangReserveCount {
			if remainingCPUs -= float64(class.Tasks) * class.Spec.CPUs; remainingCPUs < 0 {
				return
			}
			if len(zones) > 0 && !r.reserveForGang(class, zones) {
				r.addReserveDemand(class.Spec, r.zoneToReserveIn(class, zones), class.Tasks)
			}
		}
	}
}

// zoneToReserveIn returns the first of the zones in which machines for a gang can be rented
// now, or the first zone if there is none.
func (r *dispatchRound) zoneToReserveIn(class *gangforecast.Class, zones []string) string {
	for _, zone := range zones {
		if r.leader.fleet.IsRentable(class.Spec, zone) {
			return zone
		}
	}
	return zones[0]
}

// reserveForGang reserves room for one gang of a class and reports whether there was enough in
// one shard. It prefers machines that cache the image, then other machines that are up, then
// machines that boot.
func (r *dispatchRound) reserveForGang(class *gangforecast.Class, zones []string) bool {
	home := r.leader.machines.homeShard(class.Spec.Image)
	for _, scope := range []machineScope{scopeCached, scopeUp, scopeBooting} {
		for _, shard := range r.capacity.shardsByPreference(home) {
			for _, zone := range zones {
				if machines, found := r.capacity.findForGang(class, shard, zone, scope); found {
					reserveOn(machines, class)
					return true
				}
			}
		}
	}
	return false
}

// findForGang returns machines of a shard and zone with unreserved room for a gang of a class,
// and reports whether they have room for all of it.
func (v *capacityView) findForGang(class *gangforecast.Class, shard int, zone string, scope machineScope) (machines []*machineCapacity, found bool) {
	tasks := 0
	for _, group := range v.groups {
		if group.shard != shard || (group.booting && scope != scopeBooting) || !group.kind.CouldRun(class.Spec, zone) {
			continue
		}
		for i := range group.machines {
			machine := &group.machines[i]
			if scope == scopeCached && !machine.caches(class.Spec.Image) {
				continue
			}
			if count := machine.unreservedTaskCount(class.Spec); count > 0 && tasks < class.Tasks {
				tasks += count
				machines = append(machines, machine)
			}
		}
	}
	return machines, tasks >= class.Tasks
}

// reserveOn reserves room for a gang of a class on machines that together have enough.
func reserveOn(machines []*machineCapacity, class *gangforecast.Class) {
	task := class.Spec.Resources()
	remainingTasks := class.Tasks
	for _, machine := range machines {
		count := min(remainingTasks, machine.unreservedTaskCount(class.Spec))
		machine.reserved = machine.reserved.Plus(task.Times(float64(count)))
		remainingTasks -= count
	}
}
