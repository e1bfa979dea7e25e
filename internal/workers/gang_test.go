package workers

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
)

// placeAll places all tasks of the bench's job on its machine and lets the worker
// launch them.
func (b *bench) placeAll(t *testing.T) *Worker {
	t.Helper()
	status, body := b.table.HandleHeartbeat(b.report())
	if status != 200 {
		t.Fatal(status)
	}
	b.hear(body, b.worker.shift, b.now)
	b.now += time.Second
	b.table.HandleHeartbeat(b.report())
	h := b.table.Worker("vm-1")
	for _, k := range b.job.Tasks {
		b.table.PlaceTask(k, h)
	}
	n := 0
	for _, k := range b.job.Tasks {
		k.PlacementDurable = true
		b.table.PlacementDurable(k)
		if n++; b.job.Gang != nil && n < len(b.job.Tasks) {
			if b.table.AfterBatch(); len(b.calls) > 0 {
				t.Fatal("launched before the last placement was durable")
			}
		}
	}
	b.table.AfterBatch()
	for len(b.calls) > 0 {
		c := b.calls[0]
		b.calls = b.calls[1:]
		c.fn(b.deliver(c), nil)
	}
	return h
}

// say reports the tasks in a state, and returns the orders of the answer.
func (b *bench) say(t *testing.T, phase, cause string) []Command {
	t.Helper()
	b.now += time.Second
	r := b.report()
	for i := range r.Tasks {
		r.Tasks[i].Phase, r.Tasks[i].Cause = phase, cause
	}
	status, body := b.table.HandleHeartbeat(r)
	var o CommandMessage
	if status != 200 || json.Unmarshal(body, &o) != nil {
		t.Fatal(status, string(body))
	}
	return o.Commands
}

func newGangBench(tasks int) *bench {
	b := newBench(tasks)
	b.job.Spec.Shape, b.job.Spec.Tasks, b.job.Gang = "gang", tasks, &taskstate.Gang{}
	return b
}

// TestUnknownWordsOccupy: a state or a reason that this version does not know
// never proves a task gone, nor does it keep the task for ever: one with an unknown
// reason is forgotten, and gone when it is off the list.
func TestUnknownWordsOccupy(t *testing.T) {
	b := newBench(2)
	h := b.placeAll(t)
	if b.say(t, "pondering", ""); len(h.Tasks) != 2 {
		t.Errorf("%d of 2 tasks occupy the machine in an unknown state", len(h.Tasks))
	}
	orders := b.say(t, "ended", "moonshine")
	if len(h.Tasks) != 2 || len(orders) != 2 || orders[0].Verb != "forget" {
		t.Errorf("%d tasks, orders %+v", len(h.Tasks), orders)
	}
	clear(b.worker.tasks)
	if b.say(t, "", ""); len(h.Tasks) != 0 {
		t.Error("off the list, they still occupy the machine")
	}
}

// TestGangCausesAreNoFaults: alone and mates_gone say nothing against the machine
// or the job, however often; a gang that was never complete is tried again after a
// pause that grows.
func TestGangCausesAreNoFaults(t *testing.T) {
	for _, cause := range []string{"alone", "mates_gone"} {
		b := newGangBench(3)
		b.phase = "fetching"
		var pause time.Duration
		for round := range 5 {
			h := b.placeAll(t)
			b.say(t, "waiting", "")
			b.say(t, "ended", cause)
			clear(b.worker.tasks)
			if h.DrainReason != "" || h.ConsecutiveFailures > 0 || b.job.ConsecutiveFailures > 0 {
				t.Fatalf("%s counts as a fault: %+v", cause, h)
			}
			if b.job.Gang.Attempt != 0 || len(h.Tasks) != 0 {
				t.Fatalf("%s: the attempt is not through", cause)
			}
			if wait := b.job.NotBefore - b.now; cause == "alone" {
				if round > 0 && wait <= pause {
					t.Errorf("round %d: a pause of %v after one of %v", round, wait, pause)
				}
				pause = wait
			}
			b.now += time.Minute
		}
	}
}

// TestOneDoneAllDone: one task of a gang proven done means that all are; those not
// heard of occupy their places until they are proven gone, and nothing is launched.
func TestOneDoneAllDone(t *testing.T) {
	b := newGangBench(3)
	h := b.placeAll(t)
	b.say(t, "running", "")
	b.now += time.Second
	r := b.report()
	done := 0
	for i := range r.Tasks {
		r.Tasks[i].Phase = "running"
		if done == 0 {
			r.Tasks[i].Phase, r.Tasks[i].Cause = "ended", "done"
			done++
		}
	}
	b.table.HandleHeartbeat(r)
	if !b.job.Gang.Done || len(h.Tasks) != 2 {
		t.Fatalf("done %v, %d tasks on the machine", b.job.Gang.Done, len(h.Tasks))
	}
	waiting := 0
	b.gone = func(*taskstate.Task) { waiting++ }
	b.now += b.table.set.WorkerLease() + time.Minute
	b.table.Tick() // the machine stays silent
	for _, k := range b.job.Tasks {
		if k.State != taskstate.StateDone {
			t.Errorf("task %d is in state %d", k.Index, k.State)
		}
	}
	if waiting > 0 || len(b.job.TasksToPlace()) > 0 {
		t.Error("something of it would be launched again")
	}
}
