package shard

import (
	"context"
	"log/slog"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// addRecord adds a record to the working copy and returns its group of tasks, nil if its job
// is unknown or done.
func (s *TaskStore) addRecord(record *taskstate.Record) *taskstate.TaskGroup {
	entry := s.deps.Catalog.Get(record.Job)
	if entry == nil || entry.Spec == nil {
		return nil // not known yet, or done: the leader removes the records of done jobs
	}
	job := s.tasks.jobs[record.Job]
	if job == nil {
		job = s.newJob(entry)
		s.tasks.jobs[record.Job] = job
	}
	earlier := s.openTwice(job, record)
	group := taskstate.LoadRecord(job, record)
	for _, task := range earlier {
		job.Tasks[task.Index] = task
	}
	s.tasks.groups[group.Key] = group
	s.writer.trackPages(group)
	return group
}

// openTwice returns the tasks of a job that are open although a further record, in which they are
// open too, is about to be added. That never happens while every task is in one open record.
func (s *TaskStore) openTwice(job *taskstate.Job, record *taskstate.Record) []*taskstate.Task {
	var twice []*taskstate.Task
	for position, index := range record.TaskIndexes {
		task := job.Tasks[index]
		if task == nil || !task.State.IsOpen() || !record.Statuses[position].State.IsOpen() {
			continue
		}
		twice = append(twice, task)
		if !s.deps.Leases.LeaseValid() {
			continue // a later owner may have returned the task
		}
		s.deps.Metrics.ReportViolation(s.deps.Log, metrics.InvariantOneOpenRecord, "shard", s.shardIndex, "task", task.Name(),
			"record", task.Group.Key, "further_record", record.Key, "attempt", task.Attempt, "worker", task.WorkerID,
			"history", task.History.Text(s.deps.Runtime.Now()))
	}
	return twice
}

// newJob returns the working copy of a catalog entry's job, without tasks.
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

// announceWaiting calls the handler's TaskWaiting for each waiting task of a group; it drops
// them instead if the job is cancelled.
func (s *TaskStore) announceWaiting(group *taskstate.TaskGroup) {
	for _, task := range group.Tasks {
		if task.State != taskstate.StateWaiting || group.Job.Tasks[task.Index] != task {
			continue // also if another record names the task, see openTwice
		}
		if group.Job.Cancelled {
			s.DropTask(task)
		} else {
			s.deps.Handler.TaskWaiting(task)
		}
	}
}

// RecordAdded adds the tasks of a record that the leader has dispatched to the shard. If the
// watch of the jobs lags behind that of the records, the job is not known yet; JobChanged
// then adds the record later.
func (s *TaskStore) RecordAdded(record *taskstate.Record) {
	if !s.loaded || record.Shard != s.shardIndex || s.tasks.groups[record.Key] != nil {
		return
	}
	if group := s.addRecord(record); group != nil {
		s.announceWaiting(group)
	}
}

// RecordRemoved removes from the working copy a record that the leader has deleted. All of
// its tasks should be done, dropped or returned by then.
func (s *TaskStore) RecordRemoved(record *taskstate.Record) {
	group := s.tasks.groups[record.Key]
	if !s.loaded || group == nil {
		return
	}
	s.tasks.removeGroup(group)
	for _, task := range group.Tasks {
		if task.State == taskstate.StatePlaced {
			s.logRemovalOfPlaced(task)
			s.deps.Handler.DiscardTask(task)
		}
		if task.State != taskstate.StateDone {
			task.State = taskstate.StateDropped
		}
		s.writer.untrackPage(task)
		s.tasks.removeTask(task)
	}
	s.tasks.removeJobIfEmpty(group.Job)
}

// logRemovalOfPlaced logs that a record was removed while its task may run. That is an error only of
// an owner that is certain to be the owner: a later one may have closed the task since, which this
// process learns from another watch.
func (s *TaskStore) logRemovalOfPlaced(task *taskstate.Task) {
	level := slog.LevelInfo
	if s.deps.Leases.LeaseValid() {
		level = slog.LevelError
	}
	s.deps.Log.Log(context.Background(), level, "record removed while a task may run", "shard", s.shardIndex, "task", task.Name(),
		"worker", task.WorkerID, "token", s.writer.token)
}

// TaskStatusChanged processes a status change in another shard: if a task of a divided gang
// is done, the whole gang is done.
func (s *TaskStore) TaskStatusChanged(record *taskstate.Record, position int, _ taskstate.TaskStatus) {
	if !s.loaded || record.Shard == s.shardIndex || record.Statuses[position].State != taskstate.StateDone {
		return
	}
	if job := s.tasks.jobs[record.Job]; job != nil && job.Gang != nil && !job.PartDoneElsewhere {
		job.PartDoneElsewhere = true
		s.deps.Handler.GangDone(job)
	}
}

// JobChanged processes the cancellation of a job, and adds the records of a new job that
// were seen before the job itself.
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
