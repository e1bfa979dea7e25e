package leader

import (
	"slices"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// A gang is handed out whole, to one block: where there is room for all of it,
// first on machines that cache its image, else where machines boot for it, else, after a while, to a block whose owner
// collects the room. The zone of one that must stay in one is fixed with that,
// and anew if it comes back, when nothing of it is on a machine.

// demands tells how many of n tasks, from the next to hand out on, must go to
// each of a job's zones; "" for any.
func (p *jobState) demands(zones []string, n int) map[string]int {
	of := map[string]int{}
	for k := range n {
		of[taskstate.ZoneOf(zones, p.nth(k))]++
	}
	return of
}

// where is the machines that are looked at for a gang.
type where int

const (
	caching where = iota // up, and have its image
	up
	coming // up or booting
)

// room counts the tasks of a job for which a block's machines have room.
func (b *roomView) room(p *jobState, zone string, block int, booting, cached bool) int {
	n := 0
	for _, s := range b.racks {
		if s.booting == booting && s.block == block && s.kind.CouldRun(p.desc, zone) {
			for i := range s.rooms {
				if c := s.rooms[i].cache; !cached || (c != nil && c.images.Contains(p.desc.Image)) {
					n += s.rooms[i].fit(p.desc)
				}
			}
		}
	}
	return n
}

// holds tells whether a block has room for all that is demanded.
func (b *roomView) holds(p *jobState, demands map[string]int, block int, on where) bool {
	for zone, n := range demands {
		room := b.room(p, zone, block, false, on == caching)
		if on == coming && room < n {
			room += b.room(p, zone, block, true, false)
		}
		if room < n {
			return false
		}
	}
	return true
}

// hold takes that room.
func (b *roomView) hold(p *jobState, demands map[string]int, block int) {
	none := func(int, int) {}
	for zone, n := range demands {
		n -= b.take(p, zone, block, false, n, none)
		b.take(p, zone, block, true, n, none)
	}
}

// choices lists the zones that a gang's tasks may be fixed to.
func (l *Leader) choices(p *jobState) [][]string {
	if !p.desc.SameZone {
		return [][]string{p.zones}
	}
	var list [][]string
	for _, zone := range l.fleet.CandidateZones(p.desc) {
		list = append(list, []string{zone})
	}
	return list
}

// find looks for zones and a block with room for all of a gang, n tasks.
func (l *Leader) find(b *roomView, p *jobState, n int, on where) (zones []string, block int, ok bool) {
	choices := l.choices(p)
	for _, block := range b.order(l.home(p)) {
		for _, zones := range choices {
			if b.holds(p, p.demands(zones, n), block, on) {
				return zones, block, true
			}
		}
	}
	return nil, -1, false
}

// placeGang hands a gang out if there is a place for all of it.
func (l *Leader) placeGang(b *roomView, p *jobState, u *usage, batches []*batch, need func(*jobState, string, int)) []*batch {
	n := p.left()
	l.expect(p)
	give := func(block int) []*batch {
		for p.left() > 0 {
			batches = l.give(batches, p, block, u)
		}
		return batches
	}
	if p.done > 0 {
		// One task of it is done, so all are, also those that were given back
		// unproven: nothing of it is launched any more.
		from := len(batches)
		batches = give(0)
		for _, b := range batches[from:] {
			b.done = true
		}
		return batches
	}
	if p.open > 0 {
		if block, rest := l.cutShort(p); rest {
			return give(block)
		}
		return batches
	}
	p.torn = 0
	hand := func(zones []string, block int) []*batch {
		p.zones, p.handed = zones, l.rt.Now()
		l.log.Debug("gang handed out", "job", p.e.ID, "class", p.desc.Class, "tasks", n, "block", block, "zones", zones, "age_s", l.age(p).Seconds())
		return give(block)
	}
	for _, on := range []where{caching, up} {
		if zones, block, ok := l.find(b, p, n, on); ok {
			b.hold(p, p.demands(zones, n), block)
			return hand(zones, block)
		}
	}
	age := l.age(p)
	wide, widest, could := l.couldHold(p, n)
	if !could && age > tuning.GangDivideAfter {
		if divided := l.divide(b, p, n, u, batches); divided != nil {
			return divided
		}
	}
	if zones, block, ok := l.find(b, p, n, coming); ok {
		b.hold(p, p.demands(zones, n), block)
		return hand(zones, block)
	}
	if could && age > tuning.GangLeaderWait {
		b.queued[widest] += float64(n) * p.desc.CPUs
		for zone, k := range p.demands(wide, n) {
			need(p, zone, k)
		}
		return hand(wide, widest)
	}
	for zone, k := range p.demands(l.zonesToRent(p), n) {
		need(p, zone, k)
	}
	return batches
}

// cutShort tells whether the rest of a gang of which only a part was handed out is to
// follow, and to which block. If that part is coming back instead, or is one of a divided
// gang, the rest is not sent after it.
func (l *Leader) cutShort(p *jobState) (block int, rest bool) {
	now := l.rt.Now()
	if len(p.back) > 0 && (p.torn == 0 || now-p.torn < tuning.GangReturnTimeout) {
		if p.torn == 0 {
			p.torn = now
		}
		return 0, false
	}
	for _, r := range l.store.JobRecords(p.e.ID) {
		for _, m := range r.Statuses {
			if r.GangAttempt == 0 && (m.State == taskstate.StateWaiting || m.State == taskstate.StatePlaced) {
				return r.Shard, true
			}
		}
	}
	return 0, false // parts of a divided gang: all of them have to come back
}

// zonesToRent is where machines for a gang are asked for: in a zone where some can be
// had.
func (l *Leader) zonesToRent(p *jobState) []string {
	choices := l.choices(p)
	if !p.desc.SameZone || len(choices) == 0 {
		return p.zones
	}
	for _, c := range choices {
		if l.fleet.IsRentable(p.desc, c[0]) {
			return c
		}
	}
	return choices[0]
}

// divide hands a gang that no single block would hold to several at once, under
// an attempt chosen here. Each owner places its part whole, once; when it comes to
// nothing all parts come back, and the next attempt has a higher number. nil if
// the blocks together have no room either.
func (l *Leader) divide(b *roomView, p *jobState, n int, u *usage, batches []*batch) []*batch {
	if len(b.cpus) == 1 {
		return nil
	}
	last := uint64(0)
	for _, a := range p.attempts {
		last = max(last, a/tuning.GangAttemptStride)
	}
	for _, zones := range l.choices(p) {
		demands := p.demands(zones, n)
		fits := true
		for zone, k := range demands {
			room := 0
			for block := range b.cpus {
				room += b.room(p, zone, block, false, false)
			}
			fits = fits && room >= k
		}
		if !fits {
			continue
		}
		p.zones = zones
		from := len(batches)
		part := map[int]int{}
		for p.left() > 0 {
			zone := taskstate.ZoneOf(zones, p.first())
			if b.take(p, zone, -1, false, 1, func(block, _ int) {
				batches = l.give(batches, p, block, u)
				part[block]++
			}) == 0 {
				break // fits says that there is room
			}
		}
		for _, x := range batches[from:] {
			x.try, x.part = last+1, part[x.block]
		}
		l.log.Info("gang divided among blocks", "job", p.e.ID, "attempt", last+1, "blocks", len(part))
		return batches
	}
	if p.starved {
		// Room comes free bit by bit: what there is is kept for it.
		for zone, k := range p.demands(p.zones, n) {
			b.take(p, zone, -1, false, k, func(int, int) {})
		}
	}
	return nil
}

// age is how long ago a job was submitted.
func (l *Leader) age(p *jobState) time.Duration {
	return time.Duration(l.rt.WallClock().UnixMilli()-p.e.SubmittedMS) * time.Millisecond
}

// couldHold finds zones and a block whose machines would hold a gang if they
// were empty: its owner collects the room.
func (l *Leader) couldHold(p *jobState, n int) (zones []string, block int, ok bool) {
	type place struct {
		zone  string
		block int
	}
	sum := map[place]int{}
	l.fleet.EachAvailable(func(r *fleet.AvailableMachine) {
		if !r.Booting && r.CouldRun(p.desc, "") {
			k := (&room{cpus: r.MachineType.CPUs, cards: r.MachineType.GPUs, memory: r.MachineType.MemoryGB}).fit(p.desc)
			sum[place{r.Zone, r.Shard}] += k
			sum[place{"", r.Shard}] += k
		}
	})
	most := 0
	for _, choice := range l.choices(p) {
		for b := range l.set.ShardCount() {
			fits, least := true, 0
			for zone, k := range p.demands(choice, n) {
				have := sum[place{zone, b}]
				fits = fits && have >= k
				least += have
			}
			if fits && least > most {
				zones, block, ok, most = choice, b, true, least
			}
		}
	}
	return zones, block, ok
}

// queuedGang looks after a gang that waits in a block: it takes the room there
// is, is called back if another place has room for all of it, or is rented for.
func (l *Leader) queuedGang(b *roomView, p *jobState, need func(*jobState, string, int)) {
	for block, n := range p.waiting {
		if n == 0 {
			continue
		}
		demands := map[string]int{}
		if len(p.zones) <= 1 {
			demands[taskstate.ZoneOf(p.zones, 0)] = n
		} else {
			for _, q := range l.queues(p) {
				demands[q.zone] = q.number
			}
		}
		whole := n == p.desc.Tasks
		if len(p.back) > 0 {
			// Some of it came back: the rest is called back too.
			l.recall(p, block, n)
			continue
		}
		switch {
		case b.holds(p, demands, block, up):
			b.hold(p, demands, block)
			continue
		case whole && l.rt.Now()-p.handed > tuning.GangLeaderWait: // not to and fro
			if _, other, ok := l.find(b, &jobState{e: p.e, desc: p.desc, zones: p.zones}, n, up); ok && other != block || ok && p.desc.SameZone {
				l.recall(p, block, n)
				continue
			}
			if l.rt.Now()-p.handed > tuning.GangDivideAfter {
				if _, _, ok := l.couldHold(p, n); !ok {
					// The machines it was to have here did not come.
					l.recall(p, block, n)
					continue
				}
			}
		}
		if b.holds(p, demands, block, coming) {
			b.hold(p, demands, block)
			continue
		}
		for zone, k := range demands {
			need(p, zone, k)
		}
	}
}

// recall asks a block for all of a gang, or of its part of one.
func (l *Leader) recall(p *jobState, block, n int) {
	if l.recalls[block] == nil {
		l.recalls[block] = map[string]int{}
	}
	l.recalls[block][p.e.ID] = n
}

// expected is a class of gangs that has come of late.
type expected struct {
	desc  *jobs.Spec    // of the newest
	tasks int           // of the largest of late
	at    time.Duration // when it came
}

// expect takes note of a gang that has come: more may.
func (l *Leader) expect(p *jobState) {
	if !l.set.StartsPromptly(p.desc.Class) || p.done > 0 {
		return
	}
	x := l.expected[p.desc.Class]
	if x == nil {
		x = &expected{}
		l.expected[p.desc.Class] = x
	}
	x.desc, x.tasks, x.at = p.desc, max(x.tasks, p.desc.Tasks), l.rt.Now()
}

// keepWarm keeps room for gangs to come, and asks for machines where there is
// none. Work that may wait has the rest.
func (l *Leader) keepWarm(b *roomView, need func(d *jobs.Spec, zone string, n int)) {
	now := l.rt.Now()
	classes := make([]string, 0, len(l.expected))
	for class, x := range l.expected {
		if now-x.at > tuning.GangReservePeriod {
			delete(l.expected, class)
			continue
		}
		classes = append(classes, class)
	}
	slices.Sort(classes)
	most := 0.0
	for _, cpus := range b.cpus {
		most += tuning.MaxGangReserveShare * cpus
	}
	for _, class := range classes {
		x := l.expected[class]
		zones := []string{""}
		if x.desc.SameZone {
			zones = l.fleet.CandidateZones(x.desc)
		}
		for range tuning.GangReserveCount {
			if most -= float64(x.tasks) * x.desc.CPUs; most < 0 {
				return
			}
			if l.keep(b, x, zones) || len(zones) == 0 {
				continue
			}
			zone := zones[0]
			for _, z := range zones {
				if l.fleet.IsRentable(x.desc, z) {
					zone = z
					break
				}
			}
			need(x.desc, zone, x.tasks)
		}
	}
}

// keep keeps room for one such gang, on machines that cache its image if it can
// be, else on others, at worst on those that boot.
func (l *Leader) keep(b *roomView, x *expected, zones []string) bool {
	home := l.home(&jobState{desc: x.desc})
	for _, on := range []where{caching, up, coming} {
		for _, block := range b.order(home) {
			for _, zone := range zones {
				var found []*room
				n := 0
				for _, s := range b.racks {
					if s.block != block || (s.booting && on != coming) || !s.kind.CouldRun(x.desc, zone) {
						continue
					}
					for i := range s.rooms {
						r := &s.rooms[i]
						if on == caching && (r.cache == nil || !r.cache.images.Contains(x.desc.Image)) {
							continue
						}
						if k := r.unkept(x.desc); k > 0 && n < x.tasks {
							n += k
							found = append(found, r)
						}
					}
				}
				if n < x.tasks {
					continue
				}
				left := x.tasks
				for _, r := range found {
					k := min(left, r.unkept(x.desc))
					r.keptCPUs += float64(k) * x.desc.CPUs
					r.keptCards += float64(k) * x.desc.GPUs
					r.keptMemory += float64(k) * x.desc.MemoryGB
					left -= k
				}
				return true
			}
		}
	}
	return false
}
