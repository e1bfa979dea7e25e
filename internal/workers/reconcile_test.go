package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
)

// TestCompletedTaskIsForgottenWhenDurable: the worker keeps a completed task until its
// completion is in the records.
func TestCompletedTaskIsForgottenWhenDurable(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	task := fixture.job.Tasks[0]
	for range 2 {
		if commands := fixture.reportAll(t, "ended", "done"); hasVerb(commands, "forget") {
			t.Fatalf("told %v before the completion is durable", commands)
		}
	}
	task.DoneDurable = true
	if commands := fixture.reportAll(t, "ended", "done"); task.State != taskstate.StateDone || !hasVerb(commands, "forget") {
		t.Errorf("state %v, told %v when it is", task.State, commands)
	}
}

// TestUnansweredLaunchStaysInDoubt: a launch without an answer may be carried out at any
// time until the worker has seen a higher token. A heartbeat that does not list the task
// proves nothing before.
func TestUnansweredLaunchStaysInDoubt(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.tokenRenewalFails = true // no new token yet
	fixture.exchangeHeartbeats(t)
	task := fixture.placeTask(0)
	direct := fixture.sendDirectMessage(t)
	direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if task.State != taskstate.StatePlaced || !task.Launch.InDoubt {
		t.Fatalf("state %v, in doubt %v", task.State, task.Launch.InDoubt)
	}
	fixture.deliverDirect(direct) // late
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if task.State != taskstate.StatePlaced || !task.Observed.Reported {
		t.Errorf("state %v, seen %v when it runs", task.State, task.Observed.Reported)
	}
}

// TestHeartbeatOlderThanTheLaunchProvesNothing: one that left before the launch was
// carried out, and arrives after the answer, does not list the task.
func TestHeartbeatOlderThanTheLaunchProvesNothing(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	task := fixture.placeTask(0)
	direct := fixture.sendDirectMessage(t)
	early := fixture.heartbeat()
	direct.fn(fixture.deliverDirect(direct), nil)
	if status, _ := fixture.registry.HandleHeartbeat(early); status != 200 || task.State != taskstate.StatePlaced {
		t.Errorf("answered %d, state %v", status, task.State)
	}
}

// TestCommandAnswerProvesNoTaskGone: the answer to a command may be newer than a heartbeat and
// yet older than the worker's reading of our reply to it, which carried a launch.
func TestCommandAnswerProvesNoTaskGone(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.exchangeHeartbeats(t)
	first := fixture.job.Tasks[0]
	fixture.registry.PlaceTask(first, fixture.registry.Worker("vm-1"))
	first.PlacementDurable = true
	fixture.now += time.Second
	sent, heartbeat := fixture.now, fixture.heartbeat()
	status, body := fixture.registry.HandleHeartbeat(heartbeat)
	if status != 200 || !hasVerb(commandsOf(t, body), "launch") {
		t.Fatalf("answered %d: %s", status, body)
	}
	fixture.placeTask(1)
	direct := fixture.sendDirectMessage(t)
	direct.fn(fixture.deliverDirect(direct), nil) // does not list the first
	if first.State != taskstate.StatePlaced {
		t.Fatalf("state %v", first.State)
	}
	fixture.receiveAnswer(body, heartbeat.Session, sent)
	if len(fixture.worker.tasks) != 2 {
		t.Errorf("%d tasks run", len(fixture.worker.tasks))
	}
}

// TestReportedTaskOfAnotherAttemptIsHalted: another attempt than the one on record is ended, and
// keeps the machine from other work until it is.
func TestReportedTaskOfAnotherAttemptIsHalted(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.Launch.Sent, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 2, true, true
	fixture.registry.addTask(worker, task)
	fixture.worker.tasks[task.Name()] = 1
	fixture.now += time.Second
	_, body := fixture.registry.HandleHeartbeat(fixture.heartbeat())
	want := haltCommand(task.Name(), 1, 0)
	commands := commandsOf(t, body)
	if task.Observed.Reported || len(commands) != 1 || commands[0].Verb != want.Verb || commands[0].Attempt != 1 {
		t.Errorf("seen %v, told %+v", task.Observed.Reported, commands)
	}
	if fixture.registry.AcceptsTasks(worker) {
		t.Error("gets tasks beside one that is not on record")
	}
}

// TestUnknownPhasesAndCausesProveNothingGone: a phase or a cause that this
// version does not know never proves a task gone, nor does it keep the task for ever: one
// with an unknown cause is forgotten, and gone when it is off the list.
func TestUnknownPhasesAndCausesProveNothingGone(t *testing.T) {
	fixture := newRegistryFixture(2)
	worker := fixture.placeAndLaunchAll(t)
	if fixture.reportAll(t, "pondering", ""); len(worker.Tasks) != 2 {
		t.Errorf("%d of 2 tasks occupy the machine in an unknown phase", len(worker.Tasks))
	}
	commands := fixture.reportAll(t, "ended", "moonshine")
	if len(worker.Tasks) != 2 || len(commands) != 2 || commands[0].Verb != "forget" {
		t.Errorf("%d tasks, commands %+v", len(worker.Tasks), commands)
	}
	clear(fixture.worker.tasks)
	if fixture.reportAll(t, "", ""); len(worker.Tasks) != 0 {
		t.Error("off the list, they still occupy the machine")
	}
}
