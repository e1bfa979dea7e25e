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

// home is the block where most machines cache a job's image.
func (l *Leader) home(p *jobState) int {
	best := -1
	for block, n := range l.images[p.desc.Image] {
		if n > 0 && (best < 0 || n > l.images[p.desc.Image][best]) {
			best = block
		}
	}
	return best
}

// handOut hands out as many tasks as the limits and the queues allow, and
// tells the fleet for which there is no room.
func (l *Leader) handOut() bool {
	now := l.rt.WallClock().UnixMilli()
	l.sortJobs(now)
	board := l.viewRooms()
	l.pause = tuning.MinRoundInterval + time.Duration(board.number)*tuning.RoundIntervalPerMachine
	clear(l.recalls)
	unmet := &unmetNeeds{leader: l, now: now}
	l.keepWarm(board, func(d *jobs.Spec, zone string, n int) {
		unmet.list = append(unmet.list, fleet.Demand{Spec: d, Zone: zone, Tasks: n, ObjectiveSlackSeconds: []float64{tuning.MaxQueueTime.Seconds()}})
	})
	l.takeQueued(board, unmet)
	batches := l.fill(board, unmet)
	l.pruneCaches()
	l.fleet.SetDemand(unmet.list, l.mostMovable())
	if len(batches) == 0 {
		return false
	}
	l.send(batches)
	return true
}

// unmetNeeds collects the tasks for which there is no room.
type unmetNeeds struct {
	leader *Leader
	now    int64 // time of day, in ms
	list   []fleet.Demand
}

// need notes tasks that could run now if there were room.
func (u *unmetNeeds) need(p *jobState, zone string, n int) {
	if n > 0 {
		u.list = append(u.list, fleet.Demand{
			Spec: p.desc, Zone: zone, Tasks: n, Rank: p.place,
			WaitedSeconds: float64(u.now-p.e.SubmittedMS) / 1000, ObjectiveSlackSeconds: u.leader.openAims(p, u.now),
		})
	}
}

// held notes tasks that their team's limit holds back.
func (u *unmetNeeds) held(p *jobState, n int) {
	if n > 0 {
		u.list = append(u.list, fleet.Demand{Spec: p.desc, HeldByQuota: n})
	}
}

// sortJobs brings the jobs into the order in which they are served.
func (l *Leader) sortJobs(now int64) {
	for _, p := range l.order {
		// A job that nothing has been done for is not passed over for ever.
		if late := !p.starved && !p.cancelled && p.placed+p.done == 0 &&
			now-p.e.SubmittedMS > tuning.StarvedAfter.Milliseconds(); late {
			p.starved, l.resort = true, true
		} else if p.starved && p.placed+p.done > 0 {
			p.starved, l.resort = false, true
		}
		if p.left() > 0 && !p.cancelled {
			if p.rank.Update(p.desc, l.set, now, p.desc.Tasks-p.done) {
				l.resort = true
			}
		}
	}
	if l.resort {
		sort.Slice(l.order, func(i, k int) bool { return before(l.order[i], l.order[k]) })
		l.resort = false
	}
	for i, p := range l.order {
		p.place = i
	}
}

// takeQueued gives the tasks already in the blocks' queues the room there is.
func (l *Leader) takeQueued(board *roomView, unmet *unmetNeeds) {
	for _, p := range l.order {
		if p.cancelled {
			continue
		}
		if p.desc.IsGang() {
			l.queuedGang(board, p, unmet.need)
			continue
		}
		for _, q := range l.queues(p) {
			n := q.number - board.take(p, q.zone, q.block, false, q.number, func(int, int) {})
			if n == 0 {
				continue
			}
			// Another block's open machines are better than this one's booting.
			n -= l.recallFor(board, p, q, n)
			n -= board.take(p, q.zone, q.block, true, n, func(int, int) {})
			board.queued[q.block] += float64(n) * p.desc.CPUs
			unmet.need(p, q.zone, n)
		}
	}
}

// fill hands out what the limits and the room allow, job by job.
func (l *Leader) fill(board *roomView, unmet *unmetNeeds) []*batch {
	var batches []*batch
	full := map[string]bool{}
	l.reserve()
	for _, p := range l.order {
		u := l.usage[p.desc.Team]
		if p.cancelled || p.ending || p.left() == 0 || u == nil {
			continue
		}
		if full[p.desc.Team] {
			unmet.held(p, p.left())
			continue
		}
		if !l.fixZones(p) {
			continue
		}
		n := l.allowed(p, u)
		if n < p.left() && (p.desc.Priority() >= jobs.PriorityUrgent || p.desc.IsGang()) || n == 0 && p.starved {
			full[p.desc.Team] = true // what comes after does not go past it
		}
		unmet.held(p, p.left()-n)
		switch {
		case n <= 0 || p.desc.IsGang() && n < p.left(): // a gang is handed out whole or not at all
		case p.desc.IsGang():
			batches = l.placeGang(board, p, u, batches, unmet.need)
		default:
			batches = l.place(board, p, u, n, batches, unmet.need)
		}
	}
	return batches
}

// allowed is how many more tasks of a job its team's limits allow.
func (l *Leader) allowed(p *jobState, u *usage) int {
	limit := u.cpusMax
	if p.desc.Priority() < jobs.PriorityUrgent && !p.starved {
		limit -= max(0, u.kept-u.urgent)
	}
	return min(p.left(), share(limit-u.cpus, p.desc.CPUs), share(u.cardsMax-u.cards, p.desc.GPUs))
}

// fixZones fixes the zones of a job that needs that; false if they are not known yet.
func (l *Leader) fixZones(p *jobState) bool {
	if p.zones != nil || (!p.desc.Spread && (!p.desc.SameZone || p.desc.IsGang())) {
		return true
	}
	// A leader that does not know the machine types yet must not fix
	// "any zone" for a job that may not have it.
	p.zones = l.fleet.ChooseZones(p.desc)
	if len(p.zones) == 0 || (p.desc.Spread && len(p.zones) < 2 && p.desc.Tasks > 1) {
		p.zones = nil
		return false
	}
	return true
}

// pruneCaches forgets what machines cached that are long gone.
func (l *Leader) pruneCaches() {
	if l.rt.Now()-l.pruned <= tuning.ReleasedMachineMemory {
		return
	}
	l.pruned = l.rt.Now()
	for host, c := range l.caches {
		if l.pruned-c.seen > tuning.ReleasedMachineMemory {
			delete(l.caches, host)
		}
	}
}

// mostMovable is the job of which most runs that could as well run on spot machines, nil
// if there is none.
func (l *Leader) mostMovable() *jobs.Spec {
	var most *jobState
	for _, p := range l.order {
		if !p.cancelled && movable(p.desc) && p.placed > 0 &&
			(most == nil || float64(p.placed)*p.desc.CPUs > float64(most.placed)*most.desc.CPUs) {
			most = p
		}
	}
	if most == nil {
		return nil
	}
	return most.desc
}

// share tells how many tasks of a size fit into what is left.
func share(left, size float64) int {
	if size <= 0 {
		return math.MaxInt32
	}
	return max(0, int(math.Floor((left+slack)/size)))
}

// reserve keeps room under the teams' limits for urgent jobs, as much as their
// urgent jobs have lately wanted at once: other work, which may run for minutes,
// would else take the limit up and urgent work would wait for its ends.
func (l *Leader) reserve() {
	wants := map[*usage]float64{}
	for _, p := range l.order {
		if u := l.usage[p.desc.Team]; u != nil && !p.cancelled && p.desc.Priority() >= jobs.PriorityUrgent {
			wants[u] += float64(p.open+p.left()) * p.desc.CPUs
		}
	}
	now := l.rt.Now()
	for _, u := range l.usage {
		u.kept *= math.Exp2(-float64(now-u.at) / float64(tuning.UrgentReserveHalfLife))
		u.at = now
		u.kept = max(u.kept, min(wants[u], tuning.MaxUrgentReserveShare*u.cpusMax))
	}
}

// openAims is how many seconds a job's tasks can still wait for a machine for each
// of the users' aims that is not missed yet.
func (l *Leader) openAims(p *jobState, nowMS int64) []float64 {
	age := float64(nowMS-p.e.SubmittedMS) / 1000
	var open []float64
	l.set.EachObjectiveDeadline(p.desc.Class, p.desc.EstimateSeconds, p.desc.DeadlineSeconds, func(latest float64) {
		if left := latest - age; left > 0 {
			open = append(open, left)
		}
	})
	return open
}

// place finds blocks for up to n tasks of a job: where there is room, at home
// first, then where machines boot, then in the queues while those are short.
func (l *Leader) place(b *roomView, p *jobState, u *usage, n int, batches []*batch, need func(*jobState, string, int)) []*batch {
	home := l.home(p)
	give := func(block, k int) {
		for range k {
			batches = l.give(batches, p, block, u)
		}
		n -= k
	}
	if len(p.zones) > 1 {
		// The zones of a spread job take turns, task by task.
		for n > 0 {
			zone := taskstate.ZoneOf(p.zones, p.first())
			if b.take(p, zone, -1, false, 1, give) > 0 || b.take(p, zone, -1, true, 1, give) > 0 {
				continue
			}
			if block := b.shortest(p, zone, home); block >= 0 {
				b.queued[block] += p.desc.CPUs
				give(block, 1)
				continue
			}
			break
		}
		held := map[string]int{}
		for k := range n {
			held[taskstate.ZoneOf(p.zones, p.nth(k))]++
		}
		for _, zone := range p.zones {
			need(p, zone, held[zone])
		}
		return batches
	}
	zone := taskstate.ZoneOf(p.zones, 0)
	for _, booting := range []bool{false, true} {
		// Block by block, so that a job makes few records: changes are scarce.
		for _, block := range b.order(home) {
			if n > 0 {
				b.take(p, zone, block, booting, n, give)
			}
		}
	}
	need(p, zone, n)
	for n > 0 {
		block := b.shortest(p, zone, home)
		if block < 0 {
			break
		}
		k := min(n, max(1, share(tuning.MaxQueuedShare*b.cpus[block]-b.queued[block], p.desc.CPUs)))
		b.queued[block] += float64(k) * p.desc.CPUs
		give(block, k)
	}
	return batches
}
