package controller

import (
	"time"

	"lemonmoor/internal/tuning"
)

// mayAnswer reports whether this node may answer heartbeats of a shard's workers. It may while
// its lease is valid and for the answer grace period after that, which every takeover waits
// for, and only if its knowledge of cancellations is younger than Settings.MaxKnowledgeAge. The
// lease alone is not enough: after an outage it is renewed for its full duration while the
// catalog still lacks cancellations that other nodes have confirmed to users. See
// docs/design.md, "What a cancellation binds".
func (n *Node) mayAnswer(owner *shardOwner) bool {
	now := n.runtime.Now()
	verifiedAt, known := n.catalog.VerifiedAt()
	return owner.token != 0 && !n.leases.Relinquished(owner.shardIndex) && now < n.leases.AnswersUntil() &&
		known && now < verifiedAt+n.settings.MaxKnowledgeAge()
}

// cancellationsVerifiedSince reports whether the catalog is verified to hold all cancellations
// up to since or later, by a verification that is at most tuning.MaxLaunchKnowledgeAge old. If
// not, it requests a verification.
func (n *Node) cancellationsVerifiedSince(since time.Duration) bool {
	now := n.runtime.Now()
	verifiedAt, known := n.catalog.VerifiedAt()
	if known && verifiedAt >= since && now-verifiedAt <= tuning.MaxLaunchKnowledgeAge {
		return true
	}
	n.catalog.VerifyIfOlder(0)
	return false
}

// knowledgeAge returns the age of the newest verification of the catalog, or the time since the
// process started if there is none.
func (n *Node) knowledgeAge() time.Duration {
	verifiedAt, _ := n.catalog.VerifiedAt()
	return n.runtime.Now() - verifiedAt
}

// verifyCopiesIfStale requests a verification of the catalog's cancellations and of the leases
// where the last one is too old. A shard owner's answers to workers depend on both.
func (n *Node) verifyCopiesIfStale() {
	n.catalog.VerifyIfOlder(tuning.KnowledgeVerifyInterval)
	n.leases.VerifyIfStale()
}
