package leader

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// planQueuedGang plans the parts of a gang that wait in shards.
func (r *dispatchRound) planQueuedGang(job *jobState) {
	for shard, tasks := range job.counts.waitingByShard {
		if tasks > 0 {
			r.planQueuedPart(job, shard, tasks)
		}
	}
}

// planQueuedPart plans the tasks of a gang that wait in one shard. It recalls them if a part of
// the gang has been returned or if shouldRecallGang says so. Otherwise it allocates room to
// them if there is enough for all, or adds demand for machines. A gang that the shard's owner has
// paused after failures stays where it is.
func (r *dispatchRound) planQueuedPart(job *jobState, shard, tasks int) {
	if job.isPartlyReturned() {
		// A part of the gang has been returned: the rest is recalled too.
		r.recallGang(job, shard, tasks)
		return
	}
	tasksByZone := r.queuedTasksOfGang(job, tasks)
	if r.capacity.isPaused(job.spec, shard) {
		r.reportQueued(job, tasksByZone)
		return
	}
	if r.capacity.fits(job.spec, tasksByZone, shard, scopeUp) {
		r.occupyForGang(job, tasksByZone, shard)
		return
	}
	if tasks == job.spec.Tasks && r.shouldRecallGang(job, shard) {
		r.recallGang(job, shard, tasks)
		return
	}
	if r.capacity.fits(job.spec, tasksByZone, shard, scopeBooting) {
		r.occupyForGang(job, tasksByZone, shard)
		return
	}
	for zone, count := range tasksByZone {
		r.addDemand(job, zone, count)
	}
}

// occupyForGang allocates room in a shard for the tasks of a gang that wait there, and reports them to
// the fleet.
func (r *dispatchRound) occupyForGang(job *jobState, tasksByZone map[string]int, shard int) {
	r.capacity.occupyByZone(job, tasksByZone, shard)
	r.reportQueued(job, tasksByZone)
}

// reportQueued reports tasks of a gang, by zone, that wait in a shard and need no further machines.
func (r *dispatchRound) reportQueued(job *jobState, tasksByZone map[string]int) {
	for zone, count := range tasksByZone {
		r.addQueued(job, zone, count)
	}
}

// queuedTasksOfGang counts the waiting tasks of a gang by zone. tasks is their total number.
func (r *dispatchRound) queuedTasksOfGang(job *jobState, tasks int) map[string]int {
	if len(job.zones) <= 1 {
		return map[string]int{taskstate.ZoneOf(job.zones, 0): tasks}
	}
	tasksByZone := map[string]int{}
	for _, queue := range r.leader.queuedTasks(job) {
		tasksByZone[queue.zone] = queue.tasks
	}
	return tasksByZone
}

// shouldRecallGang reports whether a gang that waits as a whole in a shard should be recalled
// from it, because there is room for it elsewhere, or because no shard could hold it any more,
// even with empty machines.
func (r *dispatchRound) shouldRecallGang(job *jobState, shard int) bool {
	waited := r.leader.runtime.Now() - job.gang.dispatchedAt
	if waited <= tuning.GangLeaderWait { // else a gang could move back and forth between shards
		return false
	}
	place, found := r.findPlace(job, &taskQueue{}, job.spec.Tasks, scopeUp)
	if found && (place.shard != shard || job.spec.SameZone) {
		return true
	}
	if waited <= tuning.GangDivideAfter {
		return false
	}
	// The machines that were to boot for the gang in this shard may have failed to.
	_, wouldFit := r.leader.findPlaceOnEmptyMachines(job, job.spec.Tasks)
	return !wouldFit
}

// recallGang requests that a shard returns the tasks of a gang, or of a part of one, that wait
// in it.
func (r *dispatchRound) recallGang(job *jobState, shard, tasks int) {
	r.leader.recalls.ofShard(shard)[job.entry.ID] = tasks
}
