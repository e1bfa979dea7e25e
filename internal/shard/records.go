package shard

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// addRecord takes a record into the working copy and returns its tasks, nil if its job is
// not known or over.
func (s *TaskStore) addRecord(record *taskstate.Record) *taskstate.TaskGroup {
	entry := s.deps.Catalog.Get(record.Job)
	if entry == nil || entry.Spec == nil {
		return nil // its job is done; the leader removes what is left
	}
	job := s.tasks.jobs[record.Job]
	if job == nil {
		job = s.newJob(entry)
		s.tasks.jobs[record.Job] = job
	}
	group := taskstate.LoadRecord(job, record)
	s.tasks.groups[group.Key] = group
	s.writer.trackLogged(group)
	return group
}

// newJob makes the working copy of a job of the catalog, without tasks.
func (s *TaskStore) newJob(entry *userapi.Entry) *taskstate.Job {
	job := taskstate.NewJob(entry.Spec, entry.SubmittedMS, s.deps.Catalog.WithinQuota(entry))
	job.Cancelled = entry.Phase == userapi.PhaseCancelled
	if !entry.Spec.IsGang() {
		return job
	}
	job.Gang = &taskstate.Gang{}
	for _, record := range s.deps.Records.JobRecords(entry.ID) {
		if record.Shard == s.shardIndex {
			continue
		}
		for _, status := range record.Statuses {
			job.PartDoneElsewhere = job.PartDoneElsewhere || status.State == taskstate.StateDone
		}
	}
	return job
}

// announceWaiting tells the handler of a group's waiting tasks.
func (s *TaskStore) announceWaiting(group *taskstate.TaskGroup) {
	for _, task := range group.Tasks {
		if task.State != taskstate.StateWaiting {
			continue
		}
		if group.Job.Cancelled {
			s.DropTask(task)
		} else {
			s.deps.Handler.TaskWaiting(task)
		}
	}
}

// RecordAdded takes in tasks that the leader has dispatched to the shard. If the watch of
// the jobs is behind that of the records, the job is not known yet; JobChanged comes back
// to the record then.
func (s *TaskStore) RecordAdded(record *taskstate.Record) {
	if !s.loaded || record.Shard != s.shardIndex || s.tasks.groups[record.Key] != nil {
		return
	}
	if group := s.addRecord(record); group != nil {
		s.announceWaiting(group)
	}
}

// RecordRemoved forgets a record that the leader has removed: its tasks are done, dropped
// or returned.
func (s *TaskStore) RecordRemoved(record *taskstate.Record) {
	group := s.tasks.groups[record.Key]
	if !s.loaded || group == nil {
		return
	}
	s.tasks.removeGroup(group)
	for _, task := range group.Tasks {
		if task.State == taskstate.StatePlaced {
			s.deps.Log.Error("record removed while a task may run", "shard", s.shardIndex, "task", task.Name(), "worker", task.WorkerID)
			s.deps.Handler.DiscardTask(task)
		}
		if task.State != taskstate.StateDone {
			task.State = taskstate.StateDropped
		}
		s.writer.forgetLogged(task)
		s.tasks.removeTask(task)
	}
	s.tasks.removeJobIfEmpty(group.Job)
}

// TaskStatusChanged takes note of a task of another shard: a task of a divided gang that is
// done means that the whole gang is.
func (s *TaskStore) TaskStatusChanged(record *taskstate.Record, position int, _ taskstate.TaskStatus) {
	if !s.loaded || record.Shard == s.shardIndex || record.Statuses[position].State != taskstate.StateDone {
		return
	}
	if job := s.tasks.jobs[record.Job]; job != nil && job.Gang != nil && !job.PartDoneElsewhere {
		job.PartDoneElsewhere = true
		s.deps.Handler.GangDone(job)
	}
}

// JobChanged takes note of a cancelled job, and of a new one whose records came first.
func (s *TaskStore) JobChanged(entry *userapi.Entry) {
	if !s.loaded {
		return
	}
	for _, record := range s.deps.Records.JobRecords(entry.ID) {
		s.RecordAdded(record)
	}
	job := s.tasks.jobs[entry.ID]
	if job == nil || entry.Phase != userapi.PhaseCancelled || job.Cancelled {
		return
	}
	job.Cancelled = true
	for _, task := range job.Tasks {
		if task.State == taskstate.StateWaiting {
			s.DropTask(task)
		}
	}
	s.deps.Handler.CancelJob(job)
}
