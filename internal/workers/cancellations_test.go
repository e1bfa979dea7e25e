package workers

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// TestWorkerWithALongCancelledTaskIsNotAnswered checks that a worker's heartbeat is not
// answered once the answer would extend its lease, and so a cancelled task, past the users'
// limit. This holds whether the records have the task or only the worker lists it.
func TestWorkerWithALongCancelledTaskIsNotAnswered(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		t.Run(fmt.Sprint("recorded ", recorded), func(t *testing.T) {
			fixture := newRegistryFixture(1)
			fixture.placeAndLaunchAll(t)
			task := fixture.job.Tasks[0]
			fixture.cancelledAt, fixture.job.Cancelled = fixture.now, true
			if !recorded {
				fixture.registry.removeTask(fixture.registry.Worker("vm-1"), task)
				task.State, task.WorkerID = taskstate.StateDropped, ""
			}
			fixture.now += fixture.registry.settings.MaxKnowledgeAge() - time.Second
			if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 200 {
				t.Errorf("recorded %v, within the limit: answered %d, want 200", recorded, status)
			}
			fixture.now += time.Second
			if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 503 {
				t.Errorf("recorded %v, lease would run past the limit: answered %d, want 503", recorded, status)
			}
		})
	}
}

// TestHaltOfACancelledTaskIsRepeated checks that the halt of a cancelled task is sent again
// until the task is proven gone, since a direct message may be lost.
func TestHaltOfACancelledTaskIsRepeated(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	task := fixture.job.Tasks[0]
	fixture.cancelledAt, fixture.job.Cancelled = fixture.now, true
	fixture.registry.CancelJob(fixture.job)
	for try := range 3 {
		direct := fixture.sendDirectMessage(t)
		var message CommandMessage
		if err := json.Unmarshal(direct.body, &message); err != nil || !hasVerb(message.Commands, "halt") {
			t.Fatalf("message %d: sent %s, error %v, want a halt", try, direct.body, err)
		}
		direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
		fixture.now += tuning.HaltRetryInterval
		fixture.registry.Tick()
	}
	direct := fixture.sendDirectMessage(t)
	direct.fn(fixture.deliverDirect(direct), nil)
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if task.State != taskstate.StateDropped {
		t.Errorf("after the task ended: state %v, want %v", task.State, taskstate.StateDropped)
	}
}
