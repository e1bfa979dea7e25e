package controller

import (
	"testing"
	"time"

	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// knowing is a deployment whose block has an owner that answers its workers.
func knowing(t *testing.T) (*simulation, *Node, *owner) {
	t.Helper()
	sim := newSimulation(1)
	sim.run(15 * time.Second)
	n := sim.ownerOfShard0().node
	if o := n.owners[0]; !n.answering(o) {
		t.Fatal("the owner answers nobody")
	}
	return sim, n, n.owners[0]
}

// TestAnswersNeedRecentKnowledgeOfCancellations: an owner whose leases are proven and renewed
// all the time answers workers no longer than its knowledge of cancellations is young enough.
func TestAnswersNeedRecentKnowledgeOfCancellations(t *testing.T) {
	sim, n, o := knowing(t)
	sim.stateFaults.silentWatchPrefix = userapi.KeyPrefix
	sim.run(sim.now + sim.settings.MaxKnowledgeAge() - 3*tuning.KnowledgeVerifyInterval)
	if !n.answering(o) {
		t.Error("answers nobody while its knowledge is young enough")
	}
	sim.run(sim.now + 3*tuning.KnowledgeVerifyInterval)
	if n.answering(o) {
		proven, _ := n.cat.VerifiedAt()
		t.Errorf("answers on knowledge %v old", n.rt.Now()-proven)
	}
	if n.rt.Now() >= n.leases.AnswersUntil() {
		t.Error("its leases alone would have ended that")
	}
}

// TestLaunchProofIsNewerThanThePlacementAndRecent: a proof of before the placement is none, nor
// is one that is older than a launch may rest on.
func TestLaunchProofIsNewerThanThePlacementAndRecent(t *testing.T) {
	sim, n, _ := knowing(t)
	proven, known := n.cat.VerifiedAt()
	if !known || !n.fresh(proven) {
		t.Fatalf("known %v, fresh %v", known, n.fresh(proven))
	}
	if n.fresh(proven + time.Millisecond) {
		t.Error("a proof of before the placement counts")
	}
	sim.now += tuning.MaxLaunchKnowledgeAge + time.Second // nothing happens meanwhile
	if n.fresh(proven) {
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
	if n.answering(o) {
		t.Error("answers under a token that is given up")
	}
}
