package placement

import (
	"slices"
	"time"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// placeArrivals places arriving tasks on a machine with room that caches the image, else on
// another machine with room, else in the queue of a machine that caches the image, else in
// the extra queue. Tasks of a job that are interchangeable are placed together.
func (p *Planner) placeArrivals(round *placementRound) {
	tasks := slices.DeleteFunc(p.arrivals, func(task *taskstate.Task) bool {
		return task.State != taskstate.StateWaiting || task.Job.Cancelled || task.Queue.Queued
	})
	p.arrivals = nil
	slices.SortStableFunc(tasks, compareTasks)
	for len(tasks) > 0 {
		count := countInterchangeable(tasks, round)
		batch := tasks[:count]
		tasks = tasks[count:]
		if isDue(batch[0], round.now) {
			batch = p.startTasks(batch, round)
		}
		if len(batch) > 0 {
			p.enqueue(batch, round)
		}
	}
}

// countInterchangeable returns how many tasks at the head of a list belong to one job and may
// be placed on the same machines at the same time.
func countInterchangeable(tasks []*taskstate.Task, round *placementRound) int {
	first := tasks[0]
	if !isUnconstrained(first) {
		return 1
	}
	count := 1
	for count < len(tasks) && tasks[count].Job == first.Job && isUnconstrained(tasks[count]) &&
		isDue(tasks[count], round.now) == isDue(first, round.now) {
		count++
	}
	return count
}

// startTasks starts as many of a job's tasks as there is room for and returns the others.
func (p *Planner) startTasks(tasks []*taskstate.Task, round *placementRound) []*taskstate.Task {
	spec := tasks[0].Job.Spec
	// The distances are computed before any task is placed, because a machine caches the
	// image as soon as one is placed there.
	var byDistance [farthestImage + 1][]*workers.Worker
	for _, worker := range round.machinesFor(tasks[0]) {
		if worker.Hold.Accepts(spec.Priority()) {
			distance := imageDistance(worker, spec.Image)
			byDistance[distance] = append(byDistance[distance], worker)
		}
	}
	for _, machines := range byDistance {
		if len(tasks) > 0 && spec.IsService() {
			tasks = p.spreadReplicas(tasks, machines, round.now)
		}
		tasks = p.fillMachines(tasks, machines, round.now)
	}
	return tasks
}

// spreadReplicas starts one replica of a service on each machine that runs none of its
// replicas yet and returns the replicas that are not started. It guards against losing all
// replicas with one machine. Only machines that already run replicas of services are used, so
// that no machine is retained or rented just for the spread.
func (p *Planner) spreadReplicas(replicas []*taskstate.Task, machines []*workers.Worker, now time.Duration) []*taskstate.Task {
	occupied := map[string]bool{}
	for _, task := range replicas[0].Job.Tasks {
		if task.State == taskstate.StatePlaced {
			occupied[task.WorkerID] = true
		}
	}
	for _, worker := range machines {
		if len(replicas) == 0 {
			break
		}
		if worker.ServiceCPUs > resource.Epsilon && !occupied[worker.ID] && fits(replicas[0], worker, now) {
			p.machines.PlaceTask(replicas[0], worker)
			replicas = replicas[1:]
		}
	}
	return replicas
}

// fillMachines starts a job's tasks on the machines in their order, filling each before the
// next, and returns the tasks that are not started.
func (p *Planner) fillMachines(tasks []*taskstate.Task, machines []*workers.Worker, now time.Duration) []*taskstate.Task {
	for _, worker := range machines {
		for len(tasks) > 0 && fits(tasks[0], worker, now) {
			p.machines.PlaceTask(tasks[0], worker)
			tasks = tasks[1:]
		}
	}
	return tasks
}

// enqueue adds a job's tasks to the queues of the machines that cache its image, the shortest
// first, or to the extra queue if there is no such machine.
func (p *Planner) enqueue(tasks []*taskstate.Task, round *placementRound) {
	for _, task := range tasks {
		task.Queue.Queued = true
	}
	image := tasks[0].Job.Spec.Image
	var caching []*workers.Worker
	for _, worker := range round.accepting {
		if worker.HasImage(image) && couldFit(tasks[0], worker, round.now) {
			caching = append(caching, worker)
		}
	}
	if len(caching) == 0 {
		p.extraQueue = p.extraQueue.insert(tasks...)
		return
	}
	length := func(worker *workers.Worker) int { return len(p.imageQueues[worker.ID]) }
	slices.SortStableFunc(caching, func(a, b *workers.Worker) int { return length(a) - length(b) })
	for level := length(caching[0]); len(tasks) > 0; level++ {
		for _, worker := range caching {
			if len(tasks) == 0 || length(worker) > level {
				break
			}
			p.imageQueues[worker.ID] = p.imageQueues[worker.ID].insert(tasks[0])
			tasks = tasks[1:]
		}
	}
}
