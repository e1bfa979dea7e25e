package controller

import (
	"testing"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// newAnsweringOwner returns a simulation in which a node owns shard 0 and may answer its
// workers, and that node and its shard owner.
func newAnsweringOwner(t *testing.T) (*simulation, *Node, *shardOwner) {
	t.Helper()
	sim := newSimulation(1)
	sim.runUntil(15 * time.Second)
	node := sim.ownerOfShard0().node
	if owner := node.shardOwners[0]; !node.mayAnswer(owner) {
		t.Fatal("the owner of shard 0 may not answer its workers after 15 s")
	}
	return sim, node, node.shardOwners[0]
}

// TestAnswersNeedRecentKnowledgeOfCancellations checks that an owner with valid, verified
// leases stops answering workers when its knowledge of cancellations is older than
// MaxKnowledgeAge.
func TestAnswersNeedRecentKnowledgeOfCancellations(t *testing.T) {
	sim, node, owner := newAnsweringOwner(t)
	sim.stateFaults.silentWatchPrefix = userapi.KeyPrefix
	sim.runUntil(sim.now + sim.settings.MaxKnowledgeAge() - 3*tuning.KnowledgeVerifyInterval)
	if !node.mayAnswer(owner) {
		t.Error("the owner may not answer although its knowledge is younger than MaxKnowledgeAge")
	}
	sim.runUntil(sim.now + 3*tuning.KnowledgeVerifyInterval)
	if node.mayAnswer(owner) {
		verifiedAt, _ := node.catalog.VerifiedAt()
		t.Errorf("the owner may answer with knowledge of cancellations that is %v old, want less than %v", node.runtime.Now()-verifiedAt, sim.settings.MaxKnowledgeAge())
	}
	if node.runtime.Now() >= node.leases.AnswersUntil() {
		t.Error("the leases no longer allow answers, so the age of the knowledge is not tested")
	}
}

// TestLaunchNeedsRecentVerificationAfterPlacement checks that a launch is refused if the last
// verification of cancellations precedes the placement or is older than
// tuning.MaxLaunchKnowledgeAge.
func TestLaunchNeedsRecentVerificationAfterPlacement(t *testing.T) {
	sim, node, _ := newAnsweringOwner(t)
	verifiedAt, known := node.catalog.VerifiedAt()
	if !known || !node.cancellationsVerifiedSince(verifiedAt) {
		t.Fatalf("cancellations known %v, verified recently %v; want true, true", known, node.cancellationsVerifiedSince(verifiedAt))
	}
	if node.cancellationsVerifiedSince(verifiedAt + time.Millisecond) {
		t.Error("a verification from before the placement allows a launch")
	}
	sim.now += tuning.MaxLaunchKnowledgeAge + time.Second // without running the events in between
	if node.cancellationsVerifiedSince(verifiedAt) {
		t.Error("a verification older than MaxLaunchKnowledgeAge allows a launch")
	}
}

// TestNoAnswersUnderRelinquishedToken checks that an owner stops answering under its token as
// soon as it relinquishes the shard, although its lease is still valid: the next owner may
// start before this one learns of it.
func TestNoAnswersUnderRelinquishedToken(t *testing.T) {
	_, node, owner := newAnsweringOwner(t)
	node.leases.RelinquishShards()
	if node.leases.ShardToken(0) == 0 || !node.leases.LeaseValid() {
		t.Fatal("relinquishing the shard ended the token or the lease at once")
	}
	if node.mayAnswer(owner) {
		t.Error("the owner may answer under a relinquished token")
	}
}

// TestAnswersEndAfterLeaseAndGracePeriod checks that an owner that cannot renew its lease
// stops answering workers at the end of the grace period, for which every takeover waits,
// although its knowledge of cancellations is still recent enough.
func TestAnswersEndAfterLeaseAndGracePeriod(t *testing.T) {
	sim, node, owner := newAnsweringOwner(t)
	sim.stateFaults.outage = true
	sim.runUntil(sim.now + time.Second)
	remaining := node.leases.AnswersUntil() - node.runtime.Now()
	if remaining <= 0 || remaining > tuning.LeaseTTL+sim.settings.AnswerGracePeriod() {
		t.Fatalf("the owner may answer for another %v, want more than 0 and at most %v", remaining, tuning.LeaseTTL+sim.settings.AnswerGracePeriod())
	}
	sim.runUntil(sim.now + remaining - time.Millisecond)
	if !node.mayAnswer(owner) {
		t.Error("the owner may not answer within the grace period")
	}
	sim.runUntil(sim.now + time.Millisecond)
	if node.mayAnswer(owner) {
		t.Error("the owner may answer after the grace period")
	}
	if verifiedAt, _ := node.catalog.VerifiedAt(); node.runtime.Now() >= verifiedAt+sim.settings.MaxKnowledgeAge() {
		t.Error("the knowledge of cancellations is too old, so the end of the lease is not tested")
	}
}

// TestLeaderAcceptsStatusOnlyFromOwner checks that a leader ignores the status of a shard
// from a node that does not own it, whatever token the status names.
func TestLeaderAcceptsStatusOnlyFromOwner(t *testing.T) {
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
		if _, accepted := leader.fleet.Machine(status.Hosts[0].ID); accepted != (controller.name == holder) {
			t.Errorf("status of %s while %s owns the shard: accepted %v, want %v", controller.name, holder, accepted, controller.name == holder)
		}
	}
}

// TestOwnerKeepsItsKnowledgeVerified checks that an owner verifies its knowledge of
// cancellations at about tuning.KnowledgeVerifyInterval also when no user sends a request.
func TestOwnerKeepsItsKnowledgeVerified(t *testing.T) {
	sim, node, _ := newAnsweringOwner(t)
	const checkDelay = 2 * time.Second // until the next tick, and the duration of a verification
	for range 30 {
		sim.runUntil(sim.now + time.Second)
		if verifiedAt, _ := node.catalog.VerifiedAt(); node.runtime.Now()-verifiedAt > tuning.KnowledgeVerifyInterval+checkDelay {
			t.Fatalf("cancellations were last verified %v ago, want at most %v", node.runtime.Now()-verifiedAt, tuning.KnowledgeVerifyInterval+checkDelay)
		}
	}
}

// TestNodeRefusedAloneIsUnhealthy checks that a node does not serve users while the state
// service refuses it but answers its peers, also just after an outage that all nodes shared.
func TestNodeRefusedAloneIsUnhealthy(t *testing.T) {
	_, node, _ := newAnsweringOwner(t)
	members, now := node.membership, node.runtime.Now()
	members.stateClient.LastResponseAt = now - tuning.UnhealthyAfter
	members.serviceWideOutageAt = now
	if !members.mayServeUsers() {
		t.Error("the node may not serve users in an outage that its peers share")
	}
	members.nodeOnlyOutageAt = now
	if members.mayServeUsers() {
		t.Error("the node may serve users although the state service answers its peers only")
	}
}
