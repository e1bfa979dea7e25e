package leader

import (
	"sort"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/tuning"
)

// anyShard in place of a shard number selects all shards.
const anyShard = -1

// capacityView is the free capacity of all available machines in one dispatch round. The
// round subtracts from it what it plans.
type capacityView struct {
	backoffs     backoffSource
	now          time.Duration
	groups       []*machineGroup
	totalCPUs    []float64 // processors of all machines, by shard
	queuedCPUs   []float64 // processors that tasks in the shard's queues need, by shard
	machineCount int
}

// newCapacityView returns the free capacity of all available machines.
func newCapacityView(shards int, machines *fleet.Fleet, usage *MachineUsage, now time.Duration) *capacityView {
	view := &capacityView{backoffs: machines, now: now, totalCPUs: make([]float64, shards), queuedCPUs: make([]float64, shards)}
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
			id:   machine.ID,
			hold: machine.Hold, ownerReserved: machine.Reserved,
			available: usage.available(machine.ID, machine.MachineType),
			cache:     usage.recordAvailable(machine.ID, machine.MachineType, now),
		}
		if capacity.hasRoom() {
			group.machines = append(group.machines, capacity)
		}
	})
	view.sortGroups()
	return view
}

// roomFor returns the request of a job for room.
func (v *capacityView) roomFor(spec *jobs.Spec, starved bool) *roomRequest {
	return &roomRequest{spec: spec, priority: spec.Priority(), starved: starved, backoffs: v.backoffs, now: v.now}
}

// sortGroups sorts the groups by machine size, the smallest first: large tasks fit on large
// machines only, so small tasks should not occupy those.
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

// machineSet selects the machines that are considered for the tasks of a job.
type machineSet struct {
	zone    string // "" for all zones
	shard   int    // a shard or anyShard
	booting bool   // true: machines that boot; false: machines that are up
}

// includes reports whether a group belongs to the set and a job may use its machines now.
func (s machineSet) includes(group *machineGroup, request *roomRequest) bool {
	return group.booting == s.booting && (s.shard == anyShard || group.shard == s.shard) &&
		!request.backoff(group.shard).IsPaused(request.now) && group.kind.CouldRun(request.spec, s.zone)
}

// allocate allocates room for up to limit tasks of a job on the machines of a set and returns
// for how many there was room. It calls onAllocated for each machine group used, with the
// shard of the group and its number of tasks.
func (v *capacityView) allocate(job *jobState, set machineSet, limit int, onAllocated func(shard, tasks int)) int {
	total := 0
	request := v.roomFor(job.spec, job.starved)
	for _, group := range v.groups {
		if total == limit {
			break
		}
		if len(group.machines) == 0 || !set.includes(group, request) {
			continue
		}
		if count := group.allocate(request, limit-total); count > 0 {
			total += count
			onAllocated(group.shard, count)
		}
	}
	return total
}

// occupy allocates room for up to limit tasks that the caller does not dispatch now: they are
// in a shard already, are being recalled, or will be dispatched later. It returns for how many
// there was room.
func (v *capacityView) occupy(job *jobState, set machineSet, limit int) int {
	return v.allocate(job, set, limit, func(int, int) {})
}

// countTasks returns for how many tasks of a job the machines of a set have room. If cached
// is set, only machines that cache the image of the job count.
func (v *capacityView) countTasks(spec *jobs.Spec, set machineSet, cached bool) int {
	count := 0
	request := v.roomFor(spec, false)
	for _, group := range v.groups {
		if !set.includes(group, request) {
			continue
		}
		backoff := request.backoff(group.shard)
		for i := range group.machines {
			if machine := &group.machines[i]; !cached || machine.caches(spec.Image) {
				count += machine.taskCount(request, backoff)
			}
		}
	}
	return count
}

// shardsByPreference returns all shards: homeShard first, then the others by the free processors
// of their machines that are up, the most first.
func (v *capacityView) shardsByPreference(homeShard int) []int {
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
		if a, b := shards[i] == homeShard, shards[j] == homeShard; a != b {
			return a
		}
		return free[shards[i]] > free[shards[j]]
	})
	return shards
}

// servingShards reports for each shard whether it has a machine that may run tasks of a job, and does
// not pause the job.
func (v *capacityView) servingShards(spec *jobs.Spec, zone string) []bool {
	serving := make([]bool, len(v.totalCPUs))
	for _, group := range v.groups {
		if !serving[group.shard] && group.kind.CouldRun(spec, zone) && !v.isPaused(spec, group.shard) {
			serving[group.shard] = true
		}
	}
	return serving
}

// isPaused reports whether the owner of a shard places no tasks of a job now.
func (v *capacityView) isPaused(spec *jobs.Spec, shard int) bool {
	return v.backoffs.Backoff(spec.ID, shard).IsPaused(v.now)
}

// shardToQueueIn returns the shard in whose queues a task should wait: homeShard if its queues
// are not full, else the shard whose queues are the shortest relative to its processors. It
// returns -1 if the queues of all shards that could run the task are full.
func (v *capacityView) shardToQueueIn(spec *jobs.Spec, zone string, homeShard int) int {
	best, bestLoad := -1, 0.0
	for shard, serving := range v.servingShards(spec, zone) {
		if !serving || (v.queuedCPUs[shard] > 0 && v.queuedCPUs[shard]+spec.CPUs > tuning.MaxQueuedShare*v.totalCPUs[shard]) {
			continue
		}
		if shard == homeShard {
			return shard
		}
		if load := v.queuedCPUs[shard] / v.totalCPUs[shard]; best < 0 || load < bestLoad {
			best, bestLoad = shard, load
		}
	}
	return best
}

// queueableTasks returns how many more tasks of a job fit into the queues of a shard, at least
// one.
func (v *capacityView) queueableTasks(spec *jobs.Spec, shard int) int {
	task := resource.Vector{CPUs: spec.CPUs}
	return max(1, task.CountIn(resource.Vector{CPUs: tuning.MaxQueuedShare*v.totalCPUs[shard] - v.queuedCPUs[shard]}))
}
