package statestore

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// answerDeadlines records until when previous owners of the shards may answer workers, so
// that a new owner can wait until none of them does.
type answerDeadlines struct {
	runtime        eventloop.Runtime
	gracePeriod    time.Duration         // of every owner, see LeaseConfig
	previousOwners map[int]time.Duration // deadlines on the loop's clock, by shard
}

// ownerChanged records that the owner of a shard changed, now or earlier. A previous owner
// whose lease has expired may answer for another grace period. If its lease may still be
// valid, it may answer until its copy of the leases is too old, which takes up to
// tuning.LeaseTTL, and then for the grace period, see LeaseManager.AnswersUntil.
func (d *answerDeadlines) ownerChanged(shard int, leaseMayBeValid bool) {
	until := d.runtime.Now() + d.gracePeriod
	if leaseMayBeValid {
		until += tuning.LeaseTTL
	}
	d.previousOwners[shard] = max(d.previousOwners[shard], until)
}

// PreviousOwnerAnswersUntil returns the time, on the loop's clock, after which no previous
// owner of a shard answers workers. A new fencing token of the current owner does not move
// it.
func (m *LeaseManager) PreviousOwnerAnswersUntil(shard int) time.Duration {
	return m.answers.previousOwners[shard]
}

// AnswersUntil returns the time, on the loop's clock, until which this process may answer
// workers under the leases it holds, or 0 if its copy of the leases was never verified. Both
// the node lease and a verification of the copy, which counts for tuning.LeaseTTL, are
// extended by the grace period, so that a short outage ends no task; the earlier of the two
// decides. Renewing the node lease alone is not enough: another process may own a shard
// while this process's watch reports nothing.
func (m *LeaseManager) AnswersUntil() time.Duration {
	verifiedAt, known := m.mirror.VerifiedAt()
	if !known {
		return 0
	}
	return min(m.node.validUntil, verifiedAt+tuning.LeaseTTL) + m.answers.gracePeriod
}

// VerifyIfStale verifies the copy of the leases unless it was verified within the last
// tuning.KnowledgeVerifyInterval.
func (m *LeaseManager) VerifyIfStale() { m.mirror.VerifyIfOlder(tuning.KnowledgeVerifyInterval) }
