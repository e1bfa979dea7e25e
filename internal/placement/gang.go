package placement

import (
	"cmp"
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// A gang is one unit of the policy: all its tasks that want a machine are placed
// in one round or none is. It waits as a unit of the extra queue, since it may
// take several machines, and goes first among the work of its priority: of the
// machines with room, those that cache its image come first, and few of them.

// pendingGang is the tasks of a job that want machines together.
type pendingGang struct {
	job   *taskstate.Job
	tasks []*taskstate.Task // ascending
}

// addGang takes in a job whose tasks run together.
func (p *Planner) addGang(job *taskstate.Job, now time.Duration) {
	if !slices.Contains(p.waitingGangs, job) {
		p.waitingGangs = append(p.waitingGangs, job)
		job.Gang.EnqueuedAt = now
		if class := job.Spec.Class; p.policy.StartsPromptly(class) {
			x := p.expected[class]
			if x == nil {
				x = &expectedClass{}
				p.expected[class] = x
			}
			x.desc, x.tasks, x.at, x.like = job.Spec, max(x.tasks, len(job.Tasks)), now, nil
		}
	}
}

// expectedClass is a class of gangs that has come of late: more may, and the users
// expect them to start at once.
type expectedClass struct {
	desc  *jobs.Spec // of the newest
	tasks int        // of the largest of late
	at    time.Duration
	like  []*taskstate.Task // as many, to look for room with
}

// reserveForGangs keeps room for gangs to come from other work, in one zone each if they
// must be, as the leader does when it hands work out.
func (p *Planner) reserveForGangs(round *placementRound) {
	most := 0.0
	for _, worker := range round.accepting {
		worker.Reserved = resource.Vector{}
		most += tuning.MaxGangReserveShare * worker.MachineType.CPUs
	}
	classes := make([]string, 0, len(p.expected))
	for class, x := range p.expected {
		if round.now-x.at > tuning.GangReservePeriod {
			delete(p.expected, class)
			continue
		}
		classes = append(classes, class)
	}
	slices.Sort(classes)
	for _, class := range classes {
		x := p.expected[class]
		if x.like == nil {
			job := &taskstate.Job{Spec: x.desc}
			for range x.tasks {
				x.like = append(x.like, &taskstate.Task{Job: job})
			}
		}
		zones := []string{""}
		if x.desc.SameZone {
			zones = nil
			for _, worker := range round.withRoom {
				if !slices.Contains(zones, worker.Zone) {
					zones = append(zones, worker.Zone)
				}
			}
			slices.Sort(zones)
		}
		for range tuning.GangReserveCount {
			if most -= float64(x.tasks) * x.desc.CPUs; most < 0 {
				return
			}
			var best []*workers.Worker
			for _, zone := range zones {
				for _, task := range x.like {
					task.Zone = zone
				}
				hosts := p.findMachines(round.withRoom, x.like, func(*workers.Worker) bool { return true }, countBesidesReserved)
				if hosts != nil && (best == nil || imageDistance(hosts[0], x.desc.Image) < imageDistance(best[0], x.desc.Image)) {
					best = hosts
				}
			}
			for _, worker := range best {
				worker.Reserved = worker.Reserved.Plus(x.desc.Resources())
			}
		}
	}
}

// countBesidesReserved tells how many tasks a machine has room for that is not kept.
func countBesidesReserved(task *taskstate.Task, worker *workers.Worker) int {
	return task.Job.Spec.Resources().CountIn(worker.Free().Minus(worker.Reserved))
}

// findPlaceableGangs finds the gangs that want machines now.
func (p *Planner) findPlaceableGangs(round *placementRound) {
	p.waitingGangs = slices.DeleteFunc(p.waitingGangs, func(job *taskstate.Job) bool {
		for _, task := range job.Tasks {
			if task.State == taskstate.StateWaiting {
				return job.Cancelled
			}
		}
		return true
	})
	for _, job := range p.waitingGangs {
		tasks := job.TasksToPlace()
		if len(tasks) == 0 || slices.ContainsFunc(tasks, func(task *taskstate.Task) bool { return !isDue(task, round.now) }) {
			continue
		}
		p.policy.UpdateRank(job, round.wallMS)
		slices.SortFunc(tasks, func(a, b *taskstate.Task) int { return cmp.Compare(a.Index, b.Index) })
		round.gangs = append(round.gangs, pendingGang{job, tasks})
	}
	slices.SortFunc(round.gangs, func(a, b pendingGang) int { return compare(a.tasks[0], b.tasks[0]) })
}

// placeGangs places the gangs of a priority for which there is room.
func (p *Planner) placeGangs(round *placementRound, prio jobs.Priority) {
	for i := range round.gangs {
		g := &round.gangs[i]
		if g.tasks == nil || g.job.Spec.Priority() != prio {
			continue
		}
		p.placeGang(round, g, func(worker *workers.Worker) bool { return round.heldBelow[worker] <= prio })
	}
}

// placeGang places a gang on machines with room, all of it or nothing.
func (p *Planner) placeGang(round *placementRound, g *pendingGang, usable func(*workers.Worker) bool) bool {
	hosts := p.findMachines(round.withRoom, g.tasks, usable, countThatFit)
	if hosts == nil {
		return false
	}
	for i, task := range g.tasks {
		p.machines.PlaceTask(task, hosts[i])
	}
	g.tasks = nil
	return true
}

// countThatFit tells how many tasks of a job a machine has room for.
func countThatFit(task *taskstate.Task, worker *workers.Worker) int {
	return task.Job.Spec.Resources().CountIn(worker.Free())
}

// countOnEmpty is the same for the machine if it were empty.
func countOnEmpty(task *taskstate.Task, worker *workers.Worker) int {
	if worker.MachineType == nil {
		return 0
	}
	return task.Job.Spec.Resources().CountIn(worker.MachineType.Resources())
}

// isBarred tells whether a task may not go to a machine.
func isBarred(task *taskstate.Task, worker *workers.Worker) bool {
	return task.AvoidWorker == worker.ID || slices.Contains(task.TriedWorkers, worker.ID) || !Allowed(task, worker)
}

// findMachines finds a machine for each task, nil if there are not enough: near ones
// first, of those the one that just takes all that are left, else the one that
// takes the most. Tasks on few machines have like speeds, and a gang runs at that
// of its slowest machine.
func (p *Planner) findMachines(hosts []*workers.Worker, tasks []*taskstate.Task, usable func(*workers.Worker) bool, room func(*taskstate.Task, *workers.Worker) int) []*workers.Worker {
	type seat struct {
		host       *workers.Worker
		left, near int
	}
	image := tasks[0].Job.Spec.Image
	found := make([]*workers.Worker, len(tasks))
	for _, todo := range groupByZone(tasks) {
		var open []*seat
		sum, picky := 0, false
		for _, i := range todo {
			picky = picky || tasks[i].AvoidWorker != "" || len(tasks[i].TriedWorkers) > 0
		}
		for _, worker := range hosts {
			if !Allowed(tasks[todo[0]], worker) || !usable(worker) {
				continue
			}
			if n := room(tasks[0], worker); n > 0 {
				open = append(open, &seat{worker, n, imageDistance(worker, image)})
				sum += n
			}
		}
		if sum < len(todo) {
			return nil
		}
		for len(todo) > 0 {
			var best *seat
			most := 0 // that best can take of them
			for _, s := range open {
				n := min(s.left, len(todo))
				if picky {
					able := 0
					for _, i := range todo {
						if !isBarred(tasks[i], s.host) {
							able++
						}
					}
					n = min(n, able)
				}
				if n > 0 && (best == nil || s.near < best.near || (s.near == best.near && (n > most || (n == most && s.left < best.left)))) {
					best, most = s, n
				}
			}
			if best == nil {
				return nil
			}
			todo = slices.DeleteFunc(todo, func(i int) bool {
				if best.left == 0 || isBarred(tasks[i], best.host) {
					return false
				}
				found[i] = best.host
				best.left--
				return true
			})
		}
	}
	return found
}

// groupByZone sorts tasks, by their place in the list, by the zones fixed for them.
func groupByZone(tasks []*taskstate.Task) map[string][]int {
	of := map[string][]int{}
	for i, task := range tasks {
		of[task.Zone] = append(of[task.Zone], i)
	}
	return of
}

// serveOverdueGangs serves the gangs that have waited past the bound: where there is no
// room for one, machines that would hold all of it are kept from other work of
// its priority or below (over: of any below that) until they do. A gang for which
// not all can be kept keeps none, so that no two wait for each other's places.
func (p *Planner) serveOverdueGangs(round *placementRound, over jobs.Priority, want func(*pendingGang) bool) {
	for i := range round.gangs {
		g := &round.gangs[i]
		if g.tasks == nil || !want(g) {
			continue
		}
		below := max(over, g.job.Spec.Priority()+1)
		free := func(worker *workers.Worker) bool { _, taken := round.heldBelow[worker]; return !taken }
		if p.placeGang(round, g, free) {
			continue
		}
		// Those where most is free come first: their turn is soonest.
		open := slices.Clone(round.accepting)
		slices.SortStableFunc(open, func(a, b *workers.Worker) int {
			return cmp.Compare(countThatFit(g.tasks[0], b), countThatFit(g.tasks[0], a))
		})
		for _, worker := range p.machinesToHold(open, g.tasks, free) {
			round.heldBelow[worker] = below
		}
	}
}

// machinesToHold finds machines that would hold all tasks if they were empty, in the
// order given; none if there are not enough.
func (p *Planner) machinesToHold(hosts []*workers.Worker, tasks []*taskstate.Task, usable func(*workers.Worker) bool) []*workers.Worker {
	var kept []*workers.Worker
	for zone, todo := range groupByZone(tasks) {
		left := len(todo)
		for _, worker := range hosts {
			if left <= 0 {
				break
			}
			task := tasks[todo[0]]
			if !usable(worker) || isBarred(task, worker) || (zone != "" && worker.Zone != zone) || slices.Contains(kept, worker) || !couldFit(task, worker) {
				continue
			}
			kept = append(kept, worker)
			left -= countOnEmpty(task, worker)
		}
		if left > 0 {
			return nil
		}
	}
	return kept
}
