package leader

import (
	"encoding/json"
	"strings"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// endIfComplete queues a job's end once nothing of it is left to run.
func (l *Leader) endIfComplete(p *jobState) {
	if p.ending {
		return
	}
	if p.cancelled {
		// Its owner has to write every task off before the record may go: a
		// placement that is on its way to the state service would be lost.
		if p.open > 0 {
			return
		}
	} else if p.spec.IsService() || p.done < p.spec.Tasks || p.open > 0 {
		return
	}
	p.ending = true
	l.endings = append(l.endings, p)
}

// commitEndings writes the ends of jobs, several in a commit.
func (l *Leader) commitEndings() bool {
	var guards []statestore.Condition
	var apply []statestore.Operation
	var ended []*jobState
	most := l.state.MaxOperations()
	rest := l.endings[:0:0]
	for n, p := range l.endings {
		if l.jobs[p.entry.ID] != p {
			continue
		}
		if len(apply) == most || (len(apply) > 0 && l.endSingly) {
			rest = append(rest, l.endings[n:]...)
			break
		}
		g, a := l.endOperations(p, most-len(apply))
		if len(a) == 0 {
			continue
		}
		guards, apply, ended = append(guards, g...), append(apply, a...), append(ended, p)
	}
	l.endings = rest
	if len(apply) == 0 {
		return false
	}
	l.commit(guards, apply, func(r statestore.CommitResult) {
		l.endSingly = r.Outcome == statestore.OutcomeConflict
		for _, p := range ended {
			p.ending = false
		}
		switch r.Outcome {
		case statestore.OutcomeOK:
			for _, a := range apply {
				if id, ok := strings.CutPrefix(a.PutKey, userapi.KeyPrefix); ok {
					l.catalog.Observe(id, a.Value, r.Revision)
				}
			}
			for _, p := range ended {
				l.log.Debug("job over", "job", p.entry.ID, "class", p.spec.Class, "tasks", p.spec.Tasks, "cancelled", p.cancelled,
					"age_s", float64(l.runtime.WallClock().UnixMilli()-p.entry.SubmittedMS)/1000)
				if l.jobs[p.entry.ID] == p && p.cancelled {
					l.recheck(p)
				}
			}
		case statestore.OutcomeRefused:
			l.backOff(0, func() {
				for _, p := range ended {
					l.endIfComplete(p)
				}
			})
		default:
			// Cancelled in the meantime, or carried out unseen.
			for _, p := range ended {
				l.recheck(p)
			}
		}
	})
	return true
}

// recheck looks at a job again when the copies are proven to be current.
func (l *Leader) recheck(p *jobState) {
	term := l.term
	l.records.Verify(func(error) {
		l.catalog.Verify(func(error) {
			if term == l.term && l.jobs[p.entry.ID] == p {
				l.endIfComplete(p)
			}
		})
	})
}

// endOperations gives the changes that end a job. Of a job that is done it is the phase
// that its user will be told; its records are removed when there is time for it:
// in one commit with them the ends of a backlog took the changes of twenty
// seconds, and nothing was handed out meanwhile. Of a cancelled one it is the
// removal of its records, as many as a commit takes. The tasks of a job are
// counted once more, each by its number: a job is never called done before all of
// its tasks are.
func (l *Leader) endOperations(p *jobState, most int) (guards []statestore.Condition, apply []statestore.Operation) {
	id := p.entry.ID
	records := l.records.JobRecords(id)
	for _, v := range l.pendingRecords {
		if v.Job == id {
			p.ending = false // looked at again when the record shows up
			return nil, nil
		}
	}
	if !p.cancelled {
		done := make(map[int]bool, p.spec.Tasks)
		for _, r := range records {
			for k, i := range r.TaskIndexes {
				if r.Statuses[k].State == taskstate.StateDone {
					done[i] = true
				}
			}
		}
		e := l.catalog.Get(id)
		if len(done) != p.spec.Tasks || e == nil || e.Phase != "" {
			p.ending = false
			return nil, nil
		}
		value, err := json.Marshal(userapi.Record{Phase: userapi.PhaseDone, SubmittedMS: e.SubmittedMS, TaskCount: p.spec.Tasks})
		if err != nil {
			l.log.Error("job record does not encode", "err", err)
			return nil, nil
		}
		p.ending = true
		return []statestore.Condition{{Key: userapi.KeyPrefix + id, Revision: e.Revision}}, []statestore.Operation{{PutKey: userapi.KeyPrefix + id, Value: value}}
	} else if len(records) == 0 {
		l.forgetJob(p)
		return nil, nil
	}
	for key, r := range records {
		if len(apply) == most {
			break
		}
		guards = append(guards, statestore.Condition{Key: key, Revision: r.Revision})
		apply = append(apply, statestore.Operation{DeleteKey: key})
	}
	p.ending = true
	return guards, apply
}

// collectRecords removes records of jobs that are over, a part of the changes at a time.
func (l *Leader) collectRecords() {
	now := l.runtime.Now()
	if len(l.obsoleteRecords) == 0 || now-l.collectedAt < tuning.RecordSweepInterval {
		return
	}
	l.collectedAt = now
	var apply []statestore.Operation
	state := &l.settings.Deployment.State
	most := min(l.state.MaxOperations(), max(1, int(state.WriteRPS*l.state.WriteShare()*tuning.RecordSweepWriteShare*tuning.RecordSweepInterval.Seconds())))
	for len(l.obsoleteRecords) > 0 && len(apply) < most {
		key := l.obsoleteRecords[0]
		l.obsoleteRecords = l.obsoleteRecords[1:]
		if l.records.Get(key) != nil {
			apply = append(apply, statestore.Operation{DeleteKey: key})
		}
	}
	if len(apply) == 0 {
		return
	}
	l.commit(nil, apply, func(r statestore.CommitResult) {
		if r.Outcome != statestore.OutcomeOK {
			for _, c := range apply {
				l.obsoleteRecords = append(l.obsoleteRecords, c.DeleteKey)
			}
		}
	})
}
