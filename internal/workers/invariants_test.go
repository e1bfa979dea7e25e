package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
)

// expectViolations fails the test unless an invariant was violated the given number of times.
func (f *registryFixture) expectViolations(t *testing.T, invariant metrics.Invariant, want int) {
	t.Helper()
	if got := f.registry.metrics.Violations(invariant); got != want {
		t.Errorf("%d violations of %s, want %d", got, invariant, want)
	}
}

// TestTaskListedAfterItWasProvenGoneIsReported guards against a proof that a task is gone which
// the worker contradicts later, unnoticed.
func TestTaskListedAfterItWasProvenGoneIsReported(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	running := fixture.worker.tasks
	fixture.worker.tasks = map[string]uint64{} // the report lacks the task
	fixture.reportAll(t, PhaseRunning, "")
	if state := fixture.job.Tasks[0].State; state != taskstate.StateWaiting {
		t.Fatalf("not listed by a later heartbeat: state %v, want %v", state, taskstate.StateWaiting)
	}
	fixture.expectViolations(t, metrics.InvariantGoneTaskNotListed, 0)
	fixture.worker.tasks = running
	fixture.reportAll(t, PhaseRunning, "")
	fixture.expectViolations(t, metrics.InvariantGoneTaskNotListed, 1)
}

// TestPlacementDoesNotEndOnContradictedEvidence guards against giving a task away while what is
// known of its worker contradicts the evidence that it is gone.
func TestPlacementDoesNotEndOnContradictedEvidence(t *testing.T) {
	for _, evidence := range []Evidence{EvidenceNeverLaunched, EvidenceExited, EvidenceLaterSession, EvidenceLeaseExpired, EvidenceMachineReleased} {
		t.Run(evidence.String(), func(t *testing.T) {
			fixture := newRegistryFixture(1)
			worker := fixture.placeAndLaunchAll(t)
			task := fixture.job.Tasks[0]
			task.Observed.Reported = false
			fixture.registry.endPlacement(worker, task, evidence, taskstate.LossVanished)
			if task.State != taskstate.StatePlaced {
				t.Errorf("state %v, want %v", task.State, taskstate.StatePlaced)
			}
			fixture.expectViolations(t, metrics.InvariantEvidenceHolds, 1)
		})
	}
	t.Run("not listed, launch in flight", func(t *testing.T) {
		fixture := newRegistryFixture(1)
		worker := fixture.exchangeHeartbeats(t)
		task := fixture.placeTask(0)
		fixture.sendDirectMessage(t)
		fixture.registry.endPlacement(worker, task, EvidenceNotListed, taskstate.LossVanished)
		if task.State != taskstate.StatePlaced {
			t.Errorf("state %v, want %v", task.State, taskstate.StatePlaced)
		}
		fixture.expectViolations(t, metrics.InvariantEvidenceHolds, 1)
	})
}

// TestPlacedTaskIsNotPlacedAgain guards against placing a task that is on a machine already.
func TestPlacedTaskIsNotPlacedAgain(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	task := fixture.placeTask(0)
	fixture.now += time.Second
	fixture.registry.PlaceTask(task, worker)
	if task.Attempt != 1 {
		t.Errorf("placed twice: attempt %d, want 1", task.Attempt)
	}
	fixture.expectViolations(t, metrics.InvariantPlacedOnce, 1)
}

// TestOldReportAfterALeaseExpiredIsNoViolation guards against an alarm for a copy of a report from
// before the expiry, which reaches an owner that has never heard the worker.
func TestOldReportAfterALeaseExpiredIsNoViolation(t *testing.T) {
	fixture := newRegistryFixture(1)
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true
	task.Launch.Recover(fixture.token)
	fixture.worker.tasks[task.Name()] = 1
	fixture.registry.BeginTerm()
	copied := fixture.heartbeat()
	fixture.now += 2 * fixture.registry.settings.WorkerLease()
	fixture.registry.Tick()
	if task.State != taskstate.StateWaiting {
		t.Fatalf("after the lease: state %v, want %v", task.State, taskstate.StateWaiting)
	}
	fixture.registry.HandleHeartbeat(copied)
	fixture.expectViolations(t, metrics.InvariantGoneTaskNotListed, 0)
}
