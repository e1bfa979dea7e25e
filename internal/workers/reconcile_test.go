package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
)

// TestCompletedTaskIsForgottenWhenDurable checks that a worker is not told to forget a completed
// task before the completion is durable in the records.
func TestCompletedTaskIsForgottenWhenDurable(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	task := fixture.job.Tasks[0]
	for range 2 {
		if commands := fixture.reportAll(t, "ended", "done"); hasVerb(commands, "forget") {
			t.Fatalf("before the completion is durable: commands %v, want no forget", commands)
		}
	}
	task.DoneDurable = true
	if commands := fixture.reportAll(t, "ended", "done"); task.State != taskstate.StateDone || !hasVerb(commands, "forget") {
		t.Errorf("after the completion is durable: state %v, commands %v, want %v and a forget", task.State, commands, taskstate.StateDone)
	}
}

// TestUnansweredLaunchStaysInDoubt checks that a heartbeat that does not list a task does not
// prove it gone while its launch is unanswered. The launch may be executed at any time until
// the worker has seen a higher token.
func TestUnansweredLaunchStaysInDoubt(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.tokenRenewalFails = true // no new token yet
	fixture.exchangeHeartbeats(t)
	task := fixture.placeTask(0)
	direct := fixture.sendDirectMessage(t)
	direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if task.State != taskstate.StatePlaced || !task.Launch.IsInDoubt() {
		t.Fatalf("before the launch is executed: state %v, in doubt %v, want %v, true", task.State, task.Launch.IsInDoubt(), taskstate.StatePlaced)
	}
	fixture.deliverDirect(direct) // late
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if task.State != taskstate.StatePlaced || !task.Observed.Reported {
		t.Errorf("after the launch was executed: state %v, reported %v, want %v, true", task.State, task.Observed.Reported, taskstate.StatePlaced)
	}
}

// TestHeartbeatOlderThanTheLaunchProvesNothing checks that a heartbeat sent before the launch
// was executed, and received after the answer to the launch, does not prove the task gone.
func TestHeartbeatOlderThanTheLaunchProvesNothing(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	task := fixture.placeTask(0)
	direct := fixture.sendDirectMessage(t)
	staleHeartbeat := fixture.heartbeat()
	direct.fn(fixture.deliverDirect(direct), nil)
	if status, _ := fixture.registry.HandleHeartbeat(staleHeartbeat); status != 200 || task.State != taskstate.StatePlaced {
		t.Errorf("heartbeat older than the launch: answered %d, state %v, want 200, %v", status, task.State, taskstate.StatePlaced)
	}
}

// TestCommandAnswerProvesNoTaskGone checks that the answer to a direct message does not prove a
// task gone. The worker may make it after a heartbeat but before it reads our answer to that
// heartbeat, which carries the launch of the task.
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
		t.Fatalf("heartbeat answered %d %s, want 200 and a launch", status, body)
	}
	fixture.placeTask(1)
	direct := fixture.sendDirectMessage(t)
	direct.fn(fixture.deliverDirect(direct), nil) // the answer does not list the first task
	if first.State != taskstate.StatePlaced {
		t.Fatalf("after an answer without the task: state %v, want %v", first.State, taskstate.StatePlaced)
	}
	fixture.receiveAnswer(body, heartbeat.Session, sent)
	if len(fixture.worker.tasks) != 2 {
		t.Errorf("after both launches: %d tasks running, want 2", len(fixture.worker.tasks))
	}
}

// TestReportedTaskOfAnotherAttemptIsHalted checks that a task reported with another attempt than
// the recorded one is halted, and that the worker accepts no tasks until it has ended.
func TestReportedTaskOfAnotherAttemptIsHalted(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 2, true
	task.Launch.Recover(fixture.token)
	fixture.registry.addTask(worker, task)
	fixture.worker.tasks[task.Name()] = 1
	fixture.now += time.Second
	_, body := fixture.registry.HandleHeartbeat(fixture.heartbeat())
	want := haltCommand(task.Name(), 1, 0)
	commands := commandsOf(t, body)
	if task.Observed.Reported || len(commands) != 1 || commands[0].Verb != want.Verb || commands[0].Attempt != 1 {
		t.Errorf("another attempt listed: recorded attempt reported %v, commands %+v, want false and %+v", task.Observed.Reported, commands, want)
	}
	if fixture.registry.AcceptsTasks(worker) {
		t.Error("while it runs an unrecorded attempt: the worker accepts tasks")
	}
}

// TestUnknownPhasesAndCausesProveNothingGone checks that a phase or a cause that this version
// does not know never proves a task gone, and does not block it indefinitely either: a task
// with an unknown cause is forgotten by the worker, and is gone once it is no longer listed.
func TestUnknownPhasesAndCausesProveNothingGone(t *testing.T) {
	fixture := newRegistryFixture(2)
	worker := fixture.placeAndLaunchAll(t)
	if fixture.reportAll(t, "pondering", ""); len(worker.Tasks) != 2 {
		t.Errorf("unknown phase: %d tasks on the machine, want 2", len(worker.Tasks))
	}
	commands := fixture.reportAll(t, "ended", "moonshine")
	if len(worker.Tasks) != 2 || len(commands) != 2 || commands[0].Verb != "forget" {
		t.Errorf("unknown cause: %d tasks on the machine, commands %+v, want 2 tasks and 2 forgets", len(worker.Tasks), commands)
	}
	clear(fixture.worker.tasks)
	if fixture.reportAll(t, "", ""); len(worker.Tasks) != 0 {
		t.Errorf("no longer listed: %d tasks on the machine, want 0", len(worker.Tasks))
	}
}
