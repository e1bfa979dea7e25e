package leader

import (
	"sort"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// recordCommit is a transaction that creates task records. It is sent repeatedly until its
// outcome is known.
type recordCommit struct {
	leader     *Leader
	conditions []statestore.Condition
	operations []statestore.Operation
	records    []*taskstate.Record
	batches    []*taskBatch // batches[i] is the source of records[i]
	attempt    int          // number of retries so far
	// inDoubt is set after an attempt got no answer: the state service may have carried it out,
	// or may still do so, as it was sent.
	inDoubt bool
}

// commitBatches commits the task records of a dispatch round. Batches beyond the limit of a
// commit are returned to the queues of their jobs.
func (l *Leader) commitBatches(batches []*taskBatch) {
	for _, batch := range batches {
		batch.job.team.countPlanned(batch.job.spec, -float64(len(batch.tasks)))
	}
	if maxRecords := l.maxRecordsPerCommit(); len(batches) > maxRecords {
		l.fleet.RecordStalledDispatch()
		l.log.Debug("dispatch cut to the limit of a commit", "records", maxRecords, "dropped", len(batches)-maxRecords)
		for _, batch := range batches[maxRecords:] {
			batch.requeue()
		}
		batches = batches[:maxRecords]
	}
	commit := &recordCommit{leader: l}
	for _, batch := range batches {
		commit.add(batch)
	}
	commit.send()
}

// maxRecordsPerCommit returns how many records one commit may create: a commit must stay within
// the limits of the state service and within the share of a second's writes that is available
// for records.
func (l *Leader) maxRecordsPerCommit() int {
	writes := l.settings.Deployment.State.WriteRPS * tuning.ShardWriteShare * l.state.WriteShare()
	return min(l.state.MaxOperations(), max(1, int(writes)))
}

// add adds the record of a batch to the transaction and counts its tasks as dispatched.
func (c *recordCommit) add(batch *taskBatch) {
	leader, job := c.leader, batch.job
	sort.Ints(batch.tasks)
	record := taskstate.NewRecord(batch.shard, job.entry.ID, job.nextRecord, batch.tasks, job.zones, job.pending.attempts)
	record.GangAttempt, record.PartSize = batch.gangAttempt, batch.partSize
	if batch.allDone {
		record.SetAllDone()
	}
	job.nextRecord++
	value, err := record.Encode()
	if err != nil {
		leader.log.Error("failed to encode a task record", "job", job.entry.ID, "err", err)
		batch.requeue()
		return
	}
	c.conditions = append(c.conditions, statestore.Condition{Key: record.Key}) // must not exist
	c.operations = append(c.operations, statestore.Operation{PutKey: record.Key, Value: value})
	c.records, c.batches = append(c.records, record), append(c.batches, batch)
	leader.unseenRecords[record.Key] = record
	leader.countRecord(job, record, 1)
}

// send sends the transaction. If an earlier attempt without an answer was carried out, the
// transaction fails with a conflict, since its records exist already.
func (c *recordCommit) send() { c.leader.commits.commit(c.conditions, c.operations, c.answered) }

// answered processes the answer to an attempt.
func (c *recordCommit) answered(result statestore.CommitResult) {
	switch result.Outcome {
	case statestore.OutcomeOK:
		// RecordAdded is called for the records when the watch reports them.
		c.logDispatch(result.Revision)
	case statestore.OutcomeRefused:
		c.leader.fleet.RecordStalledDispatch()
		// While writes are throttled, a large commit is refused repeatedly while small ones
		// of other nodes pass, so half of the records are dropped before the retry. The
		// transaction stays whole if an earlier attempt may still be carried out.
		if half := len(c.records) / 2; half > 0 && !c.inDoubt {
			c.leader.log.Debug("dispatch halved after a refusal", "records", half, "dropped", len(c.records)-half)
			c.dropFrom(half)
		}
		c.retry()
	case statestore.OutcomeUnknown:
		c.inDoubt = true
		c.retry()
	case statestore.OutcomeGone, statestore.OutcomeInvalid:
		if c.inDoubt {
			c.leader.commits.renewToken()
			return
		}
		c.dropUnlessStored()
	case statestore.OutcomeConflict:
		c.dropUnlessStored()
	}
}

// logDispatch logs a dispatch that was committed, with what the teams of its jobs use of their
// quotas.
func (c *recordCommit) logDispatch(revision uint64) {
	leader, tasks := c.leader, 0
	usage := map[string]string{}
	for i, record := range c.records {
		tasks += len(record.TaskIndexes)
		usage[c.batches[i].job.spec.Team] = c.batches[i].job.team.String()
	}
	leader.metrics.AddDispatched(tasks)
	leader.log.Info("tasks dispatched", "token", leader.commits.token, "revision", revision, "records", len(c.records), "tasks", tasks,
		"attempt", c.attempt, "in_doubt", c.inDoubt, "teams", usage)
}

// retry sends the transaction again after a pause.
func (c *recordCommit) retry() {
	attempt := c.attempt
	c.attempt++
	c.leader.commits.backOff(attempt, c.send)
}

// dropUnlessStored verifies the copy of the records and drops the records that it does not
// have. It is called when the last attempt failed permanently. After a conflict some of the
// keys exist: an earlier attempt was carried out, and RecordAdded has counted its records.
func (c *recordCommit) dropUnlessStored() {
	leader := c.leader
	leader.commits.verify(leader.records, func(err error) {
		if err != nil {
			c.retry()
			return
		}
		for i, record := range c.records {
			if leader.unseenRecords[record.Key] != nil {
				c.drop(i)
			}
		}
		leader.RequestRound()
	})
}

// dropFrom removes the records from index first on from the transaction.
func (c *recordCommit) dropFrom(first int) {
	for i := first; i < len(c.records); i++ {
		c.drop(i)
	}
	c.conditions, c.operations = c.conditions[:first], c.operations[:first]
	c.batches, c.records = c.batches[:first], c.records[:first]
}

// drop returns the tasks of the record at index i, which was not created, to the queue of their
// job.
func (c *recordCommit) drop(i int) {
	record, batch := c.records[i], c.batches[i]
	delete(c.leader.unseenRecords, record.Key)
	c.leader.countRecord(batch.job, record, -1)
	batch.requeue()
}
