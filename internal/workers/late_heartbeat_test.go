package workers

import (
	"testing"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
)

// TestHeartbeatOlderThanAnotherMessagesAnswerProvesNothing guards against taking a task for gone by
// a report that was sent before its late launch was executed, and that arrives after the answer to
// another message has listed the task.
func TestHeartbeatOlderThanAnotherMessagesAnswerProvesNothing(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.tokenRenewalFails = true // the renewal is under way
	worker := fixture.exchangeHeartbeats(t)
	task, next := fixture.job.Tasks[0], fixture.job.Tasks[1]
	fixture.registry.PlaceTask(next, worker) // durable later
	fixture.placeTask(0)
	held := fixture.sendDirectMessage(t)
	held.fn(http1.Response{}, eventloop.ErrNoAnswer)
	late := fixture.heartbeat()
	next.PlacementDurable = true
	fixture.registry.PlacementDurable(next)
	second := fixture.sendDirectMessage(t)
	fixture.deliverDirect(held)
	second.fn(fixture.deliverDirect(second), nil)
	fixture.registry.HandleHeartbeat(late)
	if task.State != taskstate.StatePlaced {
		t.Errorf("state %v, want %v: attempt %d runs", task.State, taskstate.StatePlaced, fixture.worker.tasks[task.Name()])
	}
}
