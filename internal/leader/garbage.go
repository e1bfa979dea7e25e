package leader

import (
	"time"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// garbage holds the keys of the task records of finished jobs. The records are removed a few at
// a time, so that the state service has enough writes left for dispatches and ends of jobs.
type garbage struct {
	keys        []string
	collectedAt time.Duration // time of the last removal, by the loop's clock
}

// collectRecords removes some records of finished jobs, at most once per
// tuning.RecordSweepInterval and within tuning.RecordSweepWriteShare of the state service's
// writes.
func (l *Leader) collectRecords() {
	now := l.runtime.Now()
	if len(l.garbage.keys) == 0 || now-l.garbage.collectedAt < tuning.RecordSweepInterval {
		return
	}
	l.garbage.collectedAt = now
	operations := l.nextRemovals()
	if len(operations) == 0 {
		return
	}
	l.commits.commit(nil, operations, func(result statestore.CommitResult) {
		if result.Outcome != statestore.OutcomeOK {
			for _, operation := range operations {
				l.garbage.keys = append(l.garbage.keys, operation.DeleteKey)
			}
		}
	})
}

// nextRemovals removes keys from the garbage and returns the operations that delete their
// records, at most as many as one commit may have. Records that no longer exist are skipped.
func (l *Leader) nextRemovals() []statestore.Operation {
	writes := l.settings.Deployment.State.WriteRPS * l.state.WriteShare() * tuning.RecordSweepWriteShare * tuning.RecordSweepInterval.Seconds()
	maxOperations := min(l.state.MaxOperations(), max(1, int(writes)))
	var operations []statestore.Operation
	for len(l.garbage.keys) > 0 && len(operations) < maxOperations {
		key := l.garbage.keys[0]
		l.garbage.keys = l.garbage.keys[1:]
		if l.records.Get(key) != nil {
			operations = append(operations, statestore.Operation{DeleteKey: key})
		}
	}
	return operations
}
