package shard

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// TestLateCommitAnswerForRemovedRecordIsIgnored guards against reporting a placement durable, or
// retaining its log page, when the commit is answered after the leader has removed the
// task's record.
func TestLateCommitAnswerForRemovedRecordIsIgnored(t *testing.T) {
	service, node := newShardOwner(t, 1)
	service.Hold = writesLogPage
	task := node.place("vm-1")
	committed := service.Commit(service.Held[0])
	service.Commit(&statetest.Commit{Operations: []statestore.Operation{{DeleteKey: taskstate.RecordKey(0, jobID, 0)}}})
	service.Run(time.Second)
	if node.tasks.Job(jobID) != nil || task.State != taskstate.StateDropped {
		t.Fatalf("after the removal of the record: job present %v, task is %v, want absent and dropped", node.tasks.Job(jobID) != nil, task.State)
	}
	service.Held[0].Answer(committed, nil)
	if len(node.durable) > 0 || task.PlacementDurable {
		t.Errorf("removed record: %d placements reported durable, task durable %v, want none", len(node.durable), task.PlacementDurable)
	}
	if page := node.tasks.writer.pages.page(0); page.newestCount != 0 || page.inUse {
		t.Errorf("removed record: page 0 has %d newest statuses, in use %v, want 0 and false", page.newestCount, page.inUse)
	}
}

// TestWaitingTasksOfACancelledJobAreDropped checks that an owner that loads a cancelled job
// closes its waiting tasks and never announces them for placement.
func TestWaitingTasksOfACancelledJobAreDropped(t *testing.T) {
	_, node := newOwnerOfJob(t, userapi.Record{
		SubmittedMS: 1, Phase: userapi.PhaseCancelled, CancelledMS: 2, Spec: &jobs.Spec{ID: jobID, Shape: "array", Tasks: 2, CPUs: 1},
	})
	for index, task := range node.tasks.Job(jobID).Tasks {
		if task.State != taskstate.StateDropped {
			t.Errorf("task %d of the cancelled job is %v, want dropped", index, task.State)
		}
	}
	if len(node.waiting) > 0 {
		t.Errorf("%d tasks of the cancelled job announced for placement, want 0", len(node.waiting))
	}
}

// TestGangRecallIsAllOrNothing checks that a recall returns all tasks of a gang or none
// of them, and none if the gang is done or in an attempt.
func TestGangRecallIsAllOrNothing(t *testing.T) {
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
			_, node := newOwnerOfJob(t, userapi.Record{SubmittedMS: 1, Spec: &jobs.Spec{ID: jobID, Shape: "gang", Tasks: 2, CPUs: 1}})
			job := node.tasks.Job(jobID)
			*job.Gang = test.gang
			node.tasks.RecallTasks(jobID, test.count)
			if open := job.OpenTasks(); (open == 0) != test.returned {
				t.Errorf("recall of %d tasks left %d open, want all returned: %v", test.count, open, test.returned)
			}
		})
	}
}

// TestRecordRemovedUnderAFormerOwnerIsNoError guards against an alarm for a record that was removed
// rightly: a later owner had closed its tasks, which the former one has not learned yet.
func TestRecordRemovedUnderAFormerOwnerIsNoError(t *testing.T) {
	for _, former := range []bool{false, true} {
		service, node := newShardOwner(t, 1)
		node.place("vm-1")
		service.Run(time.Second)
		if former {
			service.AdvanceClock(time.Minute) // no renewal has been answered
		}
		node.tasks.RecordRemoved(node.store.Get(taskstate.RecordKey(0, jobID, 0)))
		if logged := node.errors.Len() > 0; logged == former {
			t.Errorf("former owner %v: error logged %v, want %v", former, logged, !former)
		}
	}
}

// TestRecordOfATaskThatALaterOwnerReturnedRaisesNoAlarm guards against an alarm at a former owner,
// whose copy of the records shows a further record before its copy of the leases shows the next owner.
func TestRecordOfATaskThatALaterOwnerReturnedRaisesNoAlarm(t *testing.T) {
	service, node := newShardOwner(t, 1)
	node.place("vm-1")
	service.Run(time.Second)
	service.AdvanceClock(tuning.LeaseTTL) // without a renewal
	record := taskstate.NewRecord(0, jobID, 1, []int{0}, nil, nil)
	node.tasks.RecordAdded(record)
	if violations := node.tasks.deps.Metrics.Violations(metrics.InvariantOneOpenRecord); violations != 0 {
		t.Errorf("%d violations of %s, want 0", violations, metrics.InvariantOneOpenRecord)
	}
}

// TestTaskInTwoOpenRecordsIsPlacedOnce guards against two working copies of a task, which would
// number their attempts apart and run at the same time.
func TestTaskInTwoOpenRecordsIsPlacedOnce(t *testing.T) {
	service, node := newShardOwner(t, 1)
	task := node.place("vm-1")
	value, err := taskstate.NewRecord(0, jobID, 1, []int{0}, nil, nil).Encode()
	if err != nil {
		t.Fatal(err)
	}
	waiting := len(node.waiting)
	service.Commit(&statetest.Commit{Operations: []statestore.Operation{{PutKey: taskstate.RecordKey(0, jobID, 1), Value: value}}})
	service.Run(time.Second)
	if violations := node.tasks.deps.Metrics.Violations(metrics.InvariantOneOpenRecord); violations != 1 {
		t.Errorf("%d violations of %s, want 1", violations, metrics.InvariantOneOpenRecord)
	}
	if len(node.waiting) != waiting || node.tasks.Job(jobID).Tasks[0] != task {
		t.Errorf("%d further tasks announced, the job's task replaced %v, want 0, false", len(node.waiting)-waiting, node.tasks.Job(jobID).Tasks[0] != task)
	}
}
