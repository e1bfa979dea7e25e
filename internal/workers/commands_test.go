package workers

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
)

// TestCommandAnswersOfAnEarlierTermAreDropped checks that the outcome of a direct message
// from an earlier term, whose records have been reloaded since, is ignored. Otherwise it would
// close the worker to new tasks and allow a second direct message while one is in flight.
func TestCommandAnswersOfAnEarlierTermAreDropped(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.exchangeHeartbeats(t)
	fixture.placeTask(0)
	delayed := fixture.sendDirectMessage(t)
	fixture.job.Tasks[0].State, fixture.job.Tasks[0].WorkerID = taskstate.StateWaiting, ""
	fixture.beginTerm()
	fixture.calls = nil // the announcement
	worker := fixture.exchangeHeartbeats(t)
	fixture.placeTask(1)
	fixture.sendDirectMessage(t)
	delayed.fn(http1.Response{}, eventloop.ErrNoAnswer)
	if !fixture.registry.AcceptsTasks(worker) || !worker.delivery.inFlight {
		t.Errorf("after the late outcome: accepts tasks %v, message in flight %v, want true, true", fixture.registry.AcceptsTasks(worker), worker.delivery.inFlight)
	}
}

// TestCommandAnswersFromOthersOrStaleAreIgnored checks that the answer of another machine
// leaves the launch in doubt, and that the task list of an answer from another session, or
// older than a processed heartbeat, is ignored.
func TestCommandAnswersFromOthersOrStaleAreIgnored(t *testing.T) {
	for _, test := range []struct {
		name    string
		do      func(*registryFixture, *Heartbeat)
		status  int
		inDoubt bool
	}{
		{"another machine", func(_ *registryFixture, heartbeat *Heartbeat) { heartbeat.WorkerID = "vm-2" }, 200, true},
		{"another machine refuses", func(_ *registryFixture, heartbeat *Heartbeat) { heartbeat.WorkerID = "vm-2" }, 409, true},
		{"made before the message", func(_ *registryFixture, heartbeat *Heartbeat) { heartbeat.Sequence = 1 }, 200, true},
		{"refusal made before the message", func(_ *registryFixture, heartbeat *Heartbeat) { heartbeat.Sequence = 1 }, 409, true},
		{"another session", func(_ *registryFixture, heartbeat *Heartbeat) { heartbeat.Session = 2 }, 200, false},
		{"overtaken", func(fixture *registryFixture, _ *Heartbeat) { fixture.registry.HandleHeartbeat(fixture.heartbeat()) }, 200, false},
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
			direct.fn(http1.Response{Status: test.status, Body: raw}, nil)
			if worker.UnknownTasks > 0 || task.Launch.IsInDoubt() != test.inDoubt {
				t.Errorf("after the answer: %d unknown tasks, want 0; launch in doubt %v, want %v", worker.UnknownTasks, task.Launch.IsInDoubt(), test.inDoubt)
			}
		})
	}
}

// TestOneDirectMessageAtATime checks that the launch of a task placed while a direct message
// to the worker is in flight is sent only after that message has been answered.
func TestOneDirectMessageAtATime(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.exchangeHeartbeats(t)
	fixture.placeTask(0)
	first := fixture.sendDirectMessage(t)
	fixture.placeTask(1)
	if fixture.registry.AfterBatch(); len(fixture.calls) > 0 {
		t.Fatalf("while a direct message is in flight: %d more sent, want 0", len(fixture.calls))
	}
	first.fn(fixture.deliverDirect(first), nil)
	fixture.sendDirectMessage(t)
}

// TestNoCommandsWithoutAValidLease checks that an owner whose lease may have expired launches
// nothing, neither by direct message nor with an answer.
func TestNoCommandsWithoutAValidLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	fixture.placeTask(0)
	fixture.leaseInvalid = true
	if fixture.registry.AfterBatch(); len(fixture.calls) > 0 {
		t.Errorf("without a valid lease: %d direct messages sent, want 0", len(fixture.calls))
	}
	fixture.now += time.Second
	if _, body := fixture.registry.HandleHeartbeat(fixture.heartbeat()); len(commandsOf(t, body)) > 0 {
		t.Errorf("without a valid lease: answered %s, want no commands", body)
	}
}

// TestLaunchNeedsCancellationsVerifiedAfterThePlacement checks that a launch is sent, by direct
// message or with an answer, only once it is verified as of a time after the placement that
// the job is not cancelled.
func TestLaunchNeedsCancellationsVerifiedAfterThePlacement(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	fixture.needsVerification, fixture.verifiedAt = true, fixture.now
	fixture.now += time.Millisecond
	fixture.placeTask(0)
	if fixture.registry.AfterBatch(); len(fixture.calls) > 0 {
		t.Errorf("before the verification: %d direct messages sent, want 0", len(fixture.calls))
	}
	fixture.now += time.Second
	if _, body := fixture.registry.HandleHeartbeat(fixture.heartbeat()); len(commandsOf(t, body)) > 0 {
		t.Errorf("before the verification: answered %s, want no commands", body)
	}
	fixture.verifiedAt = fixture.now
	fixture.sendDirectMessage(t)
}

// TestUnansweredCommandKeepsTasksAwayUntilTheNextHeartbeat checks that a worker that left a
// command unanswered gets no new tasks before its next heartbeat.
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
		t.Fatalf("after the placement: %d messages, accepts tasks %v, want 1, true", len(fixture.calls), fixture.registry.AcceptsTasks(worker))
	}
	fixture.now += 2 * time.Second
	fixture.calls[0].fn(http1.Response{}, eventloop.ErrNoAnswer)
	if fixture.registry.AcceptsTasks(worker) {
		t.Error("after an unanswered command: the worker accepts tasks, want none until its next heartbeat")
	}
	fixture.now += time.Second
	// The launch in doubt makes the registry renew the token.
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	// As after reloading the records under the new token.
	task.Launch.Recover(fixture.token)
	fixture.worker.token = fixture.token
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if !fixture.registry.AcceptsTasks(worker) {
		t.Error("after its next heartbeat: the worker accepts no tasks")
	}
}
