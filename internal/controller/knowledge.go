package controller

import (
	"time"

	"lemonmoor/internal/tuning"
)

// mayAnswer tells whether this node may answer heartbeats of a shard's workers: while its
// lease is valid, and for the answer grace period after, which every takeover waits out; and
// only on knowledge of cancellations that is recent enough. The lease alone is not enough:
// after an outage it has its full time again, while the catalog still lacks what other nodes
// have confirmed to users. See docs/design.md, "What a cancellation binds".
func (n *Node) mayAnswer(owner *shardOwner) bool {
	now := n.runtime.Now()
	verifiedAt, known := n.catalog.VerifiedAt()
	return owner.token != 0 && !n.leases.Relinquished(owner.shardIndex) && now < n.leases.AnswersUntil() &&
		known && now < verifiedAt+n.settings.MaxKnowledgeAge()
}

// cancellationsVerifiedSince tells whether the catalog has been verified to hold all
// cancellations up to a moment, no longer ago than tuning.MaxLaunchKnowledgeAge; if not, a
// verification is asked for.
func (n *Node) cancellationsVerifiedSince(since time.Duration) bool {
	now := n.runtime.Now()
	verifiedAt, known := n.catalog.VerifiedAt()
	if known && verifiedAt >= since && now-verifiedAt <= tuning.MaxLaunchKnowledgeAge {
		return true
	}
	n.catalog.VerifyIfOlder(0)
	return false
}

// keepVerified keeps verified what a shard owner's answers rest on: the catalog's
// cancellations and the leases.
func (n *Node) keepVerified() {
	n.catalog.VerifyIfOlder(tuning.KnowledgeVerifyInterval)
	n.leases.VerifyIfStale()
}
