package leader

import (
	"slices"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// JobChanged updates the leader's state after a job was submitted, cancelled or completed.
func (l *Leader) JobChanged(entry *userapi.Entry) {
	if !l.loaded {
		return
	}
	job := l.jobs.byID[entry.ID]
	l.RequestRound()
	switch entry.Phase {
	case "":
		if job == nil {
			l.addJob(entry)
		}
	case userapi.PhaseCancelled:
		if job != nil {
			job.cancelled = true
			l.endIfComplete(job)
		}
	case userapi.PhaseDone:
		if job != nil {
			l.jobs.remove(job)
			for key := range l.records.JobRecords(entry.ID) {
				l.garbage.keys = append(l.garbage.keys, key)
			}
		}
	}
}

// RecordAdded counts the tasks of a task record that the watch has reported. This leader or
// an earlier one has created it.
func (l *Leader) RecordAdded(record *taskstate.Record) {
	if !l.loaded {
		return
	}
	l.RequestRound()
	job := l.jobs.byID[record.Job]
	if unseenRecord := l.unseenRecords[record.Key]; unseenRecord != nil {
		delete(l.unseenRecords, record.Key)
		if job != nil {
			l.countRecord(job, unseenRecord, -1)
		}
	}
	if job != nil {
		l.countRecord(job, record, 1)
		l.endIfComplete(job)
	} else if entry := l.catalog.Get(record.Job); entry != nil && entry.Phase != "" {
		// A dispatch that the state service carried out a second time, after its job had
		// ended, has created the record again. Nothing else removes it during this term.
		l.garbage.keys = append(l.garbage.keys, record.Key)
	}
}

// RecordRemoved subtracts the tasks of a task record that has been deleted.
func (l *Leader) RecordRemoved(record *taskstate.Record) {
	if !l.loaded {
		return
	}
	l.RequestRound()
	if job := l.jobs.byID[record.Job]; job != nil {
		l.countRecord(job, record, -1)
		l.endIfComplete(job)
	}
}

// TaskStatusChanged updates the leader's state after a shard owner has logged a new status of
// the task at a position of a record. earlier is the previous status of the task.
func (l *Leader) TaskStatusChanged(record *taskstate.Record, position int, earlier taskstate.TaskStatus) {
	if !l.loaded {
		return
	}
	job := l.jobs.byID[record.Job]
	if job == nil {
		return
	}
	l.RequestRound()
	status := record.Statuses[position]
	l.countTask(job, record.Shard, earlier, -1)
	l.countTask(job, record.Shard, status, 1)
	if status.State == taskstate.StateReturned && !job.cancelled {
		job.pending.requeue(record.TaskIndexes[position], status.Attempt)
		job.gang.recalling = true
	}
	if job.counts.open == 0 {
		l.endIfComplete(job)
	}
}

// requeue adds a task that a shard has returned to the queue. lastAttempt is the number of the
// last attempt of the task.
func (q *taskQueue) requeue(index int, lastAttempt uint64) {
	if at, found := slices.BinarySearch(q.returned, index); !found {
		q.returned = slices.Insert(q.returned, at, index)
	}
	q.attempts[index] = lastAttempt
}
