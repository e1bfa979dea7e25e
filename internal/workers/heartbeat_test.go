package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
)

// TestLateHeartbeatsAreDropped checks that a heartbeat of an earlier session, or of the same
// session with a sequence number that is no higher, is not answered and does not count as
// activity of the worker.
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
			t.Errorf("late heartbeat (%s): answered %d, last heartbeat moved by %v, session %d, sequence %d, want 503, 0, 2, 2", name, status, worker.LastHeartbeatAt-lastHeartbeatAt, worker.Session, worker.Sequence)
		}
	}
}

// TestHeartbeatOfANewerOwnersWorkerIsRefused checks that a heartbeat with a newer token than
// the registry's is refused, since the worker then has another owner.
func TestHeartbeatOfANewerOwnersWorkerIsRefused(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	lastHeartbeatAt := worker.LastHeartbeatAt
	fixture.now += time.Second
	fixture.worker.token = fixture.token + 1
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 503 || worker.LastHeartbeatAt != lastHeartbeatAt {
		t.Errorf("heartbeat with a newer token: answered %d, last heartbeat moved by %v, want 503, 0", status, worker.LastHeartbeatAt-lastHeartbeatAt)
	}
}

// TestHeartbeatOfAReleasedMachineIsRefused checks that a heartbeat that was in flight when the
// cloud reclaimed the machine does not add its worker to the registry again.
func TestHeartbeatOfAReleasedMachineIsRefused(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	fixture.registry.MachineReleased("vm-1")
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 503 || fixture.registry.Worker("vm-1") != nil {
		t.Errorf("heartbeat of a released machine: answered %d, worker known %v, want 503, false", status, fixture.registry.Worker("vm-1") != nil)
	}
}

// TestLateCopyOfAHeartbeatChangesNothing checks that a late copy of a heartbeat does not make
// a worker accept tasks of a new owner, proves no task gone, and never moves the end of the
// worker's lease to earlier.
func TestLateCopyOfAHeartbeatChangesNothing(t *testing.T) {
	fixture := newRegistryFixture(1)
	old := fixture.heartbeat()
	fixture.worker.token = fixture.token
	for range 3 {
		fixture.registry.HandleHeartbeat(fixture.heartbeat())
	}
	task := fixture.job.Tasks[0]
	fixture.registry.PlaceTask(task, fixture.registry.Worker("vm-1"))
	task.PlacementDurable = true
	task.Launch.Recover(fixture.token)
	fixture.beginTerm()
	worker := fixture.registry.Worker("vm-1")
	end := fixture.registry.leaseExpiresAt(worker)
	fixture.now += time.Minute / 2
	fixture.registry.HandleHeartbeat(old)
	if task.State != taskstate.StatePlaced || fixture.registry.AcceptsTasks(worker) || fixture.registry.leaseExpiresAt(worker) < end {
		t.Errorf("after a late copy: task state %v, accepts tasks %v, lease expires at %v, want %v, false, at least %v",
			task.State, fixture.registry.AcceptsTasks(worker), fixture.registry.leaseExpiresAt(worker), taskstate.StatePlaced, end)
	}
}
