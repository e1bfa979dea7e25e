package leader

import (
	"sort"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/workers"
)

// machineCapacity is the free capacity of one machine.
type machineCapacity struct {
	id        string
	available resource.Vector
	reserved  resource.Vector // by the leader: room for gangs and starved jobs only
	cache     *machineCache   // nil if no cached image is known
	// hold and ownerReserved are what the shard's owner keeps for overdue work and for gangs.
	hold          workers.Hold
	ownerReserved resource.Vector
}

// taskCount returns how many tasks of a job the machine has room for on which its shard's owner would
// place them now. Gangs may use reserved room, other jobs may not unless they are starved.
func (m *machineCapacity) taskCount(request *roomRequest, backoff *fleet.Backoff) int {
	switch {
	case !m.hold.AcceptsJob(request.spec.ID, request.priority) || backoff.Avoids(m.id, request.now):
		return 0
	case request.spec.IsGang() || request.starved:
		return request.spec.Resources().CountIn(m.available)
	}
	// The shard's owner and the leader reserve separately, and often the same room.
	return min(m.unreservedTaskCount(request.spec), request.spec.Resources().CountIn(m.available.Minus(m.ownerReserved)))
}

// unreservedTaskCount returns how many tasks of a job fit into the room that the leader has not
// reserved.
func (m *machineCapacity) unreservedTaskCount(spec *jobs.Spec) int {
	return spec.Resources().CountIn(m.available.Minus(m.reserved))
}

// caches reports whether the machine is known to cache an image.
func (m *machineCapacity) caches(image string) bool {
	return m.cache != nil && m.cache.images.Contains(image)
}

// hasRoom reports whether the machine has any processors and memory left.
func (m *machineCapacity) hasRoom() bool {
	return m.available.CPUs > resource.Epsilon && m.available.MemoryGB > resource.Epsilon
}

// roomRequest is a job for whose tasks room is counted or allocated.
type roomRequest struct {
	spec     *jobs.Spec
	priority jobs.Priority
	starved  bool // has waited too long to leave reserved room unused
	backoffs backoffSource
	now      time.Duration
}

// backoffSource tells what keeps a job off machines of a shard, nil if nothing does. It is
// implemented by fleet.Fleet.
type backoffSource interface {
	Backoff(jobID string, shard int) *fleet.Backoff
}

// backoff returns what keeps the job off machines of a shard, nil if nothing does.
func (r *roomRequest) backoff(shard int) *fleet.Backoff { return r.backoffs.Backoff(r.spec.ID, shard) }

// machineGroup is the machines of one kind in one shard that are either all up or all
// booting. Whether a job may use them is decided once for the whole group.
type machineGroup struct {
	kind     *fleet.AvailableMachine
	shard    int
	booting  bool
	machines []machineCapacity // those that have room
	sorted   bool              // machines is sorted by free processors, the fewest first
}

// allocate allocates room for up to limit tasks of a job on the machines of the group and
// returns for how many there was room. The fullest machines are used first, so that the
// others become empty and can be released.
func (g *machineGroup) allocate(request *roomRequest, limit int) int {
	if !g.sorted {
		sort.Slice(g.machines, func(i, j int) bool { return g.machines[i].available.CPUs < g.machines[j].available.CPUs })
		g.sorted = true
	}
	task := request.spec.Resources()
	backoff := request.backoff(g.shard)
	allocated := 0
	for i := range g.machines {
		if allocated == limit {
			break
		}
		machine := &g.machines[i]
		count := min(machine.taskCount(request, backoff), limit-allocated)
		machine.available = machine.available.Minus(task.Times(float64(count)))
		allocated += count
	}
	if allocated > 0 {
		g.removeFull()
	}
	return allocated
}

// removeFull removes the machines that have no room left.
func (g *machineGroup) removeFull() {
	remaining := g.machines[:0]
	for _, machine := range g.machines {
		if machine.hasRoom() {
			remaining = append(remaining, machine)
		}
	}
	g.machines = remaining
}
