package leader

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// dispatchGang dispatches a gang if there is a place for all of it. Unless it has to be divided
// (see divideGang), a gang is dispatched whole, to one shard: to one with room for all of it,
// preferably on machines that cache its image; else to one with enough machines that boot;
// else, after tuning.GangLeaderWait, to one whose owner collects the room. The zone of a gang
// that must stay in one zone is chosen at its dispatch. It is chosen again if all of the gang
// is returned, since no task of it is on a machine then.
func (r *dispatchRound) dispatchGang(job *jobState) {
	r.leader.observeGang(job)
	switch {
	case job.counts.done > 0:
		r.recordRestAsDone(job)
	case job.counts.open > 0:
		r.dispatchRestOfGang(job)
	default:
		job.gang.recalling, job.gang.partReturnedSince = false, 0
		r.dispatchWholeGang(job)
	}
}

// recordRestAsDone records the tasks of a gang that no shard has as done. A gang with one done
// task counts as done as a whole, including tasks that were returned without proof that they
// are done. None of them is launched again.
func (r *dispatchRound) recordRestAsDone(job *jobState) {
	firstBatch := len(r.batches)
	r.addTasks(job, 0, job.pending.length())
	for _, batch := range r.batches[firstBatch:] {
		batch.allDone = true
	}
}

// dispatchWholeGang dispatches a gang of which no shard has any task, whole or divided among
// shards, or adds demand for machines for it.
func (r *dispatchRound) dispatchWholeGang(job *jobState) {
	tasks := job.pending.length()
	for _, scope := range []machineScope{scopeCached, scopeUp} {
		if r.dispatchGangWithin(job, tasks, scope) {
			return
		}
	}
	age := r.leader.age(job)
	place, wouldFit := r.leader.findPlaceOnEmptyMachines(job, tasks)
	if !wouldFit && age > tuning.GangDivideAfter && r.divideGang(job, tasks) {
		return
	}
	if r.dispatchGangWithin(job, tasks, scopeBooting) {
		return
	}
	if wouldFit && age > tuning.GangLeaderWait {
		r.capacity.queuedCPUs[place.shard] += float64(tasks) * job.spec.CPUs
		r.addGangDemand(job, place.zones, tasks)
		r.dispatchGangTo(job, place)
		return
	}
	r.addGangDemand(job, r.leader.zonesToRent(job), tasks)
}

// dispatchGangWithin dispatches a gang to one shard with room for all of it on machines within
// a scope. It reports whether there is such a shard.
func (r *dispatchRound) dispatchGangWithin(job *jobState, tasks int, scope machineScope) bool {
	place, found := r.findPlace(job, &job.pending, tasks, scope)
	if found {
		r.capacity.occupyByZone(job, job.pending.tasksByZone(place.zones, tasks), place.shard)
		r.dispatchGangTo(job, place)
	}
	return found
}

// dispatchGangTo dispatches all tasks of a gang to a place.
func (r *dispatchRound) dispatchGangTo(job *jobState, place gangPlace) {
	l := r.leader
	tasks := job.pending.length()
	job.zones, job.gang.dispatchedAt = place.zones, l.runtime.Now()
	l.log.Debug("gang dispatched", "job", job.entry.ID, "class", job.spec.Class, "tasks", tasks, "shard", place.shard,
		"zones", place.zones, "age_s", l.age(job).Seconds())
	r.addTasks(job, place.shard, tasks)
}

// addGangDemand adds demand for machines for the given number of tasks at the head of the
// queue of a gang.
func (r *dispatchRound) addGangDemand(job *jobState, zones []string, tasks int) {
	for zone, count := range job.pending.tasksByZone(zones, tasks) {
		r.addDemand(job, zone, count)
	}
}

// dispatchRestOfGang handles a gang of which a shard has a part: it dispatches the rest to the
// same shard. The rest stays in the queue if that part is probably being returned too, or if
// the gang is divided among shards.
func (r *dispatchRound) dispatchRestOfGang(job *jobState) {
	now := r.leader.runtime.Now()
	since := &job.gang.partReturnedSince
	if job.isPartlyReturned() && (*since == 0 || now-*since < tuning.GangReturnTimeout) {
		if *since == 0 {
			*since = now
		}
		return
	}
	for _, record := range r.leader.records.JobRecords(job.entry.ID) {
		for _, status := range record.Statuses {
			if record.GangAttempt == 0 && (status.State == taskstate.StateWaiting || status.State == taskstate.StatePlaced) {
				r.addTasks(job, record.Shard, job.pending.length())
				return
			}
		}
	}
	// The gang is divided: all of its parts have to be returned first.
}

// divideGang dispatches a gang that no single shard could hold to several shards at once, under
// an attempt number chosen here. Each shard owner places its part as a whole and only once. If
// the attempt fails, all parts are returned, and the next attempt has a higher number.
// divideGang reports whether there are several shards that together have room for the gang.
func (r *dispatchRound) divideGang(job *jobState, tasks int) bool {
	if len(r.capacity.totalCPUs) == 1 {
		return false
	}
	for _, zones := range r.leader.zoneChoices(job) {
		if r.capacity.fitsTogether(job.spec, job.pending.tasksByZone(zones, tasks)) {
			r.dispatchParts(job, zones)
			return true
		}
	}
	if job.starved {
		// Room becomes free in small pieces. They are kept for the gang, since other jobs
		// would otherwise use each of them before there is enough.
		for zone, count := range job.pending.tasksByZone(job.zones, tasks) {
			r.capacity.occupy(job, machineSet{zone, anyShard, false}, count)
		}
	}
	return false
}

// dispatchParts dispatches a gang in parts, to the shards that have room for some of its tasks.
func (r *dispatchRound) dispatchParts(job *jobState, zones []string) {
	lastAttempt := uint64(0)
	for _, attempt := range job.pending.attempts {
		lastAttempt = max(lastAttempt, attempt/tuning.GangAttemptStride)
	}
	job.zones = zones
	firstBatch := len(r.batches)
	partSizes := map[int]int{} // by shard
	for job.pending.length() > 0 {
		set := machineSet{zone: taskstate.ZoneOf(zones, job.pending.at(0)), shard: anyShard}
		allocated := r.capacity.allocate(job, set, 1, func(shard, _ int) {
			r.addTask(job, shard)
			partSizes[shard]++
		})
		if allocated == 0 {
			break // unreachable: the caller has checked that there is room for all tasks
		}
	}
	for _, batch := range r.batches[firstBatch:] {
		batch.gangAttempt, batch.partSize = lastAttempt+1, partSizes[batch.shard]
	}
	r.leader.log.Info("gang divided among shards", "job", job.entry.ID, "attempt", lastAttempt+1, "shards", len(partSizes))
}

// age returns how long ago a job was submitted.
func (l *Leader) age(job *jobState) time.Duration {
	return time.Duration(l.runtime.WallClock().UnixMilli()-job.entry.SubmittedMS) * time.Millisecond
}
