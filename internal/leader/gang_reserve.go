package leader

import (
	"lemonmoor/internal/gangforecast"
	"lemonmoor/internal/tuning"
)

// observeGang notes that a gang has come: more may.
func (l *Leader) observeGang(job *jobState) {
	if l.settings.StartsPromptly(job.spec.Class) && job.counts.done == 0 {
		l.gangs.Observe(job.spec, job.spec.Tasks, l.runtime.Now())
	}
}

// reserveForGangs reserves room for gangs to come, and asks for machines where there is
// none. Work that may wait has the rest.
func (r *dispatchRound) reserveForGangs() {
	remainingCPUs := 0.0 // processors that may yet be reserved
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

// zoneToReserveIn returns the first zone where machines for a gang can be had now, else the
// first of all.
func (r *dispatchRound) zoneToReserveIn(class *gangforecast.Class, zones []string) string {
	for _, zone := range zones {
		if r.leader.fleet.IsRentable(class.Spec, zone) {
			return zone
		}
	}
	return zones[0]
}

// reserveForGang reserves room for one gang of a class, on machines that cache its image if
// there is enough on those, else on others, at worst on those that boot.
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

// findForGang finds machines of a shard with unreserved room for a gang of a class, and
// reports whether there is enough.
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

// reserveOn reserves the room for a gang of a class on machines that have it.
func reserveOn(machines []*machineCapacity, class *gangforecast.Class) {
	task := class.Spec.Resources()
	remainingTasks := class.Tasks
	for _, machine := range machines {
		count := min(remainingTasks, machine.unreservedTaskCount(class.Spec))
		machine.reserved = machine.reserved.Plus(task.Times(float64(count)))
		remainingTasks -= count
	}
}
