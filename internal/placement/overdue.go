package placement

import (
	"cmp"
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// aboveAllPriorities is greater than every priority: a machine held with it as the minimum
// priority accepts no other work.
const aboveAllPriorities = jobs.PriorityCritical + 1

// placeOverdue starts the first tasks of starved jobs, and then work that has waited for the
// bound or longer, before anything else. For work that fits nowhere, machines are held: they
// accept no other work of its priority or below, or no other work at all if its job is
// starved. Without holds, small tasks would use every processor that becomes free and the work
// would never start.
func (p *Planner) placeOverdue(round *placementRound) {
	var lastHolder *taskstate.Job // its tasks are skipped: one held machine per job is enough
	p.placeOverdueGangs(round, aboveAllPriorities, func(gang *pendingGang) bool { return round.isStarved(gang.job) })
	for _, task := range round.samples {
		if isQueued(task) && isDue(task, round.now) && task.Job != lastHolder && round.isStarved(task.Job) &&
			!p.startOrHold(round, task, aboveAllPriorities) {
			lastHolder = task.Job
		}
	}
	p.placeOverdueGangs(round, jobs.PriorityLow, func(gang *pendingGang) bool {
		return round.now-gang.job.Gang.EnqueuedAt >= p.waitBound && !round.isStarved(gang.job)
	})
	for _, task := range p.extraQueue {
		if isQueued(task) && round.now-task.Queue.EnqueuedAt >= p.waitBound && isDue(task, round.now) && task.Job != lastHolder && !round.isStarved(task.Job) &&
			!p.startOrHold(round, task, task.Job.Spec.Priority()+1) {
			lastHolder = task.Job
		}
	}
}

// startOrHold starts an overdue task and reports whether it did. If there is no room, it holds
// the machine with the most free processors on which the task could run, and only work of at
// least minPriority is placed there.
func (p *Planner) startOrHold(round *placementRound, task *taskstate.Task, minPriority jobs.Priority) bool {
	for _, worker := range round.machinesFor(task) {
		if isUnheld(worker) && (fits(task, worker, round.now) || (round.isStarved(task.Job) && fitsWithReserved(task, worker, round.now))) {
			p.startQueued(task, worker)
			return true
		}
	}
	var best *workers.Worker
	mostFree := -1.0 // processors
	for _, worker := range round.accepting {
		if worker.Hold.IsSet() || !couldFit(task, worker, round.now) {
			continue
		}
		if free := worker.Free().CPUs; free > mostFree {
			best, mostFree = worker, free
		}
	}
	if best != nil {
		hold(best, task.Job, minPriority)
	}
	return false
}

// hold holds a machine for a job until the next round: only other work of at least minPriority is
// placed there.
func hold(worker *workers.Worker, job *taskstate.Job, minPriority jobs.Priority) {
	worker.Hold = workers.Hold{JobID: job.Spec.ID, MinPriority: minPriority}
}

// placeOverdueGangs places the overdue gangs. If there is no room for a gang, it holds
// machines that could run the whole gang if they were empty, until it fits. They accept only
// work of a priority above the gang's and of at least leastMinPriority. If not enough machines
// can be held for a gang, none is, so that no two gangs wait for each other's machines.
func (p *Planner) placeOverdueGangs(round *placementRound, leastMinPriority jobs.Priority, isOverdue func(*pendingGang) bool) {
	for i := range round.gangs {
		gang := &round.gangs[i]
		if gang.tasks == nil || !isOverdue(gang) || p.placeGang(round, gang, isUnheld) {
			continue
		}
		minPriority := max(leastMinPriority, gang.job.Spec.Priority()+1)
		// Machines with the most room come first, since the gang will fit there soonest.
		machines := slices.Clone(round.accepting)
		slices.SortStableFunc(machines, func(a, b *workers.Worker) int {
			return cmp.Compare(countThatFit(gang.tasks[0], b), countThatFit(gang.tasks[0], a))
		})
		for _, worker := range machinesToHold(machines, gang.tasks, round) {
			hold(worker, gang.job, minPriority)
		}
	}
}

// machinesToHold returns machines on which all tasks would fit if the machines were empty,
// selected in the given order, or nil if there are not enough.
func machinesToHold(machines []*workers.Worker, tasks []*taskstate.Task, round *placementRound) []*workers.Worker {
	var held []*workers.Worker
	for _, indexes := range groupByZone(tasks) {
		remaining := len(indexes)
		task := tasks[indexes[0]]
		for _, worker := range machines {
			if remaining <= 0 {
				break
			}
			if worker.Hold.IsSet() || slices.Contains(held, worker) || !couldFit(task, worker, round.now) {
				continue
			}
			held = append(held, worker)
			remaining -= countThatFitEmpty(task, worker)
		}
		if remaining > 0 {
			return nil
		}
	}
	return held
}
