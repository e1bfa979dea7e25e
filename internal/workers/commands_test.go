package workers

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
)

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

// TestUnansweredOrderClosesMachine: a machine that has left an order unanswered
// gets no more tasks before it reports.
func TestUnansweredOrderClosesMachine(t *testing.T) {
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
		t.Fatalf("%d orders, open %v", len(fixture.calls), fixture.registry.AcceptsTasks(worker))
	}
	fixture.now += 2 * time.Second
	fixture.calls[0].fn(http1.Response{}, eventloop.ErrNoAnswer)
	if fixture.registry.AcceptsTasks(worker) {
		t.Error("it is given more")
	}
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat()) // which makes the table take a new token
	task.LaunchInDoubt = false                            // which settles it: tasks are read anew
	fixture.worker.token = fixture.token
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if !fixture.registry.AcceptsTasks(worker) {
		t.Error("it has reported and gets nothing")
	}
}
