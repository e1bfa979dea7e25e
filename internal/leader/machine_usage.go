package leader

import (
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// MachineUsage holds the usage of machines that is derived from the task records: the
// resources that the tasks placed on each machine use, and the images that they have caused it
// to cache. The leader updates it during its term; the fleet reads the loads.
type MachineUsage struct {
	shards            int
	loads             map[string]*machineLoad // by worker ID; no entry if no task is placed there
	placementsByImage map[string][]int        // number of placements in the term, by image and shard
	caches            map[string]*machineCache
	cachesPrunedAt    time.Duration
}

var _ fleet.LoadSource = (*MachineUsage)(nil)

// NewMachineUsage returns the usage of machines without any tasks. shards is the number of
// shards into which the machines are divided.
func NewMachineUsage(shards int) *MachineUsage {
	usage := &MachineUsage{shards: shards}
	usage.reset()
	return usage
}

// machineLoad is the sum of the resources that the tasks placed on a machine use.
type machineLoad struct {
	tasks          int
	used           resource.Vector
	movableCPUs    float64 // processors of tasks that could run on any spot machine
	serviceCPUs    float64 // processors of replicas of services
	cpusByPriority [jobs.PriorityCritical + 1]float64
}

// machineCache is the image cache of a machine, inferred from the tasks that were placed there
// during this term.
type machineCache struct {
	images      workers.ImageCache
	machineType *jobs.MachineType // nil until the machine is known
	seenAt      time.Duration     // when the machine was last available, by the loop's clock
}

// reset discards all loads, placements and caches.
func (u *MachineUsage) reset() {
	u.loads, u.placementsByImage, u.caches = map[string]*machineLoad{}, map[string][]int{}, map[string]*machineCache{}
}

// MachineLoad returns the processors that the tasks placed on a machine use.
func (u *MachineUsage) MachineLoad(machineID string) fleet.MachineLoad {
	if load := u.loads[machineID]; load != nil {
		return fleet.MachineLoad{CPUs: load.used.CPUs, MovableCPUs: load.movableCPUs, ServiceCPUs: load.serviceCPUs, CPUsByPriority: load.cpusByPriority}
	}
	return fleet.MachineLoad{}
}

// available returns the free resources of a machine of the given type.
func (u *MachineUsage) available(machineID string, machineType *jobs.MachineType) resource.Vector {
	available := machineType.Resources()
	if load := u.loads[machineID]; load != nil {
		available = available.Minus(load.used)
	}
	return available
}

// recordAvailable records that a machine of the given type is available. It returns the
// machine's cache, nil if no cached image is known.
func (u *MachineUsage) recordAvailable(machineID string, machineType *jobs.MachineType, now time.Duration) *machineCache {
	cache := u.caches[machineID]
	if cache != nil {
		cache.machineType, cache.seenAt = machineType, now
	}
	return cache
}

// homeShard returns the shard in which the most tasks with the image were placed in the term,
// -1 if none was.
func (u *MachineUsage) homeShard(image string) int {
	placements := u.placementsByImage[image]
	home := -1
	for shard, count := range placements {
		if count > 0 && (home < 0 || count > placements[home]) {
			home = shard
		}
	}
	return home
}

// count adds a placed task (sign 1) or subtracts it (sign -1).
func (u *MachineUsage) count(spec *jobs.Spec, shard int, workerID string, sign int) {
	load := u.loads[workerID]
	if load == nil {
		load = &machineLoad{}
		u.loads[workerID] = load
	}
	load.count(spec, sign)
	if load.tasks == 0 {
		delete(u.loads, workerID)
	}
	if sign > 0 {
		u.recordPlacement(spec, shard, workerID)
	}
}

func (l *machineLoad) count(spec *jobs.Spec, sign int) {
	l.tasks += sign
	delta := spec.Resources().Times(float64(sign))
	l.used = l.used.Plus(delta)
	l.cpusByPriority[spec.Priority()] += delta.CPUs
	if spec.IsService() {
		l.serviceCPUs += delta.CPUs
	}
	if isMovable(spec) {
		l.movableCPUs += delta.CPUs
	}
}

// recordPlacement counts a placement and records that the machine fetches the job's image.
func (u *MachineUsage) recordPlacement(spec *jobs.Spec, shard int, workerID string) {
	placements := u.placementsByImage[spec.Image]
	if placements == nil {
		placements = make([]int, u.shards)
		u.placementsByImage[spec.Image] = placements
	}
	if shard < len(placements) {
		placements[shard]++
	}
	cache := u.caches[workerID]
	if cache == nil {
		cache = &machineCache{}
		u.caches[workerID] = cache
	}
	cache.images.Use(spec.Image, spec.ImageGB, cache.machineType)
}

// pruneCaches removes the caches of machines that have not been available for
// tuning.ReleasedMachineMemory, at most once in that period.
func (u *MachineUsage) pruneCaches(now time.Duration) {
	if now-u.cachesPrunedAt <= tuning.ReleasedMachineMemory {
		return
	}
	u.cachesPrunedAt = now
	for machineID, cache := range u.caches {
		if now-cache.seenAt > tuning.ReleasedMachineMemory {
			delete(u.caches, machineID)
		}
	}
}

// isMovable reports whether the tasks of a job could run on any spot machine.
func isMovable(spec *jobs.Spec) bool {
	return spec.Spot && !spec.IsService() && !spec.IsGang() && spec.MachineTypes == nil && spec.Zone == "" && !spec.SameZone && !spec.Spread
}

// countRecord adds the tasks of a record to all sums (sign 1) or subtracts them (sign -1).
func (l *Leader) countRecord(job *jobState, record *taskstate.Record, sign int) {
	for _, status := range record.Statuses {
		l.countTask(job, record.Shard, status, sign)
	}
}

// countTask adds a task to the sums of its job, team and machine (sign 1) or subtracts it
// (sign -1).
func (l *Leader) countTask(job *jobState, shard int, status taskstate.TaskStatus, sign int) {
	counts := &job.counts
	switch status.State {
	case taskstate.StateReturned:
		return
	case taskstate.StateDone:
		counts.done += sign
		return
	case taskstate.StateWaiting, taskstate.StateDropped, taskstate.StatePlaced:
	}
	counts.open += sign
	if job.team != nil {
		job.team.count(job.spec, float64(sign))
	}
	if status.State == taskstate.StatePlaced {
		counts.placed += sign
		l.machines.count(job.spec, shard, status.WorkerID, sign)
	} else if shard < len(counts.waitingByShard) {
		counts.waitingByShard[shard] += sign
	}
}
