package leader

import (
	"math"
	"sort"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// homeShard is the block where most machines cache a job's image.
func (l *Leader) homeShard(p *jobState) int {
	best := -1
	for block, n := range l.placementsByImage[p.spec.Image] {
		if n > 0 && (best < 0 || n > l.placementsByImage[p.spec.Image][best]) {
			best = block
		}
	}
	return best
}

// dispatch hands out as many tasks as the limits and the queues allow, and
// tells the fleet for which there is no room.
func (l *Leader) dispatch() bool {
	now := l.runtime.WallClock().UnixMilli()
	l.sortJobs(now)
	board := l.viewCapacity()
	l.roundInterval = tuning.MinRoundInterval + time.Duration(board.machineCount)*tuning.RoundIntervalPerMachine
	clear(l.recalls)
	unmet := &unmetDemand{leader: l, nowMS: now}
	l.reserveForGangs(board, func(d *jobs.Spec, zone string, n int) {
		unmet.demands = append(unmet.demands, fleet.Demand{Spec: d, Zone: zone, Tasks: n, ObjectiveSlackSeconds: []float64{tuning.MaxQueueTime.Seconds()}})
	})
	l.serveQueued(board, unmet)
	batches := l.dispatchJobs(board, unmet)
	l.pruneCaches()
	l.fleet.SetDemand(unmet.demands, l.mostMovable())
	if len(batches) == 0 {
		return false
	}
	l.commitBatches(batches)
	return true
}

// unmetDemand collects the tasks for which there is no room.
type unmetDemand struct {
	leader *Leader
	nowMS    int64 // time of day, in ms
	demands   []fleet.Demand
}

// addTasks notes tasks that could run now if there were room.
func (u *unmetDemand) addTasks(p *jobState, zone string, n int) {
	if n > 0 {
		u.demands = append(u.demands, fleet.Demand{
			Spec: p.spec, Zone: zone, Tasks: n, Rank: p.position,
			WaitedSeconds: float64(u.nowMS-p.entry.SubmittedMS) / 1000, ObjectiveSlackSeconds: u.leader.objectiveSlack(p, u.nowMS),
		})
	}
}

// addHeldByQuota notes tasks that their team's limit holds back.
func (u *unmetDemand) addHeldByQuota(p *jobState, n int) {
	if n > 0 {
		u.demands = append(u.demands, fleet.Demand{Spec: p.spec, HeldByQuota: n})
	}
}

// sortJobs brings the jobs into the order in which they are served.
func (l *Leader) sortJobs(now int64) {
	for _, p := range l.ordered {
		// A job that nothing has been done for is not passed over for ever.
		if late := !p.starved && !p.cancelled && p.placed+p.done == 0 &&
			now-p.entry.SubmittedMS > tuning.StarvedAfter.Milliseconds(); late {
			p.starved, l.needsSort = true, true
		} else if p.starved && p.placed+p.done > 0 {
			p.starved, l.needsSort = false, true
		}
		if p.undispatched() > 0 && !p.cancelled {
			if p.rank.Update(p.spec, l.settings, now, p.spec.Tasks-p.done) {
				l.needsSort = true
			}
		}
	}
	if l.needsSort {
		sort.Slice(l.ordered, func(i, k int) bool { return jobBefore(l.ordered[i], l.ordered[k]) })
		l.needsSort = false
	}
	for i, p := range l.ordered {
		p.position = i
	}
}

// serveQueued gives the tasks already in the blocks' queues the room there is.
func (l *Leader) serveQueued(board *capacityView, unmet *unmetDemand) {
	for _, p := range l.ordered {
		if p.cancelled {
			continue
		}
		if p.spec.IsGang() {
			l.serveQueuedGang(board, p, unmet.addTasks)
			continue
		}
		for _, q := range l.queuedTasks(p) {
			n := q.tasks - board.take(p, q.zone, q.shard, false, q.tasks, func(int, int) {})
			if n == 0 {
				continue
			}
			// Another block's open machines are better than this one's booting.
			n -= l.recallFor(board, p, q, n)
			n -= board.take(p, q.zone, q.shard, true, n, func(int, int) {})
			board.queuedCPUs[q.shard] += float64(n) * p.spec.CPUs
			unmet.addTasks(p, q.zone, n)
		}
	}
}

// dispatchJobs hands out what the limits and the room allow, job by job.
func (l *Leader) dispatchJobs(board *capacityView, unmet *unmetDemand) []*taskBatch {
	var batches []*taskBatch
	full := map[string]bool{}
	l.reserveForUrgent()
	for _, p := range l.ordered {
		u := l.teams[p.spec.Team]
		if p.cancelled || p.ending || p.undispatched() == 0 || u == nil {
			continue
		}
		if full[p.spec.Team] {
			unmet.addHeldByQuota(p, p.undispatched())
			continue
		}
		if !l.fixZones(p) {
			continue
		}
		n := l.tasksWithinQuota(p, u)
		if n < p.undispatched() && (p.spec.Priority() >= jobs.PriorityUrgent || p.spec.IsGang()) || n == 0 && p.starved {
			full[p.spec.Team] = true // what comes after does not go past it
		}
		unmet.addHeldByQuota(p, p.undispatched()-n)
		switch {
		case n <= 0 || p.spec.IsGang() && n < p.undispatched(): // a gang is handed out whole or not at all
		case p.spec.IsGang():
			batches = l.placeGang(board, p, u, batches, unmet.addTasks)
		default:
			batches = l.placeJob(board, p, u, n, batches, unmet.addTasks)
		}
	}
	return batches
}

// tasksWithinQuota is how many more tasks of a job its team's limits allow.
func (l *Leader) tasksWithinQuota(p *jobState, u *teamUsage) int {
	limit := u.maxCPUs
	if p.spec.Priority() < jobs.PriorityUrgent && !p.starved {
		limit -= max(0, u.reservedCPUs-u.urgentCPUs)
	}
	return min(p.undispatched(), taskCountIn(limit-u.cpus, p.spec.CPUs), taskCountIn(u.maxGPUs-u.gpus, p.spec.GPUs))
}

// fixZones fixes the zones of a job that needs that; false if they are not known yet.
func (l *Leader) fixZones(p *jobState) bool {
	if p.zones != nil || (!p.spec.Spread && (!p.spec.SameZone || p.spec.IsGang())) {
		return true
	}
	// A leader that does not know the machine types yet must not fix
	// "any zone" for a job that may not have it.
	p.zones = l.fleet.ChooseZones(p.spec)
	if len(p.zones) == 0 || (p.spec.Spread && len(p.zones) < 2 && p.spec.Tasks > 1) {
		p.zones = nil
		return false
	}
	return true
}

// pruneCaches forgets what machines cached that are long gone.
func (l *Leader) pruneCaches() {
	if l.runtime.Now()-l.cachesPrunedAt <= tuning.ReleasedMachineMemory {
		return
	}
	l.cachesPrunedAt = l.runtime.Now()
	for host, c := range l.caches {
		if l.cachesPrunedAt-c.seenAt > tuning.ReleasedMachineMemory {
			delete(l.caches, host)
		}
	}
}

// mostMovable is the job of which most runs that could as well run on spot machines, nil
// if there is none.
func (l *Leader) mostMovable() *jobs.Spec {
	var most *jobState
	for _, p := range l.ordered {
		if !p.cancelled && isMovable(p.spec) && p.placed > 0 &&
			(most == nil || float64(p.placed)*p.spec.CPUs > float64(most.placed)*most.spec.CPUs) {
			most = p
		}
	}
	if most == nil {
		return nil
	}
	return most.spec
}

// taskCountIn tells how many tasks of a size fit into what is left.
func taskCountIn(left, size float64) int {
	if size <= 0 {
		return math.MaxInt32
	}
	return max(0, int(math.Floor((left+slack)/size)))
}

// reserveForUrgent keeps room under the teams' limits for urgent jobs, as much as their
// urgent jobs have lately wanted at once: other work, which may run for minutes,
// would else take the limit up and urgent work would wait for its ends.
func (l *Leader) reserveForUrgent() {
	wants := map[*teamUsage]float64{}
	for _, p := range l.ordered {
		if u := l.teams[p.spec.Team]; u != nil && !p.cancelled && p.spec.Priority() >= jobs.PriorityUrgent {
			wants[u] += float64(p.open+p.undispatched()) * p.spec.CPUs
		}
	}
	now := l.runtime.Now()
	for _, u := range l.teams {
		u.reservedCPUs *= math.Exp2(-float64(now-u.reservedAt) / float64(tuning.UrgentReserveHalfLife))
		u.reservedAt = now
		u.reservedCPUs = max(u.reservedCPUs, min(wants[u], tuning.MaxUrgentReserveShare*u.maxCPUs))
	}
}

// objectiveSlack is how many seconds a job's tasks can still wait for a machine for each
// of the users' aims that is not missed yet.
func (l *Leader) objectiveSlack(p *jobState, nowMS int64) []float64 {
	age := float64(nowMS-p.entry.SubmittedMS) / 1000
	var open []float64
	l.settings.EachObjectiveDeadline(p.spec.Class, p.spec.EstimateSeconds, p.spec.DeadlineSeconds, func(latest float64) {
		if left := latest - age; left > 0 {
			open = append(open, left)
		}
	})
	return open
}

// placeJob finds blocks for up to n tasks of a job: where there is room, at home
// first, then where machines boot, then in the queues while those are short.
func (l *Leader) placeJob(b *capacityView, p *jobState, u *teamUsage, n int, batches []*taskBatch, need func(*jobState, string, int)) []*taskBatch {
	home := l.homeShard(p)
	give := func(block, k int) {
		for range k {
			batches = l.addTask(batches, p, block, u)
		}
		n -= k
	}
	if len(p.zones) > 1 {
		// The zones of a spread job take turns, task by task.
		for n > 0 {
			zone := taskstate.ZoneOf(p.zones, p.nextTask())
			if b.take(p, zone, -1, false, 1, give) > 0 || b.take(p, zone, -1, true, 1, give) > 0 {
				continue
			}
			if block := b.shardToQueueIn(p, zone, home); block >= 0 {
				b.queuedCPUs[block] += p.spec.CPUs
				give(block, 1)
				continue
			}
			break
		}
		held := map[string]int{}
		for k := range n {
			held[taskstate.ZoneOf(p.zones, p.taskAt(k))]++
		}
		for _, zone := range p.zones {
			need(p, zone, held[zone])
		}
		return batches
	}
	zone := taskstate.ZoneOf(p.zones, 0)
	for _, booting := range []bool{false, true} {
		// Block by block, so that a job makes few records: changes are scarce.
		for _, block := range b.shardsInOrder(home) {
			if n > 0 {
				b.take(p, zone, block, booting, n, give)
			}
		}
	}
	need(p, zone, n)
	for n > 0 {
		block := b.shardToQueueIn(p, zone, home)
		if block < 0 {
			break
		}
		k := min(n, max(1, taskCountIn(tuning.MaxQueuedShare*b.totalCPUs[block]-b.queuedCPUs[block], p.spec.CPUs)))
		b.queuedCPUs[block] += float64(k) * p.spec.CPUs
		give(block, k)
	}
	return batches
}
