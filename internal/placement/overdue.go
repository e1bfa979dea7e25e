package placement

import (
	"cmp"
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// abovePriorities is above all priorities: a machine held below it takes no other work.
const abovePriorities = jobs.PriorityCritical + 1

// serveOverdue starts the work that has waited past the bound, and the first of jobs that
// starve, before anything else. What fits nowhere holds machines, so that its turn comes:
// from other work of its priority or below, or from any if its job starves. Without that,
// small tasks would take every processor that comes free.
func (p *Planner) serveOverdue(round *placementRound) {
	round.heldBelow = map[*workers.Worker]jobs.Priority{}
	var holding *taskstate.Job // one machine held for each job is enough
	p.serveOverdueGangs(round, abovePriorities, func(gang *pendingGang) bool { return round.isStarved(gang.job) })
	for _, task := range round.samples {
		if isQueued(task) && isDue(task, round.now) && task.Job != holding && round.isStarved(task.Job) &&
			!p.startOrHold(round, task, abovePriorities) {
			holding = task.Job
		}
	}
	p.serveOverdueGangs(round, jobs.PriorityLow, func(gang *pendingGang) bool {
		return round.now-gang.job.Gang.EnqueuedAt >= p.waitBound && !round.isStarved(gang.job)
	})
	for _, task := range p.extraQueue {
		if isQueued(task) && round.now-task.Queue.EnqueuedAt >= p.waitBound && isDue(task, round.now) && task.Job != holding && !round.isStarved(task.Job) &&
			!p.startOrHold(round, task, task.Job.Spec.Priority()+1) {
			holding = task.Job
		}
	}
}

// startOrHold starts an overdue task and tells whether it did. If there is no room, the
// machine where most is free is held from work below a priority.
func (p *Planner) startOrHold(round *placementRound, task *taskstate.Task, below jobs.Priority) bool {
	for _, worker := range round.machinesFor(task) {
		if round.isNotHeld(worker) && (fits(task, worker) || (round.isStarved(task.Job) && fitsWithReserved(task, worker))) {
			p.startQueued(task, worker)
			return true
		}
	}
	var best *workers.Worker
	mostFree := -1.0 // processors
	for _, worker := range round.accepting {
		if round.isHeld(worker) || !couldFit(task, worker) {
			continue
		}
		if free := worker.Free().CPUs; free > mostFree {
			best, mostFree = worker, free
		}
	}
	if best != nil {
		round.heldBelow[best] = below
	}
	return false
}

// serveOverdueGangs serves the gangs that are overdue: where there is no room for one,
// machines that would hold all of it are held until they do, from work of its priority or
// below, or from all work below a greater priority. A gang for which not all can be held
// holds none, so that no two wait for each other's places.
func (p *Planner) serveOverdueGangs(round *placementRound, atLeastBelow jobs.Priority, isOverdue func(*pendingGang) bool) {
	for i := range round.gangs {
		gang := &round.gangs[i]
		if gang.tasks == nil || !isOverdue(gang) || p.placeGang(round, gang, round.isNotHeld) {
			continue
		}
		below := max(atLeastBelow, gang.job.Spec.Priority()+1)
		// Machines where most is free come first: their turn is soonest.
		machines := slices.Clone(round.accepting)
		slices.SortStableFunc(machines, func(a, b *workers.Worker) int {
			return cmp.Compare(countThatFit(gang.tasks[0], b), countThatFit(gang.tasks[0], a))
		})
		for _, worker := range machinesToHold(machines, gang.tasks, round.isNotHeld) {
			round.heldBelow[worker] = below
		}
	}
}

// machinesToHold finds machines that would hold all tasks if they were empty, in the order
// given; none if there are not enough.
func machinesToHold(machines []*workers.Worker, tasks []*taskstate.Task, isUsable func(*workers.Worker) bool) []*workers.Worker {
	var held []*workers.Worker
	for zone, indexes := range groupByZone(tasks) {
		left := len(indexes)
		task := tasks[indexes[0]]
		for _, worker := range machines {
			if left <= 0 {
				break
			}
			if !isUsable(worker) || isBarred(task, worker) || (zone != "" && worker.Zone != zone) || slices.Contains(held, worker) || !couldFit(task, worker) {
				continue
			}
			held = append(held, worker)
			left -= countOnEmpty(task, worker)
		}
		if left > 0 {
			return nil
		}
	}
	return held
}
