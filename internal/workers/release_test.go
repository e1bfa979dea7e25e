package workers

import (
	"testing"
	"time"
)

// TestReleaseLosesNoTasks checks that a machine is released only if no task is or may be on it,
// or if the tasks on it are lost already.
func TestReleaseLosesNoTasks(t *testing.T) {
	notice := 60.0
	drained := func(fixture *registryFixture, worker *Worker) { fixture.registry.StopPlacements(worker.ID, "idle") }
	closed := func(fixture *registryFixture, _ *Worker) { fixture.closedByDrain = true }
	spotNotice := func(fixture *registryFixture, worker *Worker) {
		worker.TerminationAt = fixture.now + time.Duration(notice)*time.Second
	}
	for _, test := range []struct {
		name              string
		do                func(*registryFixture, *Worker)
		tasks             bool // there is a recorded task
		unknown           bool // the worker lists a task that is not recorded
		silent, reporting int
		want              string
	}{
		{"not drained", func(*registryFixture, *Worker) {}, false, false, 0, 1, ""},
		{"drained", drained, false, false, 0, 1, "idle"},
		{"drained, with a task", drained, true, false, 0, 1, ""},
		{"drained, with an unrecorded task", drained, false, true, 0, 1, ""},
		{"closed by a drain", closed, false, false, 0, 1, OperatorDrain},
		{"closed by a drain, with a task", closed, true, false, 0, 1, ""},
		{"closed by a drain, with an unrecorded task", closed, false, true, 0, 1, ""},
		{"closed by a drain, token not acknowledged", func(fixture *registryFixture, worker *Worker) { closed(fixture, worker); fixture.beginTerm() }, false, false, 0, 1, ""},
		{"spot notice", spotNotice, false, false, 0, 1, "taken by the cloud"},
		{"spot notice, with a task", spotNotice, true, false, 0, 1, ""},
		{"spot notice, with an unrecorded task", spotNotice, false, true, 0, 1, ""},
		{"spot notice, about to terminate", func(fixture *registryFixture, worker *Worker) {
			spotNotice(fixture, worker)
			fixture.now = worker.TerminationAt
		}, true, false, 0, 1, "taken by the cloud"},
		{"silent, with a task", func(fixture *registryFixture, _ *Worker) { fixture.now += time.Hour }, true, false, 1, 9, ReleaseSilent},
		{"silent, like most workers", func(fixture *registryFixture, _ *Worker) { fixture.now += time.Hour }, true, false, 5, 9, ""},
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
			if got := fixture.registry.ReleaseReason(worker, test.silent, test.reporting); got != test.want {
				t.Errorf("release reason %q, want %q", got, test.want)
			}
		})
	}
}

// TestStateServiceOutageDoesNotMakeWorkersSuspect checks that workers do not count as silent
// after an outage of the state service that outlasts the answer grace period. During it
// heartbeats are rejected; if that counted as silence, the machines would be returned with
// their tasks at its end.
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
		t.Error("3 s after the end of the outage: the worker counts as suspect")
	}
	fixture.now += fixture.registry.settings.WorkerDeadAfter()
	if !fixture.registry.IsSuspect(worker) {
		t.Error("silent since the end of the outage: the worker does not count as suspect")
	}
}
