package taskstate

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
)

// newGang returns a gang of which an owner has read the statuses, at a time of one minute.
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

// TestGangTasksAreLaunchedInAnOpenAttemptOnly: nothing is launched of an attempt that comes to
// nothing, or of one that may have started without a task that is gone.
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
				t.Errorf("%+v: launchable %v", test.gang, got)
			}
		})
	}
}

// TestTaskWithUnknownWorkersIsNotReplaced: the stored attempt tells that the task had other
// workers within the gang's attempt. They are not known under a new token, so one of them
// could get the task again.
func TestTaskWithUnknownWorkersIsNotReplaced(t *testing.T) {
	job := newGang(TaskStatus{State: StatePlaced, Attempt: 1024, WorkerID: "vm-1"}, TaskStatus{State: StatePlaced, Attempt: 1025, WorkerID: "vm-2"})
	if first, second := job.Tasks[0].Replaceable(), job.Tasks[1].Replaceable(); !first || second {
		t.Errorf("replaceable: %v and %v", first, second)
	}
}

// TestOnlyALaterHeartbeatSettlesADoubtfulStart: a heartbeat received at the time of the loss may
// be older than the loss.
func TestOnlyALaterHeartbeatSettlesADoubtfulStart(t *testing.T) {
	job := newGang(TaskStatus{}, TaskStatus{})
	for _, task := range job.Tasks {
		task.PlaceOn("vm-1")
	}
	lost := job.Tasks[0]
	lost.TakeOffWorker()
	job.TaskGone(lost, LossVanished, 2*time.Minute)
	if phase := job.Gang.Phase(); phase != GangStartInDoubt {
		t.Fatalf("after the loss: %v", phase)
	}
	if job.ReportedWaiting(2 * time.Minute); job.Gang.Phase() != GangStartInDoubt {
		t.Errorf("after a heartbeat at the time of the loss: %v", job.Gang.Phase())
	}
	if job.ReportedWaiting(2*time.Minute + 1); job.Gang.Phase() != GangAssembling {
		t.Errorf("after a later heartbeat: %v", job.Gang.Phase())
	}
}

// TestRecoveredGangPhase: what a new owner makes of a gang's stored statuses.
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
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
