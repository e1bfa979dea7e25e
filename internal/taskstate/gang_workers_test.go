package taskstate

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
)

// TestNextAttemptOfAGangMayUseTheSameWorkers guards against a gang that waits for ever beside the
// only machines, because its tasks were on them in an earlier attempt.
func TestNextAttemptOfAGangMayUseTheSameWorkers(t *testing.T) {
	job := NewJob(&jobs.Spec{ID: "wk-1", Shape: "gang", Tasks: 2}, 0, true)
	job.Gang = &Gang{}
	LoadRecord(job, NewRecord(0, "wk-1", 0, []int{0, 1}, nil, nil))
	for _, task := range job.Tasks {
		task.PlaceOn("vm-1")
	}
	for _, task := range job.Tasks {
		task.TakeOffWorker()
		job.TaskGone(task, LossExited, time.Hour)
	}
	for _, task := range job.TasksToPlace() {
		if len(task.Tried.Workers) > 0 {
			t.Errorf("%s of the next attempt may not be placed on %v", task.Name(), task.Tried.Workers)
		}
	}
	if count := len(job.TasksToPlace()); count != 2 {
		t.Errorf("%d tasks to place, want 2", count)
	}
}
