package leader

import (
	"time"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// garbage is the task records of jobs that are over. They are removed a few at a time, so
// that dispatch and ends of jobs keep the state service's writes.
type garbage struct {
	keys        []string
	collectedAt time.Duration // when the last ones were removed
}

// collectRecords removes records of jobs that are over, with a part of the writes.
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

// nextRemovals takes as many records as one commit may remove; those that are gone already
// are passed over.
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
