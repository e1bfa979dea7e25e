package placement

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// TestPassedOverTasksAreReported checks that a task that waits beside a machine with room is reported
// with the reason, once for each interval, and one for which there is no room is not.
func TestPassedOverTasksAreReported(t *testing.T) {
	for _, test := range []struct {
		name   string
		cause  func(f *plannerFixture, job *taskstate.Job)
		reason Exclusion
	}{
		{"avoided", func(f *plannerFixture, job *taskstate.Job) {
			job.Failures.Record(&taskstate.Task{WorkerID: f.machines[0].ID}, f.now+tuning.PassedOverAfter)
		}, ExclusionAvoided},
		{"paused", func(_ *plannerFixture, job *taskstate.Job) { job.NotBefore = 2 * time.Hour }, ExclusionPaused},
		{"held", func(f *plannerFixture, _ *taskstate.Job) {
			f.machines[0].Hold = workers.Hold{JobID: "wk-9", MinPriority: jobs.PriorityCritical}
		}, ExclusionHeld},
		{"reserved", func(f *plannerFixture, _ *taskstate.Job) { f.machines[0].Reserved = resource.Vector{CPUs: 3} }, ExclusionReserved},
		{"no room", func(f *plannerFixture, _ *taskstate.Job) { f.machines[0].Used = resource.Vector{CPUs: 3} }, ExclusionNone},
		{"not allowed", func(_ *plannerFixture, job *taskstate.Job) { job.Spec.Zone = "b" }, ExclusionNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newPlannerFixture(small)
			task := fixture.addJob(1, "standard", "x", 2, 1)[0]
			task.Queue.Queued = true
			fixture.extraQueue, fixture.arrivals = taskQueue{task}, nil
			test.cause(fixture, task.Job)
			if early := fixture.PassedOver(fixture.machines, fixture.now); len(early) > 0 {
				t.Errorf("reported before it has waited for %v: %v", tuning.PassedOverAfter, early)
			}
			fixture.now += tuning.PassedOverAfter
			passed := fixture.PassedOver(fixture.machines, fixture.now)
			if got := len(passed) == 1 && passed[0].Reason == test.reason && passed[0].Task == task; got != (test.reason != ExclusionNone) {
				t.Errorf("reported %+v, want reason %q", passed, test.reason)
			}
			if again := fixture.PassedOver(fixture.machines, fixture.now+tuning.PassedOverInterval/2); len(again) > 0 {
				t.Errorf("reported again too early: %+v", again)
			}
		})
	}
}
