package shard

import (
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// TestLateCommitOfAnEarlierOwnerFails: a commit of log pages that is held up on its way
// until the block is another owner's changes nothing: the block lease's fencing token
// guards it, also where the new owner has not written the page yet, so that the page's
// own revision is as it was.
func TestLateCommitOfAnEarlierOwnerFails(t *testing.T) {
	s, o := owned(t, 1)
	s.Hold = logPage
	o.place(0, "vm-1")
	if len(s.Held) != 1 {
		t.Fatalf("%d commits of log pages", len(s.Held))
	}
	s.Set(t, statestore.ShardKey(0), map[string]any{"node": "node-1", "nonce": 1})
	if a := s.Commit(s.Held[0]); a.Status != 409 {
		t.Errorf("carried out after the block had changed hands: %d", a.Status)
	}
	s.Run(time.Second)
	if done, placed := o.store.Progress("wk-1"); placed > 0 || done > 0 {
		t.Error("the new owner's records show a placement of the earlier one")
	}
}

// TestRepeatedCommitFails: a commit of log pages that is carried out once more, later,
// must not bring back what a page told before it was written over.
func TestRepeatedCommitFails(t *testing.T) {
	s, o := owned(t, 1)
	var first *statetest.Commit
	s.Hold = func(c *statetest.Commit) bool {
		if logPage(c) && first == nil {
			first = c
		}
		return false
	}
	o.place(0, "vm-1")
	s.Run(time.Second)
	if a := s.Commit(first); a.Status != 409 {
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
	s.Hold = logPage
	o.place(0, "vm-1")
	s.Held[0].Answer(http1.Response{}, eventloop.ErrNoAnswer)
	s.Run(5 * time.Second)
	if o.token <= token {
		t.Errorf("token %d, before the commit without an answer %d", o.token, token)
	}
	if a := s.Commit(s.Held[0]); a.Status != 409 {
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
	s.Hold = logPage
	k := o.place(0, "vm-1")
	s.Run(time.Second)
	if launchable > 0 || k.PlacementDurable || k.Launchable() {
		t.Fatal("may be launched before its placement is durable")
	}
	s.Held[0].Answer(s.Commit(s.Held[0]), nil)
	if launchable != 1 || !k.Launchable() {
		t.Errorf("told %d times, launchable %v", launchable, k.Launchable())
	}
}

// TestNoCommitWithoutAValidLease: an owner whose lease is not surely valid commits
// nothing.
func TestNoCommitWithoutAValidLease(t *testing.T) {
	s, o := owned(t, 1)
	s.Hold = logPage
	s.Skip(time.Minute) // no renewal has been answered
	o.place(0, "vm-1")
	if len(s.Held) > 0 {
		t.Error("a commit has left")
	}
}

// TestAnswersOfAnEarlierTokenAreDropped: the records have been read anew since, so an answer
// that comes late says nothing of the tasks that they hold now.
func TestAnswersOfAnEarlierTokenAreDropped(t *testing.T) {
	s, o := owned(t, 1)
	s.Hold = logPage
	o.place(0, "vm-1")
	o.leases.RenewToken(0)
	s.Run(time.Second)
	if o.begun != 2 || !o.tasks.IsLoaded() {
		t.Fatalf("%d tokens, records read %v", o.begun, o.tasks.IsLoaded())
	}
	before := o.tasks.flights
	s.Held[0].Answer(statetest.Reply(503, nil), nil)
	s.Run(5 * time.Second)
	if o.tasks.flights != before || len(s.Held) > 1 {
		t.Errorf("%d commits are under way, before the late answer %d; %d were sent", o.tasks.flights, before, len(s.Held))
	}
}

// TestOnlyItsOwnCommitMakesAnAttemptLaunchable: the answer to the commit of an earlier attempt
// comes when the task has been placed once more.
func TestOnlyItsOwnCommitMakesAnAttemptLaunchable(t *testing.T) {
	s, o := owned(t, 1)
	s.Hold = logPage
	k := o.place(0, "vm-1")
	k.State, k.WorkerID = taskstate.StateWaiting, "" // its machine takes no tasks any more
	s.Run(time.Second)
	o.place(0, "vm-2")
	if len(s.Held) != 2 {
		t.Fatalf("%d commits", len(s.Held))
	}
	s.Held[0].Answer(s.Commit(s.Held[0]), nil)
	if k.Launchable() {
		t.Error("attempt 2 may be launched when attempt 1 is durable")
	}
	s.Held[1].Answer(s.Commit(s.Held[1]), nil)
	if !k.Launchable() {
		t.Error("attempt 2 may not be launched when it is durable")
	}
}

// TestNewerPageStaysTheNewestWord: of two commits the earlier is answered last. The page of
// the later one is still the newest on the task, so it is not written over.
func TestNewerPageStaysTheNewestWord(t *testing.T) {
	s, o := owned(t, 1)
	s.Hold = logPage
	k := o.place(0, "vm-1")
	k.State, k.WorkerID = taskstate.StateWaiting, ""
	s.Run(time.Second)
	o.place(0, "vm-2")
	if len(s.Held) != 2 {
		t.Fatalf("%d commits", len(s.Held))
	}
	first, second := s.Commit(s.Held[0]), s.Commit(s.Held[1])
	s.Held[1].Answer(second, nil)
	newest := k.LogPage
	s.Held[0].Answer(first, nil)
	if k.LogPage != newest {
		t.Errorf("page %d counts as the newest, page %d is", k.LogPage, newest)
	}
}

// TestNewOwnerReadsWhatIsProvenCurrent: an owner acts on its records and jobs only when both
// copies are proven to hold all that was committed before its token.
func TestNewOwnerReadsWhatIsProvenCurrent(t *testing.T) {
	for _, prefix := range []string{taskstate.KeyPrefix, userapi.KeyPrefix} {
		s, o := owned(t, 1)
		s.Refuse = func(c http1.ClientRequest) bool { return statetest.IsCheck(c, prefix) }
		o.leases.RenewToken(0)
		s.Run(5 * time.Second)
		if o.begun != 2 || o.tasks.IsLoaded() {
			t.Errorf("%s: %d tokens, acts %v without a proof", prefix, o.begun, o.tasks.IsLoaded())
		}
		s.Refuse = nil
		if s.Run(5 * time.Second); !o.tasks.IsLoaded() {
			t.Errorf("%s: does not act when there is one", prefix)
		}
	}
}

// TestOnlyWaitingTasksAreGivenBack: the leader asks for a number of tasks, whatever has become
// of them since.
func TestOnlyWaitingTasksAreGivenBack(t *testing.T) {
	_, o := owned(t, 3)
	placed := o.place(0, "vm-1")
	done := o.tasks.Job("wk-1").Tasks[1]
	o.tasks.TaskDone(done)
	waiting := o.tasks.Job("wk-1").Tasks[2]
	o.tasks.RecallTasks("wk-1", 3)
	if placed.State != taskstate.StatePlaced || done.State != taskstate.StateDone || waiting.State != taskstate.StateReturned {
		t.Errorf("placed: %v, done: %v, waiting: %v", placed.State, done.State, waiting.State)
	}
}
