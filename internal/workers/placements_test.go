package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
)

// TestNewOwnerTreatsPlacementsAsLaunched checks that a new owner does not launch tasks that the
// records place under an earlier token, since they may be on their machines already.
func TestNewOwnerTreatsPlacementsAsLaunched(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true
	fixture.beginTerm()
	worker := fixture.registry.Worker("vm-1")
	if !worker.Tasks[task] || task.Launchable() {
		t.Errorf("after the takeover: task placed on the worker %v, launchable %v, want true, false", worker.Tasks[task], task.Launchable())
	}
}

// TestNoTasksBeforeTheTokenIsAcknowledged checks that under a new token a worker accepts tasks
// only after it has acknowledged the token.
func TestNoTasksBeforeTheTokenIsAcknowledged(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	fixture.beginTerm()
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if fixture.registry.AcceptsTasks(worker) {
		t.Error("before the worker acknowledged the token: it accepts tasks")
	}
	if fixture.exchangeHeartbeats(t); !fixture.registry.AcceptsTasks(worker) {
		t.Error("after the worker acknowledged the token: it accepts no tasks")
	}
}
