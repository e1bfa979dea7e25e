package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
)

// TestGangEndCausesAreNotFailures checks that the causes alone and mates_gone never count as
// failures of the machine or the job, even if repeated, and that a gang that was never complete
// is retried after increasing pauses.
func TestGangEndCausesAreNotFailures(t *testing.T) {
	for _, cause := range []EndCause{CauseAlone, CauseMatesGone} {
		t.Run(string(cause), func(t *testing.T) {
			fixture := newGangFixture(3)
			fixture.phase = "fetching"
			var pause time.Duration
			for attempt := range 5 {
				worker := fixture.placeAndLaunchAll(t)
				fixture.reportAll(t, "waiting", "")
				fixture.reportAll(t, "ended", cause)
				clear(fixture.worker.tasks)
				if worker.DrainReason != "" || worker.ConsecutiveFailures > 0 || fixture.job.Failures.Rounds > 0 {
					t.Fatalf("cause %s counts as a failure: job failures %d, worker %+v", cause, fixture.job.Failures.Rounds, worker)
				}
				if fixture.job.Gang.Attempt != 0 || len(worker.Tasks) != 0 {
					t.Fatalf("cause %s: attempt %d with %d tasks on the machine, want no attempt and no tasks", cause, fixture.job.Gang.Attempt, len(worker.Tasks))
				}
				if wait := fixture.job.NotBefore - fixture.now; cause == "alone" {
					if attempt > 0 && wait <= pause {
						t.Errorf("attempt %d: pause of %v, want longer than the previous %v", attempt, wait, pause)
					}
					pause = wait
				}
				fixture.now += time.Minute
			}
		})
	}
}

// TestOneTaskDoneMeansTheGangIsDone checks that the completion of one task of a gang completes
// the gang, that the other tasks occupy the machine until they are proven gone, and that none
// of them is launched again.
func TestOneTaskDoneMeansTheGangIsDone(t *testing.T) {
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
		t.Fatalf("after one task completed: gang done %v, %d tasks on the machine, want true, 2", fixture.job.Gang.Done, len(worker.Tasks))
	}
	waiting := 0
	fixture.onTaskWaiting = func(*taskstate.Task) { waiting++ }
	fixture.now += fixture.registry.settings.WorkerLease() + time.Minute
	fixture.registry.Tick() // the machine stays silent
	for _, task := range fixture.job.Tasks {
		if task.State != taskstate.StateDone {
			t.Errorf("after the worker's lease expired: task %d in state %v, want %v", task.Index, task.State, taskstate.StateDone)
		}
	}
	if waiting > 0 || len(fixture.job.TasksToPlace()) > 0 {
		t.Errorf("after the gang completed: %d tasks became waiting, %d to place, want 0, 0", waiting, len(fixture.job.TasksToPlace()))
	}
}
