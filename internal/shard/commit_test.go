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

// TestLateCommitOfAnEarlierOwnerFails: a commit of log pages that is delayed on its way
// until the shard is another owner's changes nothing. Its condition on the shard lease's
// fencing token fails, also where the new owner has not written the page yet, so that the
// page's own revision is as it was.
func TestLateCommitOfAnEarlierOwnerFails(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	node.place("vm-1")
	if len(service.Held) != 1 {
		t.Fatalf("%d commits of log pages", len(service.Held))
	}
	service.Set(t, statestore.ShardKey(0), map[string]any{"node": "node-1", "nonce": 1})
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("carried out after the shard had changed hands: %d", answer.Status)
	}
	service.Run(time.Second)
	if done, placed := node.store.Progress(jobID); placed > 0 || done > 0 {
		t.Error("the new owner's records show a placement of the earlier one")
	}
}

// TestRepeatedCommitFails: a commit of log pages that is carried out once more, later,
// must not bring back what a page held before it was overwritten.
func TestRepeatedCommitFails(t *testing.T) {
	service, node := newShardOwner(t, 1)
	var first *statetest.Commit
	service.Hold = func(c *statetest.Commit) bool {
		if writesLogPage(c) && first == nil {
			first = c
		}
		return false
	}
	node.place("vm-1")
	service.Run(time.Second)
	if answer := service.Commit(first); answer.Status != 409 {
		t.Errorf("carried out twice: %d", answer.Status)
	}
}

// TestUnknownCommitOutcomeRenewsTheToken: a commit without an answer may be carried out
// late. The owner takes a new token, under which the commit fails, and reads its records
// anew; the placement is not taken for durable.
func TestUnknownCommitOutcomeRenewsTheToken(t *testing.T) {
	service, node := newShardOwner(t, 1)
	token := node.token
	service.Hold = writesLogPage
	node.place("vm-1")
	service.Held[0].Answer(http1.Response{}, eventloop.ErrNoAnswer)
	service.Run(5 * time.Second)
	if node.token <= token {
		t.Errorf("token %d, before the commit without an answer %d", node.token, token)
	}
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("carried out late: %d", answer.Status)
	}
	if len(node.durable) > 0 {
		t.Error("launched on a placement that may not be durable")
	}
}

// TestPlacementIsLaunchableWhenCommitted: a placement may be launched when its commit is
// answered, not before.
func TestPlacementIsLaunchableWhenCommitted(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	task := node.place("vm-1")
	service.Run(time.Second)
	if len(node.durable) > 0 || task.PlacementDurable || task.Launchable() {
		t.Fatal("may be launched before its placement is durable")
	}
	service.Held[0].Answer(service.Commit(service.Held[0]), nil)
	if len(node.durable) != 1 || !task.Launchable() {
		t.Errorf("told %d times, launchable %v", len(node.durable), task.Launchable())
	}
}

// TestNoCommitWithoutAValidLease: an owner whose lease is not surely valid commits
// nothing.
func TestNoCommitWithoutAValidLease(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	service.AdvanceClock(time.Minute) // no renewal has been answered
	node.place("vm-1")
	if len(service.Held) > 0 {
		t.Error("a commit has left")
	}
}

// TestAnswersOfAnEarlierTokenAreDropped: the records are read anew with each token, so an
// answer to a commit under an earlier one says nothing of the tasks that they hold now.
func TestAnswersOfAnEarlierTokenAreDropped(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	node.place("vm-1")
	node.leases.RenewToken(0)
	service.Run(time.Second)
	if node.terms != 2 || !node.tasks.IsLoaded() {
		t.Fatalf("%d tokens, records loaded %v", node.terms, node.tasks.IsLoaded())
	}
	before := node.tasks.writer.pacing.inFlight
	service.Held[0].Answer(statetest.Reply(503, nil), nil)
	service.Run(5 * time.Second)
	if node.tasks.writer.pacing.inFlight != before || len(service.Held) > 1 {
		t.Errorf("%d commits are in flight, before the late answer %d; %d were sent", node.tasks.writer.pacing.inFlight, before, len(service.Held))
	}
}

// TestOnlyItsOwnCommitMakesAnAttemptLaunchable: the answer to the commit of an earlier attempt
// comes when the task has been placed once more.
func TestOnlyItsOwnCommitMakesAnAttemptLaunchable(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	task := node.place("vm-1")
	task.State, task.WorkerID = taskstate.StateWaiting, "" // its worker takes no tasks any more
	service.Run(time.Second)
	node.place("vm-2")
	if len(service.Held) != 2 {
		t.Fatalf("%d commits", len(service.Held))
	}
	service.Held[0].Answer(service.Commit(service.Held[0]), nil)
	if task.Launchable() {
		t.Error("attempt 2 may be launched when attempt 1 is durable")
	}
	service.Held[1].Answer(service.Commit(service.Held[1]), nil)
	if !task.Launchable() {
		t.Error("attempt 2 may not be launched when it is durable")
	}
}

// TestEarlierCommitAnsweredLastLeavesTheNewestPage: of two commits the earlier is answered
// last. The page of the later one still holds the task's newest status, so it must not be
// overwritten.
func TestEarlierCommitAnsweredLastLeavesTheNewestPage(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	task := node.place("vm-1")
	task.State, task.WorkerID = taskstate.StateWaiting, ""
	service.Run(time.Second)
	node.place("vm-2")
	if len(service.Held) != 2 {
		t.Fatalf("%d commits", len(service.Held))
	}
	first, second := service.Commit(service.Held[0]), service.Commit(service.Held[1])
	service.Held[1].Answer(second, nil)
	newest := task.Log.Page
	service.Held[0].Answer(first, nil)
	if task.Log.Page != newest {
		t.Errorf("page %d counts as the newest, page %d is", task.Log.Page, newest)
	}
}

// TestNewOwnerActsOnVerifiedCopiesOnly: an owner acts on its records and jobs only when both
// copies are verified to hold all that was committed before its token.
func TestNewOwnerActsOnVerifiedCopiesOnly(t *testing.T) {
	for _, prefix := range []string{taskstate.KeyPrefix, userapi.KeyPrefix} {
		service, node := newShardOwner(t, 1)
		service.Refuse = func(c http1.ClientRequest) bool { return statetest.IsFreshnessCheck(c, prefix) }
		node.leases.RenewToken(0)
		service.Run(5 * time.Second)
		if node.terms != 2 || node.tasks.IsLoaded() {
			t.Errorf("%s: %d tokens, acts %v without verification", prefix, node.terms, node.tasks.IsLoaded())
		}
		service.Refuse = nil
		if service.Run(5 * time.Second); !node.tasks.IsLoaded() {
			t.Errorf("%s: does not act when verified", prefix)
		}
	}
}

// TestRecallReturnsWaitingTasksOnly: the leader recalls a number of tasks, whatever has
// become of them since.
func TestRecallReturnsWaitingTasksOnly(t *testing.T) {
	_, node := newShardOwner(t, 3)
	placed := node.place("vm-1")
	done := node.tasks.Job(jobID).Tasks[1]
	node.tasks.TaskDone(done)
	waiting := node.tasks.Job(jobID).Tasks[2]
	node.tasks.RecallTasks(jobID, 3)
	if placed.State != taskstate.StatePlaced || done.State != taskstate.StateDone || waiting.State != taskstate.StateReturned {
		t.Errorf("placed: %v, done: %v, waiting: %v", placed.State, done.State, waiting.State)
	}
}
