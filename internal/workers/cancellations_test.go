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

// TestWorkerWithALongCancelledTaskIsNotAnswered: its lease would run on from the answer past
// the users' limit, whether the records have the task or only the worker's list.
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
				t.Errorf("answered %d in time", status)
			}
			fixture.now += time.Second
			if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 503 {
				t.Errorf("on record %v: answered %d though its lease would run past the limit", recorded, status)
			}
		})
	}
}

// TestHaltOfACancelledTaskIsRepeated: a direct message to end it may be lost, so it is sent again
// until the task is proven gone.
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
			t.Fatalf("try %d: told %s", try, direct.body)
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
		t.Errorf("state %v when it has ended", task.State)
	}
}
