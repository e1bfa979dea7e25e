package placement

import (
	"slices"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// placeArrivals places arriving tasks: on a machine with room that caches the image, else
// on another with room, else in the queue of a caching machine, else in the extra queue.
// The tasks of a job are alike and are placed together.
func (p *Planner) placeArrivals(round *placementRound) {
	tasks := slices.DeleteFunc(p.arrivals, func(task *taskstate.Task) bool {
		return task.State != taskstate.StateWaiting || task.Job.Cancelled || task.Queue.Queued
	})
	p.arrivals = nil
	slices.SortStableFunc(tasks, compare)
	for len(tasks) > 0 {
		count := countAlike(tasks, round)
		alike := tasks[:count]
		tasks = tasks[count:]
		if isDue(alike[0], round.now) {
			alike = p.startTasks(alike, round)
		}
		if len(alike) > 0 {
			p.enqueue(alike, round)
		}
	}
}

// countAlike tells how many tasks at the head of a list are of one job and may go to the
// same machines at the same time.
func countAlike(tasks []*taskstate.Task, round *placementRound) int {
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

// startTasks starts as many of a job's tasks as there is room for, and returns the others.
func (p *Planner) startTasks(tasks []*taskstate.Task, round *placementRound) []*taskstate.Task {
	spec := tasks[0].Job.Spec
	// As it is now: a machine caches the image as soon as a task is placed there.
	var byDistance [farthestImage + 1][]*workers.Worker
	for _, worker := range round.machinesFor(tasks[0]) {
		if round.isOpenTo(spec.Priority(), worker) {
			distance := imageDistance(worker, spec.Image)
			byDistance[distance] = append(byDistance[distance], worker)
		}
	}
	for _, machines := range byDistance {
		if len(tasks) > 0 && spec.IsService() {
			tasks = p.startReplicasApart(tasks, machines)
		}
		tasks = p.fillMachines(tasks, machines)
	}
	return tasks
}

// startReplicasApart starts one replica of a service on each of the machines that has none
// of its replicas yet, so that the end of one machine does not take all of them, and
// returns the others. Only machines that run replicas of services already are taken: no
// machine is kept, or rented, for being apart.
func (p *Planner) startReplicasApart(replicas []*taskstate.Task, machines []*workers.Worker) []*taskstate.Task {
	taken := map[string]bool{}
	for _, task := range replicas[0].Job.Tasks {
		if task.State == taskstate.StatePlaced {
			taken[task.WorkerID] = true
		}
	}
	for _, worker := range machines {
		if len(replicas) == 0 {
			break
		}
		if worker.ServiceCPUs > resource.Epsilon && !taken[worker.ID] && fits(replicas[0], worker) {
			p.machines.PlaceTask(replicas[0], worker)
			replicas = replicas[1:]
		}
	}
	return replicas
}

// fillMachines starts a job's tasks on the machines, one full after the other, and returns
// the tasks that are left.
func (p *Planner) fillMachines(tasks []*taskstate.Task, machines []*workers.Worker) []*taskstate.Task {
	for _, worker := range machines {
		for len(tasks) > 0 && fits(tasks[0], worker) {
			p.machines.PlaceTask(tasks[0], worker)
			tasks = tasks[1:]
		}
	}
	return tasks
}

// enqueue puts a job's tasks into the shortest queues of the machines that cache its image,
// else into the extra queue.
func (p *Planner) enqueue(tasks []*taskstate.Task, round *placementRound) {
	for _, task := range tasks {
		task.Queue.Queued = true
	}
	image := tasks[0].Job.Spec.Image
	var caching []*workers.Worker
	for _, worker := range round.accepting {
		if worker.HasImage(image) && couldFit(tasks[0], worker) {
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
