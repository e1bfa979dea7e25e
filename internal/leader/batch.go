package leader

import (
	"sort"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// batch is what one hand-out gives to a block of one job.
type batch struct {
	plan    *jobState
	block   int
	tasks   []int
	retried int
	bytes   int // what its record takes, at most
	// Of a divided gang, see work.Record; done: its tasks are proven done.
	try  uint64
	part int
	done bool
}

// give puts a job's next task into a batch.
func (l *Leader) give(batches []*batch, p *jobState, block int, u *usage) []*batch {
	i := p.first()
	retried := 0
	if len(p.back) > 0 {
		p.back = p.back[1:]
		retried = 1
	} else {
		p.next++
	}
	u.cpus += p.desc.CPUs // until the batch is counted
	u.cards += p.desc.GPUs
	cost := func(b *batch) int {
		switch {
		case retried > 0:
			return tuning.RetriedTaskBytes
		case b != nil && b.tasks[len(b.tasks)-1]+1 == i:
			return 0
		}
		return tuning.NewTaskBytes
	}
	for k := len(batches) - 1; k >= 0 && batches[k].plan == p; k-- {
		if b := batches[k]; b.block == block && len(b.tasks) < tuning.MaxRecordTasks && b.retried+retried <= tuning.MaxRetriedRecordTasks &&
			b.bytes+cost(b) <= l.state.MaxValueBytes()-tuning.RecordOverheadBytes {
			b.bytes += cost(b)
			b.tasks = append(b.tasks, i)
			b.retried += retried
			return batches
		}
	}
	return append(batches, &batch{plan: p, block: block, tasks: []int{i}, retried: retried, bytes: cost(nil)})
}

// takeBack undoes give.
func (l *Leader) takeBack(b *batch) {
	b.plan.back = append(b.plan.back, b.tasks...)
	sort.Ints(b.plan.back)
}

// send commits the records of a hand-out.
func (l *Leader) send(batches []*batch) {
	for _, b := range batches {
		u := l.usage[b.plan.desc.Team]
		u.cpus -= float64(len(b.tasks)) * b.plan.desc.CPUs
		u.cards -= float64(len(b.tasks)) * b.plan.desc.GPUs
	}
	most := min(l.state.MaxOperations(), max(1, int(l.set.Deployment.State.WriteRPS*tuning.ShardWriteShare*l.state.WriteShare())))
	if len(batches) > most {
		l.fleet.NoteStalledDispatch()
		for _, b := range batches[most:] {
			l.takeBack(b)
		}
		batches = batches[:most]
	}
	var guards []statestore.Condition
	var apply []statestore.Operation
	var records []*taskstate.Record
	var made []*batch // those of the records
	for _, b := range batches {
		sort.Ints(b.tasks)
		r := taskstate.NewRecord(b.block, b.plan.e.ID, b.plan.number, b.tasks, b.plan.zones, b.plan.attempts)
		r.GangAttempt, r.PartSize = b.try, b.part
		if b.done {
			r.SetAllDone()
		}
		b.plan.number++
		value, err := r.Encode()
		if err != nil {
			l.log.Error("work record does not encode", "err", err)
			l.takeBack(b)
			continue
		}
		guards = append(guards, statestore.Condition{Key: r.Key})
		apply = append(apply, statestore.Operation{PutKey: r.Key, Value: value})
		records, made = append(records, r), append(made, b)
		l.pending[r.Key] = r
		l.count(b.plan, r, 1)
	}
	l.post(guards, apply, made, records, 0, false)
}

// drop takes back what was to be handed out in a record that was not made.
func (l *Leader) drop(b *batch, r *taskstate.Record) {
	delete(l.pending, r.Key)
	l.count(b.plan, r, -1)
	l.takeBack(b)
}

// post sends a hand-out until it is known what came of it. Sent again after
// no answer (doubt), it fails on its own records if the first was carried out.
func (l *Leader) post(guards []statestore.Condition, apply []statestore.Operation, batches []*batch, records []*taskstate.Record, try int, doubt bool) {
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
					l.drop(batches[n+i], rec)
				}
				guards, apply, batches, records = guards[:n], apply[:n], batches[:n], records[:n]
			}
			l.later(try, func() { l.post(guards, apply, batches, records, try+1, doubt) })
		case statestore.OutcomeUnknown:
			l.later(try, func() { l.post(guards, apply, batches, records, try+1, true) })
		default:
			// Some of the keys exist: an earlier try was carried out. If the
			// records are there, the watch has counted them.
			term := l.term
			l.flying = true
			l.store.Verify(func(err error) {
				if term != l.term {
					return
				}
				l.flying = false
				if err != nil {
					l.later(try, func() { l.post(guards, apply, batches, records, try+1, doubt) })
					return
				}
				for i, rec := range records {
					if l.pending[rec.Key] != nil {
						l.drop(batches[i], rec)
					}
				}
				l.wanted = true
			})
		}
	})
}
