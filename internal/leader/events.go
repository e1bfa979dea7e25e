package leader

import (
	"slices"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// JobChanged notes a new, cancelled or completed job.
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

// RecordAdded notes a task record that this leader, or an earlier one, has made.
func (l *Leader) RecordAdded(record *taskstate.Record) {
	if !l.loaded {
		return
	}
	l.RequestRound()
	job := l.jobs.byID[record.Job]
	if unseen := l.unseenRecords[record.Key]; unseen != nil {
		delete(l.unseenRecords, record.Key)
		if job != nil {
			l.countRecord(job, unseen, -1)
		}
	}
	if job != nil {
		l.countRecord(job, record, 1)
		l.endIfComplete(job)
	} else if entry := l.catalog.Get(record.Job); entry != nil && entry.Phase != "" {
		// A dispatch that was carried out once more after its job was over.
		l.garbage.keys = append(l.garbage.keys, record.Key)
	}
}

// RecordRemoved notes that a task record is gone.
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

// TaskStatusChanged notes what a shard owner has logged of the task at a position of a
// record; earlier is the task's status until now.
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
	}
	if job.counts.open == 0 {
		l.endIfComplete(job)
	}
}

// requeue takes a task in that a shard has returned after so many attempts.
func (q *taskQueue) requeue(index int, lastAttempt uint64) {
	if at, found := slices.BinarySearch(q.returned, index); !found {
		q.returned = slices.Insert(q.returned, at, index)
	}
	q.attempts[index] = lastAttempt
}
