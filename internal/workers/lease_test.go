package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// TestTasksOfASilentWorkerStayPlacedUntilItsLeaseExpires: also its drift and a margin.
func TestTasksOfASilentWorkerStayPlacedUntilItsLeaseExpires(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	task := fixture.job.Tasks[0]
	lease := fixture.registry.settings.WorkerLease()
	fixture.now = fixture.registry.Worker("vm-1").LeaseRenewedAt + lease + lease*tuning.DriftPerMille/1000
	fixture.registry.Tick()
	if task.State != taskstate.StatePlaced {
		t.Fatal("called gone while its worker's clock may not have ended the lease")
	}
	fixture.now += tuning.WorkerLeaseMargin
	fixture.registry.Tick()
	if task.State != taskstate.StatePlaced {
		t.Fatal("called gone within the drift and the margin")
	}
	fixture.now += time.Millisecond
	fixture.registry.Tick()
	if task.State != taskstate.StateWaiting {
		t.Error("never called gone")
	}
}

// TestNewOwnerCountsTheLeaseFromThePreviousOwnersLastAnswer: also for a machine that this process has known for
// long, an earlier owner may answer for a while after the shard has changed hands.
func TestNewOwnerCountsTheLeaseFromThePreviousOwnersLastAnswer(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	fixture.previousOwnerAnswersUntil = fixture.now + 12*time.Second
	fixture.beginTerm()
	if want := fixture.previousOwnerAnswersUntil + fixture.registry.settings.WorkerLease(); fixture.registry.leaseExpiresAt(worker) < want {
		t.Errorf("its lease is taken to end %v early", want-fixture.registry.leaseExpiresAt(worker))
	}
}

// TestOldHeartbeatCopyDoesNotShortenTheLease: a new owner begins while the earlier one goes on
// answering the worker for a while. A copy of an old heartbeat that reaches the new one first
// shows an earlier token: it says nothing of how long that may go on. Counted from the
// copy, the lease had run out by reckoning while the worker ran on, and its tasks were
// started elsewhere besides.
func TestOldHeartbeatCopyDoesNotShortenTheLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.previousOwnerAnswersUntil = fixture.now + 12*time.Second
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.Launch.Sent, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true, true
	fixture.worker.tasks[task.Name()] = 1
	fixture.registry.BeginTerm()
	copied := fixture.heartbeat()
	goneAt := time.Duration(0)
	fixture.onTaskWaiting = func(*taskstate.Task) { goneAt = fixture.now }
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(copied)
	last := fixture.previousOwnerAnswersUntil + fixture.registry.settings.WorkerLease() // the worker may run until then
	for ; fixture.now < last+time.Minute && goneAt == 0; fixture.now += 100 * time.Millisecond {
		fixture.registry.Tick()
	}
	if goneAt < last {
		t.Errorf("called gone %v before the worker's lease may end", last-goneAt)
	}
}

// TestAnsweredHeartbeatBelowTheTokenExtendsTheLease: a worker that has not seen the
// owner's token yet renews its lease by each answer all the same. Counted from an
// earlier moment, its tasks were called gone while they ran on.
func TestAnsweredHeartbeatBelowTheTokenExtendsTheLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.worker.token = fixture.token
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.Launch.Sent, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true, true
	fixture.worker.tasks[task.Name()] = 1
	fixture.beginTerm()
	fixture.now += 20 * time.Second
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 200 {
		t.Fatalf("answered %d", status)
	}
	last := fixture.now + fixture.registry.settings.WorkerLease() // the worker may run until then
	goneAt := time.Duration(0)
	fixture.onTaskWaiting = func(*taskstate.Task) { goneAt = fixture.now }
	for ; fixture.now < last+time.Minute && goneAt == 0; fixture.now += 100 * time.Millisecond {
		fixture.registry.Tick()
	}
	if goneAt < last {
		t.Errorf("called gone %v before the worker's lease may end", last-goneAt)
	}
}
