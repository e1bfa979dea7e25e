package shard

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// TestNothingBecomesDurableOfARemovedRecord: the answer to a commit comes after the leader has
// removed the record that its tasks are of.
func TestNothingBecomesDurableOfARemovedRecord(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	task := node.place("vm-1")
	committed := service.Commit(service.Held[0])
	service.Commit(&statetest.Commit{Operations: []statestore.Operation{{DeleteKey: taskstate.RecordKey(0, jobID, 0)}}})
	service.Run(time.Second)
	if node.tasks.Job(jobID) != nil || task.State != taskstate.StateDropped {
		t.Fatalf("the record is not removed: %v", task.State)
	}
	service.Held[0].Answer(committed, nil)
	if len(node.durable) > 0 || task.PlacementDurable {
		t.Error("a placement became durable though its record is gone")
	}
	if page := node.tasks.writer.pages.page(0); page.current != 0 || page.inUse {
		t.Errorf("the page counts as the newest of %d tasks, in use %v, though its record is gone", page.current, page.inUse)
	}
}

// TestWaitingTasksOfACancelledJobAreDropped: they are closed, and never offered for placement.
func TestWaitingTasksOfACancelledJobAreDropped(t *testing.T) {
	_, node := newOwnerOf(t, userapi.Record{
		SubmittedMS: 1, Phase: userapi.PhaseCancelled, CancelledMS: 2, Spec: &jobs.Spec{ID: jobID, Shape: "array", Tasks: 2, CPUs: 1},
	})
	for index, task := range node.tasks.Job(jobID).Tasks {
		if task.State != taskstate.StateDropped {
			t.Errorf("task %d is %v", index, task.State)
		}
	}
	if len(node.waiting) > 0 {
		t.Errorf("%d tasks were offered for placement", len(node.waiting))
	}
}

// TestGangIsRecalledAsAWholeOrNotAtAll: and only while no attempt of it is under way.
func TestGangIsRecalledAsAWholeOrNotAtAll(t *testing.T) {
	for _, test := range []struct {
		name     string
		gang     taskstate.Gang
		count    int
		returned bool
	}{
		{"whole", taskstate.Gang{}, 2, true},
		{"in part", taskstate.Gang{}, 1, false},
		{"attempt under way", taskstate.Gang{Attempt: 1}, 2, false},
		{"done", taskstate.Gang{Done: true}, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, node := newOwnerOf(t, userapi.Record{SubmittedMS: 1, Spec: &jobs.Spec{ID: jobID, Shape: "gang", Tasks: 2, CPUs: 1}})
			job := node.tasks.Job(jobID)
			*job.Gang = test.gang
			node.tasks.RecallTasks(jobID, test.count)
			if open := job.OpenTasks(); (open == 0) != test.returned {
				t.Errorf("%d open tasks", open)
			}
		})
	}
}
