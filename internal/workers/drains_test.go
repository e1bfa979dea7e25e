package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// TestTasksLeaveDrainedWorkers checks that replicas of services leave a drained worker, that
// tasks with checkpoints are halted in time before the cloud reclaims their machine, and that
// other tasks run on.
func TestTasksLeaveDrainedWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		shape              jobs.Shape
		checkpointInterval float64
		notice             float64
		halted             bool
	}{
		"replica":                             {"daemon", 0, 60, true},
		"task without checkpoints":            {"array", 0, 6, false},
		"task with checkpoints":               {"array", 30, 6, true},
		"task with checkpoints, early notice": {"array", 30, 60, false},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newRegistryFixture(1)
			fixture.job.Spec.Shape, fixture.job.Spec.CheckpointIntervalSeconds, fixture.job.Spec.CheckpointSeconds = test.shape, test.checkpointInterval, 4
			fixture.worker.token = fixture.token
			fixture.registry.HandleHeartbeat(fixture.heartbeat())
			task := fixture.job.Tasks[0]
			fixture.registry.PlaceTask(task, fixture.registry.Worker("vm-1"))
			task.PlacementDurable = true
			sent := fixture.now
			_, body := fixture.registry.HandleHeartbeat(fixture.heartbeat())
			fixture.receiveAnswer(body, 1, sent)
			fixture.now += time.Second
			heartbeat := fixture.heartbeat()
			heartbeat.SpotNoticeSeconds = &test.notice
			fixture.registry.HandleHeartbeat(heartbeat)
			fixture.registry.Tick()
			fixture.calls = nil
			fixture.registry.AfterBatch()
			if task.Halt.Decided != test.halted || len(fixture.calls) > 0 != test.halted {
				t.Errorf("after a notice of %v s: halt decided %v, %d messages, want %v for both", test.notice, task.Halt.Decided, len(fixture.calls), test.halted)
				return
			}
			if test.halted {
				fixture.calls[0].fn(fixture.deliverDirect(fixture.calls[0]), nil)
				fixture.registry.HandleHeartbeat(fixture.heartbeat())
				if task.State != taskstate.StateWaiting {
					t.Errorf("after the halt: state %v, want %v", task.State, taskstate.StateWaiting)
				}
			}
		})
	}
}
