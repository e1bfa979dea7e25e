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

// placementRound is the state of one round of placement.
type placementRound struct {
	now    time.Duration // the event loop's clock
	wallMS int64         // time of day in Unix milliseconds

	accepting []*workers.Worker // machines that accept tasks
	withRoom  []*workers.Worker // of these, machines with room, in the order for arrays
	// withRoomForServices is withRoom in the order for replicas of services.
	withRoomForServices []*workers.Worker
	// samples contains one task of each job in the queues and every constrained task (see
	// isUnconstrained). Checking only these shows quickly whether anything fits on a machine.
	samples []*taskstate.Task
	gangs   []pendingGang // gangs that may be placed now, in the order of their jobs
}

// addMachine adds a machine that accepts tasks.
func (r *placementRound) addMachine(worker *workers.Worker) {
	r.accepting = append(r.accepting, worker)
	if free := worker.Free(); free.CPUs > resource.Epsilon && free.MemoryGB > resource.Epsilon {
		r.withRoom = append(r.withRoom, worker)
	}
}

// addSamples adds the samples of a queue. sampled contains the jobs that already have a
// sample and is updated.
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

// isUnheld reports whether a machine is not held for overdue work.
func isUnheld(worker *workers.Worker) bool { return !worker.Hold.IsSet() }

// isStarved reports whether a job was submitted more than tuning.StarvedAfter ago and none
// of its tasks has been placed yet. Such a job precedes all others.
func (r *placementRound) isStarved(job *taskstate.Job) bool {
	return !job.HasPlacedTask && r.wallMS-job.SubmittedMS > tuning.StarvedAfter.Milliseconds()
}

// sortMachines sorts the machines with room into the orders in which arrays and services
// fill them.
func (r *placementRound) sortMachines() {
	slices.SortStableFunc(r.withRoom, compareForArrays)
	r.withRoomForServices = slices.Clone(r.withRoom)
	slices.SortStableFunc(r.withRoomForServices, compareForServices)
}

// machinesFor returns the machines with room in the order in which the tasks fill them: the
// order for services if one of the tasks is a replica of a service, else that for arrays.
func (r *placementRound) machinesFor(tasks ...*taskstate.Task) []*workers.Worker {
	for _, task := range tasks {
		if task.Job.Spec.IsService() {
			return r.withRoomForServices
		}
	}
	return r.withRoom
}
