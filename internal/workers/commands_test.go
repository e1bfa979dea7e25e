package workers

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
)

// TestCommandAnswersOfAnEarlierTermAreDropped: the records have been read anew since; what an
// earlier message came to keeps no tasks away and lets no second message leave at a time.
func TestCommandAnswersOfAnEarlierTermAreDropped(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.exchangeHeartbeats(t)
	fixture.placeTask(0)
	late := fixture.sendDirectMessage(t)
	fixture.job.Tasks[0].State, fixture.job.Tasks[0].WorkerID = taskstate.StateWaiting, ""
	fixture.beginTerm()
	fixture.calls = nil // the announcement
	worker := fixture.exchangeHeartbeats(t)
	fixture.placeTask(1)
	fixture.sendDirectMessage(t)
	late.fn(http1.Response{}, eventloop.ErrNoAnswer)
	if !fixture.registry.AcceptsTasks(worker) || !worker.delivery.inFlight {
		t.Errorf("accepts tasks: %v, a message is under way: %v", fixture.registry.AcceptsTasks(worker), worker.delivery.inFlight)
	}
}

// TestCommandAnswersFromOthersOrStaleAreIgnored: an answer of another machine leaves the launch
// in doubt; one that a newer heartbeat has overtaken, or of another session, is not read.
func TestCommandAnswersFromOthersOrStaleAreIgnored(t *testing.T) {
	for _, test := range []struct {
		name  string
		do    func(*registryFixture, *Heartbeat)
		doubt bool
	}{
		{"another machine", func(_ *registryFixture, heartbeat *Heartbeat) { heartbeat.WorkerID = "vm-2" }, true},
		{"another session", func(_ *registryFixture, heartbeat *Heartbeat) { heartbeat.Session = 2 }, false},
		{"overtaken", func(fixture *registryFixture, _ *Heartbeat) { fixture.registry.HandleHeartbeat(fixture.heartbeat()) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRegistryFixture(1)
			worker := fixture.exchangeHeartbeats(t)
			task := fixture.placeTask(0)
			direct := fixture.sendDirectMessage(t)
			fixture.deliverDirect(direct)
			answer := fixture.heartbeat()
			answer.Tasks = append(answer.Tasks, ReportedTask{Name: "wk-1/7", Attempt: 1, Phase: "running"})
			test.do(fixture, answer)
			raw, err := json.Marshal(answer)
			if err != nil {
				t.Fatal(err)
			}
			direct.fn(http1.Response{Status: 200, Body: raw}, nil)
			if worker.UnknownTasks > 0 || task.Launch.InDoubt != test.doubt {
				t.Errorf("tasks not on record: %d, in doubt: %v", worker.UnknownTasks, task.Launch.InDoubt)
			}
		})
	}
}

// TestOneDirectMessageAtATime: what is placed while a message is under way to the worker leaves
// when that is answered.
func TestOneDirectMessageAtATime(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.exchangeHeartbeats(t)
	fixture.placeTask(0)
	first := fixture.sendDirectMessage(t)
	fixture.placeTask(1)
	if fixture.registry.AfterBatch(); len(fixture.calls) > 0 {
		t.Fatal("a second message has left")
	}
	first.fn(fixture.deliverDirect(first), nil)
	fixture.sendDirectMessage(t)
}

// TestNoCommandsWithoutAValidLease: an owner whose lease is not surely valid launches nothing,
// neither directly nor with an answer.
func TestNoCommandsWithoutAValidLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	fixture.placeTask(0)
	fixture.leaseInvalid = true
	if fixture.registry.AfterBatch(); len(fixture.calls) > 0 {
		t.Error("a direct message has left")
	}
	fixture.now += time.Second
	if _, body := fixture.registry.HandleHeartbeat(fixture.heartbeat()); len(commandsOf(t, body)) > 0 {
		t.Errorf("told %s", body)
	}
}

// TestLaunchNeedsCancellationsVerifiedAfterThePlacement: a launch leaves only when it is verified, as of a moment
// after the placement, that the job is not cancelled; neither directly nor with an answer.
func TestLaunchNeedsCancellationsVerifiedAfterThePlacement(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	fixture.needsVerification, fixture.verifiedAt = true, fixture.now
	fixture.now += time.Millisecond
	fixture.placeTask(0)
	if fixture.registry.AfterBatch(); len(fixture.calls) > 0 {
		t.Error("a direct message has left")
	}
	fixture.now += time.Second
	if _, body := fixture.registry.HandleHeartbeat(fixture.heartbeat()); len(commandsOf(t, body)) > 0 {
		t.Errorf("told %s", body)
	}
	fixture.verifiedAt = fixture.now
	fixture.sendDirectMessage(t)
}

// TestUnansweredCommandKeepsTasksAwayUntilTheNextHeartbeat: a worker that has left a
// command unanswered gets no more tasks before its next heartbeat.
func TestUnansweredCommandKeepsTasksAwayUntilTheNextHeartbeat(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.worker.token = 1
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	worker := fixture.registry.Worker("vm-1")
	task := fixture.job.Tasks[0]
	fixture.registry.PlaceTask(task, worker)
	task.PlacementDurable = true
	fixture.registry.PlacementDurable(task)
	fixture.registry.AfterBatch()
	if len(fixture.calls) != 1 || !fixture.registry.AcceptsTasks(worker) {
		t.Fatalf("%d messages, accepts tasks: %v", len(fixture.calls), fixture.registry.AcceptsTasks(worker))
	}
	fixture.now += 2 * time.Second
	fixture.calls[0].fn(http1.Response{}, eventloop.ErrNoAnswer)
	if fixture.registry.AcceptsTasks(worker) {
		t.Error("it is given more")
	}
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat()) // which makes the registry take a new token
	task.Launch.InDoubt = false                           // which settles it: tasks are read anew
	fixture.worker.token = fixture.token
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if !fixture.registry.AcceptsTasks(worker) {
		t.Error("it has reported and gets nothing")
	}
}
