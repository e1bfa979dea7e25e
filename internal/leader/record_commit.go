package leader

import (
	"sort"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// recordCommit is a transaction that makes task records, and what is known of it. It is sent
// until it is known what came of it.
type recordCommit struct {
	leader     *Leader
	conditions []statestore.Condition
	operations []statestore.Operation
	records    []*taskstate.Record
	batches    []*taskBatch // of the records
	attempt    int
	// inDoubt: an attempt got no answer, and may yet be carried out as it was sent.
	inDoubt bool
}

// commitBatches commits the records of a dispatch round.
func (l *Leader) commitBatches(batches []*taskBatch) {
	for _, batch := range batches {
		batch.job.team.countPlanned(batch.job.spec, -float64(len(batch.tasks)))
	}
	if most := l.maxRecordsPerCommit(); len(batches) > most {
		l.fleet.RecordStalledDispatch()
		for _, batch := range batches[most:] {
			batch.putBack()
		}
		batches = batches[:most]
	}
	commit := &recordCommit{leader: l}
	for _, batch := range batches {
		commit.add(batch)
	}
	commit.send()
}

// maxRecordsPerCommit keeps a commit within the service's limits and within the part of the
// writes of a second that records may take.
func (l *Leader) maxRecordsPerCommit() int {
	writes := l.settings.Deployment.State.WriteRPS * tuning.ShardWriteShare * l.state.WriteShare()
	return min(l.state.MaxOperations(), max(1, int(writes)))
}

// add makes the record of a batch, and counts its tasks from now on.
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
		batch.putBack()
		return
	}
	c.conditions = append(c.conditions, statestore.Condition{Key: record.Key}) // must not exist
	c.operations = append(c.operations, statestore.Operation{PutKey: record.Key, Value: value})
	c.records, c.batches = append(c.records, record), append(c.batches, batch)
	leader.unseenRecords[record.Key] = record
	leader.countRecord(job, record, 1)
}

// send sends the transaction. Sent again after no answer, it fails on its own records if the
// earlier attempt was carried out.
func (c *recordCommit) send() { c.leader.commits.commit(c.conditions, c.operations, c.answered) }

func (c *recordCommit) answered(result statestore.CommitResult) {
	switch result.Outcome {
	case statestore.OutcomeOK:
		// The watch brings the records in.
	case statestore.OutcomeRefused:
		c.leader.fleet.RecordStalledDispatch()
		// Where writes are scarce, a large commit finds none left again and again while
		// small ones of others pass: half of it next. Not so if an earlier attempt may yet
		// be carried out, whole.
		if half := len(c.records) / 2; half > 0 && !c.inDoubt {
			c.dropFrom(half)
		}
		c.retry()
	case statestore.OutcomeUnknown:
		c.inDoubt = true
		c.retry()
	case statestore.OutcomeConflict, statestore.OutcomeGone, statestore.OutcomeInvalid:
		c.dropUnlessStored()
	}
}

// retry sends the transaction again after a pause.
func (c *recordCommit) retry() {
	attempt := c.attempt
	c.attempt++
	c.leader.commits.backOff(attempt, c.send)
}

// dropUnlessStored drops the records that the verified copy does not have. Some of the keys
// exist: an earlier attempt was carried out, and the watch has counted its records.
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

// dropFrom takes the records from the given one on out of the transaction.
func (c *recordCommit) dropFrom(first int) {
	for i := first; i < len(c.records); i++ {
		c.drop(i)
	}
	c.conditions, c.operations = c.conditions[:first], c.operations[:first]
	c.batches, c.records = c.batches[:first], c.records[:first]
}

// drop returns the tasks of a record that was not made to the queue of their job.
func (c *recordCommit) drop(i int) {
	record, batch := c.records[i], c.batches[i]
	delete(c.leader.unseenRecords, record.Key)
	c.leader.countRecord(batch.job, record, -1)
	batch.putBack()
}
