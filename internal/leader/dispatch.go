package leader

import (
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// dispatchRound evaluates all jobs and machines once. It plans which tasks are dispatched to
// which shards, and collects the demand for machines from tasks that have no room.
type dispatchRound struct {
	leader   *Leader
	nowMS    int64         // time of day, in milliseconds since the epoch
	capacity *capacityView // free capacity that is not planned yet
	demands  []fleet.Demand
	batches  []*taskBatch
}

// dispatch runs one dispatch round: it dispatches as many tasks as the quotas, the machines
// and the queues allow and passes the demand for machines to the fleet. It reports whether a
// commit was sent.
func (l *Leader) dispatch() bool {
	round := &dispatchRound{leader: l, nowMS: l.runtime.WallClock().UnixMilli()}
	l.jobs.sort(round.nowMS, l.settings)
	round.capacity = newCapacityView(l.settings.ShardCount(), l.fleet, l.machines, l.runtime.Now())
	l.pacing.setMachineCount(round.capacity.machineCount)
	clear(l.recalls)
	round.reserveForGangs()
	round.planQueuedTasks()
	round.dispatchJobs()
	l.machines.pruneCaches(l.runtime.Now())
	l.fleet.SetDemand(round.demands, l.largestMovableJob())
	if len(round.batches) == 0 {
		return false
	}
	l.commitBatches(round.batches)
	return true
}

// planQueuedTasks plans the tasks that already wait in the queues of shards, job by job.
func (r *dispatchRound) planQueuedTasks() {
	for _, job := range r.leader.jobs.ordered {
		switch {
		case job.cancelled:
		case job.spec.IsGang():
			r.planQueuedGang(job)
		default:
			for _, queue := range r.leader.queuedTasks(job) {
				r.planQueue(job, queue)
			}
		}
	}
}

// planQueue plans the tasks of a job in one shard queue, unless the shard's owner has paused the job.
// It allocates room on machines of the shard that are up to them, recalls tasks that fit on machines
// of other shards that are up, allocates room on booting machines of the shard, and adds demand for
// the rest.
func (r *dispatchRound) planQueue(job *jobState, queue shardQueue) {
	if r.capacity.isPaused(job.spec, queue.shard) {
		r.capacity.queuedCPUs[queue.shard] += float64(queue.tasks) * job.spec.CPUs
		r.addDemand(job, queue.zone, queue.tasks)
		return
	}
	set := machineSet{zone: queue.zone, shard: queue.shard}
	waiting := queue.tasks - r.capacity.occupy(job, set, queue.tasks)
	r.addQueued(job, queue.zone, queue.tasks-waiting)
	if waiting == 0 {
		return
	}
	// Machines of other shards that are up are preferred to machines of this one that boot.
	waiting -= r.recallFrom(queue, job, waiting)
	set.booting = true
	waiting -= r.capacity.occupy(job, set, waiting)
	r.capacity.queuedCPUs[queue.shard] += float64(waiting) * job.spec.CPUs
	r.addDemand(job, queue.zone, waiting)
}

// dispatchJobs dispatches as many tasks as quotas and capacity allow, job by job in dispatch
// order.
func (r *dispatchRound) dispatchJobs() {
	// exhausted contains the teams whose further jobs must not overtake one that waits for the
	// quota.
	exhausted := map[string]bool{}
	reserveForUrgent(r.leader.teams, r.leader.jobs.ordered, r.leader.runtime.Now())
	for _, job := range r.leader.jobs.ordered {
		if job.cancelled || job.ending || job.pending.length() == 0 || job.team == nil {
			continue
		}
		if r.leader.records.HasUnreadableRecord(job.entry.ID) {
			continue // a task of the queue may be in that record and on a machine
		}
		if exhausted[job.spec.Team] {
			r.addHeldByQuota(job, job.pending.length())
			continue
		}
		if !r.leader.bindZones(job) {
			continue
		}
		exhausted[job.spec.Team] = r.dispatchJob(job)
	}
}

// dispatchJob dispatches as many tasks of one job as quota and capacity allow. It reports
// whether later jobs of the team must not overtake the tasks that wait for the quota.
func (r *dispatchRound) dispatchJob(job *jobState) (exhausted bool) {
	pending := job.pending.length()
	allowed := job.team.tasksWithinQuota(job)
	r.addHeldByQuota(job, pending-allowed)
	switch {
	case allowed <= 0 || job.spec.IsGang() && allowed < pending:
		// A gang is dispatched whole or not at all.
	case job.spec.IsGang():
		r.dispatchGang(job)
	case len(job.zones) > 1:
		r.dispatchSpreadTasks(job, allowed)
	default:
		r.dispatchTasks(job, allowed)
	}
	urgent := job.spec.Priority() >= jobs.PriorityUrgent
	return allowed < pending && (urgent || job.spec.IsGang()) || allowed == 0 && job.starved
}

// bindZones chooses the zones of a job whose tasks must run in the same zone or must be
// spread. It returns false if the zones that the job may use are not known yet. The zone of a
// gang is chosen when it is dispatched.
func (l *Leader) bindZones(job *jobState) bool {
	spec := job.spec
	if job.zones != nil || (!spec.Spread && (!spec.SameZone || spec.IsGang())) {
		return true
	}
	// While the machine types are unknown, ChooseZones finds no zones. That must not bind the
	// job to "any zone", which it may not be allowed to use.
	job.zones = l.fleet.ChooseZones(spec)
	if len(job.zones) == 0 || (spec.Spread && len(job.zones) < 2 && spec.Tasks > 1) {
		job.zones = nil
		return false
	}
	return true
}

// dispatchTasks dispatches up to limit tasks of a job: to shards with room on machines that
// are up, the home shard first, then to shards with room on machines that boot, then to
// queues of shards until they are full. It adds demand for the tasks for which no machine has
// room.
func (r *dispatchRound) dispatchTasks(job *jobState, limit int) {
	zone := taskstate.ZoneOf(job.zones, 0)
	homeShard := r.leader.machines.homeShard(job.spec.Image)
	assign := func(shard, tasks int) {
		r.addTasks(job, shard, tasks)
		limit -= tasks
	}
	for _, booting := range []bool{false, true} {
		// Filling one shard after the other needs few task records, and writes to the state
		// service are scarce.
		for _, shard := range r.capacity.shardsByPreference(homeShard) {
			if limit > 0 {
				r.capacity.allocate(job, machineSet{zone, shard, booting}, limit, assign)
			}
		}
	}
	r.addDemand(job, zone, limit)
	for limit > 0 {
		shard := r.capacity.shardToQueueIn(job.spec, zone, homeShard)
		if shard < 0 {
			return
		}
		tasks := min(limit, r.capacity.queueableTasks(job.spec, shard))
		r.capacity.queuedCPUs[shard] += float64(tasks) * job.spec.CPUs
		assign(shard, tasks)
	}
}

// dispatchSpreadTasks is dispatchTasks for a job whose tasks are bound to several zones in
// turn. It finds a shard for each task separately.
func (r *dispatchRound) dispatchSpreadTasks(job *jobState, limit int) {
	homeShard := r.leader.machines.homeShard(job.spec.Image)
	assign := func(shard, tasks int) {
		r.addTasks(job, shard, tasks)
		limit -= tasks
	}
	for limit > 0 {
		zone := taskstate.ZoneOf(job.zones, job.pending.at(0))
		if r.capacity.allocate(job, machineSet{zone, anyShard, false}, 1, assign) > 0 ||
			r.capacity.allocate(job, machineSet{zone, anyShard, true}, 1, assign) > 0 {
			continue
		}
		shard := r.capacity.shardToQueueIn(job.spec, zone, homeShard)
		if shard < 0 {
			break
		}
		r.capacity.queuedCPUs[shard] += job.spec.CPUs
		assign(shard, 1)
	}
	unplaced := job.pending.tasksByZone(job.zones, limit)
	for _, zone := range job.zones {
		r.addDemand(job, zone, unplaced[zone])
	}
}

// largestMovableJob returns, of the jobs that could run on any spot machine, the one whose
// placed tasks use the most processors; nil if there is none.
func (l *Leader) largestMovableJob() *jobs.Spec {
	var largest *jobs.Spec
	largestCPUs := 0.0
	for _, job := range l.jobs.ordered {
		if job.cancelled || !isMovable(job.spec) || job.counts.placed <= 0 {
			continue
		}
		if cpus := float64(job.counts.placed) * job.spec.CPUs; largest == nil || cpus > largestCPUs {
			largest, largestCPUs = job.spec, cpus
		}
	}
	return largest
}
