package shard

import (
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
)

// TestLateCommitOfAnEarlierOwnerFails: a commit of log pages that is held up on its way
// until the block is another owner's changes nothing: the block lease's fencing token
// guards it, also where the new owner has not written the page yet, so that the page's
// own revision is as it was.
func TestLateCommitOfAnEarlierOwnerFails(t *testing.T) {
	s, o := owned(t, 1)
	s.hold = logPage
	o.place(0, "vm-1")
	if len(s.held) != 1 {
		t.Fatalf("%d commits of log pages", len(s.held))
	}
	s.set(t, statestore.ShardKey(0), map[string]any{"node": "node-1", "nonce": 1})
	if a := s.commit(s.held[0]); a.Status != 409 {
		t.Errorf("carried out after the block had changed hands: %d", a.Status)
	}
	s.run(time.Second)
	if done, placed := o.store.Progress("wk-1"); placed > 0 || done > 0 {
		t.Error("the new owner's records show a placement of the earlier one")
	}
}

// TestRepeatedCommitFails: a commit of log pages that is carried out once more, later,
// must not bring back what a page told before it was written over.
func TestRepeatedCommitFails(t *testing.T) {
	s, o := owned(t, 1)
	var first commit
	s.hold = func(c commit) bool {
		if logPage(c) && first.Apply == nil {
			first = c
		}
		return false
	}
	o.place(0, "vm-1")
	s.run(time.Second)
	if a := s.commit(first); a.Status != 409 {
		t.Errorf("carried out twice: %d", a.Status)
	}
}

// TestUnknownCommitOutcomeRenewsTheToken: a commit without an answer may be carried out
// late. The owner takes a new token, under which it fails, and reads its records anew;
// the placement is not taken for durable.
func TestUnknownCommitOutcomeRenewsTheToken(t *testing.T) {
	s, o := owned(t, 1)
	token := o.token
	var launched []*taskstate.Task
	o.tasks.PlacementDurable = func(k *taskstate.Task) { launched = append(launched, k) }
	s.hold = logPage
	o.place(0, "vm-1")
	s.held[0].fn(reply(0, nil), eventloop.ErrNoAnswer)
	s.run(5 * time.Second)
	if o.token <= token {
		t.Errorf("token %d, before the commit without an answer %d", o.token, token)
	}
	if a := s.commit(s.held[0]); a.Status != 409 {
		t.Errorf("carried out late: %d", a.Status)
	}
	if len(launched) > 0 {
		t.Error("launched on a placement that may not be durable")
	}
}

// TestPlacementIsLaunchableWhenCommitted: a placement may be launched when its commit is
// answered, not before.
func TestPlacementIsLaunchableWhenCommitted(t *testing.T) {
	s, o := owned(t, 1)
	launchable := 0
	o.tasks.PlacementDurable = func(*taskstate.Task) { launchable++ }
	s.hold = logPage
	k := o.place(0, "vm-1")
	s.run(time.Second)
	if launchable > 0 || k.PlacementDurable || k.Launchable() {
		t.Fatal("may be launched before its placement is durable")
	}
	s.held[0].fn(s.commit(s.held[0]), nil)
	if launchable != 1 || !k.Launchable() {
		t.Errorf("told %d times, launchable %v", launchable, k.Launchable())
	}
}

// TestNoCommitWithoutAValidLease: an owner whose lease is not surely valid commits
// nothing.
func TestNoCommitWithoutAValidLease(t *testing.T) {
	s, o := owned(t, 1)
	s.hold = logPage
	s.now += time.Minute // no renewal has been answered
	o.place(0, "vm-1")
	if len(s.held) > 0 {
		t.Error("a commit has left")
	}
}
