package leader

import (
	"math"
	"sort"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// machineCapacity is what one machine has left.
type machineCapacity struct {
	cpus, gpus, memoryGB float64
	cache               *machineCache // nil if nothing is known
	// Kept for gangs to come: other work gets none of it.
	reservedCPUs, reservedGPUs, reservedMemoryGB float64
}

// machineGroup is the machines of one kind in one block, up or booting: whether a job
// may use them is asked once for all of them.
type machineGroup struct {
	kind    *fleet.AvailableMachine
	shard   int
	booting bool
	machines   []machineCapacity
	sorted  bool
}

// capacityView is the machines' room as one hand-out sees it.
type capacityView struct {
	groups  []*machineGroup
	totalCPUs   []float64 // of all machines, by block
	queuedCPUs []float64 // of tasks that wait in the blocks' queues
	machineCount int       // of machines
}

func (l *Leader) viewCapacity() *capacityView {
	blocks := l.settings.ShardCount()
	b := &capacityView{totalCPUs: make([]float64, blocks), queuedCPUs: make([]float64, blocks)}
	type which struct {
		kind    fleet.MachineKind
		block   int
		booting bool
	}
	index := map[which]*machineGroup{}
	now := l.runtime.Now()
	l.fleet.EachAvailable(func(r *fleet.AvailableMachine) {
		b.machineCount++
		b.totalCPUs[r.Shard] += r.MachineType.CPUs
		w := which{r.MachineKind, r.Shard, r.Booting}
		s := index[w]
		if s == nil {
			kind := *r
			s = &machineGroup{kind: &kind, shard: r.Shard, booting: r.Booting}
			index[w] = s
			b.groups = append(b.groups, s)
		}
		left := machineCapacity{cpus: r.MachineType.CPUs, gpus: r.MachineType.GPUs, memoryGB: r.MachineType.MemoryGB, cache: l.caches[r.ID]}
		if left.cache != nil {
			left.cache.machineType, left.cache.seenAt = r.MachineType, now
		}
		if h := l.machineLoads[r.ID]; h != nil {
			left.cpus -= h.cpus
			left.gpus -= h.gpus
			left.memoryGB -= h.memoryGB
		}
		if left.cpus > slack && left.memoryGB > slack {
			s.machines = append(s.machines, left)
		}
	})
	// Small machines first: large ones are all that large tasks have.
	sort.Slice(b.groups, func(i, k int) bool {
		a, c := b.groups[i], b.groups[k]
		if x, y := a.kind.MachineType.CPUs, c.kind.MachineType.CPUs; x != y {
			return x < y
		}
		if a.kind.MachineKind != c.kind.MachineKind {
			return a.kind.Before(c.kind.MachineKind)
		}
		return a.shard < c.shard
	})
	return b
}

const slack = 1e-9 // sums of decimal amounts are not exact

// taskCount tells how many tasks of a job a machine has room for.
func (r *machineCapacity) taskCount(d *jobs.Spec) int {
	if d.IsGang() {
		return fit(d, r.cpus, r.gpus, r.memoryGB)
	}
	return r.unreservedTaskCount(d)
}

// unreservedTaskCount is the same for what is not kept.
func (r *machineCapacity) unreservedTaskCount(d *jobs.Spec) int {
	return fit(d, r.cpus-r.reservedCPUs, r.gpus-r.reservedGPUs, r.memoryGB-r.reservedMemoryGB)
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
func (b *capacityView) take(p *jobState, zone string, block int, booting bool, n int, fn func(block, n int)) int {
	taken := 0
	for _, s := range b.groups {
		if taken == n {
			break
		}
		if s.booting != booting || (block >= 0 && s.shard != block) || len(s.machines) == 0 || !s.kind.CouldRun(p.spec, zone) {
			continue
		}
		if !s.sorted {
			// The fullest first, so that others run empty and can be returned.
			sort.Slice(s.machines, func(i, k int) bool { return s.machines[i].cpus < s.machines[k].cpus })
			s.sorted = true
		}
		here := 0
		for i := range s.machines {
			if taken == n {
				break
			}
			r := &s.machines[i]
			k := r.taskCount(p.spec)
			if p.starved { // has waited too long to leave room for others
				k = fit(p.spec, r.cpus, r.gpus, r.memoryGB)
			}
			k = min(k, n-taken)
			if k == 0 {
				continue
			}
			s.machines[i].cpus -= float64(k) * p.spec.CPUs
			s.machines[i].gpus -= float64(k) * p.spec.GPUs
			s.machines[i].memoryGB -= float64(k) * p.spec.MemoryGB
			taken, here = taken+k, here+k
		}
		if here > 0 {
			fn(s.shard, here)
			kept := s.machines[:0]
			for _, r := range s.machines {
				if r.cpus > slack && r.memoryGB > slack {
					kept = append(kept, r)
				}
			}
			s.machines = kept
		}
	}
	return taken
}

// shardsInOrder lists the blocks: home first, then those with the most room.
func (b *capacityView) shardsInOrder(home int) []int {
	list := make([]int, len(b.totalCPUs))
	free := make([]float64, len(b.totalCPUs))
	for block := range list {
		list[block] = block
	}
	for _, s := range b.groups {
		if !s.booting {
			for i := range s.machines {
				free[s.shard] += s.machines[i].cpus
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

// servingShards tells which blocks have a machine that may run a job's tasks.
func (b *capacityView) servingShards(p *jobState, zone string) []bool {
	list := make([]bool, len(b.totalCPUs))
	for _, s := range b.groups {
		if !list[s.shard] && s.kind.CouldRun(p.spec, zone) {
			list[s.shard] = true
		}
	}
	return list
}

// shardToQueueIn finds the block in whose queues a task should wait: home, else the
// one with the shortest for its size; -1 if the queues are long enough.
func (b *capacityView) shardToQueueIn(p *jobState, zone string, home int) int {
	best, least := -1, 0.0
	for block, ok := range b.servingShards(p, zone) {
		if !ok || (b.queuedCPUs[block] > 0 && b.queuedCPUs[block]+p.spec.CPUs > tuning.MaxQueuedShare*b.totalCPUs[block]) {
			continue
		}
		if block == home {
			return block
		}
		if load := b.queuedCPUs[block] / b.totalCPUs[block]; best < 0 || load < least {
			best, least = block, load
		}
	}
	return best
}
