package lead

import (
	"math"
	"sort"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/ledger"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// room is what one machine has left.
type room struct {
	cpus, cards, memory float64
	cache               *cache // nil if nothing is known
	// Kept for gangs to come: other work gets none of it.
	keptCPUs, keptCards, keptMemory float64
}

// rack is the machines of one kind in one block, up or booting: whether a job
// may use them is asked once for all of them.
type rack struct {
	kind    *fleet.Room
	block   int
	booting bool
	rooms   []room
	sorted  bool
}

// board is the machines' room as one hand-out sees it.
type board struct {
	racks  []*rack
	cpus   []float64 // of all machines, by block
	queued []float64 // of tasks that wait in the blocks' queues
	number int       // of machines
}

func (l *Leader) board() *board {
	blocks := l.set.Blocks()
	b := &board{cpus: make([]float64, blocks), queued: make([]float64, blocks)}
	type which struct {
		kind    fleet.Kind
		block   int
		booting bool
	}
	index := map[which]*rack{}
	now := l.rt.Now()
	l.fleet.Rooms(func(r *fleet.Room) {
		b.number++
		b.cpus[r.Block] += r.Type.CPUs
		w := which{r.Kind, r.Block, r.Booting}
		s := index[w]
		if s == nil {
			kind := *r
			s = &rack{kind: &kind, block: r.Block, booting: r.Booting}
			index[w] = s
			b.racks = append(b.racks, s)
		}
		left := room{cpus: r.Type.CPUs, cards: r.Type.Cards, memory: r.Type.MemoryGB, cache: l.caches[r.Host]}
		if left.cache != nil {
			left.cache.kind, left.cache.seen = r.Type, now
		}
		if h := l.loads[r.Host]; h != nil {
			left.cpus -= h.cpus
			left.cards -= h.cards
			left.memory -= h.memory
		}
		if left.cpus > slack && left.memory > slack {
			s.rooms = append(s.rooms, left)
		}
	})
	// Small machines first: large ones are all that large tasks have.
	sort.Slice(b.racks, func(i, k int) bool {
		a, c := b.racks[i], b.racks[k]
		if x, y := a.kind.Type.CPUs, c.kind.Type.CPUs; x != y {
			return x < y
		}
		if a.kind.Kind != c.kind.Kind {
			return a.kind.Kind.Before(c.kind.Kind)
		}
		return a.block < c.block
	})
	return b
}

const slack = 1e-9 // sums of decimal amounts are not exact

// fit tells how many tasks of a job a machine has room for.
func (r *room) fit(d *jobs.Description) int {
	if d.Gang() {
		return fit(d, r.cpus, r.cards, r.memory)
	}
	return r.unkept(d)
}

// unkept is the same for what is not kept.
func (r *room) unkept(d *jobs.Description) int {
	return fit(d, r.cpus-r.keptCPUs, r.cards-r.keptCards, r.memory-r.keptMemory)
}

func fit(d *jobs.Description, cpus, cards, memory float64) int {
	n := math.MaxInt32
	for _, x := range [...]struct{ need, left float64 }{{d.CPUs, cpus}, {d.Cards, cards}, {d.MemoryGB, memory}} {
		if x.need > 0 {
			n = min(n, int(math.Floor((x.left+slack)/x.need)))
		}
	}
	return max(n, 0)
}

// take gives up to n tasks of a job room on the machines of a block (-1: of
// any), and calls fn with how many each block took.
func (b *board) take(p *plan, zone string, block int, booting bool, n int, fn func(block, n int)) int {
	taken := 0
	for _, s := range b.racks {
		if taken == n {
			break
		}
		if s.booting != booting || (block >= 0 && s.block != block) || len(s.rooms) == 0 || !s.kind.Could(p.desc, zone) {
			continue
		}
		if !s.sorted {
			// The fullest first, so that others run empty and can be returned.
			sort.Slice(s.rooms, func(i, k int) bool { return s.rooms[i].cpus < s.rooms[k].cpus })
			s.sorted = true
		}
		here := 0
		for i := range s.rooms {
			if taken == n {
				break
			}
			r := &s.rooms[i]
			k := r.fit(p.desc)
			if p.starved { // has waited too long to leave room for others
				k = fit(p.desc, r.cpus, r.cards, r.memory)
			}
			k = min(k, n-taken)
			if k == 0 {
				continue
			}
			s.rooms[i].cpus -= float64(k) * p.desc.CPUs
			s.rooms[i].cards -= float64(k) * p.desc.Cards
			s.rooms[i].memory -= float64(k) * p.desc.MemoryGB
			taken, here = taken+k, here+k
		}
		if here > 0 {
			fn(s.block, here)
			kept := s.rooms[:0]
			for _, r := range s.rooms {
				if r.cpus > slack && r.memory > slack {
					kept = append(kept, r)
				}
			}
			s.rooms = kept
		}
	}
	return taken
}

// order lists the blocks: home first, then those with the most room.
func (b *board) order(home int) []int {
	list := make([]int, len(b.cpus))
	free := make([]float64, len(b.cpus))
	for block := range list {
		list[block] = block
	}
	for _, s := range b.racks {
		if !s.booting {
			for i := range s.rooms {
				free[s.block] += s.rooms[i].cpus
			}
		}
	}
	sort.SliceStable(list, func(i, k int) bool {
		if x, y := list[i] == home, list[k] == home; x != y {
			return x
		}
		return free[list[i]] > free[list[k]]
	})
	return list
}

// serves tells which blocks have a machine that may run a job's tasks.
func (b *board) serves(p *plan, zone string) []bool {
	list := make([]bool, len(b.cpus))
	for _, s := range b.racks {
		if !list[s.block] && s.kind.Could(p.desc, zone) {
			list[s.block] = true
		}
	}
	return list
}

// home is the block where most machines cache a job's image.
func (l *Leader) home(p *plan) int {
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
	now := l.rt.Wall().UnixMilli()
	for _, p := range l.order {
		// A job that nothing has been done for is not passed over for ever.
		if late := !p.starved && !p.cancelled && p.placed+p.done == 0 &&
			now-p.e.At > tuning.StarvedAfter.Milliseconds(); late {
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
	board := l.board()
	l.pause = tuning.RoundPause + time.Duration(board.number)*tuning.RoundPerMachine
	var unmet []fleet.Need
	clear(l.recalls)
	need := func(p *plan, zone string, n int) {
		if n > 0 {
			unmet = append(unmet, fleet.Need{Desc: p.desc, Zone: zone, Number: n, Rank: p.place, Aims: l.openAims(p, now)})
		}
	}
	held := func(p *plan, n int) {
		if n > 0 {
			unmet = append(unmet, fleet.Need{Desc: p.desc, Behind: n})
		}
	}
	l.keepWarm(board, func(d *jobs.Description, zone string, n int) {
		unmet = append(unmet, fleet.Need{Desc: d, Zone: zone, Number: n, Aims: []float64{tuning.PatienceMost.Seconds()}})
	})
	// Tasks already in a block's queues take the room there is in it.
	for _, p := range l.order {
		if p.cancelled {
			continue
		}
		if p.desc.Gang() {
			l.queuedGang(board, p, need)
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
			need(p, q.zone, n)
		}
	}
	var batches []*batch
	full := map[string]bool{}
	l.reserve()
	for _, p := range l.order {
		u := l.usage[p.desc.Team]
		if p.cancelled || p.ending || p.left() == 0 || u == nil {
			continue
		}
		if full[p.desc.Team] {
			held(p, p.left())
			continue
		}
		if p.zones == nil && (p.desc.Spread || (p.desc.OneZone && !p.desc.Gang())) {
			// A leader that does not know the machine types yet must not fix
			// "any zone" for a job that may not have it.
			p.zones = l.fleet.Zones(p.desc)
			if len(p.zones) == 0 || (p.desc.Spread && len(p.zones) < 2 && p.desc.Tasks > 1) {
				p.zones = nil
				continue
			}
		}
		limit := u.cpusMax
		if p.desc.Priority() < jobs.High && !p.starved {
			limit -= max(0, u.kept-u.urgent)
		}
		n := min(p.left(), share(limit-u.cpus, p.desc.CPUs), share(u.cardsMax-u.cards, p.desc.Cards))
		if n < p.left() && (p.desc.Priority() >= jobs.High || p.desc.Gang()) || n == 0 && p.starved {
			full[p.desc.Team] = true // what comes after does not go past it
		}
		held(p, p.left()-n)
		if p.desc.Gang() && n < p.left() {
			continue // a gang is handed out whole or not at all
		}
		if n <= 0 {
			continue
		}
		if p.desc.Gang() {
			batches = l.placeGang(board, p, u, batches, need)
		} else {
			batches = l.place(board, p, u, n, batches, need)
		}
	}
	if l.rt.Now()-l.pruned > tuning.ForgetReturned {
		l.pruned = l.rt.Now()
		for host, c := range l.caches {
			if l.pruned-c.seen > tuning.ForgetReturned {
				delete(l.caches, host)
			}
		}
	}
	var most *plan // of those that could run on spot machines
	for _, p := range l.order {
		if !p.cancelled && movable(p.desc) && p.placed > 0 &&
			(most == nil || float64(p.placed)*p.desc.CPUs > float64(most.placed)*most.desc.CPUs) {
			most = p
		}
	}
	var sample *jobs.Description
	if most != nil {
		sample = most.desc
	}
	l.fleet.Want(unmet, sample)
	if len(batches) == 0 {
		return false
	}
	l.send(batches)
	return true
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
		if u := l.usage[p.desc.Team]; u != nil && !p.cancelled && p.desc.Priority() >= jobs.High {
			wants[u] += float64(p.open+p.left()) * p.desc.CPUs
		}
	}
	now := l.rt.Now()
	for _, u := range l.usage {
		u.kept *= math.Exp2(-float64(now-u.at) / float64(tuning.KeptHalfLife))
		u.at = now
		u.kept = max(u.kept, min(wants[u], tuning.KeptShare*u.cpusMax))
	}
}

// openAims is how many seconds a job's tasks can still wait for a machine for each
// of the users' aims that is not missed yet.
func (l *Leader) openAims(p *plan, nowMS int64) []float64 {
	age := float64(nowMS-p.e.At) / 1000
	var open []float64
	l.set.Aims(p.desc.Class, p.desc.EstimateS, p.desc.DeadlineS, func(latest float64) {
		if left := latest - age; left > 0 {
			open = append(open, left)
		}
	})
	return open
}

// place finds blocks for up to n tasks of a job: where there is room, at home
// first, then where machines boot, then in the queues while those are short.
func (l *Leader) place(b *board, p *plan, u *usage, n int, batches []*batch, need func(*plan, string, int)) []*batch {
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
			zone := work.ZoneOf(p.zones, p.first())
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
			held[work.ZoneOf(p.zones, p.nth(k))]++
		}
		for _, zone := range p.zones {
			need(p, zone, held[zone])
		}
		return batches
	}
	zone := work.ZoneOf(p.zones, 0)
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
		k := min(n, max(1, share(tuning.Ahead*b.cpus[block]-b.queued[block], p.desc.CPUs)))
		b.queued[block] += float64(k) * p.desc.CPUs
		give(block, k)
	}
	return batches
}

// shortest finds the block in whose queues a task should wait: home, else the
// one with the shortest for its size; -1 if the queues are long enough.
func (b *board) shortest(p *plan, zone string, home int) int {
	best, least := -1, 0.0
	for block, ok := range b.serves(p, zone) {
		if !ok || (b.queued[block] > 0 && b.queued[block]+p.desc.CPUs > tuning.Ahead*b.cpus[block]) {
			continue
		}
		if block == home {
			return block
		}
		if load := b.queued[block] / b.cpus[block]; best < 0 || load < least {
			best, least = block, load
		}
	}
	return best
}

// batch is what one hand-out gives to a block of one job.
type batch struct {
	plan    *plan
	block   int
	tasks   []int
	retried int
	bytes   int // what its record takes, at most
	// Of a divided gang, see work.Record; done: its tasks are proven done.
	try  uint64
	part int
	done bool
}

// recallFor asks a block to give waiting tasks back when others have open
// machines with room for them.
func (l *Leader) recallFor(b *board, p *plan, q queue, n int) int {
	if len(b.cpus) == 1 {
		return 0
	}
	found := 0
	for block := range b.cpus {
		if block != q.block && found < n {
			found += b.take(p, q.zone, block, false, n-found, func(int, int) {})
		}
	}
	if found > 0 {
		if l.recalls[q.block] == nil {
			l.recalls[q.block] = map[string]int{}
		}
		l.recalls[q.block][p.e.ID] += found
	}
	return found
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
		for k, i := range r.Index {
			if r.Marks[k].State == work.Waiting {
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
	retried := 0
	if len(p.back) > 0 {
		p.back = p.back[1:]
		retried = 1
	} else {
		p.next++
	}
	u.cpus += p.desc.CPUs // until the batch is counted
	u.cards += p.desc.Cards
	cost := func(b *batch) int {
		switch {
		case retried > 0:
			return tuning.RetriedBytes
		case b != nil && b.tasks[len(b.tasks)-1]+1 == i:
			return 0
		}
		return tuning.FreshBytes
	}
	for k := len(batches) - 1; k >= 0 && batches[k].plan == p; k-- {
		if b := batches[k]; b.block == block && len(b.tasks) < tuning.ChunkTasks && b.retried+retried <= tuning.RetriedTasks &&
			b.bytes+cost(b) <= l.led.ValueBytes()-tuning.RecordBytes {
			b.bytes += cost(b)
			b.tasks = append(b.tasks, i)
			b.retried += retried
			return batches
		}
	}
	return append(batches, &batch{plan: p, block: block, tasks: []int{i}, retried: retried, bytes: cost(nil)})
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
	most := min(l.led.Ops(), max(1, int(l.set.Deployment.State.WriteRPS*tuning.WriteShare*l.led.Rate())))
	if len(batches) > most {
		l.fleet.Stalled()
		for _, b := range batches[most:] {
			l.takeBack(b)
		}
		batches = batches[:most]
	}
	var guards []ledger.Guard
	var apply []ledger.Change
	var records []*work.Record
	var made []*batch // those of the records
	for _, b := range batches {
		sort.Ints(b.tasks)
		r := work.NewRecord(b.block, b.plan.e.ID, b.plan.number, b.tasks, b.plan.zones, b.plan.attempts)
		r.Try, r.Part = b.try, b.part
		if b.done {
			r.AllDone()
		}
		b.plan.number++
		value, err := r.Encode()
		if err != nil {
			l.log.Error("work record does not encode", "err", err)
			l.takeBack(b)
			continue
		}
		guards = append(guards, ledger.Guard{Key: r.Key})
		apply = append(apply, ledger.Change{Set: r.Key, Value: value})
		records, made = append(records, r), append(made, b)
		l.pending[r.Key] = r
		l.count(b.plan, r, 1)
	}
	l.post(guards, apply, made, records, 0, false)
}

// drop takes back what was to be handed out in a record that was not made.
func (l *Leader) drop(b *batch, r *work.Record) {
	delete(l.pending, r.Key)
	l.count(b.plan, r, -1)
	l.takeBack(b)
}

// post sends a hand-out until it is known what came of it. Sent again after
// no answer (doubt), it fails on its own records if the first was carried out.
func (l *Leader) post(guards []ledger.Guard, apply []ledger.Change, batches []*batch, records []*work.Record, try int, doubt bool) {
	l.commit(guards, apply, func(r ledger.Result) {
		switch r.Outcome {
		case ledger.OK:
			// The watch brings the records in.
		case ledger.Refused:
			l.fleet.Stalled()
			// Where changes are scarce, a large commit finds none left again
			// and again while small ones of others pass: half of it next. Not
			// so if an earlier try may yet be carried out, whole.
			if n := len(records) / 2; n > 0 && !doubt {
				for i, rec := range records[n:] {
					l.drop(batches[n+i], rec)
				}
				guards, apply, batches, records = guards[:n], apply[:n], batches[:n], records[:n]
			}
			l.later(try, func() { l.post(guards, apply, batches, records, try+1, doubt) })
		case ledger.Unknown:
			l.later(try, func() { l.post(guards, apply, batches, records, try+1, true) })
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
					l.later(try, func() { l.post(guards, apply, batches, records, try+1, doubt) })
					return
				}
				for i, rec := range records {
					if l.pending[rec.Key] != nil {
						l.drop(batches[i], rec)
					}
				}
				l.wanted = true
			})
		}
	})
}
