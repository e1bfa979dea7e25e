package placement

import (
	"cmp"
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// The planner places a gang as one unit: in one round, either all of its tasks that need a
// machine are placed or none is. It waits as a unit of the extra queue, since it may need
// several machines, and precedes the other work of its priority. Of the machines with room,
// those that cache its image are preferred, and as few of them as possible.

// pendingGang contains the tasks of a job that must be placed together.
type pendingGang struct {
	job   *taskstate.Job
	tasks []*taskstate.Task // in ascending order of index; nil once placed
}

// enqueueGang adds a job whose tasks run together to the waiting gangs, once, and records it
// in the forecast if gangs of its class should start promptly.
func (p *Planner) enqueueGang(job *taskstate.Job, now time.Duration) {
	if slices.Contains(p.waitingGangs, job) {
		return
	}
	p.waitingGangs = append(p.waitingGangs, job)
	job.Gang.EnqueuedAt = now
	if p.policy.StartsPromptly(job.Spec.Class) {
		p.forecast.Observe(job.Spec, len(job.Tasks), now)
	}
}

// findPlaceableGangs adds the waiting gangs that may be placed now to the round, in the order
// of their jobs, and removes settled ones. A gang with a paused task is skipped.
func (p *Planner) findPlaceableGangs(round *placementRound) {
	p.waitingGangs = slices.DeleteFunc(p.waitingGangs, isGangSettled)
	for _, job := range p.waitingGangs {
		tasks := job.TasksToPlace()
		isPaused := func(task *taskstate.Task) bool { return !isDue(task, round.now) }
		if len(tasks) == 0 || slices.ContainsFunc(tasks, isPaused) {
			continue
		}
		p.policy.UpdateRank(job, round.wallMS)
		slices.SortFunc(tasks, func(a, b *taskstate.Task) int { return cmp.Compare(a.Index, b.Index) })
		round.gangs = append(round.gangs, pendingGang{job, tasks})
	}
	slices.SortFunc(round.gangs, func(a, b pendingGang) int { return compareTasks(a.tasks[0], b.tasks[0]) })
}

// isGangSettled reports whether no task of a gang waits for a machine any longer.
func isGangSettled(job *taskstate.Job) bool {
	for _, task := range job.Tasks {
		if task.State == taskstate.StateWaiting {
			return job.Cancelled
		}
	}
	return true
}

// placeGangs places those gangs of a priority for which there is room.
func (p *Planner) placeGangs(round *placementRound, priority jobs.Priority) {
	isUsable := func(worker *workers.Worker) bool { return worker.Hold.Accepts(priority) }
	for i := range round.gangs {
		gang := &round.gangs[i]
		if gang.tasks != nil && gang.job.Spec.Priority() == priority {
			p.placeGang(round, gang, isUsable)
		}
	}
}

// placeGang places all tasks of a gang on machines with room, or none, and reports whether it
// placed them.
func (p *Planner) placeGang(round *placementRound, gang *pendingGang, isUsable func(*workers.Worker) bool) bool {
	machines := findMachines(round.withRoom, gang.tasks, isUsable, countThatFit, round.now)
	if machines == nil {
		return false
	}
	for i, task := range gang.tasks {
		p.machines.PlaceTask(task, machines[i])
	}
	gang.tasks = nil
	return true
}

// groupByZone groups tasks by the zones fixed for them, "" for none. The groups contain the
// tasks' indexes in the list.
func groupByZone(tasks []*taskstate.Task) map[string][]int {
	byZone := map[string][]int{}
	for i, task := range tasks {
		byZone[task.Zone] = append(byZone[task.Zone], i)
	}
	return byZone
}

// findMachines returns a machine for each task of a gang, or nil if there is not enough room.
// Machines nearest to the image come first; at equal distance, the one that can run the most
// of the remaining tasks, and of equals the one with the least capacity. A gang runs at the
// speed of its slowest machine, and tasks on few machines have similar speeds. count returns
// how many of the tasks a machine has room for.
func findMachines(machines []*workers.Worker, tasks []*taskstate.Task, isUsable func(*workers.Worker) bool, count func(*taskstate.Task, *workers.Worker) int, now time.Duration) []*workers.Worker {
	found := make([]*workers.Worker, len(tasks))
	for _, indexes := range groupByZone(tasks) {
		search := zoneSearch{tasks: tasks, unassigned: indexes, now: now}
		for _, worker := range machines {
			if Allowed(tasks[indexes[0]], worker) && !tasks[0].Job.Failures.Avoids(worker.ID, now) && isUsable(worker) {
				search.add(worker, count(tasks[0], worker))
			}
		}
		if !search.assign(found) {
			return nil
		}
	}
	return found
}

// zoneSearch assigns machines to those tasks of a gang that are fixed to one zone, or to
// those that are fixed to none.
type zoneSearch struct {
	tasks         []*taskstate.Task // all tasks of the gang
	unassigned    []int             // indexes of tasks that have no machine yet
	candidates    []gangCandidate
	totalCapacity int // in tasks, of all candidates
	now           time.Duration
}

// gangCandidate is a machine that can run tasks of a gang.
type gangCandidate struct {
	worker   *workers.Worker
	capacity int // in tasks
	distance int // see imageDistance
}

// add adds a machine with room for capacity tasks as a candidate, unless capacity is 0.
func (s *zoneSearch) add(worker *workers.Worker, capacity int) {
	if capacity > 0 {
		s.candidates = append(s.candidates, gangCandidate{worker, capacity, imageDistance(worker, s.tasks[0].Job.Spec.Image)})
		s.totalCapacity += capacity
	}
}

// assign sets the element of found for each unassigned task to a machine and reports whether
// the candidates had room for all of them.
func (s *zoneSearch) assign(found []*workers.Worker) bool {
	if s.totalCapacity < len(s.unassigned) {
		return false
	}
	hasExclusions := slices.ContainsFunc(s.unassigned, func(i int) bool {
		return len(s.tasks[i].Tried.Workers) > 0
	})
	for len(s.unassigned) > 0 {
		best := s.bestCandidate(hasExclusions)
		if best == nil {
			return false
		}
		s.unassigned = slices.DeleteFunc(s.unassigned, func(i int) bool {
			if best.capacity == 0 || isExcluded(s.tasks[i], best.worker, s.now) {
				return false
			}
			found[i] = best.worker
			best.capacity--
			return true
		})
	}
	return true
}

// bestCandidate returns the candidate to assign tasks to next, or nil if none can run any.
// hasExclusions is set if a task was on some worker already, see isExcluded.
func (s *zoneSearch) bestCandidate(hasExclusions bool) *gangCandidate {
	var best *gangCandidate
	bestCount := 0 // unassigned tasks that best can run
	for i := range s.candidates {
		candidate := &s.candidates[i]
		count := min(candidate.capacity, len(s.unassigned))
		if hasExclusions {
			count = min(count, s.countEligible(candidate.worker))
		}
		if count > 0 && (best == nil || candidate.distance < best.distance ||
			(candidate.distance == best.distance && (count > bestCount || (count == bestCount && candidate.capacity < best.capacity)))) {
			best, bestCount = candidate, count
		}
	}
	return best
}

// countEligible returns how many unassigned tasks are not excluded from a machine.
func (s *zoneSearch) countEligible(worker *workers.Worker) int {
	count := 0
	for _, i := range s.unassigned {
		if !isExcluded(s.tasks[i], worker, s.now) {
			count++
		}
	}
	return count
}
