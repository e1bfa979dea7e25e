package leader

import (
	"sort"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// taskBatch is what one hand-out gives to a block of one job.
type taskBatch struct {
	job    *jobState
	shard   int
	tasks   []int
	retried int
	bytes   int // what its record takes, at most
	// Of a divided gang, see work.Record; done: its tasks are proven done.
	gangAttempt  uint64
	partSize int
	done bool
}

// addTask puts a job's next task into a batch.
func (l *Leader) addTask(batches []*taskBatch, p *jobState, block int, u *teamUsage) []*taskBatch {
	i := p.nextTask()
	retried := 0
	if len(p.returned) > 0 {
		p.returned = p.returned[1:]
		retried = 1
	} else {
		p.nextNew++
	}
	u.cpus += p.spec.CPUs // until the batch is counted
	u.gpus += p.spec.GPUs
	cost := func(b *taskBatch) int {
		switch {
		case retried > 0:
			return tuning.RetriedTaskBytes
		case b != nil && b.tasks[len(b.tasks)-1]+1 == i:
			return 0
		}
		return tuning.NewTaskBytes
	}
	for k := len(batches) - 1; k >= 0 && batches[k].job == p; k-- {
		if b := batches[k]; b.shard == block && len(b.tasks) < tuning.MaxRecordTasks && b.retried+retried <= tuning.MaxRetriedRecordTasks &&
			b.bytes+cost(b) <= l.state.MaxValueBytes()-tuning.RecordOverheadBytes {
			b.bytes += cost(b)
			b.tasks = append(b.tasks, i)
			b.retried += retried
			return batches
		}
	}
	return append(batches, &taskBatch{job: p, shard: block, tasks: []int{i}, retried: retried, bytes: cost(nil)})
}

// returnTasks undoes give.
func (l *Leader) returnTasks(b *taskBatch) {
	b.job.returned = append(b.job.returned, b.tasks...)
	sort.Ints(b.job.returned)
}

// commitBatches commits the records of a hand-out.
func (l *Leader) commitBatches(batches []*taskBatch) {
	for _, b := range batches {
		u := l.teams[b.job.spec.Team]
		u.cpus -= float64(len(b.tasks)) * b.job.spec.CPUs
		u.gpus -= float64(len(b.tasks)) * b.job.spec.GPUs
	}
	most := min(l.state.MaxOperations(), max(1, int(l.settings.Deployment.State.WriteRPS*tuning.ShardWriteShare*l.state.WriteShare())))
	if len(batches) > most {
		l.fleet.NoteStalledDispatch()
		for _, b := range batches[most:] {
			l.returnTasks(b)
		}
		batches = batches[:most]
	}
	var guards []statestore.Condition
	var apply []statestore.Operation
	var records []*taskstate.Record
	var made []*taskBatch // those of the records
	for _, b := range batches {
		sort.Ints(b.tasks)
		r := taskstate.NewRecord(b.shard, b.job.entry.ID, b.job.nextRecord, b.tasks, b.job.zones, b.job.attempts)
		r.GangAttempt, r.PartSize = b.gangAttempt, b.partSize
		if b.done {
			r.MarkAllDone()
		}
		b.job.nextRecord++
		value, err := r.Encode()
		if err != nil {
			l.log.Error("work record does not encode", "err", err)
			l.returnTasks(b)
			continue
		}
		guards = append(guards, statestore.Condition{Key: r.Key})
		apply = append(apply, statestore.Operation{PutKey: r.Key, Value: value})
		records, made = append(records, r), append(made, b)
		l.pendingRecords[r.Key] = r
		l.count(b.job, r, 1)
	}
	l.commitRecords(guards, apply, made, records, 0, false)
}

// dropRecord takes back what was to be handed out in a record that was not made.
func (l *Leader) dropRecord(b *taskBatch, r *taskstate.Record) {
	delete(l.pendingRecords, r.Key)
	l.count(b.job, r, -1)
	l.returnTasks(b)
}

// commitRecords sends a hand-out until it is known what came of it. Sent again after
// no answer (doubt), it fails on its own records if the first was carried out.
func (l *Leader) commitRecords(guards []statestore.Condition, apply []statestore.Operation, batches []*taskBatch, records []*taskstate.Record, try int, doubt bool) {
	l.commit(guards, apply, func(r statestore.CommitResult) {
		switch r.Outcome {
		case statestore.OutcomeOK:
			// The watch brings the records in.
		case statestore.OutcomeRefused:
			l.fleet.NoteStalledDispatch()
			// Where changes are scarce, a large commit finds none left again
			// and again while small ones of others pass: half of it next. Not
			// so if an earlier try may yet be carried out, whole.
			if n := len(records) / 2; n > 0 && !doubt {
				for i, rec := range records[n:] {
					l.dropRecord(batches[n+i], rec)
				}
				guards, apply, batches, records = guards[:n], apply[:n], batches[:n], records[:n]
			}
			l.backOff(try, func() { l.commitRecords(guards, apply, batches, records, try+1, doubt) })
		case statestore.OutcomeUnknown:
			l.backOff(try, func() { l.commitRecords(guards, apply, batches, records, try+1, true) })
		default:
			// Some of the keys exist: an earlier try was carried out. If the
			// records are there, the watch has counted them.
			term := l.term
			l.commitBlocked = true
			l.records.Verify(func(err error) {
				if term != l.term {
					return
				}
				l.commitBlocked = false
				if err != nil {
					l.backOff(try, func() { l.commitRecords(guards, apply, batches, records, try+1, doubt) })
					return
				}
				for i, rec := range records {
					if l.pendingRecords[rec.Key] != nil {
						l.dropRecord(batches[i], rec)
					}
				}
				l.roundRequested = true
			})
		}
	})
}
