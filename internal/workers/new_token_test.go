package workers

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// TestCancelledTasksAreHaltedBeforeTheTokenIsAcknowledged: what is cancelled ends at once also on a
// worker that has not shown the new token: the announcement carries the halt, and so does the
// answer to a heartbeat.
func TestCancelledTasksAreHaltedBeforeTheTokenIsAcknowledged(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	fixture.cancelledAt, fixture.job.Cancelled = fixture.now, true
	fixture.beginTerm()
	var announced CommandMessage
	if err := json.Unmarshal(fixture.sendDirectMessage(t).body, &announced); err != nil || !hasVerb(announced.Commands, VerbHalt) {
		t.Errorf("announced with %v, %v", announced.Commands, err)
	}
	fixture.now += time.Second
	if _, body := fixture.registry.HandleHeartbeat(fixture.heartbeat()); !hasVerb(commandsOf(t, body), VerbHalt) {
		t.Errorf("answered %s", body)
	}
}

// TestNewTermResetsUnreachableWorkers: under a new token a worker that was deaf is told of it like
// the others, and may have heard.
func TestNewTermResetsUnreachableWorkers(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	worker.markUnreachable(fixture.now)
	fixture.beginTerm()
	if worker.Unreachable {
		t.Error("still counts as deaf")
	}
	fixture.sendDirectMessage(t)
}

// TestLostLaunchesMakeAWorkerUnreachable: it acknowledges the token, but launches in a row
// that were sent with our answers never show in its heartbeats.
func TestLostLaunchesMakeAWorkerUnreachable(t *testing.T) {
	fixture := newRegistryFixture(tuning.DeafLaunches)
	worker := fixture.exchangeHeartbeats(t)
	for i := range tuning.DeafLaunches {
		if worker.Unreachable {
			t.Fatalf("deaf after %d launches", i)
		}
		fixture.placeTask(i)
		fixture.now += time.Second
		_, body := fixture.registry.HandleHeartbeat(fixture.heartbeat())
		if !hasVerb(commandsOf(t, body), VerbLaunch) {
			t.Fatalf("answered %s", body)
		}
		fixture.now += time.Second
		fixture.registry.HandleHeartbeat(fixture.heartbeat())
	}
	if !worker.Unreachable {
		t.Errorf("not deaf after %d launches", worker.LostLaunches)
	}
}

// TestDoneGangLeavesNoTaskWaiting: with one task of a gang done all are, also those that are
// on no machine.
func TestDoneGangLeavesNoTaskWaiting(t *testing.T) {
	fixture := newGangFixture(2)
	fixture.registry.GangDone(fixture.job)
	for _, task := range fixture.job.Tasks {
		if task.State != taskstate.StateDone {
			t.Errorf("task %d is %v", task.Index, task.State)
		}
	}
}
