package workers

import (
	"testing"
	"time"
)

// TestReleaseLosesNoTasks: a machine is released only when nothing is, or may be, on it,
// or when what is on it is lost already.
func TestReleaseLosesNoTasks(t *testing.T) {
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
				t.Errorf("released for %q, want %q", got, test.want)
			}
		})
	}
}

// TestStateServiceOutageDoesNotMakeWorkersSuspect guards against a fault of a day with an outage of the
// state service that outlasted the answer grace period: heartbeats were turned away, and at its
// end the machines counted as silent and were returned with their tasks.
func TestStateServiceOutageDoesNotMakeWorkersSuspect(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	worker := fixture.registry.Worker("vm-1")
	for range 30 {
		fixture.now += time.Second
		fixture.rejectsHeartbeats = true
		fixture.registry.Tick()
	}
	fixture.rejectsHeartbeats = false
	fixture.now += 3 * time.Second
	fixture.registry.Tick()
	if fixture.registry.IsSuspect(worker) {
		t.Error("a machine counts as silent that nobody listened to")
	}
	fixture.now += fixture.registry.settings.WorkerDeadAfter()
	if !fixture.registry.IsSuspect(worker) {
		t.Error("it has not reported since, and does not count as silent")
	}
}
