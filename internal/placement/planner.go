package placement

import (
	"slices"
	"time"

	"lemonmoor/internal/gangforecast"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// Workers is what a Planner asks of the machines of its shard.
type Workers interface {
	// AcceptsTasks tells whether a machine may be given tasks.
	AcceptsTasks(worker *workers.Worker) bool
	// Worker finds a machine by its worker's ID, nil if it is not known.
	Worker(id string) *workers.Worker
	// PlaceTask gives a task to a machine.
	PlaceTask(task *taskstate.Task, worker *workers.Worker)
}

// Policy is what the users expect of jobs.
type Policy interface {
	// UpdateRank brings a job's rank up to a time of day in milliseconds and tells
	// whether it changed.
	UpdateRank(job *taskstate.Job, wallMS int64) bool
	// StartsPromptly tells whether gangs of a class should find room at once.
	StartsPromptly(class string) bool
}

// Planner holds the tasks of a shard that wait for machines, and places them in rounds.
type Planner struct {
	machines  Workers
	policy    Policy
	waitBound time.Duration // in the extra queue, after which a task goes first

	arrivals    []*taskstate.Task    // since the last round
	imageQueues map[string]taskQueue // by the ID of a machine that caches their image
	extraQueue  taskQueue            // of tasks whose image no machine caches
	// waitingGangs are units of the extra queue, see gangs.go.
	waitingGangs []*taskstate.Job
	forecast     gangforecast.Forecast
	gangSamples  map[string]gangSample // by class, see reservations.go
}

// New returns a planner with empty queues. Tasks that have waited for waitBound in the
// extra queue go first.
func New(machines Workers, policy Policy, waitBound time.Duration) *Planner {
	return &Planner{
		machines: machines, policy: policy, waitBound: waitBound,
		imageQueues: map[string]taskQueue{},
		gangSamples: map[string]gangSample{},
	}
}

// Reset empties the queues, since the task records are read anew. The classes of gangs that
// have come of late are kept.
func (p *Planner) Reset() {
	p.arrivals, p.extraQueue, p.waitingGangs = nil, nil, nil
	clear(p.imageQueues)
}

// AddTask takes in a task that waits for a machine from now on, by the event loop's clock.
func (p *Planner) AddTask(task *taskstate.Task, now time.Duration) {
	task.Queue.Queued = false
	task.Queue.EnqueuedAt = now
	if task.Job.Gang != nil {
		p.addGang(task.Job, now)
		return
	}
	p.arrivals = append(p.arrivals, task)
}

// RunRound places what can be placed on the machines given. now is by the event loop's
// clock, wallClock the time of day, by which jobs are ranked.
func (p *Planner) RunRound(machines []*workers.Worker, now time.Duration, wallClock time.Time) {
	round := &placementRound{now: now, wallMS: wallClock.UnixMilli()}
	for _, worker := range machines {
		if p.machines.AcceptsTasks(worker) {
			round.addMachine(worker)
		}
	}
	round.sortMachines()
	p.dropSettledTasks(round)
	p.resortQueues(round)
	p.findPlaceableGangs(round)
	p.reserveForGangs(round)
	p.serveOverdue(round)
	p.pullFromQueues(round)
	p.placeArrivals(round)
}

// dropSettledTasks removes tasks that no longer wait. The queues of machines that are gone,
// or take no tasks, count as arrivals again.
func (p *Planner) dropSettledTasks(round *placementRound) {
	sampled := map[*taskstate.Job]bool{}
	p.extraQueue = slices.DeleteFunc(p.extraQueue, isSettled)
	round.addSamples(p.extraQueue, sampled)
	for id, queue := range p.imageQueues {
		queue = slices.DeleteFunc(queue, isSettled)
		if worker := p.machines.Worker(id); worker == nil || !p.machines.AcceptsTasks(worker) {
			for _, task := range queue {
				task.Queue.Queued = false
				p.arrivals = append(p.arrivals, task)
			}
			queue = nil
		}
		if len(queue) == 0 {
			delete(p.imageQueues, id)
		} else {
			p.imageQueues[id] = queue
			round.addSamples(queue, sampled)
		}
	}
}

// resortQueues sorts the queues anew when the rank of a job has changed.
func (p *Planner) resortQueues(round *placementRound) {
	changed := false
	for _, task := range round.samples {
		changed = p.policy.UpdateRank(task.Job, round.wallMS) || changed
	}
	var previous *taskstate.Job
	for _, task := range p.arrivals {
		if task.Job != previous {
			previous = task.Job
			changed = p.policy.UpdateRank(task.Job, round.wallMS) || changed
		}
	}
	if !changed {
		return
	}
	slices.SortStableFunc(p.extraQueue, compare)
	for _, queue := range p.imageQueues {
		slices.SortStableFunc(queue, compare)
	}
}
