package leader

import (
	"encoding/json"
	"strings"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// endQueue holds the jobs that have no tasks left to run, until their ends are committed.
type endQueue struct {
	jobs []*jobState
	// onePerCommit is set after a condition of the last commit has failed. Each end is then
	// committed separately, so that one job cannot hold up the others.
	onePerCommit bool
}

// endCommit is a transaction that ends jobs.
type endCommit struct {
	conditions []statestore.Condition
	operations []statestore.Operation
	jobs       []*jobState
}

// endIfComplete queues the end of a job if the job is complete and its end is not queued yet.
func (l *Leader) endIfComplete(job *jobState) {
	if job.ending || !job.isComplete() {
		return
	}
	job.ending = true
	l.ends.jobs = append(l.ends.jobs, job)
}

// commitEnds commits the ends of queued jobs, several in one commit, and reports whether a
// commit was sent.
func (l *Leader) commitEnds() bool {
	commit := l.nextEndCommit()
	if len(commit.operations) == 0 {
		return false
	}
	l.commits.commit(commit.conditions, commit.operations, func(result statestore.CommitResult) {
		l.ends.onePerCommit = result.Outcome == statestore.OutcomeConflict
		for _, job := range commit.jobs {
			job.ending = false
		}
		switch result.Outcome {
		case statestore.OutcomeOK:
			l.endsCommitted(commit, result.Revision)
		case statestore.OutcomeRefused:
			l.commits.backOff(0, func() {
				for _, job := range commit.jobs {
					l.endIfComplete(job)
				}
			})
		case statestore.OutcomeConflict, statestore.OutcomeUnknown, statestore.OutcomeGone, statestore.OutcomeInvalid:
			// The jobs may have been cancelled in the meantime, or the commit may have been
			// carried out although no answer arrived.
			for _, job := range commit.jobs {
				l.recheckEnd(job)
			}
		}
	})
	return true
}

// nextEndCommit removes jobs from the queue and returns a transaction that ends them, with as
// many jobs as fit.
func (l *Leader) nextEndCommit() *endCommit {
	commit := &endCommit{}
	maxOperations := l.state.MaxOperations()
	remaining := l.ends.jobs[:0:0]
	for i, job := range l.ends.jobs {
		if !l.jobs.has(job) {
			continue
		}
		if len(commit.operations) == maxOperations || (len(commit.operations) > 0 && l.ends.onePerCommit) {
			remaining = append(remaining, l.ends.jobs[i:]...)
			break
		}
		l.addEnd(commit, job, maxOperations-len(commit.operations))
	}
	l.ends.jobs = remaining
	return commit
}

// endsCommitted updates the catalog, from which users are answered, now that the ends are
// durable. It rechecks cancelled jobs, of which records may be left.
func (l *Leader) endsCommitted(commit *endCommit, revision uint64) {
	for _, operation := range commit.operations {
		if id, ok := strings.CutPrefix(operation.PutKey, userapi.KeyPrefix); ok {
			l.catalog.Observe(id, operation.Value, revision)
		}
	}
	for _, job := range commit.jobs {
		l.log.Debug("job ended", "job", job.entry.ID, "class", job.spec.Class, "tasks", job.spec.Tasks, "cancelled", job.cancelled,
			"age_s", float64(l.runtime.WallClock().UnixMilli()-job.entry.SubmittedMS)/1000)
		if l.jobs.has(job) && job.cancelled {
			l.recheckEnd(job)
		}
	}
}

// recheckEnd calls endIfComplete for a job after the copies of records and jobs have been
// verified, or could not be.
func (l *Leader) recheckEnd(job *jobState) {
	check := l.terms.Guard(func() {
		if l.jobs.has(job) {
			l.endIfComplete(job)
		}
	})
	l.records.Verify(func(error) {
		l.catalog.Verify(func(error) { check() })
	})
}

// addEnd adds at most maxOperations operations that end a job. For a job that is done, that is
// the update of its phase, which its user is told. Its records are removed later (see garbage):
// removals in the same commit would let the ends of a backlog use up the writes of twenty
// seconds, in which nothing could be dispatched. For a cancelled job, the operations remove its
// records, as many as fit into the commit.
func (l *Leader) addEnd(commit *endCommit, job *jobState, maxOperations int) {
	job.ending = false
	for _, record := range l.unseenRecords {
		if record.Job == job.entry.ID {
			return // RecordAdded checks the job again when the watch reports the record
		}
	}
	operationsBefore := len(commit.operations)
	if job.cancelled {
		l.addRecordRemovals(commit, job, maxOperations)
	} else {
		l.addDonePhase(commit, job)
	}
	if len(commit.operations) > operationsBefore {
		job.ending = true
		commit.jobs = append(commit.jobs, job)
	}
}

// addDonePhase adds the operation that sets the phase of a job to done. It counts the done
// tasks again, by index: a task that is done in two records counts twice in taskCounts, and a
// job must not be reported done before all of its tasks are.
func (l *Leader) addDonePhase(commit *endCommit, job *jobState) {
	id := job.entry.ID
	entry := l.catalog.Get(id)
	if l.countDoneTasks(job) != job.spec.Tasks || entry == nil || entry.Phase != "" {
		return
	}
	value, err := json.Marshal(userapi.Record{Phase: userapi.PhaseDone, SubmittedMS: entry.SubmittedMS, TaskCount: job.spec.Tasks})
	if err != nil {
		l.log.Error("failed to encode a job record", "job", id, "err", err)
		return
	}
	key := userapi.KeyPrefix + id
	commit.conditions = append(commit.conditions, statestore.Condition{Key: key, Revision: entry.Revision})
	commit.operations = append(commit.operations, statestore.Operation{PutKey: key, Value: value})
}

// countDoneTasks returns how many tasks of a job are done in at least one of its records.
func (l *Leader) countDoneTasks(job *jobState) int {
	done := make(map[int]bool, job.spec.Tasks)
	for _, record := range l.records.JobRecords(job.entry.ID) {
		for position, index := range record.TaskIndexes {
			if record.Statuses[position].State == taskstate.StateDone {
				done[index] = true
			}
		}
	}
	return len(done)
}

// addRecordRemovals adds the removal of at most maxOperations records of a cancelled job. A job
// without records is removed from the job table.
func (l *Leader) addRecordRemovals(commit *endCommit, job *jobState, maxOperations int) {
	records := l.records.JobRecords(job.entry.ID)
	if len(records) == 0 {
		l.jobs.remove(job)
		return
	}
	removed := 0
	for key, record := range records {
		if removed == maxOperations {
			return
		}
		commit.conditions = append(commit.conditions, statestore.Condition{Key: key, Revision: record.Revision})
		commit.operations = append(commit.operations, statestore.Operation{DeleteKey: key})
		removed++
	}
}
