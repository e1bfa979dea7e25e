package controller

import (
	"testing"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// newAnsweringOwner is a deployment whose shard has an owner that answers its workers.
func newAnsweringOwner(t *testing.T) (*simulation, *Node, *shardOwner) {
	t.Helper()
	sim := newSimulation(1)
	sim.runUntil(15 * time.Second)
	node := sim.ownerOfShard0().node
	if owner := node.shardOwners[0]; !node.mayAnswer(owner) {
		t.Fatal("the owner answers nobody")
	}
	return sim, node, node.shardOwners[0]
}

// TestAnswersNeedRecentKnowledgeOfCancellations: an owner whose leases are proven and renewed
// all the time answers workers no longer than its knowledge of cancellations is young enough.
func TestAnswersNeedRecentKnowledgeOfCancellations(t *testing.T) {
	sim, node, owner := newAnsweringOwner(t)
	sim.stateFaults.silentWatchPrefix = userapi.KeyPrefix
	sim.runUntil(sim.now + sim.settings.MaxKnowledgeAge() - 3*tuning.KnowledgeVerifyInterval)
	if !node.mayAnswer(owner) {
		t.Error("answers nobody while its knowledge is young enough")
	}
	sim.runUntil(sim.now + 3*tuning.KnowledgeVerifyInterval)
	if node.mayAnswer(owner) {
		proven, _ := node.catalog.VerifiedAt()
		t.Errorf("answers on knowledge %v old", node.runtime.Now()-proven)
	}
	if node.runtime.Now() >= node.leases.AnswersUntil() {
		t.Error("its leases alone would have ended that")
	}
}

// TestLaunchNeedsRecentVerificationAfterPlacement: a verification of before the placement
// is none, nor is one that is older than a launch may rest on.
func TestLaunchNeedsRecentVerificationAfterPlacement(t *testing.T) {
	sim, node, _ := newAnsweringOwner(t)
	proven, known := node.catalog.VerifiedAt()
	if !known || !node.cancellationsVerifiedSince(proven) {
		t.Fatalf("known %v, fresh %v", known, node.cancellationsVerifiedSince(proven))
	}
	if node.cancellationsVerifiedSince(proven + time.Millisecond) {
		t.Error("a verification of before the placement counts")
	}
	sim.now += tuning.MaxLaunchKnowledgeAge + time.Second // nothing happens meanwhile
	if node.cancellationsVerifiedSince(proven) {
		t.Error("an old verification counts")
	}
}

// TestNoAnswersUnderARelinquishedToken: from the moment that an owner gives its shard up it
// answers nobody under that token, also while it still holds the lease: the next owner may
// begin before this one hears of it.
func TestNoAnswersUnderARelinquishedToken(t *testing.T) {
	_, node, owner := newAnsweringOwner(t)
	node.leases.RelinquishShards()
	if node.leases.ShardToken(0) == 0 || !node.leases.LeaseValid() {
		t.Fatal("the lease is gone at once")
	}
	if node.mayAnswer(owner) {
		t.Error("answers under a token that is given up")
	}
}

// TestAnswersEndWithTheLeaseAndItsGracePeriod: an owner that cannot renew its lease answers
// workers for a bounded time after, which every takeover waits out, though its knowledge of
// cancellations would be young enough for longer.
func TestAnswersEndWithTheLeaseAndItsGracePeriod(t *testing.T) {
	sim, node, owner := newAnsweringOwner(t)
	sim.stateFaults.outage = true
	sim.runUntil(sim.now + time.Second)
	left := node.leases.AnswersUntil() - node.runtime.Now()
	if left <= 0 || left > tuning.LeaseTTL+sim.settings.AnswerGracePeriod() {
		t.Fatalf("answers for %v more", left)
	}
	sim.runUntil(sim.now + left - time.Millisecond)
	if !node.mayAnswer(owner) {
		t.Error("answers nobody in the grace period")
	}
	sim.runUntil(sim.now + time.Millisecond)
	if node.mayAnswer(owner) {
		t.Error("answers after the grace period")
	}
	if proven, _ := node.catalog.VerifiedAt(); node.runtime.Now() >= proven+sim.settings.MaxKnowledgeAge() {
		t.Error("its knowledge alone would have ended that")
	}
}

// TestOnlyTheOwnersStatusCounts: a leader takes no status of a shard from a node that does not
// hold it, whatever token that names.
func TestOnlyTheOwnersStatusCounts(t *testing.T) {
	sim, _, _ := newAnsweringOwner(t)
	var leader *Node
	for _, controller := range sim.controllers {
		if controller.node.leases.LeaderToken() != 0 {
			leader = controller.node
		}
	}
	holder := leader.leases.ShardOwner(0)
	for _, controller := range sim.controllers {
		status := &fleet.ShardStatus{
			Node: controller.name, Shard: 0, Token: 1 << 40, Seq: 1, Full: true,
			Hosts: []fleet.MachineStatus{{ID: "vm-900001-" + controller.name, MachineType: "big", Zone: "a", HasReported: true, AcceptsTasks: true}},
		}
		leader.receiveStatus(&statusMessage{ShardStatus: status})
		if _, known := leader.fleet.Machine(status.Hosts[0].ID); known != (controller.name == holder) {
			t.Errorf("status of %s, the holder is %s: taken %v", controller.name, holder, known)
		}
	}
}

// TestOwnerKeepsItsKnowledgeVerified: also when no user asks anything, an owner's knowledge of
// cancellations is never much older than the interval of its checks.
func TestOwnerKeepsItsKnowledgeVerified(t *testing.T) {
	sim, node, _ := newAnsweringOwner(t)
	const checkDelay = 2 * time.Second // the next tick, and the check's pace
	for range 30 {
		sim.runUntil(sim.now + time.Second)
		if verifiedAt, _ := node.catalog.VerifiedAt(); node.runtime.Now()-verifiedAt > tuning.KnowledgeVerifyInterval+checkDelay {
			t.Fatalf("verified %v ago", node.runtime.Now()-verifiedAt)
		}
	}
}

// TestNodeRefusedAloneIsUnhealthy: also just after an outage that its peers shared, a node that
// the state service refuses while it answers the peers is no place for users.
func TestNodeRefusedAloneIsUnhealthy(t *testing.T) {
	_, node, _ := newAnsweringOwner(t)
	members, now := node.membership, node.runtime.Now()
	members.stateClient.LastResponseAt = now - tuning.UnhealthyAfter
	members.serviceWideOutageAt = now
	if !members.mayServeUsers() {
		t.Error("unhealthy in an outage that the peers share")
	}
	members.nodeOnlyOutageAt = now
	if members.mayServeUsers() {
		t.Error("healthy though the peers are answered")
	}
}
