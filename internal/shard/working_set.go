package shard

import "lemonmoor/internal/taskstate"

// workingSet is the owner's copy of the shard's tasks, by job and by record.
type workingSet struct {
	jobs   map[string]*taskstate.Job       // by ID
	groups map[string]*taskstate.TaskGroup // by the record's key
}

// reset empties the set. Groups and jobs that are still referred to are no longer held.
func (w *workingSet) reset() {
	w.jobs, w.groups = map[string]*taskstate.Job{}, map[string]*taskstate.TaskGroup{}
}

// holds reports whether a group is part of the set: it is not once its record was removed
// or read anew.
func (w *workingSet) holds(group *taskstate.TaskGroup) bool { return w.groups[group.Key] == group }

// removeGroup takes a group out; its tasks and its job stay until they are removed too.
func (w *workingSet) removeGroup(group *taskstate.TaskGroup) {
	delete(w.groups, group.Key)
	delete(group.Job.Groups, group.Key)
}

// removeTask takes a task out of its job, unless a later record has brought it back.
func (w *workingSet) removeTask(task *taskstate.Task) {
	if task.Job.Tasks[task.Index] == task {
		delete(task.Job.Tasks, task.Index)
	}
}

// removeJobIfEmpty takes a job out that has no groups left.
func (w *workingSet) removeJobIfEmpty(job *taskstate.Job) {
	if len(job.Groups) == 0 && w.jobs[job.Spec.ID] == job {
		delete(w.jobs, job.Spec.ID)
	}
}
