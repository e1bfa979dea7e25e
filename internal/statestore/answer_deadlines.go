package statestore

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// answerDeadlines is until when earlier owners of the shards may answer workers, so that a
// new owner can wait until none does.
type answerDeadlines struct {
	runtime        eventloop.Runtime
	gracePeriod    time.Duration // of every owner, see LeaseConfig
	previousOwners map[int]time.Duration
}

// ownerChanged notes that the owner of a shard has changed by now. The one before goes on
// answering for the grace period if its lease has expired. If the shard was taken from it
// while its lease was valid, it goes on until its copy of the leases is too old besides,
// see LeaseManager.AnswersUntil.
func (d *answerDeadlines) ownerChanged(shard int, leaseMayBeValid bool) {
	until := d.runtime.Now() + d.gracePeriod
	if leaseMayBeValid {
		until += tuning.LeaseTTL
	}
	d.previousOwners[shard] = max(d.previousOwners[shard], until)
}

// PreviousOwnerAnswersUntil returns the moment after which no earlier owner of a shard
// answers a worker any more. New fencing tokens of the present owner do not move it.
func (m *LeaseManager) PreviousOwnerAnswersUntil(shard int) time.Duration {
	return m.answers.previousOwners[shard]
}

// AnswersUntil returns how long this process may answer workers under the leases it holds:
// for the grace period past its node lease, so that a short outage ends no task, but no
// longer than its copy of the leases is young enough. The renewal of the node lease alone
// shows too little: a shard may be another's while this process's watch reports nothing.
func (m *LeaseManager) AnswersUntil() time.Duration {
	verifiedAt, known := m.mirror.VerifiedAt()
	if !known {
		return 0
	}
	return min(m.node.validUntil, verifiedAt+tuning.LeaseTTL) + m.answers.gracePeriod
}

// VerifyIfStale verifies the copy of the leases if that was last done long ago.
func (m *LeaseManager) VerifyIfStale() { m.mirror.VerifyIfOlder(tuning.KnowledgeVerifyInterval) }
