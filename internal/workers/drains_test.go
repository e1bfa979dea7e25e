package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// TestTasksLeaveDrainedWorkers: replicas leave a worker that is drained, and tasks
// that can write a checkpoint are halted in time before the cloud takes their machine;
// others run on.
func TestTasksLeaveDrainedWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		shape     jobs.Shape
		saveEvery float64
		notice    float64
		moves     bool
	}{
		"a replica":                {"daemon", 0, 60, true},
		"a task without saves":     {"array", 0, 6, false},
		"a task that saves":        {"array", 30, 6, true},
		"a task that saves, early": {"array", 30, 60, false},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newRegistryFixture(1)
			fixture.job.Spec.Shape, fixture.job.Spec.CheckpointIntervalSeconds, fixture.job.Spec.CheckpointSeconds = test.shape, test.saveEvery, 4
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
			if task.Halt.Decided != test.moves || len(fixture.calls) > 0 != test.moves {
				t.Errorf("halt decided: %v, %d messages", task.Halt.Decided, len(fixture.calls))
				return
			}
			if test.moves {
				fixture.calls[0].fn(fixture.deliverDirect(fixture.calls[0]), nil)
				fixture.registry.HandleHeartbeat(fixture.heartbeat())
				if task.State != taskstate.StateWaiting {
					t.Errorf("it is not free for another worker")
				}
			}
		})
	}
}
