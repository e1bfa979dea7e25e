package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// TestOpenTasksStayWithinTheQuota guards against open tasks that exceed the team's quota of
// processors or GPUs: records that are committed but not reported by the watch yet must count.
func TestOpenTasksStayWithinTheQuota(t *testing.T) {
	for _, test := range []struct {
		name  string
		cards float64
		want  int
	}{{"processors", 0, 24}, {"GPUs", 1, 4}} {
		t.Run(test.name, func(t *testing.T) {
			service := statetest.New()
			node := startNode(service)
			node.run(2 * time.Second)
			for _, id := range []string{"wk-1", "wk-2"} {
				spec := newSpec(id, 30)
				spec.GPUs = test.cards
				submit(t, service, spec)
			}
			node.run(100 * time.Millisecond)
			for range 3 { // no watch reports changes in this time
				service.AdvanceClock(time.Second)
				node.runRound()
			}
			node.run(2 * time.Second)
			if got := node.dispatchedTasks("wk-1") + node.dispatchedTasks("wk-2"); got != test.want {
				t.Errorf("%d tasks are dispatched, want %d, the quota", got, test.want)
			}
		})
	}
}

// TestLateDispatchOfAnEarlierLeaderFails guards against a dispatch that is delayed on its way to
// the state service and carried out after another node has become the leader.
func TestLateDispatchOfAnEarlierLeaderFails(t *testing.T) {
	service := statetest.New()
	service.Hold = isDispatch
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 3))
	node.run(3 * time.Second)
	if len(service.Held) != 1 {
		t.Fatalf("%d dispatches were sent, want 1", len(service.Held))
	}
	service.Set(t, statestore.LeaderKey, map[string]any{"node": "node-1", "nonce": 1})
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("commit under another leader answered %d, want 409", answer.Status)
	}
}

// TestRepeatedDispatchFails guards against a dispatch that the state service carries out twice:
// the second time must not create its records again.
func TestRepeatedDispatchFails(t *testing.T) {
	service := statetest.New()
	service.Hold = isDispatch
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 3))
	node.run(3 * time.Second)
	if answer := service.Commit(service.Held[0]); answer.Status != 200 {
		t.Fatalf("first commit answered %d, want 200", answer.Status)
	}
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("repeated commit answered %d, want 409", answer.Status)
	}
}

// TestDispatchOfUnknownOutcomeIsRepeatedWhole guards against records that are dropped from a
// dispatch while it is unknown whether it was carried out: after an attempt without an answer,
// all of it must be sent again, even if a later attempt is refused.
func TestDispatchOfUnknownOutcomeIsRepeatedWhole(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	node.run(2 * time.Second)
	service.Hold = isDispatch
	submit(t, service, newSpec("wk-1", 3), newSpec("wk-2", 3))
	node.run(2 * time.Second)
	if len(service.Held) != 1 || len(service.Held[0].Operations) != 2 {
		t.Fatalf("%d dispatches were sent, the first of %d records, want one of 2", len(service.Held), len(service.Held[0].Operations))
	}
	service.Held[0].Answer(http1.Response{}, eventloop.ErrNoAnswer)
	node.run(2 * time.Second)
	service.Held[1].Answer(statetest.Reply(503, nil), nil)
	node.run(2 * time.Second)
	if len(service.Held) != 3 || len(service.Held[1].Operations) != 2 || len(service.Held[2].Operations) != 2 {
		t.Errorf("%d attempts were sent, the last of %d records, want 3 of 2 each", len(service.Held), len(service.Held[len(service.Held)-1].Operations))
	}
}

// TestDispatchInDoubtIsNotMadeAgainInOtherRecords guards against a task in two open records: a
// dispatch whose first attempt was not answered, and whose repetition is refused as too large, may
// still be carried out late.
func TestDispatchInDoubtIsNotMadeAgainInOtherRecords(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	node.run(2 * time.Second)
	service.Hold = isDispatch
	submit(t, service, newSpec("wk-1", 3), newSpec("wk-2", 3))
	node.run(2 * time.Second)
	service.Held[0].Answer(http1.Response{}, eventloop.ErrNoAnswer)
	node.run(2 * time.Second)
	service.Held[1].Answer(statetest.Reply(400, map[string]any{"error": "too large"}), nil)
	node.run(10 * time.Second)
	service.Commit(service.Held[0]) // late
	for _, later := range service.Held[2:] {
		later.Answer(service.Commit(later), nil)
	}
	node.run(2 * time.Second)
	inRecords := map[string]int{}
	node.store.EachRecord(func(record *taskstate.Record) {
		for _, index := range record.TaskIndexes {
			inRecords[fmt.Sprintf("%s/%d", record.Job, index)]++
		}
	})
	for task, count := range inRecords {
		if count != 1 {
			t.Errorf("%s is in %d records, want 1", task, count)
		}
	}
	if len(inRecords) == 0 {
		t.Error("no task was dispatched after the refusal")
	}
}

// TestNothingIsSentAfterTheTokenWasRejected guards against dispatches by a node that has lost
// the leadership: when a commit has failed on the condition on the leader's lease, nothing more
// may be sent before the leases have been read again.
func TestNothingIsSentAfterTheTokenWasRejected(t *testing.T) {
	service := statetest.New()
	service.Hold = isDispatch
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 3))
	node.run(3 * time.Second)
	service.Set(t, statestore.LeaderKey, map[string]any{"node": "node-1", "nonce": 1})
	service.Held[0].Answer(service.Commit(service.Held[0]), nil)
	service.AdvanceClock(time.Second)
	node.runRound()
	if len(service.Held) > 1 || node.leader.IsLoaded() {
		t.Errorf("%d dispatches were sent, want 1; leader is loaded: %v, want false", len(service.Held), node.leader.IsLoaded())
	}
}

// TestReturnedTaskKeepsItsLastAttempt guards against an attempt number that is used twice: the
// next record of a returned task must contain the last attempt, also if another leader
// dispatches it.
func TestReturnedTaskKeepsItsLastAttempt(t *testing.T) {
	for name, takeover := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			service := statetest.New()
			node := startNode(service)
			spec := newSpec("wk-1", 2)
			submit(t, service, spec)
			returned := putRecord(t, service, spec.ID, 0, 0, 1)
			if !takeover {
				node.run(2 * time.Second)
			}
			putPage(t, service, 0, returned, func(task *taskstate.Task) { task.State, task.Attempt = taskstate.StateReturned, 3 })
			node.run(3 * time.Second)
			redispatched := storedRecord(t, service, taskstate.RecordKey(0, spec.ID, 1))
			for _, status := range redispatched.Statuses {
				if status.Attempt != 3 {
					t.Errorf("dispatched with last attempt %d, want 3", status.Attempt)
				}
			}
		})
	}
}

// TestRecordsOfACancelledJobStayUntilWrittenOff guards against the loss of a placement that the
// shard owner commits while the leader removes the record: the leader must not remove it before
// the owner has written off its tasks.
func TestRecordsOfACancelledJobStayUntilWrittenOff(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	spec := newSpec("wk-1", 2)
	submit(t, service, spec)
	record := putRecord(t, service, spec.ID, 0, 0, 1)
	node.run(2 * time.Second)
	service.Set(t, userapi.KeyPrefix+spec.ID, userapi.Record{SubmittedMS: 1, Spec: spec, Phase: userapi.PhaseCancelled, CancelledMS: 1})
	node.run(3 * time.Second)
	if _, ok := service.Get(record.Key); !ok {
		t.Fatal("the record is removed while its tasks may be on machines")
	}
	putPage(t, service, 0, record, func(task *taskstate.Task) { task.State, task.Attempt = taskstate.StateDropped, 1 })
	node.run(3 * time.Second)
	if _, ok := service.Get(record.Key); ok {
		t.Error("the record is not removed after its tasks are written off")
	}
}

// TestJobIsDoneOnlyWhenEveryTaskIs guards against a job that is reported done too early: one
// task may be done in two records, so the done tasks must be counted by index.
func TestJobIsDoneOnlyWhenEveryTaskIs(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	spec := newSpec("wk-1", 2)
	submit(t, service, spec)
	first, second := putRecord(t, service, spec.ID, 0, 0), putRecord(t, service, spec.ID, 1, 0)
	putPage(t, service, 0, first, markDone)
	putPage(t, service, 1, second, markDone)
	node.run(3 * time.Second)
	if entry := node.catalog.Get(spec.ID); entry.Phase != "" {
		t.Fatalf("phase is %q when one of two tasks is done, want none", entry.Phase)
	}
	putPage(t, service, 2, storedRecord(t, service, taskstate.RecordKey(0, spec.ID, 2)), markDone)
	node.run(3 * time.Second)
	if entry := node.catalog.Get(spec.ID); entry.Phase != userapi.PhaseDone {
		t.Errorf("phase is %q when both tasks are done, want %q", entry.Phase, userapi.PhaseDone)
	}
}

// TestJobEndIsReportedOnlyWhenDurable guards against users being told of the end of a job before
// it is durable, and against an end that overwrites a cancellation stored in the meantime.
func TestJobEndIsReportedOnlyWhenDurable(t *testing.T) {
	service := statetest.New()
	service.Hold = isJobEnd
	node := startNode(service)
	spec := newSpec("wk-1", 1)
	submit(t, service, spec)
	putPage(t, service, 0, putRecord(t, service, spec.ID, 0, 0), markDone)
	node.run(3 * time.Second)
	if len(service.Held) != 1 || !slices.ContainsFunc(service.Held[0].Operations, func(operation statestore.Operation) bool { return operation.PutKey == userapi.KeyPrefix+spec.ID }) {
		t.Fatalf("%d commits of job ends were sent, want one that ends %s", len(service.Held), spec.ID)
	}
	if entry := node.catalog.Get(spec.ID); entry.Phase != "" {
		t.Errorf("phase is %q before the end is durable, want none", entry.Phase)
	}
	service.Set(t, userapi.KeyPrefix+spec.ID, userapi.Record{SubmittedMS: 1, Spec: spec, Phase: userapi.PhaseCancelled, CancelledMS: 1})
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("commit of the end of a cancelled job answered %d, want 409", answer.Status)
	}
}

// TestDispatchWaitsForVerifiedCopies guards against a new leader that dispatches from outdated
// copies of the records or the jobs, which may lack what earlier leaders have committed.
func TestDispatchWaitsForVerifiedCopies(t *testing.T) {
	for name, prefix := range map[string]string{"records": taskstate.KeyPrefix, "jobs": userapi.KeyPrefix} {
		t.Run(name, func(t *testing.T) {
			service := statetest.New()
			service.Refuse = func(call http1.ClientRequest) bool { return statetest.IsFreshnessCheck(call, prefix) }
			node := startNode(service)
			submit(t, service, newSpec("wk-1", 3))
			node.run(5 * time.Second)
			if node.leases.LeaderToken() == 0 || node.leader.IsLoaded() || node.dispatchedTasks("wk-1") > 0 {
				t.Errorf("with unverified copies: token %d, want one; loaded %v, want false; %d tasks dispatched, want 0", node.leases.LeaderToken(), node.leader.IsLoaded(), node.dispatchedTasks("wk-1"))
			}
			service.Refuse = nil
			if node.run(5 * time.Second); node.dispatchedTasks("wk-1") != 3 {
				t.Errorf("with verified copies: %d tasks dispatched, want 3", node.dispatchedTasks("wk-1"))
			}
		})
	}
}

// TestRecordMadeAgainAfterItsJobEndedIsRemoved guards against records that stay indefinitely: a
// dispatch that is carried out again after its job has ended creates a record that no shard
// owner acts on and no other component removes.
func TestRecordMadeAgainAfterItsJobEndedIsRemoved(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	spec := newSpec("wk-1", 1)
	submit(t, service, spec)
	putPage(t, service, 0, putRecord(t, service, spec.ID, 0, 0), markDone)
	node.run(5 * time.Second)
	if entry := node.catalog.Get(spec.ID); entry.Phase != userapi.PhaseDone {
		t.Fatalf("phase of the job is %q, want %q", entry.Phase, userapi.PhaseDone)
	}
	remade := putRecord(t, service, spec.ID, 1, 0)
	node.run(10 * time.Second)
	if _, stored := service.Get(remade.Key); stored {
		t.Errorf("record %s is still stored, want it removed", remade.Key)
	}
}
