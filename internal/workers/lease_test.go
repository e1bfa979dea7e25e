package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// TestTasksOfASilentWorkerStayPlacedUntilItsLeaseExpires checks that the tasks of a silent
// worker count as gone only after its lease, the allowed clock drift and the margin.
func TestTasksOfASilentWorkerStayPlacedUntilItsLeaseExpires(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	task := fixture.job.Tasks[0]
	lease := fixture.registry.settings.WorkerLease()
	fixture.now = fixture.registry.Worker("vm-1").LeaseRenewedAt + lease + lease*tuning.DriftPerMille/1000
	fixture.registry.Tick()
	if task.State != taskstate.StatePlaced {
		t.Fatalf("after the lease and the drift: state %v, want %v", task.State, taskstate.StatePlaced)
	}
	fixture.now += tuning.WorkerLeaseMargin
	fixture.registry.Tick()
	if task.State != taskstate.StatePlaced {
		t.Fatalf("at the end of the margin: state %v, want %v", task.State, taskstate.StatePlaced)
	}
	fixture.now += time.Millisecond
	fixture.registry.Tick()
	if task.State != taskstate.StateWaiting {
		t.Errorf("after the lease, the drift and the margin: state %v, want %v", task.State, taskstate.StateWaiting)
	}
}

// TestNewOwnerCountsTheLeaseFromThePreviousOwnersLastAnswer checks that a new owner assumes the
// lease of a worker that it already knows to run from the latest time at which the previous
// owner may answer, which is after the change of ownership.
func TestNewOwnerCountsTheLeaseFromThePreviousOwnersLastAnswer(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	fixture.previousOwnerAnswersUntil = fixture.now + 12*time.Second
	fixture.beginTerm()
	if want := fixture.previousOwnerAnswersUntil + fixture.registry.settings.WorkerLease(); fixture.registry.leaseExpiresAt(worker) < want {
		t.Errorf("lease expires at %v, want at least %v", fixture.registry.leaseExpiresAt(worker), want)
	}
}

// TestOldHeartbeatCopyDoesNotShortenTheLease checks that a copy of an old heartbeat, which
// shows an earlier token, does not move the end of the lease to earlier. The previous owner may
// go on answering the worker for a while after a takeover. If the new owner measured the lease
// from the copy, the lease would expire for it while the worker runs on, and the tasks would
// run twice.
func TestOldHeartbeatCopyDoesNotShortenTheLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.previousOwnerAnswersUntil = fixture.now + 12*time.Second
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true
	task.Launch.Recover(fixture.token)
	fixture.worker.tasks[task.Name()] = 1
	fixture.registry.BeginTerm()
	copied := fixture.heartbeat()
	goneAt := time.Duration(0)
	fixture.onTaskWaiting = func(*taskstate.Task) { goneAt = fixture.now }
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(copied)
	// The worker may run its tasks until leaseEnd.
	leaseEnd := fixture.previousOwnerAnswersUntil + fixture.registry.settings.WorkerLease()
	for ; fixture.now < leaseEnd+time.Minute && goneAt == 0; fixture.now += 100 * time.Millisecond {
		fixture.registry.Tick()
	}
	if goneAt < leaseEnd {
		t.Errorf("task considered gone at %v, want not before the latest end of the worker's lease, %v", goneAt, leaseEnd)
	}
}

// TestAnsweredHeartbeatBelowTheTokenExtendsTheLease checks that an answer extends the lease of
// a worker that has not seen the owner's token yet. If the owner measured the lease from an
// earlier time, it would consider tasks gone while they run on.
func TestAnsweredHeartbeatBelowTheTokenExtendsTheLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.worker.token = fixture.token
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true
	task.Launch.Recover(fixture.token)
	fixture.worker.tasks[task.Name()] = 1
	fixture.beginTerm()
	fixture.now += 20 * time.Second
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 200 {
		t.Fatalf("heartbeat below the token: answered %d, want 200", status)
	}
	leaseEnd := fixture.now + fixture.registry.settings.WorkerLease() // the worker may run until then
	goneAt := time.Duration(0)
	fixture.onTaskWaiting = func(*taskstate.Task) { goneAt = fixture.now }
	for ; fixture.now < leaseEnd+time.Minute && goneAt == 0; fixture.now += 100 * time.Millisecond {
		fixture.registry.Tick()
	}
	if goneAt < leaseEnd {
		t.Errorf("task considered gone at %v, want not before the end of the worker's lease, %v", goneAt, leaseEnd)
	}
}

// TestTasksOfANewSessionOutliveTheEarlierSessionsLease guards against ending placements of a
// session, none of whose heartbeats was answered yet, with the lease of the session before.
func TestTasksOfANewSessionOutliveTheEarlierSessionsLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	fixture.beginTerm()
	// Neither announcements nor answers reach the worker, which counts as unreachable after
	// UnreachableAfterHeartbeats and is answered no more from then on.
	answered := fixture.now + (tuning.UnreachableAfterHeartbeats-1)*5*time.Second
	for fixture.now < answered+fixture.registry.settings.WorkerLease() {
		fixture.now += 5 * time.Second
		fixture.registry.HandleHeartbeat(fixture.heartbeat())
		fixture.registry.Tick()
	}
	if !worker.Unreachable || worker.Session != 2 {
		t.Fatalf("at the end of the first session's lease: unreachable %v, session %d, want true and 2", worker.Unreachable, worker.Session)
	}
	fixture.calls = nil
	fixture.beginTerm()
	announcement := fixture.sendDirectMessage(t)
	announcement.fn(fixture.deliverDirect(announcement), nil)
	if !fixture.registry.AcceptsTasks(worker) {
		t.Fatal("the worker has answered the announcement and accepts no tasks")
	}
	task := fixture.placeTask(0)
	launch := fixture.sendDirectMessage(t)
	launch.fn(fixture.deliverDirect(launch), nil)
	fixture.now += time.Second // less than a heartbeat interval
	fixture.registry.Tick()
	if len(fixture.worker.tasks) != 1 || task.State != taskstate.StatePlaced {
		t.Errorf("state %v while the worker runs %v, want %v", task.State, fixture.worker.tasks, taskstate.StatePlaced)
	}
	fixture.expectViolations(t, metrics.InvariantEvidenceHolds, 0)
}
