package shard

import "lemonmoor/internal/taskstate"

// TaskDone takes note of a completed task. If it was the last open one of its record, the
// change is urgent: the end of the job may wait for it.
func (s *TaskStore) TaskDone(task *taskstate.Task) { s.closeTask(task, taskstate.StateDone) }

// DropTask ends a task of a cancelled job that is on no machine. The leader removes a record
// only when its owner has closed all of its tasks: removed on the leader's own judgement,
// a placement committed meanwhile would be lost.
func (s *TaskStore) DropTask(task *taskstate.Task) { s.closeTask(task, taskstate.StateDropped) }

// closeTask gives an open task its final state in this shard.
func (s *TaskStore) closeTask(task *taskstate.Task, state taskstate.State) {
	task.State = state
	task.Group.OpenTasks--
	s.TaskChanged(task, task.Group.OpenTasks == 0)
}

// RecallTasks returns up to count waiting tasks of a job to the leader. A gang is returned
// as a whole, and only while it has no attempt under way.
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
