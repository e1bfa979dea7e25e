package leader

import (
	"sort"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/tuning"
)

// anyShard stands for all shards where one is asked for.
const anyShard = -1

// machineCapacity is what one machine has left.
type machineCapacity struct {
	available resource.Vector
	reserved  resource.Vector // for gangs to come: other work gets none of it
	cache     *machineCache   // nil if nothing is known
}

// taskCount returns how many tasks of a job the machine has room for. Room is reserved for
// gangs, so only other jobs have to leave it.
func (m *machineCapacity) taskCount(spec *jobs.Spec) int {
	if spec.IsGang() {
		return spec.Resources().CountIn(m.available)
	}
	return m.unreservedTaskCount(spec)
}

// unreservedTaskCount returns how many tasks of a job fit into what is not reserved.
func (m *machineCapacity) unreservedTaskCount(spec *jobs.Spec) int {
	return spec.Resources().CountIn(m.available.Minus(m.reserved))
}

// caches reports whether the machine is known to cache an image.
func (m *machineCapacity) caches(image string) bool {
	return m.cache != nil && m.cache.images.Contains(image)
}

// hasRoom reports whether any task could still fit.
func (m *machineCapacity) hasRoom() bool {
	return m.available.CPUs > resource.Epsilon && m.available.MemoryGB > resource.Epsilon
}

// machineGroup is the machines of one kind in one shard that are all up or all booting:
// whether a job may use them is asked once for all of them.
type machineGroup struct {
	kind     *fleet.AvailableMachine
	shard    int
	booting  bool
	machines []machineCapacity // those with room
	sorted   bool
}

// allocate gives up to limit tasks of a job room on the group's machines, the fullest first, so
// that others run empty and can be returned, and returns how many got some.
func (g *machineGroup) allocate(job *jobState, limit int) int {
	if !g.sorted {
		sort.Slice(g.machines, func(i, j int) bool { return g.machines[i].available.CPUs < g.machines[j].available.CPUs })
		g.sorted = true
	}
	task := job.spec.Resources()
	allocated := 0
	for i := range g.machines {
		if allocated == limit {
			break
		}
		machine := &g.machines[i]
		count := machine.taskCount(job.spec)
		if job.starved { // has waited too long to leave room for others
			count = task.CountIn(machine.available)
		}
		count = min(count, limit-allocated)
		machine.available = machine.available.Minus(task.Times(float64(count)))
		allocated += count
	}
	if allocated > 0 {
		g.removeFull()
	}
	return allocated
}

// removeFull drops the machines that have no room left.
func (g *machineGroup) removeFull() {
	remaining := g.machines[:0]
	for _, machine := range g.machines {
		if machine.hasRoom() {
			remaining = append(remaining, machine)
		}
	}
	g.machines = remaining
}

// capacityView is what the machines have left, as one dispatch round sees it: the round
// takes from it what it plans.
type capacityView struct {
	groups       []*machineGroup
	totalCPUs    []float64 // of all machines, by shard
	queuedCPUs   []float64 // of tasks that wait in the shards' queues, by shard
	machineCount int
}

// newCapacityView sums up what all available machines have left.
func newCapacityView(shards int, machines *fleet.Fleet, usage *MachineUsage, now time.Duration) *capacityView {
	view := &capacityView{totalCPUs: make([]float64, shards), queuedCPUs: make([]float64, shards)}
	type groupKey struct {
		kind    fleet.MachineKind
		shard   int
		booting bool
	}
	groups := map[groupKey]*machineGroup{}
	machines.EachAvailable(func(machine *fleet.AvailableMachine) {
		view.machineCount++
		view.totalCPUs[machine.Shard] += machine.MachineType.CPUs
		key := groupKey{machine.MachineKind, machine.Shard, machine.Booting}
		group := groups[key]
		if group == nil {
			kind := *machine
			group = &machineGroup{kind: &kind, shard: machine.Shard, booting: machine.Booting}
			groups[key] = group
			view.groups = append(view.groups, group)
		}
		capacity := machineCapacity{
			available: usage.available(machine.ID, machine.MachineType),
			cache:     usage.observe(machine.ID, machine.MachineType, now),
		}
		if capacity.hasRoom() {
			group.machines = append(group.machines, capacity)
		}
	})
	view.sortGroups()
	return view
}

// sortGroups puts small machines first: large ones are all that large tasks have.
func (v *capacityView) sortGroups() {
	sort.Slice(v.groups, func(i, j int) bool {
		a, b := v.groups[i], v.groups[j]
		if a.kind.MachineType.CPUs != b.kind.MachineType.CPUs {
			return a.kind.MachineType.CPUs < b.kind.MachineType.CPUs
		}
		if a.kind.MachineKind != b.kind.MachineKind {
			return a.kind.Before(b.kind.MachineKind)
		}
		return a.shard < b.shard
	})
}

// machineSet is the machines on which room for a job is sought.
type machineSet struct {
	zone    string // "" for any
	shard   int    // or anyShard
	booting bool   // those that boot, else those that are up
}

// includes reports whether the job may use the machines of a group of the set.
func (s machineSet) includes(group *machineGroup, spec *jobs.Spec) bool {
	return group.booting == s.booting && (s.shard == anyShard || group.shard == s.shard) && group.kind.CouldRun(spec, s.zone)
}

// allocate gives up to limit tasks of a job room on machines of a set, calls onAllocated with how
// many each shard took, and returns their sum.
func (v *capacityView) allocate(job *jobState, set machineSet, limit int, onAllocated func(shard, tasks int)) int {
	total := 0
	for _, group := range v.groups {
		if total == limit {
			break
		}
		if len(group.machines) == 0 || !set.includes(group, job.spec) {
			continue
		}
		if count := group.allocate(job, limit-total); count > 0 {
			total += count
			onAllocated(group.shard, count)
		}
	}
	return total
}

// occupy takes room for tasks that are not dispatched by it: they are in a shard already, are
// being recalled, or the room is kept for them. It returns for how many there was room.
func (v *capacityView) occupy(job *jobState, set machineSet, limit int) int {
	return v.allocate(job, set, limit, func(int, int) {})
}

// countTasks returns for how many tasks of a job the machines of a set have room; cached:
// only those that cache its image.
func (v *capacityView) countTasks(spec *jobs.Spec, set machineSet, cached bool) int {
	count := 0
	for _, group := range v.groups {
		if !set.includes(group, spec) {
			continue
		}
		for i := range group.machines {
			if machine := &group.machines[i]; !cached || machine.caches(spec.Image) {
				count += machine.taskCount(spec)
			}
		}
	}
	return count
}

// shardsByPreference lists the shards: home first, then those with the most free processors.
func (v *capacityView) shardsByPreference(home int) []int {
	shards := make([]int, len(v.totalCPUs))
	free := make([]float64, len(v.totalCPUs))
	for shard := range shards {
		shards[shard] = shard
	}
	for _, group := range v.groups {
		if !group.booting {
			for i := range group.machines {
				free[group.shard] += group.machines[i].available.CPUs
			}
		}
	}
	sort.SliceStable(shards, func(i, j int) bool {
		if a, b := shards[i] == home, shards[j] == home; a != b {
			return a
		}
		return free[shards[i]] > free[shards[j]]
	})
	return shards
}

// servingShards tells of each shard whether it has a machine that may run a job's tasks.
func (v *capacityView) servingShards(spec *jobs.Spec, zone string) []bool {
	serving := make([]bool, len(v.totalCPUs))
	for _, group := range v.groups {
		if !serving[group.shard] && group.kind.CouldRun(spec, zone) {
			serving[group.shard] = true
		}
	}
	return serving
}

// shardToQueueIn finds the shard in whose queues a task should wait: home, else the one
// whose queue is the shortest for its size; -1 if the queues are long enough.
func (v *capacityView) shardToQueueIn(spec *jobs.Spec, zone string, home int) int {
	best, bestLoad := -1, 0.0
	for shard, serving := range v.servingShards(spec, zone) {
		if !serving || (v.queuedCPUs[shard] > 0 && v.queuedCPUs[shard]+spec.CPUs > tuning.MaxQueuedShare*v.totalCPUs[shard]) {
			continue
		}
		if shard == home {
			return shard
		}
		if load := v.queuedCPUs[shard] / v.totalCPUs[shard]; best < 0 || load < bestLoad {
			best, bestLoad = shard, load
		}
	}
	return best
}

// queueableTasks returns how many tasks of a job the queues of a shard still take, at least
// one.
func (v *capacityView) queueableTasks(spec *jobs.Spec, shard int) int {
	task := resource.Vector{CPUs: spec.CPUs}
	return max(1, task.CountIn(resource.Vector{CPUs: tuning.MaxQueuedShare*v.totalCPUs[shard] - v.queuedCPUs[shard]}))
}
