package leader

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// planQueuedGang looks after the parts of a gang that wait in shards.
func (r *dispatchRound) planQueuedGang(job *jobState) {
	for shard, tasks := range job.counts.waitingByShard {
		if tasks > 0 {
			r.planQueuedPart(job, shard, tasks)
		}
	}
}

// planQueuedPart looks after so many tasks of a gang that wait in a shard: they take the
// room there is, are recalled if another place has room for the whole gang, or are demand.
func (r *dispatchRound) planQueuedPart(job *jobState, shard, tasks int) {
	if len(job.pending.returned) > 0 {
		// Some of the gang came back: the rest is recalled too.
		r.recallGang(job, shard, tasks)
		return
	}
	tasksByZone := r.queuedTasksOfGang(job, tasks)
	if r.capacity.fits(job.spec, tasksByZone, shard, scopeUp) {
		r.capacity.occupyByZone(job, tasksByZone, shard)
		return
	}
	if tasks == job.spec.Tasks && r.shouldRecallGang(job, shard) {
		r.recallGang(job, shard, tasks)
		return
	}
	if r.capacity.fits(job.spec, tasksByZone, shard, scopeBooting) {
		r.capacity.occupyByZone(job, tasksByZone, shard)
		return
	}
	for zone, count := range tasksByZone {
		r.addDemand(job, zone, count)
	}
}

// queuedTasksOfGang counts by zone the tasks of a gang that wait.
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

// shouldRecallGang reports whether a gang that waits as a whole in a shard should be
// recalled from it.
func (r *dispatchRound) shouldRecallGang(job *jobState, shard int) bool {
	waited := r.leader.runtime.Now() - job.gang.dispatchedAt
	if waited <= tuning.GangLeaderWait { // not to and fro
		return false
	}
	place, found := r.findPlace(job, &taskQueue{}, job.spec.Tasks, scopeUp)
	if found && (place.shard != shard || job.spec.SameZone) {
		return true
	}
	if waited <= tuning.GangDivideAfter {
		return false
	}
	// The machines that the gang was to have here may not have come.
	_, wouldFit := r.leader.findPlaceIfEmpty(job, job.spec.Tasks)
	return !wouldFit
}

// recallGang asks a shard for all tasks of a gang, or of its part of one.
func (r *dispatchRound) recallGang(job *jobState, shard, tasks int) {
	r.leader.recalls.ofShard(shard)[job.entry.ID] = tasks
}
