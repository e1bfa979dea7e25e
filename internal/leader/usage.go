package leader

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// usage is what a team's open tasks take, and may take.
type usage struct {
	cpus, cards, cpusMax, cardsMax float64
	urgent                         float64       // processors of those of urgent jobs
	kept                           float64       // processors kept under the limit for urgent jobs
	at                             time.Duration // when that was last looked at
}

// load is what the tasks placed on a machine take.
type load struct {
	tasks               int
	cpus, cards, memory float64
	movable             float64 // processors of those that any spot machine could have
	services            float64 // processors of replicas of services
	byPriority          [jobs.PriorityCritical + 1]float64
}

// movable tells whether a job's tasks can as well run on spot machines.
func movable(d *jobs.Spec) bool {
	return d.Spot && !d.IsService() && !d.IsGang() && d.MachineTypes == nil && d.Zone == "" && !d.SameZone && !d.Spread
}

// cache is what a machine caches, as far as this leader has seen tasks placed
// there.
type cache struct {
	images workers.ImageCache
	kind   *jobs.MachineType // nil until the machine is known
	seen   time.Duration     // when it last was
}

// count adds a record's tasks to the sums, or takes them off.
func (l *Leader) count(p *jobState, r *taskstate.Record, sign int) {
	for _, m := range r.Statuses {
		l.mark(p, r.Shard, m, sign)
	}
}

// mark adds a task to the sums, or takes it off.
func (l *Leader) mark(p *jobState, block int, m taskstate.TaskStatus, sign int) {
	switch m.State {
	case taskstate.StateReturned:
		return
	case taskstate.StateDone:
		p.done += sign
		return
	}
	s := float64(sign)
	p.open += sign
	if u := l.usage[p.desc.Team]; u != nil {
		u.cpus += s * p.desc.CPUs
		u.cards += s * p.desc.GPUs
		if p.desc.Priority() >= jobs.PriorityUrgent {
			u.urgent += s * p.desc.CPUs
		}
	}
	if m.State != taskstate.StatePlaced {
		if block < len(p.waiting) {
			p.waiting[block] += sign
		}
		return
	}
	p.placed += sign
	h := l.loads[m.WorkerID]
	if h == nil {
		h = &load{}
		l.loads[m.WorkerID] = h
	}
	h.tasks += sign
	h.cpus += s * p.desc.CPUs
	h.byPriority[p.desc.Priority()] += s * p.desc.CPUs
	if p.desc.IsService() {
		h.services += s * p.desc.CPUs
	}
	if movable(p.desc) {
		h.movable += s * p.desc.CPUs
	}
	h.cards += s * p.desc.GPUs
	h.memory += s * p.desc.MemoryGB
	if h.tasks == 0 {
		delete(l.loads, m.WorkerID)
	}
	if sign > 0 {
		of := l.images[p.desc.Image]
		if of == nil {
			of = make([]int, l.set.ShardCount())
			l.images[p.desc.Image] = of
		}
		if block < len(of) {
			of[block]++
		}
		c := l.caches[m.WorkerID]
		if c == nil {
			c = &cache{}
			l.caches[m.WorkerID] = c
		}
		c.images.Use(p.desc.Image, p.desc.ImageGB, c.kind)
	}
}
