package leader

import (
	"cmp"
	"maps"
	"slices"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// load derives the state of the term from the copies of jobs and records.
func (l *Leader) load() {
	l.loaded = true
	l.catalog.EachUnfinished(func(entry *userapi.Entry) { l.addJob(entry) })
	l.records.EachRecord(l.loadRecord)
	unrecorded := 0
	for _, job := range l.jobs.byID {
		l.loadReturned(job)
		unrecorded += l.loadUnrecorded(job)
		if !job.spec.IsGang() {
			continue
		}
		job.gang.recalling = len(job.pending.returned) > 0
		if job.counts.open == 0 && job.counts.done == 0 {
			job.zones = nil // no task is on a machine, so the gang may be dispatched to other zones
		}
		l.observeGang(job)
	}
	for _, job := range l.jobs.byID {
		l.endIfComplete(job)
	}
	l.beginQuotaChecks()
	l.RequestRound()
	l.log.Info("leadership begins", "token", l.commits.token, "jobs", len(l.jobs.byID), "unrecorded", unrecorded,
		"records_revision", l.records.Revision(), "jobs_revision", l.catalog.Revision())
}

// loadRecord counts the tasks of a record that was created in an earlier term. The record of a
// cancelled job brings the job back into the table until all of its records are removed. The
// record of a job that is done or unknown is added to the garbage.
func (l *Leader) loadRecord(record *taskstate.Record) {
	job := l.jobs.byID[record.Job]
	if job == nil {
		entry := l.catalog.Get(record.Job)
		if entry == nil || entry.Phase != userapi.PhaseCancelled || entry.Spec == nil {
			l.garbage.keys = append(l.garbage.keys, record.Key)
			return
		}
		job = l.addJob(entry)
		job.cancelled = true
	}
	l.countRecord(job, record, 1)
	job.nextRecord = max(job.nextRecord, record.Number+1)
	job.pending.nextNew = max(job.pending.nextNew, record.TaskIndexes[len(record.TaskIndexes)-1]+1)
}

// recordsInOrder returns the records of a job in the order in which they were planned.
func (l *Leader) recordsInOrder(job *jobState) []*taskstate.Record {
	return slices.SortedFunc(maps.Values(l.records.JobRecords(job.entry.ID)), func(a, b *taskstate.Record) int {
		return cmp.Compare(a.Number, b.Number)
	})
}

// loadReturned queues the tasks of a job whose newest record has them as returned, and binds the
// job to the zones of its newest record.
func (l *Leader) loadReturned(job *jobState) {
	queue := &job.pending
	for _, record := range l.recordsInOrder(job) {
		if len(record.Zones) > 0 {
			job.zones = record.Zones
		}
		for position, index := range record.TaskIndexes {
			// A task may be in several records, since it may have been returned more than
			// once: the newest record decides.
			if status := record.Statuses[position]; status.State == taskstate.StateReturned {
				queue.attempts[index] = status.Attempt
			} else {
				delete(queue.attempts, index)
			}
		}
	}
	for index := range queue.attempts {
		queue.returned = append(queue.returned, index)
	}
	slices.Sort(queue.returned)
}

// loadUnrecorded queues the tasks of a job that an earlier leader removed from the queue but that
// no record names, and returns their number, 0 for a cancelled job. A task counts as dispatched
// only if a record names it: of the records of one dispatch only some may have been committed,
// with tasks above those of the others.
func (l *Leader) loadUnrecorded(job *jobState) int {
	if job.cancelled {
		return 0
	}
	queue := &job.pending
	if job.spec.IsGang() && queue.nextNew > 0 {
		queue.nextNew = max(queue.nextNew, queue.total) // a gang's tasks are removed together
	}
	unrecorded := unrecordedTasks(l.records.JobRecords(job.entry.ID), queue.nextNew)
	if len(unrecorded) > 0 {
		l.log.Debug("tasks of an earlier dispatch are in no record, queued again", "job", job.entry.ID, "tasks", unrecorded)
		queue.returned = append(queue.returned, unrecorded...)
		slices.Sort(queue.returned)
	}
	return len(unrecorded)
}

// unrecordedTasks returns the indexes below limit that none of the records names, in ascending
// order.
func unrecordedTasks(records map[string]*taskstate.Record, limit int) []int {
	recorded := make([]bool, limit)
	for _, record := range records {
		for _, index := range record.TaskIndexes {
			recorded[index] = true
		}
	}
	var unrecorded []int
	for index, isRecorded := range recorded {
		if !isRecorded {
			unrecorded = append(unrecorded, index)
		}
	}
	return unrecorded
}
