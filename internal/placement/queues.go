package placement

import (
	"slices"
	"sort"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// taskQueue contains waiting tasks, sorted by taskBefore.
type taskQueue []*taskstate.Task

// taskBefore reports whether a precedes b in a queue: by the ranks of their jobs, and
// within a job by index.
func taskBefore(a, b *taskstate.Task) bool {
	if a.Job != b.Job {
		return taskstate.JobBefore(a.Job, b.Job)
	}
	return a.Index < b.Index
}

// compareTasks compares tasks in the order of taskBefore, for sorting.
func compareTasks(a, b *taskstate.Task) int {
	switch {
	case taskBefore(a, b):
		return -1
	case taskBefore(b, a):
		return 1
	}
	return 0
}

// isQueued reports whether a task in a queue still waits there.
func isQueued(task *taskstate.Task) bool {
	return task.State == taskstate.StateWaiting && task.Queue.Queued && !task.Job.Cancelled
}

// isSettled reports whether a task in a queue no longer waits there.
func isSettled(task *taskstate.Task) bool { return !isQueued(task) }

// insert returns the queue with tasks added. The tasks must be sorted and of one job.
func (q taskQueue) insert(tasks ...*taskstate.Task) taskQueue {
	i := sort.Search(len(q), func(i int) bool { return taskBefore(tasks[0], q[i]) })
	if i == len(q) || q[i].Job != tasks[0].Job {
		return slices.Insert(q, i, tasks...)
	}
	for _, task := range tasks {
		i := sort.Search(len(q), func(i int) bool { return taskBefore(task, q[i]) })
		q = slices.Insert(q, i, task)
	}
	return q
}

// pullFilter selects the queued tasks of one priority that can start on a machine now.
type pullFilter struct {
	worker   *workers.Worker
	priority jobs.Priority
	now      time.Duration
}

// canStart reports whether a queued task can start on the machine. unfit points to a job
// whose unconstrained tasks are known not to fit, or to nil; canStart updates it.
func (f *pullFilter) canStart(task *taskstate.Task, unfit **taskstate.Job) bool {
	if (task.Job == *unfit && isUnconstrained(task)) || !isQueued(task) || task.Job.Spec.Priority() != f.priority || !isDue(task, f.now) {
		return false
	}
	if fits(task, f.worker, f.now) {
		return true
	}
	*unfit = task.Job // its tasks are interchangeable: if one does not fit, none does
	return false
}

// firstFor returns the index of the first task that filter.canStart accepts, or -1.
func (q taskQueue) firstFor(filter *pullFilter) int {
	var unfit *taskstate.Job
	for i, task := range q {
		if filter.canStart(task, &unfit) {
			return i
		}
	}
	return -1
}

// lastFor returns the index of the last task that filter.canStart accepts, or -1.
func (q taskQueue) lastFor(filter *pullFilter) int {
	var unfit *taskstate.Job
	for i := len(q) - 1; i >= 0; i-- {
		if filter.canStart(q[i], &unfit) {
			return i
		}
	}
	return -1
}

// lastCachedFor returns the index of the last task that filter.canStart accepts and whose
// image the machine caches, or -1.
func (q taskQueue) lastCachedFor(filter *pullFilter) int {
	var unfit *taskstate.Job
	for i := len(q) - 1; i >= 0; i-- {
		if filter.worker.HasImage(q[i].Job.Spec.Image) && filter.canStart(q[i], &unfit) {
			return i
		}
	}
	return -1
}
