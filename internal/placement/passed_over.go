package placement

import (
	"slices"
	"strconv"
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// Exclusion is the reason for which a waiting task is not placed now on a machine that accepts tasks
// and has room for it.
type Exclusion int

const (
	// ExclusionNone means that nothing keeps the task off the machine.
	ExclusionNone Exclusion = iota
	// ExclusionKind means that the job or the task's zone does not allow the machine.
	ExclusionKind
	// ExclusionAvoided means that the job avoids the machine since its tasks have failed there.
	ExclusionAvoided
	// ExclusionTried means that the gang's task has been on the machine in this attempt.
	ExclusionTried
	// ExclusionPaused means that the task or its job is paused.
	ExclusionPaused
	// ExclusionHeld means that the machine is held for overdue work.
	ExclusionHeld
	// ExclusionReserved means that the room is reserved for expected gangs.
	ExclusionReserved
	// ExclusionGang means that the task waits for the other tasks of its gang.
	ExclusionGang
)

var exclusionNames = [...]string{
	ExclusionNone:     "none",
	ExclusionKind:     "kind or zone not allowed",
	ExclusionAvoided:  "job failed there",
	ExclusionTried:    "tried in this attempt",
	ExclusionPaused:   "paused",
	ExclusionHeld:     "held for overdue work",
	ExclusionReserved: "reserved for gangs",
	ExclusionGang:     "gang not complete",
}

// String returns the reason's name in logs and metrics.
func (e Exclusion) String() string {
	if e < 0 || int(e) >= len(exclusionNames) {
		return "exclusion " + strconv.Itoa(int(e))
	}
	return exclusionNames[e]
}

// ExclusionOf returns the first reason for which a task is not placed now on a machine that accepts
// tasks and whose free resources suffice.
func ExclusionOf(task *taskstate.Task, worker *workers.Worker, now time.Duration) Exclusion {
	switch {
	case !Allowed(task, worker):
		return ExclusionKind
	case !isDue(task, now):
		return ExclusionPaused
	case task.Job.Failures.Avoids(worker.ID, now):
		return ExclusionAvoided
	case slices.Contains(task.Tried.Workers, worker.ID):
		return ExclusionTried
	case !worker.Hold.AcceptsJob(task.Job.Spec.ID, task.Job.Spec.Priority()):
		return ExclusionHeld
	case task.Job.Gang != nil:
		return ExclusionGang
	case !fits(task, worker, now):
		return ExclusionReserved
	}
	return ExclusionNone
}

// PassedOver describes a task that waits although a machine has room for it.
type PassedOver struct {
	Task     *taskstate.Task
	WorkerID string
	Waited   time.Duration
	Reason   Exclusion
}

// PassedOver returns, for each job, one task that has waited for tuning.PassedOverAfter or longer
// while a machine that accepts tasks, and that the job allows, has room for it. The same job is
// returned again after tuning.PassedOverInterval.
func (p *Planner) PassedOver(machines []*workers.Worker, now time.Duration) []PassedOver {
	accepting := slices.DeleteFunc(slices.Clone(machines), func(worker *workers.Worker) bool { return !p.machines.AcceptsTasks(worker) })
	var found []PassedOver
	for _, task := range p.waitingSince(now - tuning.PassedOverAfter) {
		if lastAt, known := p.passedOverAt[task.Job]; known && now-lastAt < tuning.PassedOverInterval {
			continue
		}
		if worker := machineWithRoom(task, accepting); worker != nil {
			p.passedOverAt[task.Job] = now
			found = append(found, PassedOver{task, worker.ID, now - enqueuedAt(task), ExclusionOf(task, worker, now)})
		}
	}
	for job, lastAt := range p.passedOverAt {
		if now-lastAt > tuning.PassedOverInterval {
			delete(p.passedOverAt, job)
		}
	}
	return found
}

// waitingSince returns the first task of each job in the queues that has waited since a time or
// longer.
func (p *Planner) waitingSince(since time.Duration) []*taskstate.Task {
	var tasks []*taskstate.Task
	seen := map[*taskstate.Job]bool{}
	add := func(task *taskstate.Task) {
		if task.State == taskstate.StateWaiting && !task.Job.Cancelled && enqueuedAt(task) <= since && !seen[task.Job] {
			seen[task.Job] = true
			tasks = append(tasks, task)
		}
	}
	for _, task := range p.extraQueue {
		add(task)
	}
	for _, queue := range p.imageQueues {
		for _, task := range queue {
			add(task)
		}
	}
	for _, job := range p.waitingGangs {
		for _, task := range job.Tasks {
			add(task)
		}
	}
	return tasks
}

// enqueuedAt returns when a task, or its gang, began to wait.
func enqueuedAt(task *taskstate.Task) time.Duration {
	if task.Job.Gang != nil {
		return task.Job.Gang.EnqueuedAt
	}
	return task.Queue.EnqueuedAt
}

// machineWithRoom returns a machine that a task's job allows and that has room for the task, nil if
// there is none.
func machineWithRoom(task *taskstate.Task, machines []*workers.Worker) *workers.Worker {
	for _, worker := range machines {
		if Allowed(task, worker) && task.Job.Spec.Resources().Fits(worker.Free()) {
			return worker
		}
	}
	return nil
}
