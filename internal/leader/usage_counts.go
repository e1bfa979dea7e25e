package leader

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// teamUsage is what a team's open tasks take, and may take.
type teamUsage struct {
	cpus, gpus, maxCPUs, maxGPUs float64
	urgentCPUs                         float64       // processors of those of urgent jobs
	reservedCPUs                           float64       // processors kept under the limit for urgent jobs
	reservedAt                             time.Duration // when that was last looked at
}

// machineLoad is what the tasks placed on a machine take.
type machineLoad struct {
	tasks               int
	cpus, gpus, memoryGB float64
	movableCPUs             float64 // processors of those that any spot machine could have
	serviceCPUs            float64 // processors of replicas of services
	cpusByPriority          [jobs.PriorityCritical + 1]float64
}

// isMovable tells whether a job's tasks can as well run on spot machines.
func isMovable(d *jobs.Spec) bool {
	return d.Spot && !d.IsService() && !d.IsGang() && d.MachineTypes == nil && d.Zone == "" && !d.SameZone && !d.Spread
}

// machineCache is what a machine caches, as far as this leader has seen tasks placed
// there.
type machineCache struct {
	images workers.ImageCache
	machineType   *jobs.MachineType // nil until the machine is known
	seenAt   time.Duration     // when it last was
}

// count adds a record's tasks to the sums, or takes them off.
func (l *Leader) count(p *jobState, r *taskstate.Record, sign int) {
	for _, m := range r.Statuses {
		l.countTask(p, r.Shard, m, sign)
	}
}

// countTask adds a task to the sums, or takes it off.
func (l *Leader) countTask(p *jobState, block int, m taskstate.TaskStatus, sign int) {
	switch m.State {
	case taskstate.StateReturned:
		return
	case taskstate.StateDone:
		p.done += sign
		return
	}
	s := float64(sign)
	p.open += sign
	if u := l.teams[p.spec.Team]; u != nil {
		u.cpus += s * p.spec.CPUs
		u.gpus += s * p.spec.GPUs
		if p.spec.Priority() >= jobs.PriorityUrgent {
			u.urgentCPUs += s * p.spec.CPUs
		}
	}
	if m.State != taskstate.StatePlaced {
		if block < len(p.waitingByShard) {
			p.waitingByShard[block] += sign
		}
		return
	}
	p.placed += sign
	h := l.machineLoads[m.WorkerID]
	if h == nil {
		h = &machineLoad{}
		l.machineLoads[m.WorkerID] = h
	}
	h.tasks += sign
	h.cpus += s * p.spec.CPUs
	h.cpusByPriority[p.spec.Priority()] += s * p.spec.CPUs
	if p.spec.IsService() {
		h.serviceCPUs += s * p.spec.CPUs
	}
	if isMovable(p.spec) {
		h.movableCPUs += s * p.spec.CPUs
	}
	h.gpus += s * p.spec.GPUs
	h.memoryGB += s * p.spec.MemoryGB
	if h.tasks == 0 {
		delete(l.machineLoads, m.WorkerID)
	}
	if sign > 0 {
		of := l.placementsByImage[p.spec.Image]
		if of == nil {
			of = make([]int, l.settings.ShardCount())
			l.placementsByImage[p.spec.Image] = of
		}
		if block < len(of) {
			of[block]++
		}
		c := l.caches[m.WorkerID]
		if c == nil {
			c = &machineCache{}
			l.caches[m.WorkerID] = c
		}
		c.images.Use(p.spec.Image, p.spec.ImageGB, c.machineType)
	}
}
