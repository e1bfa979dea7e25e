package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/taskstate"
)

// TestGangEndCausesAreNotFailures: alone and mates_gone say nothing against the machine
// or the job, however often; a gang that was never complete is tried again after a
// pause that grows.
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
				if worker.DrainReason != "" || worker.ConsecutiveFailures > 0 || fixture.job.ConsecutiveFailures > 0 {
					t.Fatalf("%s counts as a fault: %+v", cause, worker)
				}
				if fixture.job.Gang.Attempt != 0 || len(worker.Tasks) != 0 {
					t.Fatalf("%s: the attempt is not through", cause)
				}
				if wait := fixture.job.NotBefore - fixture.now; cause == "alone" {
					if attempt > 0 && wait <= pause {
						t.Errorf("round %d: a pause of %v after one of %v", attempt, wait, pause)
					}
					pause = wait
				}
				fixture.now += time.Minute
			}
		})
	}
}

// TestOneTaskDoneMeansTheGangIsDone: one task of a gang proven done means that all are; those not
// heard of occupy their places until they are proven gone, and nothing is launched.
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
