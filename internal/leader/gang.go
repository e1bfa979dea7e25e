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

// tasksByZone tells how many of n tasks, from the next to hand out on, must go to
// each of a job's zones; "" for any.
func (p *jobState) tasksByZone(zones []string, n int) map[string]int {
	of := map[string]int{}
	for k := range n {
		of[taskstate.ZoneOf(zones, p.taskAt(k))]++
	}
	return of
}

// machineScope is the machines that are looked at for a gang.
type machineScope int

const (
	scopeCached machineScope = iota // up, and have its image
	scopeUp
	scopeBooting // up or booting
)

// countTasks counts the tasks of a job for which a block's machines have room.
func (b *capacityView) countTasks(p *jobState, zone string, block int, booting, cached bool) int {
	n := 0
	for _, s := range b.groups {
		if s.booting == booting && s.shard == block && s.kind.CouldRun(p.spec, zone) {
			for i := range s.machines {
				if c := s.machines[i].cache; !cached || (c != nil && c.images.Contains(p.spec.Image)) {
					n += s.machines[i].taskCount(p.spec)
				}
			}
		}
	}
	return n
}

// fits tells whether a block has room for all that is demanded.
func (b *capacityView) fits(p *jobState, demands map[string]int, block int, on machineScope) bool {
	for zone, n := range demands {
		room := b.countTasks(p, zone, block, false, on == scopeCached)
		if on == scopeBooting && room < n {
			room += b.countTasks(p, zone, block, true, false)
		}
		if room < n {
			return false
		}
	}
	return true
}

// takeAll takes that room.
func (b *capacityView) takeAll(p *jobState, demands map[string]int, block int) {
	none := func(int, int) {}
	for zone, n := range demands {
		n -= b.take(p, zone, block, false, n, none)
		b.take(p, zone, block, true, n, none)
	}
}

// zoneChoices lists the zones that a gang's tasks may be fixed to.
func (l *Leader) zoneChoices(p *jobState) [][]string {
	if !p.spec.SameZone {
		return [][]string{p.zones}
	}
	var list [][]string
	for _, zone := range l.fleet.CandidateZones(p.spec) {
		list = append(list, []string{zone})
	}
	return list
}

// findShard looks for zones and a block with room for all of a gang, n tasks.
func (l *Leader) findShard(b *capacityView, p *jobState, n int, on machineScope) (zones []string, block int, ok bool) {
	choices := l.zoneChoices(p)
	for _, block := range b.shardsInOrder(l.homeShard(p)) {
		for _, zones := range choices {
			if b.fits(p, p.tasksByZone(zones, n), block, on) {
				return zones, block, true
			}
		}
	}
	return nil, -1, false
}

// placeGang hands a gang out if there is a place for all of it.
func (l *Leader) placeGang(b *capacityView, p *jobState, u *teamUsage, batches []*taskBatch, need func(*jobState, string, int)) []*taskBatch {
	n := p.undispatched()
	l.observeGang(p)
	give := func(block int) []*taskBatch {
		for p.undispatched() > 0 {
			batches = l.addTask(batches, p, block, u)
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
		if block, rest := l.continuePartialGang(p); rest {
			return give(block)
		}
		return batches
	}
	p.partReturnedSince = 0
	hand := func(zones []string, block int) []*taskBatch {
		p.zones, p.dispatchedAt = zones, l.runtime.Now()
		l.log.Debug("gang handed out", "job", p.entry.ID, "class", p.spec.Class, "tasks", n, "block", block, "zones", zones, "age_s", l.age(p).Seconds())
		return give(block)
	}
	for _, on := range []machineScope{scopeCached, scopeUp} {
		if zones, block, ok := l.findShard(b, p, n, on); ok {
			b.takeAll(p, p.tasksByZone(zones, n), block)
			return hand(zones, block)
		}
	}
	age := l.age(p)
	wide, widest, could := l.findIfEmpty(p, n)
	if !could && age > tuning.GangDivideAfter {
		if divided := l.divideGang(b, p, n, u, batches); divided != nil {
			return divided
		}
	}
	if zones, block, ok := l.findShard(b, p, n, scopeBooting); ok {
		b.takeAll(p, p.tasksByZone(zones, n), block)
		return hand(zones, block)
	}
	if could && age > tuning.GangLeaderWait {
		b.queuedCPUs[widest] += float64(n) * p.spec.CPUs
		for zone, k := range p.tasksByZone(wide, n) {
			need(p, zone, k)
		}
		return hand(wide, widest)
	}
	for zone, k := range p.tasksByZone(l.zonesToRent(p), n) {
		need(p, zone, k)
	}
	return batches
}

// continuePartialGang tells whether the rest of a gang of which only a part was handed out is to
// follow, and to which block. If that part is coming back instead, or is one of a divided
// gang, the rest is not sent after it.
func (l *Leader) continuePartialGang(p *jobState) (block int, rest bool) {
	now := l.runtime.Now()
	if len(p.returned) > 0 && (p.partReturnedSince == 0 || now-p.partReturnedSince < tuning.GangReturnTimeout) {
		if p.partReturnedSince == 0 {
			p.partReturnedSince = now
		}
		return 0, false
	}
	for _, r := range l.records.JobRecords(p.entry.ID) {
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
	choices := l.zoneChoices(p)
	if !p.spec.SameZone || len(choices) == 0 {
		return p.zones
	}
	for _, c := range choices {
		if l.fleet.IsRentable(p.spec, c[0]) {
			return c
		}
	}
	return choices[0]
}

// divideGang hands a gang that no single block would hold to several at once, under
// an attempt chosen here. Each owner places its part whole, once; when it comes to
// nothing all parts come back, and the next attempt has a higher number. nil if
// the blocks together have no room either.
func (l *Leader) divideGang(b *capacityView, p *jobState, n int, u *teamUsage, batches []*taskBatch) []*taskBatch {
	if len(b.totalCPUs) == 1 {
		return nil
	}
	last := uint64(0)
	for _, a := range p.attempts {
		last = max(last, a/tuning.GangAttemptStride)
	}
	for _, zones := range l.zoneChoices(p) {
		demands := p.tasksByZone(zones, n)
		fits := true
		for zone, k := range demands {
			room := 0
			for block := range b.totalCPUs {
				room += b.countTasks(p, zone, block, false, false)
			}
			fits = fits && room >= k
		}
		if !fits {
			continue
		}
		p.zones = zones
		from := len(batches)
		part := map[int]int{}
		for p.undispatched() > 0 {
			zone := taskstate.ZoneOf(zones, p.nextTask())
			if b.take(p, zone, -1, false, 1, func(block, _ int) {
				batches = l.addTask(batches, p, block, u)
				part[block]++
			}) == 0 {
				break // fits says that there is room
			}
		}
		for _, x := range batches[from:] {
			x.gangAttempt, x.partSize = last+1, part[x.shard]
		}
		l.log.Info("gang divided among blocks", "job", p.entry.ID, "attempt", last+1, "blocks", len(part))
		return batches
	}
	if p.starved {
		// Room comes free bit by bit: what there is is kept for it.
		for zone, k := range p.tasksByZone(p.zones, n) {
			b.take(p, zone, -1, false, k, func(int, int) {})
		}
	}
	return nil
}

// age is how long ago a job was submitted.
func (l *Leader) age(p *jobState) time.Duration {
	return time.Duration(l.runtime.WallClock().UnixMilli()-p.entry.SubmittedMS) * time.Millisecond
}

// findIfEmpty finds zones and a block whose machines would hold a gang if they
// were empty: its owner collects the room.
func (l *Leader) findIfEmpty(p *jobState, n int) (zones []string, block int, ok bool) {
	type place struct {
		zone  string
		block int
	}
	sum := map[place]int{}
	l.fleet.EachAvailable(func(r *fleet.AvailableMachine) {
		if !r.Booting && r.CouldRun(p.spec, "") {
			k := (&machineCapacity{cpus: r.MachineType.CPUs, gpus: r.MachineType.GPUs, memoryGB: r.MachineType.MemoryGB}).taskCount(p.spec)
			sum[place{r.Zone, r.Shard}] += k
			sum[place{"", r.Shard}] += k
		}
	})
	most := 0
	for _, choice := range l.zoneChoices(p) {
		for b := range l.settings.ShardCount() {
			fits, least := true, 0
			for zone, k := range p.tasksByZone(choice, n) {
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

// serveQueuedGang looks after a gang that waits in a block: it takes the room there
// is, is called back if another place has room for all of it, or is rented for.
func (l *Leader) serveQueuedGang(b *capacityView, p *jobState, need func(*jobState, string, int)) {
	for block, n := range p.waitingByShard {
		if n == 0 {
			continue
		}
		demands := map[string]int{}
		if len(p.zones) <= 1 {
			demands[taskstate.ZoneOf(p.zones, 0)] = n
		} else {
			for _, q := range l.queuedTasks(p) {
				demands[q.zone] = q.tasks
			}
		}
		whole := n == p.spec.Tasks
		if len(p.returned) > 0 {
			// Some of it came back: the rest is called back too.
			l.recall(p, block, n)
			continue
		}
		switch {
		case b.fits(p, demands, block, scopeUp):
			b.takeAll(p, demands, block)
			continue
		case whole && l.runtime.Now()-p.dispatchedAt > tuning.GangLeaderWait: // not to and fro
			if _, other, ok := l.findShard(b, &jobState{entry: p.entry, spec: p.spec, zones: p.zones}, n, scopeUp); ok && other != block || ok && p.spec.SameZone {
				l.recall(p, block, n)
				continue
			}
			if l.runtime.Now()-p.dispatchedAt > tuning.GangDivideAfter {
				if _, _, ok := l.findIfEmpty(p, n); !ok {
					// The machines it was to have here did not come.
					l.recall(p, block, n)
					continue
				}
			}
		}
		if b.fits(p, demands, block, scopeBooting) {
			b.takeAll(p, demands, block)
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
	l.recalls[block][p.entry.ID] = n
}

// gangClass is a class of gangs that has come of late.
type gangClass struct {
	spec  *jobs.Spec    // of the newest
	tasks int           // of the largest of late
	seenAt    time.Duration // when it came
}

// observeGang takes note of a gang that has come: more may.
func (l *Leader) observeGang(p *jobState) {
	if !l.settings.StartsPromptly(p.spec.Class) || p.done > 0 {
		return
	}
	x := l.expectedGangs[p.spec.Class]
	if x == nil {
		x = &gangClass{}
		l.expectedGangs[p.spec.Class] = x
	}
	x.spec, x.tasks, x.seenAt = p.spec, max(x.tasks, p.spec.Tasks), l.runtime.Now()
}

// reserveForGangs keeps room for gangs to come, and asks for machines where there is
// none. Work that may wait has the rest.
func (l *Leader) reserveForGangs(b *capacityView, need func(d *jobs.Spec, zone string, n int)) {
	now := l.runtime.Now()
	classes := make([]string, 0, len(l.expectedGangs))
	for class, x := range l.expectedGangs {
		if now-x.seenAt > tuning.GangReservePeriod {
			delete(l.expectedGangs, class)
			continue
		}
		classes = append(classes, class)
	}
	slices.Sort(classes)
	most := 0.0
	for _, cpus := range b.totalCPUs {
		most += tuning.MaxGangReserveShare * cpus
	}
	for _, class := range classes {
		x := l.expectedGangs[class]
		zones := []string{""}
		if x.spec.SameZone {
			zones = l.fleet.CandidateZones(x.spec)
		}
		for range tuning.GangReserveCount {
			if most -= float64(x.tasks) * x.spec.CPUs; most < 0 {
				return
			}
			if l.reserveForGang(b, x, zones) || len(zones) == 0 {
				continue
			}
			zone := zones[0]
			for _, z := range zones {
				if l.fleet.IsRentable(x.spec, z) {
					zone = z
					break
				}
			}
			need(x.spec, zone, x.tasks)
		}
	}
}

// reserveForGang keeps room for one such gang, on machines that cache its image if it can
// be, else on others, at worst on those that boot.
func (l *Leader) reserveForGang(b *capacityView, x *gangClass, zones []string) bool {
	home := l.homeShard(&jobState{spec: x.spec})
	for _, on := range []machineScope{scopeCached, scopeUp, scopeBooting} {
		for _, block := range b.shardsInOrder(home) {
			for _, zone := range zones {
				var found []*machineCapacity
				n := 0
				for _, s := range b.groups {
					if s.shard != block || (s.booting && on != scopeBooting) || !s.kind.CouldRun(x.spec, zone) {
						continue
					}
					for i := range s.machines {
						r := &s.machines[i]
						if on == scopeCached && (r.cache == nil || !r.cache.images.Contains(x.spec.Image)) {
							continue
						}
						if k := r.unreservedTaskCount(x.spec); k > 0 && n < x.tasks {
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
					k := min(left, r.unreservedTaskCount(x.spec))
					r.reservedCPUs += float64(k) * x.spec.CPUs
					r.reservedGPUs += float64(k) * x.spec.GPUs
					r.reservedMemoryGB += float64(k) * x.spec.MemoryGB
					left -= k
				}
				return true
			}
		}
	}
	return false
}
