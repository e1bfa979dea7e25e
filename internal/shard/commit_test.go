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

// TestLateCommitOfAnEarlierOwnerFails guards against a commit of log pages that is delayed
// until another node owns the shard and then overwrites its records. The condition on the
// shard lease's fencing token must fail it, even if the new owner has not written the page
// yet, so that the page's own revision is unchanged.
func TestLateCommitOfAnEarlierOwnerFails(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	node.place("vm-1")
	if len(service.Held) != 1 {
		t.Fatalf("placing a task sent %d commits of log pages, want 1", len(service.Held))
	}
	service.Set(t, statestore.ShardKey(0), map[string]any{"node": "node-1", "nonce": 1})
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("commit of the earlier owner answered with status %d, want 409", answer.Status)
	}
	service.Run(time.Second)
	if done, placed := node.store.Progress(jobID); placed > 0 || done > 0 {
		t.Errorf("after the earlier owner's commit: %d tasks done and %d placed, want none", done, placed)
	}
}

// TestRepeatedCommitFails guards against a commit of log pages that is executed a second
// time, later, and restores the content that a page had before it was overwritten.
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
		t.Errorf("repeated commit answered with status %d, want 409", answer.Status)
	}
}

// TestUnknownCommitOutcomeRenewsTheToken guards against treating a placement as durable when
// its commit was not answered: the commit may be executed late or never. The owner must renew
// its token, which makes the late commit fail, and read its records again.
func TestUnknownCommitOutcomeRenewsTheToken(t *testing.T) {
	service, node := newShardOwner(t, 1)
	token := node.token
	service.Hold = writesLogPage
	node.place("vm-1")
	service.Held[0].Answer(http1.Response{}, eventloop.ErrNoAnswer)
	service.Run(5 * time.Second)
	if node.token <= token {
		t.Errorf("token %d after the unanswered commit, want one above %d", node.token, token)
	}
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("late commit answered with status %d, want 409", answer.Status)
	}
	if len(node.durable) > 0 {
		t.Errorf("%d placements reported durable after an unanswered commit, want 0", len(node.durable))
	}
}

// TestPlacementIsLaunchableWhenCommitted checks that a placement may be launched once its
// commit is answered, and not before.
func TestPlacementIsLaunchableWhenCommitted(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	task := node.place("vm-1")
	service.Run(time.Second)
	if len(node.durable) > 0 || task.PlacementDurable || task.Launchable() {
		t.Fatalf("before the commit is answered: reported durable %d times, durable %v, launchable %v, want none",
			len(node.durable), task.PlacementDurable, task.Launchable())
	}
	service.Held[0].Answer(service.Commit(service.Held[0]), nil)
	if len(node.durable) != 1 || !task.Launchable() {
		t.Errorf("after the commit: reported durable %d times, launchable %v, want once and true", len(node.durable), task.Launchable())
	}
}

// TestNoCommitWithoutAValidLease checks that an owner whose lease may have expired commits
// nothing.
func TestNoCommitWithoutAValidLease(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	service.AdvanceClock(time.Minute) // no renewal has been answered
	node.place("vm-1")
	if len(service.Held) > 0 {
		t.Errorf("%d commits sent without a valid lease, want 0", len(service.Held))
	}
}

// TestAnswersOfAnEarlierTokenAreDropped guards against applying the answer to a commit sent
// under an earlier token. The records are read again with each token, so such an answer does
// not refer to the current tasks.
func TestAnswersOfAnEarlierTokenAreDropped(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	node.place("vm-1")
	node.leases.RenewToken(0)
	service.Run(time.Second)
	if node.termCount != 2 || !node.tasks.IsLoaded() {
		t.Fatalf("after the renewal: %d tokens, records loaded %v, want 2 and true", node.termCount, node.tasks.IsLoaded())
	}
	inFlightBefore := node.tasks.writer.pacing.inFlight
	service.Held[0].Answer(statetest.Reply(503, nil), nil)
	service.Run(5 * time.Second)
	if node.tasks.writer.pacing.inFlight != inFlightBefore || len(service.Held) > 1 {
		t.Errorf("after the late answer: %d commits in flight, want %d; %d commits sent, want at most 1",
			node.tasks.writer.pacing.inFlight, inFlightBefore, len(service.Held))
	}
}

// TestOnlyItsOwnCommitMakesAnAttemptLaunchable guards against launching an attempt whose own
// placement is not durable yet: the commit of the earlier attempt is answered after the task
// was placed again.
func TestOnlyItsOwnCommitMakesAnAttemptLaunchable(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	task := node.place("vm-1")
	task.State, task.WorkerID = taskstate.StateWaiting, "" // its worker accepts no more tasks
	service.Run(time.Second)
	node.place("vm-2")
	if len(service.Held) != 2 {
		t.Fatalf("two placements sent %d commits, want 2", len(service.Held))
	}
	service.Held[0].Answer(service.Commit(service.Held[0]), nil)
	if task.Launchable() {
		t.Error("attempt 2 is launchable when only attempt 1 is durable")
	}
	service.Held[1].Answer(service.Commit(service.Held[1]), nil)
	if !task.Launchable() {
		t.Error("attempt 2 is not launchable though it is durable")
	}
}

// TestEarlierCommitAnsweredLastLeavesTheNewestPage guards against overwriting the page that
// holds a task's newest status: of two commits the earlier one is answered last, but the
// newest status is still on the page of the later one.
func TestEarlierCommitAnsweredLastLeavesTheNewestPage(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	task := node.place("vm-1")
	task.State, task.WorkerID = taskstate.StateWaiting, ""
	service.Run(time.Second)
	node.place("vm-2")
	if len(service.Held) != 2 {
		t.Fatalf("two placements sent %d commits, want 2", len(service.Held))
	}
	first, second := service.Commit(service.Held[0]), service.Commit(service.Held[1])
	service.Held[1].Answer(second, nil)
	newest := task.Log.Page
	service.Held[0].Answer(first, nil)
	if task.Log.Page != newest {
		t.Errorf("after the earlier commit's answer: newest page %d, want %d", task.Log.Page, newest)
	}
}

// TestNewOwnerActsOnVerifiedCopiesOnly guards against an owner that acts on outdated records
// or jobs: both copies must be verified to contain everything committed before its token.
func TestNewOwnerActsOnVerifiedCopiesOnly(t *testing.T) {
	for _, prefix := range []string{taskstate.KeyPrefix, userapi.KeyPrefix} {
		service, node := newShardOwner(t, 1)
		service.Refuse = func(c http1.ClientRequest) bool { return statetest.IsFreshnessCheck(c, prefix) }
		node.leases.RenewToken(0)
		service.Run(5 * time.Second)
		if node.termCount != 2 || node.tasks.IsLoaded() {
			t.Errorf("prefix %s not verified: %d tokens, records loaded %v, want 2 and false", prefix, node.termCount, node.tasks.IsLoaded())
		}
		service.Refuse = nil
		if service.Run(5 * time.Second); !node.tasks.IsLoaded() {
			t.Errorf("prefix %s verified: records not loaded", prefix)
		}
	}
}

// TestRecallReturnsWaitingTasksOnly guards against returning placed or done tasks: the leader
// recalls a number of tasks without knowing their current states.
func TestRecallReturnsWaitingTasksOnly(t *testing.T) {
	_, node := newShardOwner(t, 3)
	placed := node.place("vm-1")
	done := node.tasks.Job(jobID).Tasks[1]
	node.tasks.TaskDone(done)
	waiting := node.tasks.Job(jobID).Tasks[2]
	node.tasks.RecallTasks(jobID, 3)
	if placed.State != taskstate.StatePlaced || done.State != taskstate.StateDone || waiting.State != taskstate.StateReturned {
		t.Errorf("after the recall: the placed task is %v, the done one %v, the waiting one %v; want placed, done and returned",
			placed.State, done.State, waiting.State)
	}
}
