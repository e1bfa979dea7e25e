package workers

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
)

// placeAndLaunchAll places all tasks of the bench's job on its machine and lets the worker
// launch them.
func (f *registryFixture) placeAndLaunchAll(t *testing.T) *Worker {
	t.Helper()
	status, body := f.registry.HandleHeartbeat(f.heartbeat())
	if status != 200 {
		t.Fatal(status)
	}
	f.receiveAnswer(body, f.worker.session, f.now)
	f.now += time.Second
	f.registry.HandleHeartbeat(f.heartbeat())
	worker := f.registry.Worker("vm-1")
	for _, task := range f.job.Tasks {
		f.registry.PlaceTask(task, worker)
	}
	n := 0
	for _, task := range f.job.Tasks {
		task.PlacementDurable = true
		f.registry.PlacementDurable(task)
		if n++; f.job.Gang != nil && n < len(f.job.Tasks) {
			if f.registry.AfterBatch(); len(f.calls) > 0 {
				t.Fatal("launched before the last placement was durable")
			}
		}
	}
	f.registry.AfterBatch()
	for len(f.calls) > 0 {
		direct := f.calls[0]
		f.calls = f.calls[1:]
		direct.fn(f.deliverDirect(direct), nil)
	}
	return worker
}

// reportAll reports the tasks in a state, and returns the orders of the answer.
func (f *registryFixture) reportAll(t *testing.T, phase, cause string) []Command {
	t.Helper()
	f.now += time.Second
	heartbeat := f.heartbeat()
	for i := range heartbeat.Tasks {
		heartbeat.Tasks[i].Phase, heartbeat.Tasks[i].Cause = phase, cause
	}
	status, body := f.registry.HandleHeartbeat(heartbeat)
	var message CommandMessage
	if status != 200 || json.Unmarshal(body, &message) != nil {
		t.Fatal(status, string(body))
	}
	return message.Commands
}

func newGangFixture(tasks int) *registryFixture {
	fixture := newRegistryFixture(tasks)
	fixture.job.Spec.Shape, fixture.job.Spec.Tasks, fixture.job.Gang = "gang", tasks, &taskstate.Gang{}
	return fixture
}

// TestUnknownWordsOccupy: a state or a reason that this version does not know
// never proves a task gone, nor does it keep the task for ever: one with an unknown
// reason is forgotten, and gone when it is off the list.
func TestUnknownWordsOccupy(t *testing.T) {
	fixture := newRegistryFixture(2)
	worker := fixture.placeAndLaunchAll(t)
	if fixture.reportAll(t, "pondering", ""); len(worker.Tasks) != 2 {
		t.Errorf("%d of 2 tasks occupy the machine in an unknown state", len(worker.Tasks))
	}
	orders := fixture.reportAll(t, "ended", "moonshine")
	if len(worker.Tasks) != 2 || len(orders) != 2 || orders[0].Verb != "forget" {
		t.Errorf("%d tasks, orders %+v", len(worker.Tasks), orders)
	}
	clear(fixture.worker.tasks)
	if fixture.reportAll(t, "", ""); len(worker.Tasks) != 0 {
		t.Error("off the list, they still occupy the machine")
	}
}

// TestGangCausesAreNoFaults: alone and mates_gone say nothing against the machine
// or the job, however often; a gang that was never complete is tried again after a
// pause that grows.
func TestGangCausesAreNoFaults(t *testing.T) {
	for _, cause := range []string{"alone", "mates_gone"} {
		fixture := newGangFixture(3)
		fixture.phase = "fetching"
		var pause time.Duration
		for round := range 5 {
			worker := fixture.placeAndLaunchAll(t)
			fixture.reportAll(t, "waiting", "")
			fixture.reportAll(t, "ended", cause)
			clear(fixture.worker.tasks)
			if worker.DrainReason != "" || worker.ConsecutiveFailures > 0 || fixture.job.ConsecutiveFailures > 0 {
				t.Fatalf("%s counts as a fault: %+v", cause, worker)
			}
			if fixture.job.Gang.Attempt != 0 || len(worker.Tasks) != 0 {
				t.Fatalf("%s: the attempt is not through", cause)
			}
			if wait := fixture.job.NotBefore - fixture.now; cause == "alone" {
				if round > 0 && wait <= pause {
					t.Errorf("round %d: a pause of %v after one of %v", round, wait, pause)
				}
				pause = wait
			}
			fixture.now += time.Minute
		}
	}
}

// TestOneDoneAllDone: one task of a gang proven done means that all are; those not
// heard of occupy their places until they are proven gone, and nothing is launched.
func TestOneDoneAllDone(t *testing.T) {
	fixture := newGangFixture(3)
	worker := fixture.placeAndLaunchAll(t)
	fixture.reportAll(t, "running", "")
	fixture.now += time.Second
	heartbeat := fixture.heartbeat()
	done := 0
	for i := range heartbeat.Tasks {
		heartbeat.Tasks[i].Phase = "running"
		if done == 0 {
			heartbeat.Tasks[i].Phase, heartbeat.Tasks[i].Cause = "ended", "done"
			done++
		}
	}
	fixture.registry.HandleHeartbeat(heartbeat)
	if !fixture.job.Gang.Done || len(worker.Tasks) != 2 {
		t.Fatalf("done %v, %d tasks on the machine", fixture.job.Gang.Done, len(worker.Tasks))
	}
	waiting := 0
	fixture.onTaskWaiting = func(*taskstate.Task) { waiting++ }
	fixture.now += fixture.registry.settings.WorkerLease() + time.Minute
	fixture.registry.Tick() // the machine stays silent
	for _, task := range fixture.job.Tasks {
		if task.State != taskstate.StateDone {
			t.Errorf("task %d is in state %d", task.Index, task.State)
		}
	}
	if waiting > 0 || len(fixture.job.TasksToPlace()) > 0 {
		t.Error("something of it would be launched again")
	}
}
