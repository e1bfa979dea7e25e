package controller

import (
	"testing"
	"time"

	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// knowing is a deployment whose block has an owner that answers its workers.
func knowing(t *testing.T) (*world, *Node, *shardOwner) {
	t.Helper()
	w := newWorld(1)
	w.run(15 * time.Second)
	n := w.owner(0).node
	if o := n.shardOwners[0]; !n.mayAnswer(o) {
		t.Fatal("the owner answers nobody")
	}
	return w, n, n.shardOwners[0]
}

// TestAnswersNeedRecentKnowledgeOfCancellations: an owner whose leases are proven and renewed
// all the time answers workers no longer than its knowledge of cancellations is young enough.
func TestAnswersNeedRecentKnowledgeOfCancellations(t *testing.T) {
	w, n, o := knowing(t)
	w.mute = userapi.KeyPrefix
	w.run(w.now + w.set.MaxKnowledgeAge() - 3*tuning.KnowledgeVerifyInterval)
	if !n.mayAnswer(o) {
		t.Error("answers nobody while its knowledge is young enough")
	}
	w.run(w.now + 3*tuning.KnowledgeVerifyInterval)
	if n.mayAnswer(o) {
		proven, _ := n.catalog.VerifiedAt()
		t.Errorf("answers on knowledge %v old", n.runtime.Now()-proven)
	}
	if n.runtime.Now() >= n.leases.AnswersUntil() {
		t.Error("its leases alone would have ended that")
	}
}

// TestLaunchProofIsNewerThanThePlacementAndRecent: a proof of before the placement is none, nor
// is one that is older than a launch may rest on.
func TestLaunchProofIsNewerThanThePlacementAndRecent(t *testing.T) {
	w, n, _ := knowing(t)
	proven, known := n.catalog.VerifiedAt()
	if !known || !n.cancellationsVerifiedSince(proven) {
		t.Fatalf("known %v, fresh %v", known, n.cancellationsVerifiedSince(proven))
	}
	if n.cancellationsVerifiedSince(proven + time.Millisecond) {
		t.Error("a proof of before the placement counts")
	}
	w.now += tuning.MaxLaunchKnowledgeAge + time.Second // nothing happens meanwhile
	if n.cancellationsVerifiedSince(proven) {
		t.Error("an old proof counts")
	}
}

// TestNoAnswersUnderARelinquishedToken: from the moment that an owner gives its shard up it
// answers nobody under that token, also while it still holds the lease: the next owner may
// begin before this one hears of it.
func TestNoAnswersUnderARelinquishedToken(t *testing.T) {
	_, n, o := knowing(t)
	n.leases.RelinquishShards()
	if n.leases.ShardToken(0) == 0 || !n.leases.LeaseValid() {
		t.Fatal("the lease is gone at once")
	}
	if n.mayAnswer(o) {
		t.Error("answers under a token that is given up")
	}
}
