package workers

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// TestCancelledTasksAreHaltedBeforeTheTokenIsAcknowledged checks that cancelled tasks are halted
// at once on a worker that has not acknowledged the new token: both the announcement and the
// answer to a heartbeat carry the halt.
func TestCancelledTasksAreHaltedBeforeTheTokenIsAcknowledged(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	fixture.cancelledAt, fixture.job.Cancelled = fixture.now, true
	fixture.beginTerm()
	var announced CommandMessage
	if err := json.Unmarshal(fixture.sendDirectMessage(t).body, &announced); err != nil || !hasVerb(announced.Commands, VerbHalt) {
		t.Errorf("announcement carries %v, error %v, want a halt", announced.Commands, err)
	}
	fixture.now += time.Second
	if _, body := fixture.registry.HandleHeartbeat(fixture.heartbeat()); !hasVerb(commandsOf(t, body), VerbHalt) {
		t.Errorf("heartbeat answered with %s, want a halt", body)
	}
}

// TestNewTermResetsUnreachableWorkers checks that a new term no longer counts a worker as
// unreachable and announces the token to it, as to the others.
func TestNewTermResetsUnreachableWorkers(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	worker.markUnreachable(fixture.now)
	fixture.beginTerm()
	if worker.Unreachable {
		t.Error("after the new term began: the worker still counts as unreachable")
	}
	fixture.sendDirectMessage(t)
}

// TestLostLaunchesMakeAWorkerUnreachable checks that a worker that acknowledges the token still
// counts as unreachable after UnreachableAfterLaunches consecutive launches, sent with answers
// to its heartbeats, that no heartbeat has listed.
func TestLostLaunchesMakeAWorkerUnreachable(t *testing.T) {
	fixture := newRegistryFixture(tuning.UnreachableAfterLaunches)
	worker := fixture.exchangeHeartbeats(t)
	for i := range tuning.UnreachableAfterLaunches {
		if worker.Unreachable {
			t.Fatalf("unreachable after %d lost launches, want after %d", i, tuning.UnreachableAfterLaunches)
		}
		fixture.placeTask(i)
		fixture.now += time.Second
		_, body := fixture.registry.HandleHeartbeat(fixture.heartbeat())
		if !hasVerb(commandsOf(t, body), VerbLaunch) {
			t.Fatalf("heartbeat answered with %s, want a launch", body)
		}
		fixture.now += time.Second
		fixture.registry.HandleHeartbeat(fixture.heartbeat())
	}
	if !worker.Unreachable {
		t.Errorf("after %d lost launches: the worker counts as reachable", worker.LostLaunches)
	}
}

// TestDoneGangLeavesNoTaskWaiting checks that the completion of a gang also completes its tasks
// that are on no machine.
func TestDoneGangLeavesNoTaskWaiting(t *testing.T) {
	fixture := newGangFixture(2)
	fixture.registry.GangDone(fixture.job)
	for _, task := range fixture.job.Tasks {
		if task.State != taskstate.StateDone {
			t.Errorf("after the gang completed: task %d in state %v, want %v", task.Index, task.State, taskstate.StateDone)
		}
	}
}
