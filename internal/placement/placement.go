// Package placement is the out of order policy: every machine has a queue of
// tasks whose image it caches, the rest wait in an extra queue, and a machine
// with free room takes from its own queue, then from the extra queue, then
// the last task of the longest queue.
package placement

import (
	"slices"
	"sort"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// Workers is what a Planner asks of the machines of its shard.
type Workers interface {
	// AcceptsTasks tells whether a machine may be given tasks.
	AcceptsTasks(*workers.Worker) bool
	// Worker finds a machine by its name, nil if it is not known.
	Worker(id string) *workers.Worker
	// PlaceTask gives a task to a machine.
	PlaceTask(*taskstate.Task, *workers.Worker)
}

// Policy is what the users expect of jobs.
type Policy interface {
	// UpdateRank brings a job's rank up to a time of day in milliseconds and tells
	// whether it changed.
	UpdateRank(job *taskstate.Job, wallMS int64) bool
	// StartsPromptly tells whether gangs of a class should find room at once.
	StartsPromptly(class string) bool
}

// Planner holds the queues.
type Planner struct {
	machines  Workers
	policy    Policy
	waitBound time.Duration // wait in the extra queue after which a task goes first
	arrivals  []*taskstate.Task
	queues    map[string][]*taskstate.Task // by machine
	extra     []*taskstate.Task
	gangs     []*taskstate.Job // that want machines, as units; see gang.go
	expected  map[string]*expected
}

// New returns a planner with empty queues. Tasks that have waited for waitBound in the
// extra queue go first.
func New(machines Workers, policy Policy, waitBound time.Duration) *Planner {
	return &Planner{machines: machines, policy: policy, waitBound: waitBound, queues: map[string][]*taskstate.Task{}, expected: map[string]*expected{}}
}

// Reset empties the queues.
func (p *Planner) Reset() {
	p.arrivals, p.extra, p.gangs = nil, nil, nil
	clear(p.queues)
}

// AddTask takes a task that waits for a machine.
func (p *Planner) AddTask(t *taskstate.Task, now time.Duration) {
	t.Queued = false
	t.EnqueuedAt = now
	if t.Job.Gang != nil {
		p.gather(t.Job, now)
		return
	}
	p.arrivals = append(p.arrivals, t)
}

// before orders tasks within a queue.
func before(a, b *taskstate.Task) bool {
	if a.Job != b.Job {
		return taskstate.JobBefore(a.Job, b.Job)
	}
	return a.Index < b.Index
}

func compare(a, b *taskstate.Task) int {
	switch {
	case before(a, b):
		return -1
	case before(b, a):
		return 1
	}
	return 0
}

// Allowed tells whether the job may use a machine at all.
func Allowed(t *taskstate.Task, h *workers.Worker) bool {
	d := t.Job.Spec
	return (d.MachineTypes == nil || slices.Contains(d.MachineTypes, h.MachineTypeName)) &&
		(d.Zone == "" || d.Zone == h.Zone) && (t.Zone == "" || t.Zone == h.Zone) &&
		(d.Spot || !h.Spot)
}

const slack = resource.Epsilon

// fits tells whether a machine may take a task now, without what is kept for
// gangs to come.
func fits(t *taskstate.Task, h *workers.Worker) bool {
	return holds(t, h, h.Free().Minus(h.Reserved))
}

// fitsAtAll is the same with what is kept.
func fitsAtAll(t *taskstate.Task, h *workers.Worker) bool {
	return holds(t, h, h.Free())
}

func holds(t *taskstate.Task, h *workers.Worker, available resource.Vector) bool {
	return t.Job.Spec.Resources().Fits(available) && t.AvoidWorker != h.ID && Allowed(t, h)
}

// could tells whether a machine could take a task if it were empty.
func could(t *taskstate.Task, h *workers.Worker) bool {
	return h.MachineType != nil && h.MachineType.CanRun(t.Job.Spec) && t.AvoidWorker != h.ID && Allowed(t, h)
}

// live tells whether a queued task still waits.
func live(t *taskstate.Task) bool {
	return t.State == taskstate.StateWaiting && t.Queued && !t.Job.Cancelled
}

// due tells whether a task is not paused after a failure.
func due(t *taskstate.Task, now time.Duration) bool {
	return now >= t.NotBefore && now >= t.Job.NotBefore
}

// plain tells whether a task may go wherever any other of its job may.
func plain(t *taskstate.Task) bool { return t.Zone == "" && t.AvoidWorker == "" }

// round is what one placement round works on.
type round struct {
	now  time.Duration
	open []*workers.Worker // machines that take tasks
	free []*workers.Worker // those with room, in the order in which arrays fill them
	// forServices is the same machines in the order in which services fill them.
	forServices []*workers.Worker
	// waiting is one task of each job in the queues, for a quick look at
	// whether a machine has room for anything at all.
	waiting []*taskstate.Task
	wall    int64                             // time of day, ms
	kept    map[*workers.Worker]jobs.Priority // below these, nothing is placed there
	gangs   []gang                            // that want machines now, in the jobs' order
}

// RunRound places what can be placed on the machines given.
func (p *Planner) RunRound(hosts []*workers.Worker, now time.Duration, wall time.Time) {
	r := &round{now: now, wall: wall.UnixMilli()}
	for _, h := range hosts {
		if !p.machines.AcceptsTasks(h) {
			continue
		}
		r.open = append(r.open, h)
		if free := h.Free(); free.CPUs > slack && free.MemoryGB > slack {
			r.free = append(r.free, h)
		}
	}
	r.sort()
	p.clean(r)
	p.reorder(r)
	p.muster(r)
	p.keepWarm(r)
	p.pull(r)
	p.arrive(r)
}

// clean removes tasks that no longer wait, and gives back the queues of
// machines that are gone or take no tasks.
func (p *Planner) clean(r *round) {
	seen := map[*taskstate.Job]bool{}
	note := func(q []*taskstate.Task) {
		var last *taskstate.Job
		for _, t := range q {
			if t.Job != last || !plain(t) {
				if last = t.Job; !seen[last] || !plain(t) {
					seen[last] = true
					r.waiting = append(r.waiting, t)
				}
			}
		}
	}
	dead := func(t *taskstate.Task) bool { return !live(t) }
	p.extra = slices.DeleteFunc(p.extra, dead)
	note(p.extra)
	for id, q := range p.queues {
		q = slices.DeleteFunc(q, dead)
		if h := p.machines.Worker(id); h == nil || !p.machines.AcceptsTasks(h) {
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
			note(q)
		}
	}
}

// reorder sorts the queues anew when the rank of a job has changed.
func (p *Planner) reorder(r *round) {
	changed := false
	look := func(j *taskstate.Job) {
		if p.policy.UpdateRank(j, r.wall) {
			changed = true
		}
	}
	for _, t := range r.waiting {
		look(t.Job)
	}
	var last *taskstate.Job
	for _, t := range p.arrivals {
		if t.Job != last {
			last = t.Job
			look(last)
		}
	}
	if !changed {
		return
	}
	slices.SortStableFunc(p.extra, compare)
	for _, q := range p.queues {
		slices.SortStableFunc(q, compare)
	}
}

// pull lets the machines take from the queues, one priority after the other.
func (p *Planner) pull(r *round) {
	p.overdue(r)
	for prio := jobs.PriorityCritical; prio >= jobs.PriorityLow; prio-- {
		var some []*taskstate.Task
		for _, t := range r.waiting {
			if t.Job.Spec.Priority() == prio {
				some = append(some, t)
			}
		}
		p.enter(r, prio)
		if len(some) == 0 {
			continue
		}
		for _, h := range r.orderFor(some...) {
			if r.kept[h] > prio {
				continue
			}
			for slices.ContainsFunc(some, func(t *taskstate.Task) bool { return fits(t, h) }) && p.pullOne(h, prio, r.now) {
			}
		}
	}
}

// pullOne starts one task of a priority on a machine.
func (p *Planner) pullOne(h *workers.Worker, prio jobs.Priority, now time.Duration) bool {
	if i := first(p.queues[h.ID], h, prio, now); i >= 0 {
		p.place(p.queues[h.ID][i], h)
		return true
	}
	if i := first(p.extra, h, prio, now); i >= 0 {
		p.place(p.extra[i], h)
		return true
	}
	// The last task of the longest queue that has one for this machine; queues
	// with one whose image it caches come before the others. Several machines
	// cache an image here, each with its part of the tasks that wait for it: one
	// that has done its part goes on with theirs rather than fetch another.
	var best *taskstate.Task
	longest, cached := 0, false
	for id, q := range p.queues {
		if id == h.ID {
			continue
		}
		if i := last(q, h, prio, now, true); i >= 0 {
			if !cached || len(q) > longest || (len(q) == longest && before(q[i], best)) {
				best, longest, cached = q[i], len(q), true
			}
			continue
		}
		if cached || len(q) < longest {
			continue
		}
		if i := last(q, h, prio, now, false); i >= 0 && (len(q) > longest || before(q[i], best)) {
			best, longest = q[i], len(q)
		}
	}
	if best == nil {
		return false
	}
	p.place(best, h)
	return true
}

func (p *Planner) place(t *taskstate.Task, h *workers.Worker) {
	t.Queued = false
	p.machines.PlaceTask(t, h)
}

// candidate tells whether a machine can start a queued task of a priority;
// skip is a job whose plain tasks are known not to fit.
func candidate(t *taskstate.Task, h *workers.Worker, prio jobs.Priority, now time.Duration, skip **taskstate.Job) bool {
	if (t.Job == *skip && plain(t)) || !live(t) || t.Job.Spec.Priority() != prio || !due(t, now) {
		return false
	}
	if fits(t, h) {
		return true
	}
	*skip = t.Job // its tasks are alike: if one does not fit, none does
	return false
}

// first finds the first task of a queue that the machine can start.
func first(q []*taskstate.Task, h *workers.Worker, prio jobs.Priority, now time.Duration) int {
	var skip *taskstate.Job
	for i, t := range q {
		if candidate(t, h, prio, now, &skip) {
			return i
		}
	}
	return -1
}

// last finds the last such task, if asked only one whose image is cached.
func last(q []*taskstate.Task, h *workers.Worker, prio jobs.Priority, now time.Duration, cached bool) int {
	var skip *taskstate.Job
	for i := len(q) - 1; i >= 0; i-- {
		if cached && !h.HasImage(q[i].Job.Spec.Image) {
			continue
		}
		if candidate(q[i], h, prio, now, &skip) {
			return i
		}
	}
	return -1
}

// starved tells whether nothing has been started of a job for so long that it
// goes before all others.
func (r *round) starved(j *taskstate.Job) bool {
	return !j.HasPlacedTask && r.wall-j.SubmittedMS > tuning.StarvedAfter.Milliseconds()
}

// overdue starts the tasks that have waited past the bound, and the first of
// jobs that starve, before anything else. One that fits nowhere keeps the
// machine where most is free from taking other work, so that its turn comes: of
// its priority or below, or any if its job starves.
func (p *Planner) overdue(r *round) {
	r.kept = map[*workers.Worker]jobs.Priority{}
	var skip *taskstate.Job
	serve := func(t *taskstate.Task, over jobs.Priority) {
		var best *workers.Worker
		for _, h := range r.orderFor(t) {
			if _, taken := r.kept[h]; !taken && (fits(t, h) || (r.starved(t.Job) && fitsAtAll(t, h))) {
				best = h
				break
			}
		}
		if best != nil {
			p.place(t, best)
			return
		}
		skip = t.Job // one machine kept for each job is enough
		most := -1.0
		for _, h := range r.open {
			if _, taken := r.kept[h]; taken || !could(t, h) {
				continue
			}
			if free := h.Free().CPUs; free > most {
				best, most = h, free
			}
		}
		if best != nil {
			r.kept[best] = over
		}
	}
	p.collect(r, jobs.PriorityCritical+1, func(g *gang) bool { return r.starved(g.job) })
	for _, t := range r.waiting {
		if live(t) && due(t, r.now) && t.Job != skip && r.starved(t.Job) {
			serve(t, jobs.PriorityCritical+1)
		}
	}
	p.collect(r, 0, func(g *gang) bool { return r.now-g.job.Gang.EnqueuedAt >= p.waitBound && !r.starved(g.job) })
	for _, t := range p.extra {
		if live(t) && r.now-t.EnqueuedAt >= p.waitBound && due(t, r.now) && t.Job != skip && !r.starved(t.Job) {
			serve(t, t.Job.Spec.Priority()+1)
		}
	}
}

// arrive places arriving tasks: on a machine with room that caches the image,
// else on another with room, else in the queue of a caching machine, else in
// the extra queue. The tasks of a job are alike and are placed together.
func (p *Planner) arrive(r *round) {
	tasks := slices.DeleteFunc(p.arrivals, func(t *taskstate.Task) bool {
		return t.State != taskstate.StateWaiting || t.Job.Cancelled || t.Queued
	})
	p.arrivals = nil
	slices.SortStableFunc(tasks, compare)
	for len(tasks) > 0 {
		n := 1
		for plain(tasks[0]) && n < len(tasks) && tasks[n].Job == tasks[0].Job && plain(tasks[n]) &&
			due(tasks[n], r.now) == due(tasks[0], r.now) {
			n++
		}
		alike := tasks[:n]
		tasks = tasks[n:]
		if due(alike[0], r.now) {
			alike = p.spread(alike, r)
		}
		if len(alike) > 0 {
			p.queue(alike, r)
		}
	}
}

// nearness ranks machines for a job: those that cache its image, those that
// fetch nothing, and those where its image would share the rate with another.
func nearness(h *workers.Worker, image string) int {
	switch {
	case h.HasImage(image):
		return 0
	case h.FetchingTasks == 0:
		return 1
	}
	return 2
}

// spread starts as many of a job's tasks as there is room for.
func (p *Planner) spread(tasks []*taskstate.Task, r *round) []*taskstate.Task {
	job := tasks[0].Job
	// As it is now: a machine caches the image as soon as a task is placed there.
	var nearest [3][]*workers.Worker
	for _, h := range r.orderFor(tasks[0]) {
		if r.kept[h] <= job.Spec.Priority() {
			near := nearness(h, job.Spec.Image)
			nearest[near] = append(nearest[near], h)
		}
	}
	for _, hosts := range nearest {
		if len(tasks) > 0 && job.Spec.IsService() {
			tasks = p.apart(tasks, hosts)
		}
		tasks = p.fill(tasks, hosts)
	}
	return tasks
}

// apart starts one replica of a service on each of the machines that has none of its
// replicas yet, so that the end of one machine does not take all of them. Only
// machines that run replicas of services already are taken: no machine is kept, or
// rented, for being apart.
func (p *Planner) apart(tasks []*taskstate.Task, hosts []*workers.Worker) []*taskstate.Task {
	taken := map[string]bool{}
	for _, t := range tasks[0].Job.Tasks {
		if t.State == taskstate.StatePlaced {
			taken[t.WorkerID] = true
		}
	}
	for _, h := range hosts {
		if len(tasks) == 0 {
			break
		}
		if h.ServiceCPUs > slack && !taken[h.ID] && fits(tasks[0], h) {
			p.machines.PlaceTask(tasks[0], h)
			tasks = tasks[1:]
		}
	}
	return tasks
}

// fill starts a job's tasks on the machines, one full after the other.
func (p *Planner) fill(tasks []*taskstate.Task, hosts []*workers.Worker) []*taskstate.Task {
	for _, h := range hosts {
		for len(tasks) > 0 && fits(tasks[0], h) {
			p.machines.PlaceTask(tasks[0], h)
			tasks = tasks[1:]
		}
	}
	return tasks
}

// queue puts a job's tasks into the shortest queues of the machines that cache
// its image, else into the extra queue.
func (p *Planner) queue(tasks []*taskstate.Task, r *round) {
	for _, t := range tasks {
		t.Queued = true
	}
	image := tasks[0].Job.Spec.Image
	var caching []*workers.Worker
	for _, h := range r.open {
		if h.HasImage(image) && could(tasks[0], h) {
			caching = append(caching, h)
		}
	}
	if len(caching) == 0 {
		p.extra = insert(p.extra, tasks...)
		return
	}
	length := func(h *workers.Worker) int { return len(p.queues[h.ID]) }
	slices.SortStableFunc(caching, func(a, b *workers.Worker) int { return length(a) - length(b) })
	for level := length(caching[0]); len(tasks) > 0; level++ {
		for _, h := range caching {
			if len(tasks) == 0 || length(h) > level {
				break
			}
			p.queues[h.ID] = insert(p.queues[h.ID], tasks[0])
			tasks = tasks[1:]
		}
	}
}

// insert keeps a queue in order; the tasks are in order and of one job.
func insert(q []*taskstate.Task, tasks ...*taskstate.Task) []*taskstate.Task {
	i := sort.Search(len(q), func(i int) bool { return before(tasks[0], q[i]) })
	if i == len(q) || q[i].Job != tasks[0].Job {
		return slices.Insert(q, i, tasks...)
	}
	for _, t := range tasks {
		i := sort.Search(len(q), func(i int) bool { return before(t, q[i]) })
		q = slices.Insert(q, i, t)
	}
	return q
}
