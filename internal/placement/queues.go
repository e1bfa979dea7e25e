package placement

import (
	"slices"
	"sort"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// taskQueue is tasks that wait, in the order of their jobs and their indexes.
type taskQueue []*taskstate.Task

// before orders tasks within a queue.
func before(a, b *taskstate.Task) bool {
	if a.Job != b.Job {
		return taskstate.JobBefore(a.Job, b.Job)
	}
	return a.Index < b.Index
}

func compare(a, b *taskstate.Task) int {
	switch {
	case before(a, b):
		return -1
	case before(b, a):
		return 1
	}
	return 0
}

// isQueued tells whether a task of a queue still waits.
func isQueued(task *taskstate.Task) bool {
	return task.State == taskstate.StateWaiting && task.Queue.Queued && !task.Job.Cancelled
}

func isSettled(task *taskstate.Task) bool { return !isQueued(task) }

// insert returns the queue with tasks added, which are in order and of one job.
func (q taskQueue) insert(tasks ...*taskstate.Task) taskQueue {
	i := sort.Search(len(q), func(i int) bool { return before(tasks[0], q[i]) })
	if i == len(q) || q[i].Job != tasks[0].Job {
		return slices.Insert(q, i, tasks...)
	}
	for _, task := range tasks {
		i := sort.Search(len(q), func(i int) bool { return before(task, q[i]) })
		q = slices.Insert(q, i, task)
	}
	return q
}

// machineOpening is a machine that takes tasks of a priority.
type machineOpening struct {
	worker   *workers.Worker
	priority jobs.Priority
	now      time.Duration
}

// canStart tells whether a task of a queue can start there. unfit is a job whose
// unconstrained tasks are known not to fit.
func (m *machineOpening) canStart(task *taskstate.Task, unfit **taskstate.Job) bool {
	if (task.Job == *unfit && isUnconstrained(task)) || !isQueued(task) || task.Job.Spec.Priority() != m.priority || !isDue(task, m.now) {
		return false
	}
	if fits(task, m.worker) {
		return true
	}
	*unfit = task.Job // its tasks are alike: if one does not fit, none does
	return false
}

// firstFor finds the first task that can start in an opening, -1 if there is none.
func (q taskQueue) firstFor(opening *machineOpening) int {
	var unfit *taskstate.Job
	for i, task := range q {
		if opening.canStart(task, &unfit) {
			return i
		}
	}
	return -1
}

// lastFor finds the last task that can start in an opening, -1 if there is none.
func (q taskQueue) lastFor(opening *machineOpening) int {
	var unfit *taskstate.Job
	for i := len(q) - 1; i >= 0; i-- {
		if opening.canStart(q[i], &unfit) {
			return i
		}
	}
	return -1
}

// lastCachedFor finds the last task that can start in an opening without a fetch, -1 if
// there is none.
func (q taskQueue) lastCachedFor(opening *machineOpening) int {
	var unfit *taskstate.Job
	for i := len(q) - 1; i >= 0; i-- {
		if opening.worker.HasImage(q[i].Job.Spec.Image) && opening.canStart(q[i], &unfit) {
			return i
		}
	}
	return -1
}
