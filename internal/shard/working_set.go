package shard

import "lemonmoor/internal/taskstate"

// workingSet is the owner's copy of the shard's tasks, by job and by record.
type workingSet struct {
	jobs   map[string]*taskstate.Job       // by ID
	groups map[string]*taskstate.TaskGroup // by the record's key
}

// reset empties the set. Groups and jobs that are still referenced elsewhere are no longer
// part of it.
func (w *workingSet) reset() {
	w.jobs, w.groups = map[string]*taskstate.Job{}, map[string]*taskstate.TaskGroup{}
}

// contains reports whether a group is part of the set. A group whose record was removed, or
// read again since, is not.
func (w *workingSet) contains(group *taskstate.TaskGroup) bool { return w.groups[group.Key] == group }

// removeGroup removes a group. Its tasks and its job stay until they are removed separately.
func (w *workingSet) removeGroup(group *taskstate.TaskGroup) {
	delete(w.groups, group.Key)
	delete(group.Job.Groups, group.Key)
}

// removeTask removes a task from its job, unless a later record has added the task again.
func (w *workingSet) removeTask(task *taskstate.Task) {
	if task.Job.Tasks[task.Index] == task {
		delete(task.Job.Tasks, task.Index)
	}
}

// removeJobIfEmpty removes a job that has no groups left.
func (w *workingSet) removeJobIfEmpty(job *taskstate.Job) {
	if len(job.Groups) == 0 && w.jobs[job.Spec.ID] == job {
		delete(w.jobs, job.Spec.ID)
	}
}
