package lead

import (
	"sort"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/ledger"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// board is the machines' room as one hand-out sees it.
type board struct {
	rooms  []*fleet.Room
	cpus   [tuning.Blocks]float64 // of all machines, by block
	queued [tuning.Blocks]float64 // of tasks that wait in the blocks' queues
}

func (l *Leader) board() *board {
	b := &board{rooms: l.fleet.Rooms()}
	for _, r := range b.rooms {
		b.cpus[r.Block] += r.Type.CPUs
		if h := l.loads[r.Host]; h != nil {
			r.CPUs -= h.cpus
			r.Cards -= h.cards
			r.Memory -= h.memory
		}
	}
	// The fullest first, so that others run empty and can be returned.
	sort.SliceStable(b.rooms, func(i, k int) bool { return b.rooms[i].CPUs < b.rooms[k].CPUs })
	return b
}

// find returns the room for a task: open machines before booting ones, those
// that cache the image first. block -1 stands for any.
func (b *board) find(p *plan, zone string, block int, booting bool) *fleet.Room {
	var best *fleet.Room
	for _, r := range b.rooms {
		if (block >= 0 && r.Block != block) || r.Booting != booting || !r.Fits(p.desc, zone) {
			continue
		}
		if r.Caches(p.desc.Image) {
			return r
		}
		if best == nil {
			best = r
		}
	}
	return best
}

// shortest finds the block in whose queues a task should wait: one with a
// machine that caches its image, else one with any machine for it; none if
// the queues are long enough.
func (b *board) shortest(p *plan, zone string) int {
	best, bestCaches := -1, false
	var bestLoad float64
	var seen, caches [tuning.Blocks]bool
	for _, r := range b.rooms {
		if r.Could(p.desc, zone) {
			seen[r.Block] = true
			caches[r.Block] = caches[r.Block] || (!r.Booting && r.Caches(p.desc.Image))
		}
	}
	for k := range seen {
		if !seen[k] || (b.queued[k] > 0 && b.queued[k]+p.desc.CPUs > tuning.Ahead*b.cpus[k]) {
			continue
		}
		if load := b.queued[k] / b.cpus[k]; best < 0 || (caches[k] && !bestCaches) || (caches[k] == bestCaches && load < bestLoad) {
			best, bestCaches, bestLoad = k, caches[k], load
		}
	}
	return best
}

// batch is what one hand-out gives to a block of one job.
type batch struct {
	plan  *plan
	block int
	tasks []int
}

// handOut hands out as many tasks as the limits and the queues allow, and
// tells the fleet for which there is no room.
func (l *Leader) handOut() bool {
	if l.resort {
		sort.Slice(l.order, func(i, k int) bool { return before(l.order[i], l.order[k]) })
		l.resort = false
	}
	board := l.board()
	var unmet []fleet.Need
	clear(l.recalls)
	// Tasks already in a block's queues take the room there is in it.
	for _, p := range l.order {
		if p.cancelled {
			continue
		}
		for _, q := range l.queues(p) {
			n := q.number
			for ; n > 0; n-- {
				r := board.find(p, q.zone, q.block, false)
				if r == nil {
					r = board.find(p, q.zone, q.block, true)
				}
				if r == nil {
					break
				}
				r.Take(p.desc)
				if r.Booting {
					l.recallFor(board, p, q)
				}
			}
			if n <= 0 {
				continue
			}
			board.queued[q.block] += float64(n) * p.desc.CPUs
			for ; n > 0 && l.recallFor(board, p, q); n-- {
			}
			if n > 0 {
				unmet = append(unmet, fleet.Need{Desc: p.desc, Zone: q.zone, Number: n})
			}
		}
	}
	var batches []*batch
	full := map[string]bool{}
	for _, p := range l.order {
		u := l.usage[p.desc.Team]
		if p.cancelled || p.ending || p.left() == 0 || u == nil || full[p.desc.Team] {
			continue
		}
		if p.zones == nil && (p.desc.OneZone || p.desc.Spread) {
			// A leader that does not know the machine types yet must not fix
			// "any zone" for a job that may not have it.
			p.zones = l.fleet.Zones(p.desc)
			if len(p.zones) == 0 || (p.desc.Spread && len(p.zones) < 2 && p.desc.Tasks > 1) {
				p.zones = nil
				continue
			}
		}
		if n := float64(p.left()); p.desc.Gang() && (u.cpus+n*p.desc.CPUs > u.cpusMax+1e-9 || u.cards+n*p.desc.Cards > u.cardsMax+1e-9) {
			full[p.desc.Team] = true // a gang is handed out whole or not at all
			continue
		}
		held := map[string]int{} // by zone
		number := 0
		for k, left := 0, p.left(); left > 0; left-- {
			if u.cpus+float64(number+1)*p.desc.CPUs > u.cpusMax+1e-9 || u.cards+float64(number+1)*p.desc.Cards > u.cardsMax+1e-9 {
				full[p.desc.Team] = true
				break
			}
			if number > 0 {
				// What did not fit for one task does not for the next; the
				// zones of a spread job take turns.
				held[work.ZoneOf(p.zones, p.nth(k))]++
				number++
				k++
				continue
			}
			zone := work.ZoneOf(p.zones, p.first())
			block := l.choose(board, p, zone)
			if block < 0 {
				held[zone]++
				number, k = 1, 1
				continue
			}
			batches = l.give(batches, p, block, u)
		}
		for zone, n := range held {
			unmet = append(unmet, fleet.Need{Desc: p.desc, Zone: zone, Number: n})
		}
	}
	l.fleet.Want(unmet)
	if len(batches) == 0 {
		return false
	}
	l.send(batches)
	return true
}

// choose finds the block for a task, -1 to keep it here.
func (l *Leader) choose(b *board, p *plan, zone string) int {
	r := b.find(p, zone, -1, false)
	if r == nil {
		r = b.find(p, zone, -1, true)
	}
	if r != nil {
		r.Take(p.desc)
		return r.Block
	}
	block := b.shortest(p, zone)
	if block >= 0 {
		b.queued[block] += p.desc.CPUs
	}
	return block
}

// recallFor asks a block to give a waiting task back when another has an open
// machine with room for it.
func (l *Leader) recallFor(b *board, p *plan, q queue) bool {
	if tuning.Blocks == 1 {
		return false
	}
	r := b.find(p, q.zone, -1, false)
	if r == nil || r.Block == q.block {
		return false
	}
	r.Take(p.desc)
	if l.recalls[q.block] == nil {
		l.recalls[q.block] = map[string]int{}
	}
	l.recalls[q.block][p.e.ID]++
	return true
}

// queue is tasks of a job that wait in a block, all for one zone.
type queue struct {
	block  int
	zone   string
	number int
}

// queues tells where tasks of a job wait.
func (l *Leader) queues(p *plan) []queue {
	var list []queue
	if len(p.zones) <= 1 {
		for block, n := range p.waiting {
			if n > 0 {
				list = append(list, queue{block, work.ZoneOf(p.zones, 0), n})
			}
		}
		return list
	}
	sums := map[queue]int{}
	add := func(r *work.Record) {
		for _, i := range r.Index {
			if _, placed := r.Placed[i]; !placed && !r.Done[i] && !r.Returned[i] {
				sums[queue{block: r.Block, zone: work.ZoneOf(p.zones, i)}]++
			}
		}
	}
	for _, r := range l.store.OfJob(p.e.ID) {
		add(r)
	}
	for _, r := range l.pending {
		if r.Job == p.e.ID {
			add(r)
		}
	}
	for q, n := range sums {
		list = append(list, queue{q.block, q.zone, n})
	}
	return list
}

// give puts a job's next task into a batch.
func (l *Leader) give(batches []*batch, p *plan, block int, u *usage) []*batch {
	i := p.first()
	if len(p.back) > 0 {
		p.back = p.back[1:]
	} else {
		p.next++
	}
	u.cpus += p.desc.CPUs // until the batch is counted
	u.cards += p.desc.Cards
	for _, b := range batches {
		if b.plan == p && b.block == block && len(b.tasks) < tuning.ChunkTasks {
			b.tasks = append(b.tasks, i)
			return batches
		}
	}
	return append(batches, &batch{p, block, []int{i}})
}

// takeBack undoes give.
func (l *Leader) takeBack(b *batch) {
	b.plan.back = append(b.plan.back, b.tasks...)
	sort.Ints(b.plan.back)
}

// send commits the records of a hand-out.
func (l *Leader) send(batches []*batch) {
	for _, b := range batches {
		u := l.usage[b.plan.desc.Team]
		u.cpus -= float64(len(b.tasks)) * b.plan.desc.CPUs
		u.cards -= float64(len(b.tasks)) * b.plan.desc.Cards
	}
	most := min(l.set.Deployment.State.TxnOps, max(1, int(l.set.Deployment.State.WriteRPS*tuning.WriteShare)))
	if len(batches) > most {
		for _, b := range batches[most:] {
			l.takeBack(b)
		}
		batches = batches[:most]
	}
	var guards []ledger.Guard
	var apply []ledger.Change
	var records []*work.Record
	for _, b := range batches {
		sort.Ints(b.tasks)
		r := &work.Record{Block: b.block, Job: b.plan.e.ID, Number: b.plan.number, Index: b.tasks, Zones: b.plan.zones,
			Attempts: map[int]uint64{}}
		r.Key = work.Key(r.Block, r.Job, r.Number)
		b.plan.number++
		for _, i := range b.tasks {
			if a := b.plan.attempts[i]; a > 0 {
				r.Attempts[i] = a
			}
		}
		value, err := r.Encode()
		if err != nil {
			l.log.Error("work record does not encode", "err", err)
			l.takeBack(b)
			continue
		}
		guards = append(guards, ledger.Guard{Key: r.Key})
		apply = append(apply, ledger.Change{Set: r.Key, Value: value})
		records = append(records, r)
		l.pending[r.Key] = r
		l.count(b.plan, r, 1)
	}
	l.post(guards, apply, batches, records, 0)
}

// post sends a hand-out until it is known what came of it. Sent again after
// no answer, it fails on its own records if the first was carried out.
func (l *Leader) post(guards []ledger.Guard, apply []ledger.Change, batches []*batch, records []*work.Record, try int) {
	l.commit(guards, apply, func(r ledger.Result) {
		switch r.Outcome {
		case ledger.OK:
			// The watch brings the records in.
		case ledger.Refused, ledger.Unknown:
			l.later(try, func() { l.post(guards, apply, batches, records, try+1) })
		default:
			// Some of the keys exist: an earlier try was carried out. If the
			// records are there, the watch has counted them.
			term := l.term
			l.flying = true
			l.store.Check(func(err error) {
				if term != l.term {
					return
				}
				l.flying = false
				if err != nil {
					l.later(try, func() { l.post(guards, apply, batches, records, try+1) })
					return
				}
				for i, rec := range records {
					if l.pending[rec.Key] == nil {
						continue
					}
					delete(l.pending, rec.Key)
					l.count(batches[i].plan, rec, -1)
					l.takeBack(batches[i])
				}
				l.wanted = true
			})
		}
	})
}
