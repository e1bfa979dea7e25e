package placement

import (
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// placementRound is what one round of placement works on.
type placementRound struct {
	now    time.Duration // by the event loop's clock
	wallMS int64         // time of day

	accepting []*workers.Worker // machines that take tasks
	withRoom  []*workers.Worker // those with room, in the order in which arrays fill them
	// withRoomForServices is withRoom in the order in which services fill them.
	withRoomForServices []*workers.Worker
	// heldBelow are machines that are held for overdue work, until there is room for it,
	// with the priority below which nothing else is placed there.
	heldBelow map[*workers.Worker]jobs.Priority

	// samples is one task of each job in the queues, and each that may not go wherever
	// the others may, to see quickly whether a machine has room for anything at all.
	samples []*taskstate.Task
	gangs   []pendingGang // that may be placed now, in the order of their jobs
}

func (r *placementRound) addMachine(worker *workers.Worker) {
	r.accepting = append(r.accepting, worker)
	if free := worker.Free(); free.CPUs > resource.Epsilon && free.MemoryGB > resource.Epsilon {
		r.withRoom = append(r.withRoom, worker)
	}
}

// addSamples adds the samples of a queue; sampled are the jobs that have one.
func (r *placementRound) addSamples(queue taskQueue, sampled map[*taskstate.Job]bool) {
	var previous *taskstate.Job
	for _, task := range queue {
		if task.Job == previous && isUnconstrained(task) {
			continue
		}
		if previous = task.Job; !sampled[previous] || !isUnconstrained(task) {
			sampled[previous] = true
			r.samples = append(r.samples, task)
		}
	}
}

// samplesOf returns the samples of a priority.
func (r *placementRound) samplesOf(priority jobs.Priority) []*taskstate.Task {
	var samples []*taskstate.Task
	for _, task := range r.samples {
		if task.Job.Spec.Priority() == priority {
			samples = append(samples, task)
		}
	}
	return samples
}

// isHeld tells whether a machine is held for overdue work.
func (r *placementRound) isHeld(worker *workers.Worker) bool {
	_, held := r.heldBelow[worker]
	return held
}

func (r *placementRound) isNotHeld(worker *workers.Worker) bool { return !r.isHeld(worker) }

// isOpenTo tells whether work of a priority may be placed on a machine, held or not.
func (r *placementRound) isOpenTo(priority jobs.Priority, worker *workers.Worker) bool {
	return r.heldBelow[worker] <= priority
}

// isStarved tells whether nothing has been started of a job for so long that it goes before
// all others.
func (r *placementRound) isStarved(job *taskstate.Job) bool {
	return !job.HasPlacedTask && r.wallMS-job.SubmittedMS > tuning.StarvedAfter.Milliseconds()
}

// sortMachines puts the machines with room in the orders in which tasks fill them.
func (r *placementRound) sortMachines() {
	slices.SortStableFunc(r.withRoom, arraysFirst)
	r.withRoomForServices = slices.Clone(r.withRoom)
	slices.SortStableFunc(r.withRoomForServices, servicesFirst)
}

// machinesFor returns the machines with room in the order in which they are filled for
// tasks: that of services if one of them is a replica of a service.
func (r *placementRound) machinesFor(tasks ...*taskstate.Task) []*workers.Worker {
	for _, task := range tasks {
		if task.Job.Spec.IsService() {
			return r.withRoomForServices
		}
	}
	return r.withRoom
}
