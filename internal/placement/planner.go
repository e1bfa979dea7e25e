package placement

import (
	"slices"
	"time"

	"lemonmoor/internal/gangforecast"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// Workers gives a Planner access to the machines of its shard.
type Workers interface {
	// AcceptsTasks reports whether tasks may be placed on a machine now.
	AcceptsTasks(worker *workers.Worker) bool
	// Worker returns the machine with a worker ID, or nil if the ID is unknown.
	Worker(id string) *workers.Worker
	// PlaceTask assigns a task to a machine.
	PlaceTask(task *taskstate.Task, worker *workers.Worker)
}

// Policy ranks jobs by what their users expect of them.
type Policy interface {
	// UpdateRank recomputes a job's rank for a time of day in Unix milliseconds and
	// reports whether the rank changed.
	UpdateRank(job *taskstate.Job, wallMS int64) bool
	// StartsPromptly reports whether gangs of a class should start without waiting for room.
	StartsPromptly(class string) bool
}

// Planner queues the tasks of a shard that wait for machines and places them in rounds.
type Planner struct {
	machines  Workers
	policy    Policy
	waitBound time.Duration // wait in the extra queue after which a task is overdue

	arrivals    []*taskstate.Task    // tasks added since the last round
	imageQueues map[string]taskQueue // by worker ID: tasks whose image the machine caches
	extraQueue  taskQueue            // tasks whose image no machine caches
	// waitingGangs belong to the extra queue, each as one unit; see gangs.go.
	waitingGangs []*taskstate.Job
	forecast     gangforecast.Forecast
	gangSamples  map[string]gangSample // by class; see reservations.go
	// passedOverAt is when PassedOver last returned a task of a job.
	passedOverAt map[*taskstate.Job]time.Duration
}

// New returns a planner with empty queues. Tasks that have waited in the extra queue for
// waitBound are placed before others.
func New(machines Workers, policy Policy, waitBound time.Duration) *Planner {
	return &Planner{
		machines: machines, policy: policy, waitBound: waitBound,
		imageQueues: map[string]taskQueue{},
		gangSamples: map[string]gangSample{}, passedOverAt: map[*taskstate.Job]time.Duration{},
	}
}

// Reset empties the queues, for when the task records are read again. The forecast keeps the
// recently seen classes of gangs.
func (p *Planner) Reset() {
	p.arrivals, p.extraQueue, p.waitingGangs = nil, nil, nil
	clear(p.imageQueues)
	clear(p.passedOverAt)
}

// AddTask adds a task that waits for a machine. now is the event loop's clock and starts the
// task's wait.
func (p *Planner) AddTask(task *taskstate.Task, now time.Duration) {
	task.Queue.Queued = false
	task.Queue.EnqueuedAt = now
	if task.Job.Gang != nil {
		p.enqueueGang(task.Job, now)
		return
	}
	p.arrivals = append(p.arrivals, task)
}

// RunRound places waiting tasks and gangs on the given machines as far as there is room. now
// is the event loop's clock, wallClock the time of day that jobs are ranked by.
func (p *Planner) RunRound(machines []*workers.Worker, now time.Duration, wallClock time.Time) {
	round := &placementRound{now: now, wallMS: wallClock.UnixMilli()}
	for _, worker := range machines {
		worker.Hold = workers.Hold{} // holds last for a round
		if p.machines.AcceptsTasks(worker) {
			round.addMachine(worker)
		}
	}
	round.sortMachines()
	p.dropSettledTasks(round)
	p.resortQueues(round)
	p.findPlaceableGangs(round)
	p.reserveForGangs(round)
	p.placeOverdue(round)
	p.pullFromQueues(round)
	p.placeArrivals(round)
}

// dropSettledTasks removes tasks that no longer wait from the queues and records the samples
// of the queues in the round. The queued tasks of machines that are gone or accept no tasks
// become arrivals again.
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

// resortQueues updates the ranks of waiting jobs and sorts the queues again if one changed.
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
	slices.SortStableFunc(p.extraQueue, compareTasks)
	for _, queue := range p.imageQueues {
		slices.SortStableFunc(queue, compareTasks)
	}
}
