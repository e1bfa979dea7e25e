package taskstate

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
)

// newGang returns a gang as recovered by an owner from its tasks' statuses at time 1 minute.
func newGang(statuses ...TaskStatus) *Job {
	job := &Job{
		Spec: &jobs.Spec{ID: "wk-1", Shape: "gang", Tasks: len(statuses)}, Gang: &Gang{},
		Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{},
	}
	indexes := make([]int, len(statuses))
	for i := range indexes {
		indexes[i] = i
	}
	record := NewRecord(0, "wk-1", 0, indexes, nil, nil)
	copy(record.Statuses, statuses)
	LoadRecord(job, record)
	job.RecoverGang(time.Minute)
	return job
}

// TestGangTasksAreLaunchedInAnOpenAttemptOnly guards against launching tasks of an attempt
// that has ended, or of one that may have started before one of its tasks was lost.
func TestGangTasksAreLaunchedInAnOpenAttemptOnly(t *testing.T) {
	for _, test := range []struct {
		gang Gang
		want bool
	}{
		{Gang{Attempt: 1}, true},
		{Gang{Attempt: 1, StartInDoubtSince: 1}, false},
		{Gang{Attempt: 1, AttemptOver: true}, false},
		{Gang{Attempt: 1, Done: true}, false},
		{Gang{Attempt: 2}, false},
	} {
		t.Run(test.gang.Phase().String(), func(t *testing.T) {
			job := newGang(TaskStatus{}, TaskStatus{})
			for _, task := range job.Tasks {
				task.PlaceOn("vm-1")
				task.PlacementDurable = true
			}
			*job.Gang = test.gang
			if got := job.Tasks[0].Launchable(); got != test.want {
				t.Errorf("gang %+v: launchable %v, want %v", test.gang, got, test.want)
			}
		})
	}
}

// TestTaskWithUnknownWorkersIsNotReplaced guards against assigning a task to a worker that
// already had it within the gang's attempt. The stored attempt number shows that there were
// other workers, but their names are unknown under a new token.
func TestTaskWithUnknownWorkersIsNotReplaced(t *testing.T) {
	job := newGang(TaskStatus{State: StatePlaced, Attempt: 1024, WorkerID: "vm-1"}, TaskStatus{State: StatePlaced, Attempt: 1025, WorkerID: "vm-2"})
	if first, second := job.Tasks[0].Replaceable(), job.Tasks[1].Replaceable(); !first || second {
		t.Errorf("first placement replaceable: %v, want true; second placement replaceable: %v, want false", first, second)
	}
}

// TestOnlyALaterHeartbeatResolvesStartInDoubt guards against treating a gang as not started
// because of a heartbeat received at the time of a loss: it may have been sent before the loss.
func TestOnlyALaterHeartbeatResolvesStartInDoubt(t *testing.T) {
	job := newGang(TaskStatus{}, TaskStatus{})
	for _, task := range job.Tasks {
		task.PlaceOn("vm-1")
	}
	lost := job.Tasks[0]
	lost.TakeOffWorker()
	job.TaskGone(lost, LossVanished, 2*time.Minute)
	if phase := job.Gang.Phase(); phase != GangStartInDoubt {
		t.Fatalf("after the loss: phase %v, want %v", phase, GangStartInDoubt)
	}
	if job.ReportedWaiting(2 * time.Minute); job.Gang.Phase() != GangStartInDoubt {
		t.Errorf("after a heartbeat at the time of the loss: phase %v, want %v", job.Gang.Phase(), GangStartInDoubt)
	}
	if job.ReportedWaiting(2*time.Minute + 1); job.Gang.Phase() != GangAssembling {
		t.Errorf("after a later heartbeat: phase %v, want %v", job.Gang.Phase(), GangAssembling)
	}
}

// TestRecoveredGangPhase checks the phase that a new owner derives from a gang's stored
// statuses.
func TestRecoveredGangPhase(t *testing.T) {
	placed := TaskStatus{State: StatePlaced, Attempt: 2048, WorkerID: "vm-1"}
	running := TaskStatus{State: StatePlaced, Attempt: 2048, WorkerID: "vm-1", Running: true}
	for _, test := range []struct {
		name        string
		first, last TaskStatus
		want        GangPhase
	}{
		{"never placed", TaskStatus{}, TaskStatus{}, GangIdle},
		{"earlier attempt over", TaskStatus{Attempt: 1024}, TaskStatus{Attempt: 1024}, GangIdle},
		{"all placed", placed, placed, GangAssembling},
		{"placed in part", placed, TaskStatus{Attempt: 1024}, GangStartInDoubt},
		{"lost within the attempt", placed, TaskStatus{Attempt: 2048}, GangEnded},
		{"running", running, running, GangRunning},
		{"running in part", running, TaskStatus{Attempt: 1024}, GangEnded},
		{"of two attempts", placed, TaskStatus{State: StatePlaced, Attempt: 1024, WorkerID: "vm-2"}, GangEnded},
		{"done in part", placed, TaskStatus{State: StateDone}, GangDone},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := newGang(test.first, test.last).Gang.Phase(); got != test.want {
				t.Errorf("recovered phase %v, want %v", got, test.want)
			}
		})
	}
}
