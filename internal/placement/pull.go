package placement

import (
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// pullFromQueues fills the machines from the queues, one priority after the other, the
// highest first. Within a priority, gangs are placed first.
func (p *Planner) pullFromQueues(round *placementRound) {
	for priority := jobs.PriorityCritical; priority >= jobs.PriorityLow; priority-- {
		samples := round.samplesOf(priority)
		p.placeGangs(round, priority)
		if len(samples) == 0 {
			continue
		}
		for _, worker := range round.machinesFor(samples...) {
			if worker.Hold.Accepts(priority) {
				p.fillFromQueues(&pullFilter{worker, priority, round.now}, samples)
			}
		}
	}
}

// fillFromQueues starts queued tasks on a machine while any of the samples fits.
func (p *Planner) fillFromQueues(filter *pullFilter, samples []*taskstate.Task) {
	fitsHere := func(task *taskstate.Task) bool { return fits(task, filter.worker, filter.now) }
	for slices.ContainsFunc(samples, fitsHere) {
		task := p.nextTaskFor(filter)
		if task == nil {
			return
		}
		p.startQueued(task, filter.worker)
	}
}

// nextTaskFor returns the task that a machine pulls next: from its own queue, else from the
// extra queue, else from another machine's queue. It returns nil if none can start there.
func (p *Planner) nextTaskFor(filter *pullFilter) *taskstate.Task {
	own := p.imageQueues[filter.worker.ID]
	if i := own.firstFor(filter); i >= 0 {
		return own[i]
	}
	if i := p.extraQueue.firstFor(filter); i >= 0 {
		return p.extraQueue[i]
	}
	return p.lastOfLongestQueue(filter)
}

// lastOfLongestQueue returns the last task that can start on a machine from the longest queue
// of another machine that has such a task, or nil. Queues with a startable task whose image
// the machine caches come before longer queues without one: several machines may cache an
// image, each with a part of the tasks that wait for it, and a machine that has finished its
// own part continues with the others' parts rather than fetch another image.
func (p *Planner) lastOfLongestQueue(filter *pullFilter) *taskstate.Task {
	var best *taskstate.Task
	longest, isCached := 0, false
	for id, queue := range p.imageQueues {
		if id == filter.worker.ID {
			continue
		}
		if i := queue.lastCachedFor(filter); i >= 0 {
			if !isCached || len(queue) > longest || (len(queue) == longest && taskBefore(queue[i], best)) {
				best, longest, isCached = queue[i], len(queue), true
			}
			continue
		}
		if isCached || len(queue) < longest {
			continue
		}
		if i := queue.lastFor(filter); i >= 0 && (len(queue) > longest || taskBefore(queue[i], best)) {
			best, longest = queue[i], len(queue)
		}
	}
	return best
}

// startQueued places a queued task. The task is removed from its queue in the next round.
func (p *Planner) startQueued(task *taskstate.Task, worker *workers.Worker) {
	task.Queue.Queued = false
	p.machines.PlaceTask(task, worker)
}
