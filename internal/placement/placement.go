// Package placement is the out of order policy: every machine has a queue of
// tasks whose image it caches, the rest wait in an extra queue, and a machine
// with free room takes from its own queue, then from the extra queue, then
// the last task of the longest queue.
package placement

import (
	"slices"
	"sort"
	"time"

	"lemonmoor/internal/agents"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/work"
)

// Planner holds the queues.
type Planner struct {
	// Open tells whether a machine may be given tasks.
	Open func(*agents.Host) bool
	// Place gives a task to a machine.
	Place func(*work.Task, *agents.Host)
	// WaitBound is the wait in the extra queue after which a task goes first.
	WaitBound time.Duration

	arrivals []*work.Task
	queues   map[string][]*work.Task // by machine
	extra    []*work.Task
}

// New returns a planner with empty queues.
func New(bound time.Duration) *Planner {
	return &Planner{WaitBound: bound, queues: map[string][]*work.Task{}}
}

// Reset empties the queues.
func (p *Planner) Reset() {
	p.arrivals, p.extra = nil, nil
	clear(p.queues)
}

// Arrive takes a task that waits for a machine.
func (p *Planner) Arrive(t *work.Task, now time.Duration) {
	t.Queued = false
	t.Enqueued = now
	p.arrivals = append(p.arrivals, t)
}

// before orders tasks within a queue.
func before(a, b *work.Task) bool {
	if a.Job != b.Job {
		return work.Before(a.Job, b.Job)
	}
	return a.Index < b.Index
}

// Allowed tells whether the job may use a machine at all.
func Allowed(t *work.Task, h *agents.Host) bool {
	d := t.Job.Desc
	return (d.Builds == nil || slices.Contains(d.Builds, h.Build)) &&
		(d.Zone == "" || d.Zone == h.Zone) && (t.Zone == "" || t.Zone == h.Zone) &&
		(d.Spot || !h.Spot)
}

const slack = 1e-9 // sums of decimal amounts are not exact

// fits tells whether a machine may take a task now.
func fits(t *work.Task, h *agents.Host) bool {
	d := t.Job.Desc
	cpus, cards, memory := h.Free()
	return d.CPUs <= cpus+slack && d.Cards <= cards+slack && d.MemoryGB <= memory+slack &&
		t.Avoid != h.ID && Allowed(t, h)
}

// could tells whether a machine could take a task if it were empty.
func could(t *work.Task, h *agents.Host) bool {
	return h.Type != nil && h.Type.Runs(t.Job.Desc) && t.Avoid != h.ID && Allowed(t, h)
}

// live tells whether a queued task still waits.
func live(t *work.Task) bool { return t.State == work.Waiting && t.Queued && !t.Job.Cancelled }

// due tells whether a task is not paused after a failure.
func due(t *work.Task, now time.Duration) bool {
	return now >= t.NotBefore && now >= t.Job.NotBefore
}

// Round places what can be placed on the machines given.
func (p *Planner) Round(hosts []*agents.Host, now time.Duration) {
	var open []*agents.Host
	byID := map[string]*agents.Host{}
	for _, h := range hosts {
		byID[h.ID] = h
		if p.Open(h) {
			open = append(open, h)
		}
	}
	p.clean(byID)
	// The fullest machines first, so that others run empty and can be
	// returned.
	sort.SliceStable(open, func(i, k int) bool {
		a, _, _ := open[i].Free()
		b, _, _ := open[k].Free()
		return a < b
	})
	p.pull(open, now)
	p.arrive(open, now)
}

// clean removes tasks that no longer wait, and gives back the queues of
// machines that are gone or take no tasks.
func (p *Planner) clean(hosts map[string]*agents.Host) {
	dead := func(t *work.Task) bool { return !live(t) }
	p.extra = slices.DeleteFunc(p.extra, dead)
	for id, q := range p.queues {
		q = slices.DeleteFunc(q, dead)
		if h := hosts[id]; h == nil || !p.Open(h) {
			for _, t := range q {
				t.Queued = false
				p.arrivals = append(p.arrivals, t)
			}
			q = nil
		}
		if len(q) == 0 {
			delete(p.queues, id)
		} else {
			p.queues[id] = q
		}
	}
}

// pull lets the machines take from the queues, one priority after the other.
func (p *Planner) pull(open []*agents.Host, now time.Duration) {
	kept := p.overdue(open, now)
	for prio := jobs.Production; prio >= jobs.Low; prio-- {
		for _, h := range open {
			if kept[h] > prio {
				continue
			}
			for p.pullOne(h, prio, now) {
			}
		}
	}
}

// pullOne starts one task of a priority on a machine.
func (p *Planner) pullOne(h *agents.Host, prio jobs.Priority, now time.Duration) bool {
	if cpus, _, memory := h.Free(); cpus <= slack || memory <= slack {
		return false
	}
	if i := first(p.queues[h.ID], h, prio, now); i >= 0 {
		p.place(p.queues[h.ID][i], h)
		return true
	}
	if i := first(p.extra, h, prio, now); i >= 0 {
		p.place(p.extra[i], h)
		return true
	}
	// The last task of the longest queue that has one for this machine.
	var best *work.Task
	longest := 0
	for id, q := range p.queues {
		if id == h.ID || len(q) < longest {
			continue
		}
		if i := last(q, h, prio, now); i >= 0 && (len(q) > longest || before(q[i], best)) {
			best, longest = q[i], len(q)
		}
	}
	if best == nil {
		return false
	}
	p.place(best, h)
	return true
}

func (p *Planner) place(t *work.Task, h *agents.Host) {
	t.Queued = false
	p.Place(t, h)
}

// first finds the first task of a queue that the machine can start.
func first(q []*work.Task, h *agents.Host, prio jobs.Priority, now time.Duration) int {
	var skip *work.Job // its tasks are alike: if one does not fit, none does
	for i, t := range q {
		if t.Job == skip && t.Zone == "" && t.Avoid == "" {
			continue
		}
		if !live(t) || t.Job.Desc.Priority() != prio || !due(t, now) {
			continue
		}
		if fits(t, h) {
			return i
		}
		skip = t.Job
	}
	return -1
}

// last finds the last such task.
func last(q []*work.Task, h *agents.Host, prio jobs.Priority, now time.Duration) int {
	var skip *work.Job
	for i := len(q) - 1; i >= 0; i-- {
		t := q[i]
		if t.Job == skip && t.Zone == "" && t.Avoid == "" {
			continue
		}
		if !live(t) || t.Job.Desc.Priority() != prio || !due(t, now) {
			continue
		}
		if fits(t, h) {
			return i
		}
		skip = t.Job
	}
	return -1
}

// overdue starts the tasks that have waited past the bound, before anything
// else. One that fits nowhere keeps the machine where most is free from taking
// other work of its priority or below, so that its turn comes.
func (p *Planner) overdue(open []*agents.Host, now time.Duration) map[*agents.Host]jobs.Priority {
	kept := map[*agents.Host]jobs.Priority{}
	var skip *work.Job
	for _, t := range p.extra {
		if !live(t) || now-t.Enqueued < p.WaitBound || !due(t, now) || t.Job == skip {
			continue
		}
		var best *agents.Host
		for _, h := range open {
			if _, taken := kept[h]; !taken && fits(t, h) {
				best = h
				break
			}
		}
		if best != nil {
			p.place(t, best)
			continue
		}
		skip = t.Job // one machine kept for each job is enough
		most := -1.0
		for _, h := range open {
			if _, taken := kept[h]; taken || !could(t, h) {
				continue
			}
			if cpus, _, _ := h.Free(); cpus > most {
				best, most = h, cpus
			}
		}
		if best != nil {
			kept[best] = t.Job.Desc.Priority() + 1
		}
	}
	return kept
}

// arrive places arriving tasks: on a machine with room that caches the image,
// else on another with room, else in the queue of a caching machine, else in
// the extra queue.
func (p *Planner) arrive(open []*agents.Host, now time.Duration) {
	tasks := p.arrivals
	p.arrivals = nil
	sort.SliceStable(tasks, func(i, k int) bool { return before(tasks[i], tasks[k]) })
	var full *work.Job // no machine has room for its tasks
	for _, t := range tasks {
		if t.State != work.Waiting || t.Job.Cancelled || t.Queued {
			continue
		}
		if due(t, now) && !(t.Job == full && t.Zone == "" && t.Avoid == "") {
			var best *agents.Host
			cached := false
			for _, h := range open {
				if !fits(t, h) {
					continue
				}
				has := h.Caches(t.Job.Desc.Image)
				if best == nil || (has && !cached) || (has == cached && tighter(h, best)) {
					best, cached = h, has
				}
			}
			if best != nil {
				p.Place(t, best)
				continue
			}
			full = t.Job
		}
		p.queue(t, open)
	}
}

// tighter prefers the machine with less room left.
func tighter(a, b *agents.Host) bool {
	x, _, _ := a.Free()
	y, _, _ := b.Free()
	return x < y-slack
}

// queue puts a task into the shortest queue of a machine that caches its
// image, else into the extra queue.
func (p *Planner) queue(t *work.Task, open []*agents.Host) {
	t.Queued = true
	best, shortest := "", 0
	for _, h := range open {
		if !could(t, h) || !h.Caches(t.Job.Desc.Image) {
			continue
		}
		if n := len(p.queues[h.ID]); best == "" || n < shortest {
			best, shortest = h.ID, n
		}
	}
	if best == "" {
		p.extra = insert(p.extra, t)
		return
	}
	p.queues[best] = insert(p.queues[best], t)
}

// insert keeps a queue in order.
func insert(q []*work.Task, t *work.Task) []*work.Task {
	i := sort.Search(len(q), func(i int) bool { return before(t, q[i]) })
	return slices.Insert(q, i, t)
}

// Waiting returns the tasks in the queues, in order.
func (p *Planner) Waiting() []*work.Task {
	var all []*work.Task
	for _, t := range p.extra {
		if live(t) {
			all = append(all, t)
		}
	}
	for _, q := range p.queues {
		for _, t := range q {
			if live(t) {
				all = append(all, t)
			}
		}
	}
	sort.SliceStable(all, func(i, k int) bool { return before(all[i], all[k]) })
	return all
}
