package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/tuning"
)

// TestRefusals checks each reason for which a worker gets no tasks, and that its name is its own.
func TestRefusals(t *testing.T) {
	names := map[string]bool{}
	for refusal, cause := range map[Refusal]func(f *registryFixture, worker *Worker){
		RefusalNone:         func(*registryFixture, *Worker) {},
		RefusalNotReported:  func(_ *registryFixture, worker *Worker) { worker.HasReported = false },
		RefusalLeaseExpired: func(_ *registryFixture, worker *Worker) { worker.LeaseExpired = true },
		RefusalUnreachable:  func(f *registryFixture, worker *Worker) { worker.markUnreachable(f.now) },
		RefusalDrained:      func(f *registryFixture, _ *Worker) { f.closedByDrain = true },
		RefusalUnknownType:  func(_ *registryFixture, worker *Worker) { worker.MachineType = nil },
		RefusalUnknownTasks: func(_ *registryFixture, worker *Worker) { worker.UnknownTasks = 1 },
		RefusalEarlierToken: func(f *registryFixture, _ *Worker) { f.token++ },
		RefusalSilent:       func(f *registryFixture, _ *Worker) { f.now += time.Minute },
		RefusalFull:         func(f *registryFixture, worker *Worker) { worker.RefusesUntil = f.now + 1 },
		RefusalReportFull:   func(_ *registryFixture, worker *Worker) { worker.ended.waiting = tuning.MaxListedAttempts },
		RefusalUnanswered:   func(_ *registryFixture, worker *Worker) { worker.delivery.unansweredAt = worker.LastHeartbeatAt + 1 },
		RefusalZonePartitioned: func(f *registryFixture, worker *Worker) {
			zone := f.registry.ensureZone(worker.Zone)
			zone.reportingWorkers, zone.lastHeartbeatAt, f.registry.listeningSince = 100, 0, 0
			f.registry.ensureZone("other").lastHeartbeatAt = f.now
		},
	} {
		fixture := newRegistryFixture(1)
		worker := fixture.exchangeHeartbeats(t)
		cause(fixture, worker)
		if got := fixture.registry.Refusal(worker); got != refusal || fixture.registry.AcceptsTasks(worker) != (refusal == RefusalNone) {
			t.Errorf("refusal is %q, accepts tasks %v; want %q", got, fixture.registry.AcceptsTasks(worker), refusal)
		}
		names[refusal.String()] = true
	}
	if len(names) != len(refusalNames) {
		t.Errorf("%d of %d reasons are checked", len(names), len(refusalNames))
	}
}
