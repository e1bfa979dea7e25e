package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
)

// TestNewOwnerTreatsPlacementsAsLaunched: what the records place under an earlier token may be
// on its machine.
func TestNewOwnerTreatsPlacementsAsLaunched(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true
	fixture.beginTerm()
	worker := fixture.registry.Worker("vm-1")
	if !worker.Tasks[task] || task.Launchable() {
		t.Errorf("on its machine %v, may be launched once more: %v", worker.Tasks[task], task.Launchable())
	}
}

// TestNoTasksBeforeTheTokenIsAcknowledged: under a new token a machine gets tasks when it has shown
// that it knows the token.
func TestNoTasksBeforeTheTokenIsAcknowledged(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	fixture.beginTerm()
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if fixture.registry.AcceptsTasks(worker) {
		t.Error("gets tasks under a token that it has not seen")
	}
	if fixture.exchangeHeartbeats(t); !fixture.registry.AcceptsTasks(worker) {
		t.Error("gets none when it has")
	}
}
