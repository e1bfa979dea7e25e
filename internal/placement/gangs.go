package placement

import (
	"cmp"
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// A gang is one unit of the policy: all its tasks that want a machine are placed in one
// round or none is. It waits as a unit of the extra queue, since it may take several
// machines, and goes first among the work of its priority: of the machines with room,
// those that cache its image come first, and few of them.

// pendingGang is the tasks of a job that want machines together.
type pendingGang struct {
	job   *taskstate.Job
	tasks []*taskstate.Task // ascending; nil once they are placed
}

// addGang takes in a job whose tasks run together.
func (p *Planner) addGang(job *taskstate.Job, now time.Duration) {
	if slices.Contains(p.waitingGangs, job) {
		return
	}
	p.waitingGangs = append(p.waitingGangs, job)
	job.Gang.EnqueuedAt = now
	if p.policy.StartsPromptly(job.Spec.Class) {
		p.forecast.Observe(job.Spec, len(job.Tasks), now)
	}
}

// findPlaceableGangs finds the gangs that want machines now.
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
	slices.SortFunc(round.gangs, func(a, b pendingGang) int { return compare(a.tasks[0], b.tasks[0]) })
}

// isGangSettled tells whether no task of a gang waits for a machine any more.
func isGangSettled(job *taskstate.Job) bool {
	for _, task := range job.Tasks {
		if task.State == taskstate.StateWaiting {
			return job.Cancelled
		}
	}
	return true
}

// placeGangs places the gangs of a priority for which there is room.
func (p *Planner) placeGangs(round *placementRound, priority jobs.Priority) {
	isUsable := func(worker *workers.Worker) bool { return round.isOpenTo(priority, worker) }
	for i := range round.gangs {
		gang := &round.gangs[i]
		if gang.tasks != nil && gang.job.Spec.Priority() == priority {
			p.placeGang(round, gang, isUsable)
		}
	}
}

// placeGang places a gang on machines with room, all of it or nothing, and tells whether it
// did.
func (p *Planner) placeGang(round *placementRound, gang *pendingGang, isUsable func(*workers.Worker) bool) bool {
	machines := findMachines(round.withRoom, gang.tasks, isUsable, countThatFit)
	if machines == nil {
		return false
	}
	for i, task := range gang.tasks {
		p.machines.PlaceTask(task, machines[i])
	}
	gang.tasks = nil
	return true
}

// groupByZone sorts tasks, by their indexes in the list, by the zones fixed for them, ""
// for none.
func groupByZone(tasks []*taskstate.Task) map[string][]int {
	byZone := map[string][]int{}
	for i, task := range tasks {
		byZone[task.Zone] = append(byZone[task.Zone], i)
	}
	return byZone
}

// findMachines finds a machine for each task of a job, nil if there are not enough: near ones
// first, of like ones the one that just takes all that are left, else the one that takes
// the most. Tasks on few machines have like speeds, and a gang runs at that of its slowest
// machine. count tells how many of the tasks a machine has room for.
func findMachines(machines []*workers.Worker, tasks []*taskstate.Task, isUsable func(*workers.Worker) bool, count func(*taskstate.Task, *workers.Worker) int) []*workers.Worker {
	found := make([]*workers.Worker, len(tasks))
	for _, indexes := range groupByZone(tasks) {
		search := zoneSearch{tasks: tasks, left: indexes}
		for _, worker := range machines {
			if Allowed(tasks[indexes[0]], worker) && isUsable(worker) {
				search.add(worker, count(tasks[0], worker))
			}
		}
		if !search.assign(found) {
			return nil
		}
	}
	return found
}

// zoneSearch looks for the machines of those tasks of a gang that go to one zone, or to
// any.
type zoneSearch struct {
	tasks      []*taskstate.Task // all of the gang
	left       []int             // indexes of those that have no machine yet
	candidates []gangCandidate
	room       int // for tasks, on all candidates
}

// gangCandidate is a machine that may take tasks of a gang.
type gangCandidate struct {
	worker   *workers.Worker
	room     int // for tasks
	distance int // see imageDistance
}

// add adds a machine with room for so many tasks.
func (s *zoneSearch) add(worker *workers.Worker, room int) {
	if room > 0 {
		s.candidates = append(s.candidates, gangCandidate{worker, room, imageDistance(worker, s.tasks[0].Job.Spec.Image)})
		s.room += room
	}
}

// assign notes a machine for each of the tasks, by their indexes, and tells whether there
// are enough.
func (s *zoneSearch) assign(found []*workers.Worker) bool {
	if s.room < len(s.left) {
		return false
	}
	hasBarred := slices.ContainsFunc(s.left, func(i int) bool {
		return s.tasks[i].Queue.AvoidWorker != "" || len(s.tasks[i].Tried.Workers) > 0
	})
	for len(s.left) > 0 {
		best := s.bestCandidate(hasBarred)
		if best == nil {
			return false
		}
		s.left = slices.DeleteFunc(s.left, func(i int) bool {
			if best.room == 0 || isBarred(s.tasks[i], best.worker) {
				return false
			}
			found[i] = best.worker
			best.room--
			return true
		})
	}
	return true
}

// bestCandidate finds the machine that is to take tasks next, nil if none can. hasBarred:
// there are tasks that may not go to some of the machines.
func (s *zoneSearch) bestCandidate(hasBarred bool) *gangCandidate {
	var best *gangCandidate
	most := 0 // tasks that best can take
	for i := range s.candidates {
		candidate := &s.candidates[i]
		takes := min(candidate.room, len(s.left))
		if hasBarred {
			takes = min(takes, s.countNotBarred(candidate.worker))
		}
		if takes > 0 && (best == nil || candidate.distance < best.distance ||
			(candidate.distance == best.distance && (takes > most || (takes == most && candidate.room < best.room)))) {
			best, most = candidate, takes
		}
	}
	return best
}

func (s *zoneSearch) countNotBarred(worker *workers.Worker) int {
	count := 0
	for _, i := range s.left {
		if !isBarred(s.tasks[i], worker) {
			count++
		}
	}
	return count
}
