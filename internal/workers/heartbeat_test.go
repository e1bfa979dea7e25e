package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
)

// TestLateHeartbeatsAreDropped: one of the same session and an earlier sequence, or of an
// earlier session, is not answered and is no sign of life.
func TestLateHeartbeatsAreDropped(t *testing.T) {
	fixture := newRegistryFixture(1)
	old := fixture.heartbeat()
	worker := fixture.exchangeHeartbeats(t)
	fixture.worker.session, fixture.worker.sequence = 2, 0
	fixture.exchangeHeartbeats(t)
	lastHeartbeatAt := worker.LastHeartbeatAt
	fixture.now += time.Second
	for name, heartbeat := range map[string]*Heartbeat{
		"sequence": {WorkerID: "vm-1", Addr: "w:1", MachineType: "g8", Session: 2, Sequence: 1, Token: fixture.token},
		"session":  {WorkerID: "vm-1", Addr: "w:1", MachineType: "g8", Session: 1, Sequence: 99, Token: fixture.token},
		"copy":     old,
	} {
		if status, _ := fixture.registry.HandleHeartbeat(heartbeat); status != 503 || worker.LastHeartbeatAt != lastHeartbeatAt || worker.Session != 2 || worker.Sequence != 2 {
			t.Errorf("%s: answered %d, heard %v later, session %d, sequence %d", name, status, worker.LastHeartbeatAt-lastHeartbeatAt, worker.Session, worker.Sequence)
		}
	}
}

// TestHeartbeatOfANewerOwnersWorkerIsRefused: a worker that has seen a newer token has
// another owner.
func TestHeartbeatOfANewerOwnersWorkerIsRefused(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	lastHeartbeatAt := worker.LastHeartbeatAt
	fixture.now += time.Second
	fixture.worker.token = fixture.token + 1
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 503 || worker.LastHeartbeatAt != lastHeartbeatAt {
		t.Errorf("answered %d, heard %v later", status, worker.LastHeartbeatAt-lastHeartbeatAt)
	}
}

// TestHeartbeatOfAReleasedMachineIsRefused: a heartbeat that was under way when the cloud took the
// machine back brings it back for nobody.
func TestHeartbeatOfAReleasedMachineIsRefused(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	fixture.registry.MachineReleased("vm-1")
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 503 || fixture.registry.Worker("vm-1") != nil {
		t.Errorf("answered %d, known %v", status, fixture.registry.Worker("vm-1") != nil)
	}
}

// TestLateCopyOfAHeartbeatChangesNothing: a late copy of a heartbeat opens no worker for a
// new owner, proves no task gone, and never moves the lease's end to earlier.
func TestLateCopyOfAHeartbeatChangesNothing(t *testing.T) {
	fixture := newRegistryFixture(1)
	old := fixture.heartbeat()
	fixture.worker.token = fixture.token
	for range 3 {
		fixture.registry.HandleHeartbeat(fixture.heartbeat())
	}
	task := fixture.job.Tasks[0]
	fixture.registry.PlaceTask(task, fixture.registry.Worker("vm-1"))
	task.PlacementDurable, task.Launch.Sent = true, true
	fixture.beginTerm()
	worker := fixture.registry.Worker("vm-1")
	end := fixture.registry.leaseExpiresAt(worker)
	fixture.now += time.Minute / 2
	fixture.registry.HandleHeartbeat(old)
	if task.State != taskstate.StatePlaced || fixture.registry.AcceptsTasks(worker) || fixture.registry.leaseExpiresAt(worker) < end {
		t.Errorf("task %v, open %v, lease ends %v, before %v", task.State, fixture.registry.AcceptsTasks(worker), fixture.registry.leaseExpiresAt(worker), end)
	}
}
