package shard

import "lemonmoor/internal/taskstate"

// TaskDone marks a task as completed. If it was the last open task of its record, the change
// is urgent, because the end of the job may depend on it.
func (s *TaskStore) TaskDone(task *taskstate.Task) { s.closeTask(task, taskstate.StateDone) }

// DropTask closes a task of a cancelled job that is on no machine. The leader removes a
// record only once the shard's owner has closed all of its tasks. If the leader decided alone,
// a placement committed in the meantime would be lost.
func (s *TaskStore) DropTask(task *taskstate.Task) { s.closeTask(task, taskstate.StateDropped) }

// closeTask sets the final state of an open task in this shard.
func (s *TaskStore) closeTask(task *taskstate.Task, state taskstate.State) {
	task.State = state
	task.History.Clear()
	task.Group.OpenTasks--
	s.TaskChanged(task, task.Group.OpenTasks == 0)
}

// RecallTasks returns up to count waiting tasks of a job to the leader. A gang is returned
// as a whole or not at all, and only while it is neither done nor in an attempt.
func (s *TaskStore) RecallTasks(jobID string, count int) {
	job := s.tasks.jobs[jobID]
	if !s.loaded || job == nil || job.Cancelled {
		return
	}
	if gang := job.Gang; gang != nil {
		if gang.Attempt > 0 || gang.Done || count < len(job.Tasks) {
			return
		}
		count = len(job.Tasks)
	}
	for _, group := range job.Groups {
		for i := len(group.Tasks) - 1; i >= 0 && count > 0; i-- {
			if task := group.Tasks[i]; task.State == taskstate.StateWaiting {
				s.returnTask(task)
				count--
			}
		}
	}
}

// returnTask returns a waiting task to the leader.
func (s *TaskStore) returnTask(task *taskstate.Task) {
	task.State = taskstate.StateReturned
	task.Group.OpenTasks--
	delete(task.Job.Tasks, task.Index)
	s.TaskChanged(task, true)
}
