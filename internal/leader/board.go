package leader

import (
	"math"
	"sort"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// room is what one machine has left.
type room struct {
	cpus, cards, memory float64
	cache               *cache // nil if nothing is known
	// Kept for gangs to come: other work gets none of it.
	keptCPUs, keptCards, keptMemory float64
}

// machineGroup is the machines of one kind in one block, up or booting: whether a job
// may use them is asked once for all of them.
type machineGroup struct {
	kind    *fleet.AvailableMachine
	block   int
	booting bool
	rooms   []room
	sorted  bool
}

// roomView is the machines' room as one hand-out sees it.
type roomView struct {
	racks  []*machineGroup
	cpus   []float64 // of all machines, by block
	queued []float64 // of tasks that wait in the blocks' queues
	number int       // of machines
}

func (l *Leader) viewRooms() *roomView {
	blocks := l.set.ShardCount()
	b := &roomView{cpus: make([]float64, blocks), queued: make([]float64, blocks)}
	type which struct {
		kind    fleet.MachineKind
		block   int
		booting bool
	}
	index := map[which]*machineGroup{}
	now := l.rt.Now()
	l.fleet.EachAvailable(func(r *fleet.AvailableMachine) {
		b.number++
		b.cpus[r.Shard] += r.MachineType.CPUs
		w := which{r.MachineKind, r.Shard, r.Booting}
		s := index[w]
		if s == nil {
			kind := *r
			s = &machineGroup{kind: &kind, block: r.Shard, booting: r.Booting}
			index[w] = s
			b.racks = append(b.racks, s)
		}
		left := room{cpus: r.MachineType.CPUs, cards: r.MachineType.GPUs, memory: r.MachineType.MemoryGB, cache: l.caches[r.ID]}
		if left.cache != nil {
			left.cache.kind, left.cache.seen = r.MachineType, now
		}
		if h := l.loads[r.ID]; h != nil {
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
		if x, y := a.kind.MachineType.CPUs, c.kind.MachineType.CPUs; x != y {
			return x < y
		}
		if a.kind.MachineKind != c.kind.MachineKind {
			return a.kind.Before(c.kind.MachineKind)
		}
		return a.block < c.block
	})
	return b
}

const slack = 1e-9 // sums of decimal amounts are not exact

// fit tells how many tasks of a job a machine has room for.
func (r *room) fit(d *jobs.Spec) int {
	if d.IsGang() {
		return fit(d, r.cpus, r.cards, r.memory)
	}
	return r.unkept(d)
}

// unkept is the same for what is not kept.
func (r *room) unkept(d *jobs.Spec) int {
	return fit(d, r.cpus-r.keptCPUs, r.cards-r.keptCards, r.memory-r.keptMemory)
}

func fit(d *jobs.Spec, cpus, cards, memory float64) int {
	n := math.MaxInt32
	for _, x := range [...]struct{ need, left float64 }{{d.CPUs, cpus}, {d.GPUs, cards}, {d.MemoryGB, memory}} {
		if x.need > 0 {
			n = min(n, int(math.Floor((x.left+slack)/x.need)))
		}
	}
	return max(n, 0)
}

// take gives up to n tasks of a job room on the machines of a block (-1: of
// any), and calls fn with how many each block took.
func (b *roomView) take(p *jobState, zone string, block int, booting bool, n int, fn func(block, n int)) int {
	taken := 0
	for _, s := range b.racks {
		if taken == n {
			break
		}
		if s.booting != booting || (block >= 0 && s.block != block) || len(s.rooms) == 0 || !s.kind.CouldRun(p.desc, zone) {
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
			s.rooms[i].cards -= float64(k) * p.desc.GPUs
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
func (b *roomView) order(home int) []int {
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
func (b *roomView) serves(p *jobState, zone string) []bool {
	list := make([]bool, len(b.cpus))
	for _, s := range b.racks {
		if !list[s.block] && s.kind.CouldRun(p.desc, zone) {
			list[s.block] = true
		}
	}
	return list
}

// shortest finds the block in whose queues a task should wait: home, else the
// one with the shortest for its size; -1 if the queues are long enough.
func (b *roomView) shortest(p *jobState, zone string, home int) int {
	best, least := -1, 0.0
	for block, ok := range b.serves(p, zone) {
		if !ok || (b.queued[block] > 0 && b.queued[block]+p.desc.CPUs > tuning.MaxQueuedShare*b.cpus[block]) {
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
