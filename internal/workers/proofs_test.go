package workers

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// exchangeHeartbeats has the worker report and hear the answer, and then show the token.
func (f *registryFixture) exchangeHeartbeats(t *testing.T) *Worker {
	t.Helper()
	for range 2 {
		f.now += time.Second
		sent, heartbeat := f.now, f.heartbeat()
		status, body := f.registry.HandleHeartbeat(heartbeat)
		if status != 200 {
			t.Fatalf("answered %d", status)
		}
		f.receiveAnswer(body, heartbeat.Session, sent)
	}
	return f.registry.Worker("vm-1")
}

// placeTask gives a task to the machine; the placement is durable at once.
func (f *registryFixture) placeTask(index int) *taskstate.Task {
	task := f.job.Tasks[index]
	f.registry.PlaceTask(task, f.registry.Worker("vm-1"))
	task.PlacementDurable = true
	f.registry.PlacementDurable(task)
	return task
}

// takeDirectMessage lets the next direct order leave.
func (f *registryFixture) takeDirectMessage(t *testing.T) sentRequest {
	t.Helper()
	f.registry.AfterBatch()
	if len(f.calls) != 1 {
		t.Fatalf("%d direct orders", len(f.calls))
	}
	direct := f.calls[0]
	f.calls = nil
	return direct
}

// commandsOf are those of an answer to a heartbeat.
func commandsOf(t *testing.T, body []byte) []Command {
	t.Helper()
	var message CommandMessage
	if err := json.Unmarshal(body, &message); err != nil {
		t.Fatal(err)
	}
	return message.Commands
}

func hasVerb(list []Command, verb string) bool {
	return slices.ContainsFunc(list, func(command Command) bool { return command.Verb == verb })
}

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

// TestLateHeartbeatsAreDropped: one of the same session and an earlier sequence, or of an
// earlier session, is not answered and is no sign of life.
func TestLateHeartbeatsAreDropped(t *testing.T) {
	fixture := newRegistryFixture(1)
	old := fixture.heartbeat()
	worker := fixture.exchangeHeartbeats(t)
	fixture.worker.session, fixture.worker.sequence = 2, 0
	fixture.exchangeHeartbeats(t)
	heard := worker.LastHeartbeatAt
	fixture.now += time.Second
	for name, heartbeat := range map[string]*Heartbeat{
		"sequence": {WorkerID: "vm-1", Addr: "w:1", MachineType: "g8", Session: 2, Sequence: 1, Token: fixture.token},
		"session":  {WorkerID: "vm-1", Addr: "w:1", MachineType: "g8", Session: 1, Sequence: 99, Token: fixture.token},
		"copy":     old,
	} {
		if status, _ := fixture.registry.HandleHeartbeat(heartbeat); status != 503 || worker.LastHeartbeatAt != heard || worker.Session != 2 || worker.Sequence != 2 {
			t.Errorf("%s: answered %d, heard %v later, session %d, sequence %d", name, status, worker.LastHeartbeatAt-heard, worker.Session, worker.Sequence)
		}
	}
}

// TestHeartbeatOfANewerOwnersWorkerIsRefused: a worker that has seen a newer token has
// another owner.
func TestHeartbeatOfANewerOwnersWorkerIsRefused(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	heard := worker.LastHeartbeatAt
	fixture.now += time.Second
	fixture.worker.token = fixture.token + 1
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 503 || worker.LastHeartbeatAt != heard {
		t.Errorf("answered %d, heard %v later", status, worker.LastHeartbeatAt-heard)
	}
}

// TestReturnedMachineStaysGone: a heartbeat that was under way when the cloud took the
// machine back brings it back for nobody.
func TestReturnedMachineStaysGone(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	fixture.registry.MachineReleased("vm-1")
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 503 || fixture.registry.Worker("vm-1") != nil {
		t.Errorf("answered %d, known %v", status, fixture.registry.Worker("vm-1") != nil)
	}
}

// TestUnansweredLaunchStaysInDoubt: a launch without an answer may be carried out at any
// time until the worker has seen a higher token. A heartbeat that does not list the task
// proves nothing before.
func TestUnansweredLaunchStaysInDoubt(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.noNewToken = true // no new token yet
	fixture.exchangeHeartbeats(t)
	task := fixture.placeTask(0)
	direct := fixture.takeDirectMessage(t)
	direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if task.State != taskstate.StatePlaced || !task.LaunchInDoubt {
		t.Fatalf("state %v, in doubt %v", task.State, task.LaunchInDoubt)
	}
	fixture.deliverDirect(direct) // late
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if task.State != taskstate.StatePlaced || !task.Reported {
		t.Errorf("state %v, seen %v when it runs", task.State, task.Reported)
	}
}

// TestHeartbeatOlderThanTheLaunchProvesNothing: one that left before the launch was
// carried out, and arrives after the answer, does not list the task.
func TestHeartbeatOlderThanTheLaunchProvesNothing(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	task := fixture.placeTask(0)
	direct := fixture.takeDirectMessage(t)
	early := fixture.heartbeat()
	direct.fn(fixture.deliverDirect(direct), nil)
	if status, _ := fixture.registry.HandleHeartbeat(early); status != 200 || task.State != taskstate.StatePlaced {
		t.Errorf("answered %d, state %v", status, task.State)
	}
}

// TestOrderAnswerProvesNothingGone: the answer to an order may be newer than a heartbeat and
// yet older than the worker's reading of our reply to it, which carried a launch.
func TestOrderAnswerProvesNothingGone(t *testing.T) {
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
	direct := fixture.takeDirectMessage(t)
	direct.fn(fixture.deliverDirect(direct), nil) // does not list the first
	if first.State != taskstate.StatePlaced {
		t.Fatalf("state %v", first.State)
	}
	fixture.receiveAnswer(body, heartbeat.Session, sent)
	if len(fixture.worker.tasks) != 2 {
		t.Errorf("%d tasks run", len(fixture.worker.tasks))
	}
}

// TestOrderAnswersOfAnEarlierTokenAreDropped: the records have been read anew since; what an
// earlier order came to closes no machine and opens none for a second order at a time.
func TestOrderAnswersOfAnEarlierTokenAreDropped(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.exchangeHeartbeats(t)
	fixture.placeTask(0)
	late := fixture.takeDirectMessage(t)
	fixture.job.Tasks[0].State, fixture.job.Tasks[0].WorkerID = taskstate.StateWaiting, ""
	fixture.beginTerm()
	fixture.calls = nil // the announcement
	worker := fixture.exchangeHeartbeats(t)
	fixture.placeTask(1)
	fixture.takeDirectMessage(t)
	late.fn(http1.Response{}, eventloop.ErrNoAnswer)
	if !fixture.registry.AcceptsTasks(worker) || !worker.commands.inFlight {
		t.Errorf("open %v, an order is under way: %v", fixture.registry.AcceptsTasks(worker), worker.commands.inFlight)
	}
}

// TestOrderAnswersAreOfTheirMachineAndTime: an answer of another machine leaves the launch
// in doubt; one that a newer heartbeat has overtaken, or of another session, is not read.
func TestOrderAnswersAreOfTheirMachineAndTime(t *testing.T) {
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
			order := fixture.takeDirectMessage(t)
			fixture.deliverDirect(order)
			answer := fixture.heartbeat()
			answer.Tasks = append(answer.Tasks, ReportedTask{Name: "wk-1/7", Attempt: 1, Phase: "running"})
			test.do(fixture, answer)
			raw, err := json.Marshal(answer)
			if err != nil {
				t.Fatal(err)
			}
			order.fn(http1.Response{Status: 200, Body: raw}, nil)
			if worker.UnknownTasks > 0 || task.LaunchInDoubt != test.doubt {
				t.Errorf("tasks not on record: %d, in doubt: %v", worker.UnknownTasks, task.LaunchInDoubt)
			}
		})
	}
}

// TestOneDirectOrderAtATime: what is placed while an order is under way to the machine leaves
// when that is answered.
func TestOneDirectOrderAtATime(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.exchangeHeartbeats(t)
	fixture.placeTask(0)
	first := fixture.takeDirectMessage(t)
	fixture.placeTask(1)
	if fixture.registry.AfterBatch(); len(fixture.calls) > 0 {
		t.Fatal("a second order has left")
	}
	first.fn(fixture.deliverDirect(first), nil)
	fixture.takeDirectMessage(t)
}

// TestReportedTaskCountsWithItsAttempt: another attempt than the one on record is ended, and
// keeps the machine from other work until it is.
func TestReportedTaskCountsWithItsAttempt(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.LaunchSent, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 2, true, true
	fixture.registry.addTask(worker, task)
	fixture.worker.tasks[task.Name()] = 1
	fixture.now += time.Second
	_, body := fixture.registry.HandleHeartbeat(fixture.heartbeat())
	want := haltCommand(task.Name(), 1, 0)
	commands := commandsOf(t, body)
	if task.Reported || len(commands) != 1 || commands[0].Verb != want.Verb || commands[0].Attempt != 1 {
		t.Errorf("seen %v, told %+v", task.Reported, commands)
	}
	if fixture.registry.AcceptsTasks(worker) {
		t.Error("gets tasks beside one that is not on record")
	}
}

// TestSilentMachinesTasksWaitOutItsLease: also its drift and a margin.
func TestSilentMachinesTasksWaitOutItsLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	task := fixture.job.Tasks[0]
	lease := fixture.registry.settings.WorkerLease()
	fixture.now = fixture.registry.Worker("vm-1").LeaseRenewedAt + lease + lease*tuning.DriftPerMille/1000
	fixture.registry.Tick()
	if task.State != taskstate.StatePlaced {
		t.Fatal("called gone while its worker's clock may not have ended the lease")
	}
	fixture.now += tuning.WorkerLeaseMargin + time.Millisecond
	fixture.registry.Tick()
	if task.State != taskstate.StateWaiting {
		t.Error("never called gone")
	}
}

// TestNewOwnerCountsFromTheLastAnswer: also for a machine that this process has known for
// long, an earlier owner may answer for a while after the block has changed hands.
func TestNewOwnerCountsFromTheLastAnswer(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	fixture.previousOwnerAnswersUntil = fixture.now + 12*time.Second
	fixture.beginTerm()
	if want := fixture.previousOwnerAnswersUntil + fixture.registry.settings.WorkerLease(); fixture.registry.leaseExpiresAt(worker) < want {
		t.Errorf("its lease is taken to end %v early", want-fixture.registry.leaseExpiresAt(worker))
	}
}

// TestNewOwnerTakesPlacementsAsLaunched: what the records place under an earlier token may be
// on its machine.
func TestNewOwnerTakesPlacementsAsLaunched(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true
	fixture.beginTerm()
	worker := fixture.registry.Worker("vm-1")
	if !worker.Tasks[task] || task.Launchable() {
		t.Errorf("on its machine %v, may be launched once more: %v", worker.Tasks[task], task.Launchable())
	}
}

// TestNoTasksBeforeTheTokenIsShown: under a new token a machine gets tasks when it has shown
// that it knows the token.
func TestNoTasksBeforeTheTokenIsShown(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	fixture.beginTerm()
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if fixture.registry.AcceptsTasks(worker) {
		t.Error("gets tasks under a token that it has not seen")
	}
	if fixture.exchangeHeartbeats(t); !fixture.registry.AcceptsTasks(worker) {
		t.Error("gets none when it has")
	}
}

// TestNoOrdersWithoutAValidLease: an owner whose lease is not surely valid launches nothing,
// neither directly nor with an answer.
func TestNoOrdersWithoutAValidLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	fixture.placeTask(0)
	fixture.leaseInvalid = true
	if fixture.registry.AfterBatch(); len(fixture.calls) > 0 {
		t.Error("a direct order has left")
	}
	fixture.now += time.Second
	if _, body := fixture.registry.HandleHeartbeat(fixture.heartbeat()); len(commandsOf(t, body)) > 0 {
		t.Errorf("told %s", body)
	}
}

// TestLaunchNeedsANewerProof: a launch leaves only when it is proven, of a moment after the
// placement, that the job is not cancelled; neither directly nor with an answer.
func TestLaunchNeedsANewerProof(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	fixture.needsVerification, fixture.verifiedAt = true, fixture.now
	fixture.now += time.Millisecond
	fixture.placeTask(0)
	if fixture.registry.AfterBatch(); len(fixture.calls) > 0 {
		t.Error("a direct order has left")
	}
	fixture.now += time.Second
	if _, body := fixture.registry.HandleHeartbeat(fixture.heartbeat()); len(commandsOf(t, body)) > 0 {
		t.Errorf("told %s", body)
	}
	fixture.verifiedAt = fixture.now
	fixture.takeDirectMessage(t)
}

// TestMachineWithALongCancelledTaskIsNotAnswered: its lease would run on from the answer past
// the users' limit, whether the records have the task or only the worker's list.
func TestMachineWithALongCancelledTaskIsNotAnswered(t *testing.T) {
	for _, recorded := range []bool{true, false} {
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
	}
}

// TestOnlyTheTokenShowsThatADeafMachineHears: an answer under an earlier token is none to us.
func TestOnlyTheTokenShowsThatADeafMachineHears(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	worker.Deaf = true
	fixture.now += tuning.DeafProbeInterval
	fixture.registry.Tick()
	if len(fixture.calls) != 1 {
		t.Fatalf("%d questions", len(fixture.calls))
	}
	heartbeat := fixture.heartbeat()
	heartbeat.Token = fixture.token - 1
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	if fixture.calls[0].fn(http1.Response{Status: 409, Body: raw}, nil); !worker.Deaf {
		t.Error("counts as hearing")
	}
}

// TestAnnouncementsAnswer: it counts only if it is the machine's own, of its newest session
// and under the token announced.
func TestAnnouncementsAnswer(t *testing.T) {
	for name, change := range map[string]func(*Heartbeat){
		"":                   func(*Heartbeat) {},
		"of another machine": func(heartbeat *Heartbeat) { heartbeat.WorkerID = "vm-2" },
		"of another token":   func(heartbeat *Heartbeat) { heartbeat.Token-- },
		"of a session over":  func(heartbeat *Heartbeat) { heartbeat.Session-- },
	} {
		fixture := newRegistryFixture(1)
		fixture.worker.session = 2
		worker := fixture.exchangeHeartbeats(t)
		heard := worker.LastHeartbeatAt
		fixture.beginTerm()
		fixture.now += time.Second
		direct := fixture.takeDirectMessage(t)
		fixture.deliverDirect(direct)
		heartbeat := fixture.heartbeat()
		change(heartbeat)
		raw, err := json.Marshal(heartbeat)
		if err != nil {
			t.Fatal(err)
		}
		direct.fn(http1.Response{Status: 200, Body: raw}, nil)
		if counts := worker.LastHeartbeatAt > heard; counts != (name == "") {
			t.Errorf("answer %s counts: %v", name, counts)
		}
	}
}

// TestGiveBackLosesNothing: a machine is given back only when nothing is, or may be, on it,
// or when what is on it is lost already.
func TestGiveBackLosesNothing(t *testing.T) {
	notice := 60.0
	drained := func(fixture *registryFixture, worker *Worker) { fixture.registry.StopPlacements(worker.ID, "idle") }
	closed := func(fixture *registryFixture, _ *Worker) { fixture.closedByDrain = true }
	noticed := func(fixture *registryFixture, worker *Worker) {
		worker.TerminationAt = fixture.now + time.Duration(notice)*time.Second
	}
	for _, test := range []struct {
		name       string
		do         func(*registryFixture, *Worker)
		tasks      bool // on record
		unknown    bool // on the worker's list only
		silent, up int
		want       string
	}{
		{"in use", func(*registryFixture, *Worker) {}, false, false, 0, 1, ""},
		{"drained", drained, false, false, 0, 1, "idle"},
		{"drained, with a task", drained, true, false, 0, 1, ""},
		{"drained, with a task not on record", drained, false, true, 0, 1, ""},
		{"closed", closed, false, false, 0, 1, OperatorDrain},
		{"closed, with a task", closed, true, false, 0, 1, ""},
		{"closed, with a task not on record", closed, false, true, 0, 1, ""},
		{"closed, under a token not shown", func(fixture *registryFixture, worker *Worker) { closed(fixture, worker); fixture.beginTerm() }, false, false, 0, 1, ""},
		{"noticed", noticed, false, false, 0, 1, "taken by the cloud"},
		{"noticed, with a task", noticed, true, false, 0, 1, ""},
		{"noticed, with a task not on record", noticed, false, true, 0, 1, ""},
		{"noticed, about to go", func(fixture *registryFixture, worker *Worker) {
			noticed(fixture, worker)
			fixture.now = worker.TerminationAt
		}, true, false, 0, 1, "taken by the cloud"},
		{"silent, with a task", func(fixture *registryFixture, _ *Worker) { fixture.now += time.Hour }, true, false, 1, 9, ReleaseSilent},
		{"silent as most are", func(fixture *registryFixture, _ *Worker) { fixture.now += time.Hour }, true, false, 5, 9, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRegistryFixture(1)
			worker := fixture.exchangeHeartbeats(t)
			if test.tasks {
				fixture.placeTask(0)
			}
			if test.unknown {
				worker.UnknownTasks = 1
			}
			test.do(fixture, worker)
			if got := fixture.registry.ReleaseReason(worker, test.silent, test.up); got != test.want {
				t.Errorf("given back for %q, want %q", got, test.want)
			}
		})
	}
}

// TestHaltOfACancelledTaskIsRepeated: a direct order to end it may be lost, so it is sent again
// until the task is proven gone.
func TestHaltOfACancelledTaskIsRepeated(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.placeAndLaunchAll(t)
	task := fixture.job.Tasks[0]
	fixture.cancelledAt, fixture.job.Cancelled = fixture.now, true
	fixture.registry.CancelJob(fixture.job)
	for try := range 3 {
		direct := fixture.takeDirectMessage(t)
		var message CommandMessage
		if err := json.Unmarshal(direct.body, &message); err != nil || !hasVerb(message.Commands, "halt") {
			t.Fatalf("try %d: told %s", try, direct.body)
		}
		direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
		fixture.now += tuning.HaltRetryInterval
		fixture.registry.Tick()
	}
	direct := fixture.takeDirectMessage(t)
	direct.fn(fixture.deliverDirect(direct), nil)
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if task.State != taskstate.StateDropped {
		t.Errorf("state %v when it has ended", task.State)
	}
}
