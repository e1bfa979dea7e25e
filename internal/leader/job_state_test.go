package leader

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
)

// TestTaskQueueLosesNoTask guards against tasks that are lost or dispatched twice when tasks
// are popped and returned in any order, and against at and pop disagreeing on the order.
func TestTaskQueueLosesNoTask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 30).Draw(t, "tasks")
		queue := taskQueue{total: total, attempts: map[int]uint64{}}
		dispatched := map[int]bool{}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			if len(dispatched) > 0 && rapid.Bool().Draw(t, "return") {
				index := rapid.IntRange(0, total-1).Draw(t, "task")
				if dispatched[index] {
					delete(dispatched, index)
					queue.requeue(index, 1)
				}
				continue
			}
			if queue.length() == 0 {
				continue
			}
			next, last, length := queue.at(0), queue.at(queue.length()-1), queue.length()
			index, _ := queue.pop()
			if index != next || dispatched[index] || last >= total {
				t.Fatalf("pop returned task %d (popped before: %v), at(0) %d; the last task in the queue is %d, want one below %d", index, dispatched[index], next, last, total)
			}
			if queue.length() != length-1 {
				t.Fatalf("queue length after pop is %d, want %d", queue.length(), length-1)
			}
			dispatched[index] = true
		}
		if queue.length()+len(dispatched) != total || !slices.IsSorted(queue.returned) {
			t.Fatalf("%d tasks queued and %d dispatched, want %d in total; returned tasks are %v, want them sorted", queue.length(), len(dispatched), total, queue.returned)
		}
	})
}

func TestJobIsComplete(t *testing.T) {
	for name, test := range map[string]struct {
		shape      jobs.Shape
		cancelled  bool
		open, done int
		complete   bool
	}{
		"all done":                     {"array", false, 0, 3, true},
		"one left":                     {"array", false, 0, 2, false},
		"done, but counted as open":    {"array", false, 1, 3, false},
		"services never end":           {"daemon", false, 0, 3, false},
		"cancelled, all written off":   {"array", true, 0, 0, true},
		"cancelled, one on a machine":  {"array", true, 1, 2, false},
		"cancelled service":            {"daemon", true, 0, 0, true},
		"cancelled service on machine": {"daemon", true, 3, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			job := &jobState{
				spec: &jobs.Spec{Shape: test.shape, Tasks: 3}, cancelled: test.cancelled,
				counts: taskCounts{open: test.open, done: test.done},
			}
			if got := job.isComplete(); got != test.complete {
				t.Errorf("isComplete() = %v, want %v", got, test.complete)
			}
		})
	}
}

func TestRecallsAreTakenOnceInOrder(t *testing.T) {
	recalls := recallRequests{}
	recalls.ofShard(1)["wk-2"] += 3
	recalls.ofShard(1)["wk-1"] = 5
	recalls.ofShard(0)["wk-9"] = 1
	if got, want := recalls.pop(1), []fleet.Recall{{Job: "wk-1", Tasks: 5}, {Job: "wk-2", Tasks: 3}}; !slices.Equal(got, want) {
		t.Errorf("pop(1) = %v, want %v", got, want)
	}
	if got := recalls.pop(1); len(got) > 0 {
		t.Errorf("second pop(1) = %v, want no requests", got)
	}
	if got := recalls.pop(0); len(got) != 1 {
		t.Errorf("pop(0) after pop(1) = %v, want one request", got)
	}
}

func TestRoundsAreSpaced(t *testing.T) {
	pacing := pacing{}
	pacing.setMachineCount(1000)
	if wait := pacing.untilNextRound(time.Hour); wait != 0 {
		t.Errorf("the first round waits %v, want 0", wait)
	}
	pacing.lastRoundAt = time.Hour
	if wait := pacing.untilNextRound(time.Hour + 15*time.Millisecond); wait != 60*time.Millisecond {
		t.Errorf("15ms after a round, the next one waits %v, want 60ms of the interval of 75ms", wait)
	}
	if wait := pacing.untilNextRound(time.Hour + time.Minute); wait != 0 {
		t.Errorf("an overdue round waits %v, want 0", wait)
	}
}
