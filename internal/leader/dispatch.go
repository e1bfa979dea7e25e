package leader

import (
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// dispatchRound evaluates all jobs and machines once: it plans which tasks go to which
// shards, and collects the demand for which there is no room.
type dispatchRound struct {
	leader   *Leader
	nowMS    int64         // time of day, in milliseconds since the epoch
	capacity *capacityView // what is left of the machines
	demands  []fleet.Demand
	batches  []*taskBatch
}

// dispatch dispatches as many tasks as the quotas and the queues allow, tells the fleet for
// which there is no room, and reports whether a commit was sent.
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

// addDemand notes tasks that could run now if there were room.
func (r *dispatchRound) addDemand(job *jobState, zone string, tasks int) {
	if tasks > 0 {
		r.demands = append(r.demands, fleet.Demand{
			Spec: job.spec, Zone: zone, Tasks: tasks, Rank: job.position,
			WaitedSeconds:         float64(r.nowMS-job.entry.SubmittedMS) / 1000,
			ObjectiveSlackSeconds: r.objectiveSlack(job),
		})
	}
}

// addHeldByQuota notes tasks that their team's quota holds back.
func (r *dispatchRound) addHeldByQuota(job *jobState, tasks int) {
	if tasks > 0 {
		r.demands = append(r.demands, fleet.Demand{Spec: job.spec, HeldByQuota: tasks})
	}
}

// objectiveSlack returns how many seconds a job's tasks can still wait for a machine, for
// each of the users' objectives that is not missed yet.
func (r *dispatchRound) objectiveSlack(job *jobState) []float64 {
	age := float64(r.nowMS-job.entry.SubmittedMS) / 1000
	var slacks []float64
	spec := job.spec
	r.leader.settings.EachObjectiveDeadline(spec.Class, spec.EstimateSeconds, spec.DeadlineSeconds, func(latest float64) {
		if remaining := latest - age; remaining > 0 {
			slacks = append(slacks, remaining)
		}
	})
	return slacks
}

// planQueuedTasks gives the tasks that already wait in the shards' queues the room there is.
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

func (r *dispatchRound) planQueue(job *jobState, queue shardQueue) {
	set := machineSet{zone: queue.zone, shard: queue.shard}
	waiting := queue.tasks - r.capacity.occupy(job, set, queue.tasks)
	if waiting == 0 {
		return
	}
	// Machines of another shard that are up are better than this one's that boot.
	waiting -= r.recallFrom(queue, job, waiting)
	set.booting = true
	waiting -= r.capacity.occupy(job, set, waiting)
	r.capacity.queuedCPUs[queue.shard] += float64(waiting) * job.spec.CPUs
	r.addDemand(job, queue.zone, waiting)
}

// dispatchJobs dispatches what the quotas and the room allow, job by job.
func (r *dispatchRound) dispatchJobs() {
	exhausted := map[string]bool{} // by team: nothing more goes past what the quota holds back
	reserveForUrgent(r.leader.teams, r.leader.jobs.ordered, r.leader.runtime.Now())
	for _, job := range r.leader.jobs.ordered {
		if job.cancelled || job.ending || job.pending.length() == 0 || job.team == nil {
			continue
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

// dispatchJob dispatches what the quota and the room allow of one job, and reports whether
// jobs that come after it must not go past what the quota holds back.
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

// bindZones fixes the zones of a job that must stay in one or must be spread; false if they
// are not known yet.
func (l *Leader) bindZones(job *jobState) bool {
	spec := job.spec
	if job.zones != nil || (!spec.Spread && (!spec.SameZone || spec.IsGang())) {
		return true
	}
	// A leader that does not know the machine types yet must not fix "any zone" for a job
	// that may not have it.
	job.zones = l.fleet.ChooseZones(spec)
	if len(job.zones) == 0 || (spec.Spread && len(job.zones) < 2 && spec.Tasks > 1) {
		job.zones = nil
		return false
	}
	return true
}

// dispatchTasks finds shards for up to limit tasks of a job: where there is room, at home
// first, then where machines boot, then in the queues while those are short.
func (r *dispatchRound) dispatchTasks(job *jobState, limit int) {
	zone := taskstate.ZoneOf(job.zones, 0)
	home := r.leader.machines.homeShard(job.spec.Image)
	assign := func(shard, tasks int) {
		r.addTasks(job, shard, tasks)
		limit -= tasks
	}
	for _, booting := range []bool{false, true} {
		// Shard by shard, so that a job makes few records: writes are scarce.
		for _, shard := range r.capacity.shardsByPreference(home) {
			if limit > 0 {
				r.capacity.allocate(job, machineSet{zone, shard, booting}, limit, assign)
			}
		}
	}
	r.addDemand(job, zone, limit)
	for limit > 0 {
		shard := r.capacity.shardToQueueIn(job.spec, zone, home)
		if shard < 0 {
			return
		}
		tasks := min(limit, r.capacity.queueableTasks(job.spec, shard))
		r.capacity.queuedCPUs[shard] += float64(tasks) * job.spec.CPUs
		assign(shard, tasks)
	}
}

// dispatchSpreadTasks is dispatchTasks for a job whose tasks are bound to several zones in
// turn: task by task.
func (r *dispatchRound) dispatchSpreadTasks(job *jobState, limit int) {
	home := r.leader.machines.homeShard(job.spec.Image)
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
		shard := r.capacity.shardToQueueIn(job.spec, zone, home)
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

// largestMovableJob returns the job of which most runs that could as well run on spot
// machines, nil if there is none.
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

// addReserveDemand asks for machines for a gang that may come.
func (r *dispatchRound) addReserveDemand(spec *jobs.Spec, zone string, tasks int) {
	r.demands = append(r.demands, fleet.Demand{
		Spec: spec, Zone: zone, Tasks: tasks, ObjectiveSlackSeconds: []float64{tuning.MaxQueueTime.Seconds()},
	})
}
