package workers

import (
	"testing"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
)

// strayFixture returns a fixture whose task runs on the machine as attempt 1 although it was
// considered gone, and is placed there as attempt 2.
func strayFixture(t *testing.T) (*registryFixture, *taskstate.Task) {
	t.Helper()
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	running := fixture.worker.tasks
	fixture.worker.tasks = map[string]uint64{} // the report lacks the task
	fixture.reportAll(t, PhaseRunning, "")
	fixture.worker.tasks = running
	fixture.reportAll(t, PhaseRunning, "")
	return fixture, fixture.placeTask(0)
}

// TestTaskIsNotLaunchedWhileAnotherAttemptIsAlive guards against launching a task of which a worker
// has shown another attempt alive after the proof that it is gone.
func TestTaskIsNotLaunchedWhileAnotherAttemptIsAlive(t *testing.T) {
	fixture, task := strayFixture(t)
	fixture.registry.AfterBatch()
	if len(fixture.calls) != 0 || task.Launch.IsSent() {
		t.Fatalf("while attempt 1 is alive: %d direct messages, launch sent %v, want 0, false", len(fixture.calls), task.Launch.IsSent())
	}
	if commands := fixture.reportAll(t, PhaseRunning, ""); hasVerb(commands, VerbLaunch) {
		t.Fatalf("while attempt 1 is alive: commands %+v, want no launch", commands)
	}
	fixture.expectViolations(t, metrics.InvariantOtherAttemptsGone, 1)
	clear(fixture.worker.tasks)
	if commands := fixture.reportAll(t, PhaseRunning, ""); !hasVerb(commands, VerbLaunch) {
		t.Errorf("after a report without attempt 1: commands %+v, want a launch", commands)
	}
}

// TestLaunchDoesNotWaitForTheAttemptOfAnExpiredLease guards against a task that waits for ever for a
// worker that has fallen silent with another attempt of it.
func TestLaunchDoesNotWaitForTheAttemptOfAnExpiredLease(t *testing.T) {
	fixture, _ := strayFixture(t)
	fixture.now = fixture.registry.leaseExpiresAt(fixture.registry.Worker("vm-1")) + 1
	fixture.registry.Tick()
	if len(fixture.registry.strays) != 0 {
		t.Errorf("after the lease of the other attempt's worker: %d tasks wait for it, want 0", len(fixture.registry.strays))
	}
}

// TestTaskOfARemovedRecordIsNotLaunchedAgainAtOnce guards against launching a task whose record was
// removed while an earlier attempt may run.
func TestTaskOfARemovedRecordIsNotLaunchedAgainAtOnce(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.placeAndLaunchAll(t)
	task := fixture.job.Tasks[0]
	fixture.registry.DiscardTask(task)
	fixture.expectViolations(t, metrics.InvariantRecordOutlivesTask, 1)
	if len(worker.Tasks) != 0 {
		t.Fatalf("%d tasks on the machine, want 0", len(worker.Tasks))
	}
	task.TakeOffWorker() // dispatched again, in another record
	if fixture.placeTask(0); fixture.registry.mayLaunch(task) {
		t.Error("while attempt 1 runs: attempt 2 may be launched")
	}
	clear(fixture.worker.tasks)
	if commands := fixture.reportAll(t, PhaseRunning, ""); !hasVerb(commands, VerbLaunch) {
		t.Errorf("after a report without attempt 1: commands %+v, want a launch", commands)
	}
}

// TestRecordRemovedUnderAFormerOwnerLeavesNoStray guards against a launch that waits, and an alarm, for
// an attempt that a later owner has closed.
func TestRecordRemovedUnderAFormerOwnerLeavesNoStray(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	fixture.leaseInvalid = true
	fixture.registry.DiscardTask(fixture.job.Tasks[0])
	fixture.expectViolations(t, metrics.InvariantRecordOutlivesTask, 0)
	if len(fixture.registry.strays) != 0 {
		t.Errorf("%d stray attempts, want 0", len(fixture.registry.strays))
	}
}

// TestTermWithoutAHigherTokenProvesNothing guards against taking launches of the last term for void
// in a term that begins under the same token.
func TestTermWithoutAHigherTokenProvesNothing(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	task := fixture.placeTask(0)
	fixture.sendDirectMessage(t) // under way
	fixture.tokenRenewalFails = true
	fixture.registry.EndTerm()
	fixture.registry.BeginTerm()
	fixture.expectViolations(t, metrics.InvariantTokenGrows, 1)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if task.State != taskstate.StatePlaced {
		t.Errorf("state %v, want %v", task.State, taskstate.StatePlaced)
	}
}
