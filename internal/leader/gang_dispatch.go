package leader

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// dispatchGang dispatches a gang if there is a place for all of it. A gang is dispatched
// whole, to one shard: where there is room for all of it, first on machines that cache its
// image, else where machines boot for it, else, after a while, to a shard whose owner
// collects the room. The zone of one that must stay in one is fixed with that, and anew if
// the gang comes back, when nothing of it is on a machine.
func (r *dispatchRound) dispatchGang(job *jobState) {
	r.leader.observeGang(job)
	switch {
	case job.counts.done > 0:
		r.recordRestAsDone(job)
	case job.counts.open > 0:
		r.dispatchRestOfGang(job)
	default:
		job.gang.partReturnedSince = 0
		r.dispatchWholeGang(job)
	}
}

// recordRestAsDone records the rest of a gang as done. One task of it is done, so all are,
// also those that were returned unproven: nothing of it is launched any more.
func (r *dispatchRound) recordRestAsDone(job *jobState) {
	firstBatch := len(r.batches)
	r.addTasks(job, 0, job.pending.length())
	for _, batch := range r.batches[firstBatch:] {
		batch.allDone = true
	}
}

func (r *dispatchRound) dispatchWholeGang(job *jobState) {
	tasks := job.pending.length()
	for _, scope := range []machineScope{scopeCached, scopeUp} {
		if r.dispatchGangWithin(job, tasks, scope) {
			return
		}
	}
	age := r.leader.age(job)
	place, wouldFit := r.leader.findPlaceIfEmpty(job, tasks)
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

// dispatchGangWithin dispatches a gang if a shard has room for all of it.
func (r *dispatchRound) dispatchGangWithin(job *jobState, tasks int, scope machineScope) bool {
	place, found := r.findPlace(job, &job.pending, tasks, scope)
	if found {
		r.capacity.occupyByZone(job, job.pending.tasksByZone(place.zones, tasks), place.shard)
		r.dispatchGangTo(job, place)
	}
	return found
}

func (r *dispatchRound) dispatchGangTo(job *jobState, place gangPlace) {
	l := r.leader
	tasks := job.pending.length()
	job.zones, job.gang.dispatchedAt = place.zones, l.runtime.Now()
	l.log.Debug("gang dispatched", "job", job.entry.ID, "class", job.spec.Class, "tasks", tasks, "shard", place.shard,
		"zones", place.zones, "age_s", l.age(job).Seconds())
	r.addTasks(job, place.shard, tasks)
}

// addGangDemand asks for machines for the next so many tasks of a gang.
func (r *dispatchRound) addGangDemand(job *jobState, zones []string, tasks int) {
	for zone, count := range job.pending.tasksByZone(zones, tasks) {
		r.addDemand(job, zone, count)
	}
}

// dispatchRestOfGang sends the rest of a gang of which a part is with a shard after it. If
// that part is coming back instead, or is one of a divided gang, the rest stays.
func (r *dispatchRound) dispatchRestOfGang(job *jobState) {
	now := r.leader.runtime.Now()
	since := &job.gang.partReturnedSince
	if len(job.pending.returned) > 0 && (*since == 0 || now-*since < tuning.GangReturnTimeout) {
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
	// Parts of a divided gang: all of them have to come back.
}

// divideGang dispatches a gang that no single shard would hold to several at once, under an
// attempt chosen here. Each shard owner places its part whole, once; when it comes to
// nothing all parts come back, and the next attempt has a higher number. It reports whether
// the shards together have the room.
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
		// Room comes free bit by bit: what there is is kept for it.
		for zone, count := range job.pending.tasksByZone(job.zones, tasks) {
			r.capacity.occupy(job, machineSet{zone, anyShard, false}, count)
		}
	}
	return false
}

// dispatchParts dispatches a gang to all shards that have room for some of it.
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
			break // cannot be: there was room for all
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
