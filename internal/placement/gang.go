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

// gang is the tasks of a job that want machines together.
type gang struct {
	job   *taskstate.Job
	tasks []*taskstate.Task // ascending
}

// gather takes in a job whose tasks run together.
func (p *Planner) gather(j *taskstate.Job, now time.Duration) {
	if !slices.Contains(p.gangs, j) {
		p.gangs = append(p.gangs, j)
		j.Gang.EnqueuedAt = now
		if class := j.Spec.Class; p.policy.StartsPromptly(class) {
			x := p.expected[class]
			if x == nil {
				x = &expected{}
				p.expected[class] = x
			}
			x.desc, x.tasks, x.at, x.like = j.Spec, max(x.tasks, len(j.Tasks)), now, nil
		}
	}
}

// expected is a class of gangs that has come of late: more may, and the users
// expect them to start at once.
type expected struct {
	desc  *jobs.Spec // of the newest
	tasks int        // of the largest of late
	at    time.Duration
	like  []*taskstate.Task // as many, to look for room with
}

// keepWarm keeps room for gangs to come from other work, in one zone each if they
// must be, as the leader does when it hands work out.
func (p *Planner) keepWarm(r *round) {
	most := 0.0
	for _, h := range r.open {
		h.Reserved = resource.Vector{}
		most += tuning.MaxGangReserveShare * h.MachineType.CPUs
	}
	classes := make([]string, 0, len(p.expected))
	for class, x := range p.expected {
		if r.now-x.at > tuning.GangReservePeriod {
			delete(p.expected, class)
			continue
		}
		classes = append(classes, class)
	}
	slices.Sort(classes)
	for _, class := range classes {
		x := p.expected[class]
		if x.like == nil {
			j := &taskstate.Job{Spec: x.desc}
			for range x.tasks {
				x.like = append(x.like, &taskstate.Task{Job: j})
			}
		}
		zones := []string{""}
		if x.desc.SameZone {
			zones = nil
			for _, h := range r.free {
				if !slices.Contains(zones, h.Zone) {
					zones = append(zones, h.Zone)
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
				for _, t := range x.like {
					t.Zone = zone
				}
				hosts := p.fit(r.free, x.like, func(*workers.Worker) bool { return true }, unkept)
				if hosts != nil && (best == nil || nearness(hosts[0], x.desc.Image) < nearness(best[0], x.desc.Image)) {
					best = hosts
				}
			}
			for _, h := range best {
				h.Reserved = h.Reserved.Plus(x.desc.Resources())
			}
		}
	}
}

// unkept tells how many tasks a machine has room for that is not kept.
func unkept(t *taskstate.Task, h *workers.Worker) int {
	return t.Job.Spec.Resources().CountIn(h.Free().Minus(h.Reserved))
}

// muster finds the gangs that want machines now.
func (p *Planner) muster(r *round) {
	p.gangs = slices.DeleteFunc(p.gangs, func(j *taskstate.Job) bool {
		for _, t := range j.Tasks {
			if t.State == taskstate.StateWaiting {
				return j.Cancelled
			}
		}
		return true
	})
	for _, j := range p.gangs {
		tasks := j.TasksToPlace()
		if len(tasks) == 0 || slices.ContainsFunc(tasks, func(t *taskstate.Task) bool { return !due(t, r.now) }) {
			continue
		}
		p.policy.UpdateRank(j, r.wall)
		slices.SortFunc(tasks, func(a, b *taskstate.Task) int { return cmp.Compare(a.Index, b.Index) })
		r.gangs = append(r.gangs, gang{j, tasks})
	}
	slices.SortFunc(r.gangs, func(a, b gang) int { return compare(a.tasks[0], b.tasks[0]) })
}

// enter places the gangs of a priority for which there is room.
func (p *Planner) enter(r *round, prio jobs.Priority) {
	for i := range r.gangs {
		g := &r.gangs[i]
		if g.tasks == nil || g.job.Spec.Priority() != prio {
			continue
		}
		p.seat(r, g, func(h *workers.Worker) bool { return r.kept[h] <= prio })
	}
}

// seat places a gang on machines with room, all of it or nothing.
func (p *Planner) seat(r *round, g *gang, usable func(*workers.Worker) bool) bool {
	hosts := p.fit(r.free, g.tasks, usable, space)
	if hosts == nil {
		return false
	}
	for i, t := range g.tasks {
		p.machines.PlaceTask(t, hosts[i])
	}
	g.tasks = nil
	return true
}

// space tells how many tasks of a job a machine has room for.
func space(t *taskstate.Task, h *workers.Worker) int {
	return t.Job.Spec.Resources().CountIn(h.Free())
}

// whole is the same for the machine if it were empty.
func whole(t *taskstate.Task, h *workers.Worker) int {
	if h.MachineType == nil {
		return 0
	}
	return t.Job.Spec.Resources().CountIn(h.MachineType.Resources())
}

// barred tells whether a task may not go to a machine.
func barred(t *taskstate.Task, h *workers.Worker) bool {
	return t.AvoidWorker == h.ID || slices.Contains(t.TriedWorkers, h.ID) || !Allowed(t, h)
}

// fit finds a machine for each task, nil if there are not enough: near ones
// first, of those the one that just takes all that are left, else the one that
// takes the most. Tasks on few machines have like speeds, and a gang runs at that
// of its slowest machine.
func (p *Planner) fit(hosts []*workers.Worker, tasks []*taskstate.Task, usable func(*workers.Worker) bool, room func(*taskstate.Task, *workers.Worker) int) []*workers.Worker {
	type seat struct {
		host       *workers.Worker
		left, near int
	}
	image := tasks[0].Job.Spec.Image
	found := make([]*workers.Worker, len(tasks))
	for _, todo := range byZone(tasks) {
		var open []*seat
		sum, picky := 0, false
		for _, i := range todo {
			picky = picky || tasks[i].AvoidWorker != "" || len(tasks[i].TriedWorkers) > 0
		}
		for _, h := range hosts {
			if !Allowed(tasks[todo[0]], h) || !usable(h) {
				continue
			}
			if n := room(tasks[0], h); n > 0 {
				open = append(open, &seat{h, n, nearness(h, image)})
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
						if !barred(tasks[i], s.host) {
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
				if best.left == 0 || barred(tasks[i], best.host) {
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

// byZone sorts tasks, by their place in the list, by the zones fixed for them.
func byZone(tasks []*taskstate.Task) map[string][]int {
	of := map[string][]int{}
	for i, t := range tasks {
		of[t.Zone] = append(of[t.Zone], i)
	}
	return of
}

// collect serves the gangs that have waited past the bound: where there is no
// room for one, machines that would hold all of it are kept from other work of
// its priority or below (over: of any below that) until they do. A gang for which
// not all can be kept keeps none, so that no two wait for each other's places.
func (p *Planner) collect(r *round, over jobs.Priority, want func(*gang) bool) {
	for i := range r.gangs {
		g := &r.gangs[i]
		if g.tasks == nil || !want(g) {
			continue
		}
		below := max(over, g.job.Spec.Priority()+1)
		free := func(h *workers.Worker) bool { _, taken := r.kept[h]; return !taken }
		if p.seat(r, g, free) {
			continue
		}
		// Those where most is free come first: their turn is soonest.
		open := slices.Clone(r.open)
		slices.SortStableFunc(open, func(a, b *workers.Worker) int {
			return cmp.Compare(space(g.tasks[0], b), space(g.tasks[0], a))
		})
		for _, h := range p.narrow(open, g.tasks, free) {
			r.kept[h] = below
		}
	}
}

// narrow finds machines that would hold all tasks if they were empty, in the
// order given; none if there are not enough.
func (p *Planner) narrow(hosts []*workers.Worker, tasks []*taskstate.Task, usable func(*workers.Worker) bool) []*workers.Worker {
	var kept []*workers.Worker
	for zone, todo := range byZone(tasks) {
		left := len(todo)
		for _, h := range hosts {
			if left <= 0 {
				break
			}
			t := tasks[todo[0]]
			if !usable(h) || barred(t, h) || (zone != "" && h.Zone != zone) || slices.Contains(kept, h) || !could(t, h) {
				continue
			}
			kept = append(kept, h)
			left -= whole(t, h)
		}
		if left > 0 {
			return nil
		}
	}
	return kept
}
