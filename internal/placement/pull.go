package placement

import (
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// pullFromQueues lets the machines take from the queues, one priority after the other.
func (p *Planner) pullFromQueues(round *placementRound) {
	for priority := jobs.PriorityCritical; priority >= jobs.PriorityLow; priority-- {
		samples := round.samplesOf(priority)
		p.placeGangs(round, priority)
		if len(samples) == 0 {
			continue
		}
		for _, worker := range round.machinesFor(samples...) {
			if round.isOpenTo(priority, worker) {
				p.fillFromQueues(&machineOpening{worker, priority, round.now}, samples)
			}
		}
	}
}

// fillFromQueues has a machine take tasks for as long as any of the samples fits.
func (p *Planner) fillFromQueues(opening *machineOpening, samples []*taskstate.Task) {
	fitsHere := func(task *taskstate.Task) bool { return fits(task, opening.worker) }
	for slices.ContainsFunc(samples, fitsHere) {
		task := p.nextTask(opening)
		if task == nil {
			return
		}
		p.startQueued(task, opening.worker)
	}
}

// nextTask finds the task that a machine takes next, nil if there is none: of its own
// queue, else of the extra queue, else of another machine's.
func (p *Planner) nextTask(opening *machineOpening) *taskstate.Task {
	own := p.imageQueues[opening.worker.ID]
	if i := own.firstFor(opening); i >= 0 {
		return own[i]
	}
	if i := p.extraQueue.firstFor(opening); i >= 0 {
		return p.extraQueue[i]
	}
	return p.lastOfLongestQueue(opening)
}

// lastOfLongestQueue finds the last task of the longest queue that has one for a machine;
// queues with one whose image it caches come before the others. Several machines cache an
// image here, each with its part of the tasks that wait for it: one that has done its part
// goes on with theirs rather than fetch another.
func (p *Planner) lastOfLongestQueue(opening *machineOpening) *taskstate.Task {
	var best *taskstate.Task
	longest, cached := 0, false
	for id, queue := range p.imageQueues {
		if id == opening.worker.ID {
			continue
		}
		if i := queue.lastCachedFor(opening); i >= 0 {
			if !cached || len(queue) > longest || (len(queue) == longest && before(queue[i], best)) {
				best, longest, cached = queue[i], len(queue), true
			}
			continue
		}
		if cached || len(queue) < longest {
			continue
		}
		if i := queue.lastFor(opening); i >= 0 && (len(queue) > longest || before(queue[i], best)) {
			best, longest = queue[i], len(queue)
		}
	}
	return best
}

// startQueued places a task of a queue. It leaves the queue in the next round.
func (p *Planner) startQueued(task *taskstate.Task, worker *workers.Worker) {
	task.Queue.Queued = false
	p.machines.PlaceTask(task, worker)
}
