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
	machines     Workers
	policy       Policy
	waitBound    time.Duration // wait in the extra queue after which a task goes first
	arrivals     []*taskstate.Task
	imageQueues  map[string][]*taskstate.Task // by machine
	extraQueue   []*taskstate.Task
	waitingGangs []*taskstate.Job // that want machines, as units; see gang.go
	expected     map[string]*expectedClass
}

// New returns a planner with empty queues. Tasks that have waited for waitBound in the
// extra queue go first.
func New(machines Workers, policy Policy, waitBound time.Duration) *Planner {
	return &Planner{machines: machines, policy: policy, waitBound: waitBound, imageQueues: map[string][]*taskstate.Task{}, expected: map[string]*expectedClass{}}
}

// Reset empties the queues.
func (p *Planner) Reset() {
	p.arrivals, p.extraQueue, p.waitingGangs = nil, nil, nil
	clear(p.imageQueues)
}

// AddTask takes a task that waits for a machine.
func (p *Planner) AddTask(task *taskstate.Task, now time.Duration) {
	task.Queued = false
	task.EnqueuedAt = now
	if task.Job.Gang != nil {
		p.addGang(task.Job, now)
		return
	}
	p.arrivals = append(p.arrivals, task)
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
func Allowed(task *taskstate.Task, worker *workers.Worker) bool {
	spec := task.Job.Spec
	return (spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, worker.MachineTypeName)) &&
		(spec.Zone == "" || spec.Zone == worker.Zone) && (task.Zone == "" || task.Zone == worker.Zone) &&
		(spec.Spot || !worker.Spot)
}

const slack = resource.Epsilon

// fits tells whether a machine may take a task now, without what is kept for
// gangs to come.
func fits(task *taskstate.Task, worker *workers.Worker) bool {
	return fitsIn(task, worker, worker.Free().Minus(worker.Reserved))
}

// fitsWithReserved is the same with what is kept.
func fitsWithReserved(task *taskstate.Task, worker *workers.Worker) bool {
	return fitsIn(task, worker, worker.Free())
}

func fitsIn(task *taskstate.Task, worker *workers.Worker, available resource.Vector) bool {
	return task.Job.Spec.Resources().Fits(available) && task.AvoidWorker != worker.ID && Allowed(task, worker)
}

// couldFit tells whether a machine could take a task if it were empty.
func couldFit(task *taskstate.Task, worker *workers.Worker) bool {
	return worker.MachineType != nil && worker.MachineType.CanRun(task.Job.Spec) && task.AvoidWorker != worker.ID && Allowed(task, worker)
}

// isQueued tells whether a queued task still waits.
func isQueued(task *taskstate.Task) bool {
	return task.State == taskstate.StateWaiting && task.Queued && !task.Job.Cancelled
}

// isDue tells whether a task is not paused after a failure.
func isDue(task *taskstate.Task, now time.Duration) bool {
	return now >= task.NotBefore && now >= task.Job.NotBefore
}

// isUnconstrained tells whether a task may go wherever any other of its job may.
func isUnconstrained(task *taskstate.Task) bool { return task.Zone == "" && task.AvoidWorker == "" }

// placementRound is what one placement round works on.
type placementRound struct {
	now       time.Duration
	accepting []*workers.Worker // machines that take tasks
	withRoom  []*workers.Worker // those with room, in the order in which arrays fill them
	// withRoomForServices is the same machines in the order in which services fill them.
	withRoomForServices []*workers.Worker
	// samples is one task of each job in the queues, for a quick look at
	// whether a machine has room for anything at all.
	samples   []*taskstate.Task
	wallMS    int64                             // time of day, ms
	heldBelow map[*workers.Worker]jobs.Priority // below these, nothing is placed there
	gangs     []pendingGang                     // that want machines now, in the jobs' order
}

// RunRound places what can be placed on the machines given.
func (p *Planner) RunRound(machines []*workers.Worker, now time.Duration, wallClock time.Time) {
	round := &placementRound{now: now, wallMS: wallClock.UnixMilli()}
	for _, worker := range machines {
		if !p.machines.AcceptsTasks(worker) {
			continue
		}
		round.accepting = append(round.accepting, worker)
		if free := worker.Free(); free.CPUs > slack && free.MemoryGB > slack {
			round.withRoom = append(round.withRoom, worker)
		}
	}
	round.sortMachines()
	p.dropSettledTasks(round)
	p.resortQueues(round)
	p.findPlaceableGangs(round)
	p.reserveForGangs(round)
	p.pullFromQueues(round)
	p.placeArrivals(round)
}

// dropSettledTasks removes tasks that no longer wait, and gives back the queues of
// machines that are gone or take no tasks.
func (p *Planner) dropSettledTasks(round *placementRound) {
	seen := map[*taskstate.Job]bool{}
	note := func(queue []*taskstate.Task) {
		var last *taskstate.Job
		for _, task := range queue {
			if task.Job != last || !isUnconstrained(task) {
				if last = task.Job; !seen[last] || !isUnconstrained(task) {
					seen[last] = true
					round.samples = append(round.samples, task)
				}
			}
		}
	}
	dead := func(task *taskstate.Task) bool { return !isQueued(task) }
	p.extraQueue = slices.DeleteFunc(p.extraQueue, dead)
	note(p.extraQueue)
	for id, queue := range p.imageQueues {
		queue = slices.DeleteFunc(queue, dead)
		if worker := p.machines.Worker(id); worker == nil || !p.machines.AcceptsTasks(worker) {
			for _, task := range queue {
				task.Queued = false
				p.arrivals = append(p.arrivals, task)
			}
			queue = nil
		}
		if len(queue) == 0 {
			delete(p.imageQueues, id)
		} else {
			p.imageQueues[id] = queue
			note(queue)
		}
	}
}

// resortQueues sorts the queues anew when the rank of a job has changed.
func (p *Planner) resortQueues(round *placementRound) {
	changed := false
	look := func(job *taskstate.Job) {
		if p.policy.UpdateRank(job, round.wallMS) {
			changed = true
		}
	}
	for _, task := range round.samples {
		look(task.Job)
	}
	var last *taskstate.Job
	for _, task := range p.arrivals {
		if task.Job != last {
			last = task.Job
			look(last)
		}
	}
	if !changed {
		return
	}
	slices.SortStableFunc(p.extraQueue, compare)
	for _, queue := range p.imageQueues {
		slices.SortStableFunc(queue, compare)
	}
}

// pullFromQueues lets the machines take from the queues, one priority after the other.
func (p *Planner) pullFromQueues(round *placementRound) {
	p.serveOverdue(round)
	for prio := jobs.PriorityCritical; prio >= jobs.PriorityLow; prio-- {
		var some []*taskstate.Task
		for _, task := range round.samples {
			if task.Job.Spec.Priority() == prio {
				some = append(some, task)
			}
		}
		p.placeGangs(round, prio)
		if len(some) == 0 {
			continue
		}
		for _, worker := range round.machinesFor(some...) {
			if round.heldBelow[worker] > prio {
				continue
			}
			for slices.ContainsFunc(some, func(task *taskstate.Task) bool { return fits(task, worker) }) && p.pullTask(worker, prio, round.now) {
			}
		}
	}
}

// pullTask starts one task of a priority on a machine.
func (p *Planner) pullTask(worker *workers.Worker, prio jobs.Priority, now time.Duration) bool {
	if i := firstStartable(p.imageQueues[worker.ID], worker, prio, now); i >= 0 {
		p.startQueued(p.imageQueues[worker.ID][i], worker)
		return true
	}
	if i := firstStartable(p.extraQueue, worker, prio, now); i >= 0 {
		p.startQueued(p.extraQueue[i], worker)
		return true
	}
	// The last task of the longest queue that has one for this machine; queues
	// with one whose image it caches come before the others. Several machines
	// cache an image here, each with its part of the tasks that wait for it: one
	// that has done its part goes on with theirs rather than fetch another.
	var best *taskstate.Task
	longest, cached := 0, false
	for id, queue := range p.imageQueues {
		if id == worker.ID {
			continue
		}
		if i := lastStartable(queue, worker, prio, now, true); i >= 0 {
			if !cached || len(queue) > longest || (len(queue) == longest && before(queue[i], best)) {
				best, longest, cached = queue[i], len(queue), true
			}
			continue
		}
		if cached || len(queue) < longest {
			continue
		}
		if i := lastStartable(queue, worker, prio, now, false); i >= 0 && (len(queue) > longest || before(queue[i], best)) {
			best, longest = queue[i], len(queue)
		}
	}
	if best == nil {
		return false
	}
	p.startQueued(best, worker)
	return true
}

func (p *Planner) startQueued(task *taskstate.Task, worker *workers.Worker) {
	task.Queued = false
	p.machines.PlaceTask(task, worker)
}

// canStart tells whether a machine can start a queued task of a priority;
// skip is a job whose plain tasks are known not to fit.
func canStart(task *taskstate.Task, worker *workers.Worker, prio jobs.Priority, now time.Duration, skip **taskstate.Job) bool {
	if (task.Job == *skip && isUnconstrained(task)) || !isQueued(task) || task.Job.Spec.Priority() != prio || !isDue(task, now) {
		return false
	}
	if fits(task, worker) {
		return true
	}
	*skip = task.Job // its tasks are alike: if one does not fit, none does
	return false
}

// firstStartable finds the first task of a queue that the machine can start.
func firstStartable(queue []*taskstate.Task, worker *workers.Worker, prio jobs.Priority, now time.Duration) int {
	var skip *taskstate.Job
	for i, task := range queue {
		if canStart(task, worker, prio, now, &skip) {
			return i
		}
	}
	return -1
}

// lastStartable finds the last such task, if asked only one whose image is cached.
func lastStartable(queue []*taskstate.Task, worker *workers.Worker, prio jobs.Priority, now time.Duration, cached bool) int {
	var skip *taskstate.Job
	for i := len(queue) - 1; i >= 0; i-- {
		if cached && !worker.HasImage(queue[i].Job.Spec.Image) {
			continue
		}
		if canStart(queue[i], worker, prio, now, &skip) {
			return i
		}
	}
	return -1
}

// isStarved tells whether nothing has been started of a job for so long that it
// goes before all others.
func (r *placementRound) isStarved(job *taskstate.Job) bool {
	return !job.HasPlacedTask && r.wallMS-job.SubmittedMS > tuning.StarvedAfter.Milliseconds()
}

// serveOverdue starts the tasks that have waited past the bound, and the first of
// jobs that starve, before anything else. One that fits nowhere keeps the
// machine where most is free from taking other work, so that its turn comes: of
// its priority or below, or any if its job starves.
func (p *Planner) serveOverdue(round *placementRound) {
	round.heldBelow = map[*workers.Worker]jobs.Priority{}
	var skip *taskstate.Job
	serve := func(task *taskstate.Task, over jobs.Priority) {
		var best *workers.Worker
		for _, worker := range round.machinesFor(task) {
			if _, taken := round.heldBelow[worker]; !taken && (fits(task, worker) || (round.isStarved(task.Job) && fitsWithReserved(task, worker))) {
				best = worker
				break
			}
		}
		if best != nil {
			p.startQueued(task, best)
			return
		}
		skip = task.Job // one machine kept for each job is enough
		most := -1.0
		for _, worker := range round.accepting {
			if _, taken := round.heldBelow[worker]; taken || !couldFit(task, worker) {
				continue
			}
			if free := worker.Free().CPUs; free > most {
				best, most = worker, free
			}
		}
		if best != nil {
			round.heldBelow[best] = over
		}
	}
	p.serveOverdueGangs(round, jobs.PriorityCritical+1, func(g *pendingGang) bool { return round.isStarved(g.job) })
	for _, task := range round.samples {
		if isQueued(task) && isDue(task, round.now) && task.Job != skip && round.isStarved(task.Job) {
			serve(task, jobs.PriorityCritical+1)
		}
	}
	p.serveOverdueGangs(round, 0, func(g *pendingGang) bool {
		return round.now-g.job.Gang.EnqueuedAt >= p.waitBound && !round.isStarved(g.job)
	})
	for _, task := range p.extraQueue {
		if isQueued(task) && round.now-task.EnqueuedAt >= p.waitBound && isDue(task, round.now) && task.Job != skip && !round.isStarved(task.Job) {
			serve(task, task.Job.Spec.Priority()+1)
		}
	}
}

// placeArrivals places arriving tasks: on a machine with room that caches the image,
// else on another with room, else in the queue of a caching machine, else in
// the extra queue. The tasks of a job are alike and are placed together.
func (p *Planner) placeArrivals(round *placementRound) {
	tasks := slices.DeleteFunc(p.arrivals, func(task *taskstate.Task) bool {
		return task.State != taskstate.StateWaiting || task.Job.Cancelled || task.Queued
	})
	p.arrivals = nil
	slices.SortStableFunc(tasks, compare)
	for len(tasks) > 0 {
		n := 1
		for isUnconstrained(tasks[0]) && n < len(tasks) && tasks[n].Job == tasks[0].Job && isUnconstrained(tasks[n]) &&
			isDue(tasks[n], round.now) == isDue(tasks[0], round.now) {
			n++
		}
		alike := tasks[:n]
		tasks = tasks[n:]
		if isDue(alike[0], round.now) {
			alike = p.startTasks(alike, round)
		}
		if len(alike) > 0 {
			p.enqueue(alike, round)
		}
	}
}

// imageDistance ranks machines for a job: those that cache its image, those that
// fetch nothing, and those where its image would share the rate with another.
func imageDistance(worker *workers.Worker, image string) int {
	switch {
	case worker.HasImage(image):
		return 0
	case worker.FetchingTasks == 0:
		return 1
	}
	return 2
}

// startTasks starts as many of a job's tasks as there is room for.
func (p *Planner) startTasks(tasks []*taskstate.Task, round *placementRound) []*taskstate.Task {
	job := tasks[0].Job
	// As it is now: a machine caches the image as soon as a task is placed there.
	var nearest [3][]*workers.Worker
	for _, worker := range round.machinesFor(tasks[0]) {
		if round.heldBelow[worker] <= job.Spec.Priority() {
			near := imageDistance(worker, job.Spec.Image)
			nearest[near] = append(nearest[near], worker)
		}
	}
	for _, hosts := range nearest {
		if len(tasks) > 0 && job.Spec.IsService() {
			tasks = p.startReplicasApart(tasks, hosts)
		}
		tasks = p.fillMachines(tasks, hosts)
	}
	return tasks
}

// startReplicasApart starts one replica of a service on each of the machines that has none of its
// replicas yet, so that the end of one machine does not take all of them. Only
// machines that run replicas of services already are taken: no machine is kept, or
// rented, for being apart.
func (p *Planner) startReplicasApart(tasks []*taskstate.Task, hosts []*workers.Worker) []*taskstate.Task {
	taken := map[string]bool{}
	for _, task := range tasks[0].Job.Tasks {
		if task.State == taskstate.StatePlaced {
			taken[task.WorkerID] = true
		}
	}
	for _, worker := range hosts {
		if len(tasks) == 0 {
			break
		}
		if worker.ServiceCPUs > slack && !taken[worker.ID] && fits(tasks[0], worker) {
			p.machines.PlaceTask(tasks[0], worker)
			tasks = tasks[1:]
		}
	}
	return tasks
}

// fillMachines starts a job's tasks on the machines, one full after the other.
func (p *Planner) fillMachines(tasks []*taskstate.Task, hosts []*workers.Worker) []*taskstate.Task {
	for _, worker := range hosts {
		for len(tasks) > 0 && fits(tasks[0], worker) {
			p.machines.PlaceTask(tasks[0], worker)
			tasks = tasks[1:]
		}
	}
	return tasks
}

// enqueue puts a job's tasks into the shortest queues of the machines that cache
// its image, else into the extra queue.
func (p *Planner) enqueue(tasks []*taskstate.Task, round *placementRound) {
	for _, task := range tasks {
		task.Queued = true
	}
	image := tasks[0].Job.Spec.Image
	var caching []*workers.Worker
	for _, worker := range round.accepting {
		if worker.HasImage(image) && couldFit(tasks[0], worker) {
			caching = append(caching, worker)
		}
	}
	if len(caching) == 0 {
		p.extraQueue = insertInOrder(p.extraQueue, tasks...)
		return
	}
	length := func(worker *workers.Worker) int { return len(p.imageQueues[worker.ID]) }
	slices.SortStableFunc(caching, func(a, b *workers.Worker) int { return length(a) - length(b) })
	for level := length(caching[0]); len(tasks) > 0; level++ {
		for _, worker := range caching {
			if len(tasks) == 0 || length(worker) > level {
				break
			}
			p.imageQueues[worker.ID] = insertInOrder(p.imageQueues[worker.ID], tasks[0])
			tasks = tasks[1:]
		}
	}
}

// insertInOrder keeps a queue in order; the tasks are in order and of one job.
func insertInOrder(queue []*taskstate.Task, tasks ...*taskstate.Task) []*taskstate.Task {
	i := sort.Search(len(queue), func(i int) bool { return before(tasks[0], queue[i]) })
	if i == len(queue) || queue[i].Job != tasks[0].Job {
		return slices.Insert(queue, i, tasks...)
	}
	for _, task := range tasks {
		i := sort.Search(len(queue), func(i int) bool { return before(task, queue[i]) })
		queue = slices.Insert(queue, i, task)
	}
	return queue
}
