package taskstate

import (
	"testing"

	"lemonmoor/internal/jobs"
)

// TestJobOrder checks the order of jobs: by priority, then objectives that can still be met,
// then quotas. Among jobs that are equal in these, smaller ones are first, so that more jobs
// meet their objectives under overload; jobs of about the same size are ordered by age.
func TestJobOrder(t *testing.T) {
	newJob := func(id, urgency string, missedObjectives int, withinQuota bool, taskCount int, submittedMS int64) *Job {
		job := NewJob(&jobs.Spec{ID: id, Urgency: urgency, Tasks: taskCount, CPUs: 1, EstimateSeconds: 10}, submittedMS, withinQuota)
		job.Rank.MissedObjectives = missedObjectives
		return job
	}
	ordered := []*Job{
		newJob("wk-1", "urgent", 0, true, 10, 50), newJob("wk-2", "urgent", 0, true, 200, 10), newJob("wk-3", "urgent", 0, true, 190, 20),
		newJob("wk-4", "urgent", 0, false, 5, 5), newJob("wk-5", "urgent", 1, true, 5, 1), newJob("wk-6", "standard", 0, true, 1, 1),
	}
	for i, a := range ordered {
		for k, b := range ordered {
			if JobBefore(a, b) != (i < k) {
				t.Errorf("%s before %s: %v, want %v", a.Spec.ID, b.Spec.ID, JobBefore(a, b), i < k)
			}
		}
	}
}

// TestReturnedTaskDoesNotHideTheOneInALaterRecord guards against losing a task that was
// returned to the leader and dispatched again: the records are read in no particular order,
// so the earlier one may be loaded last.
func TestReturnedTaskDoesNotHideTheOneInALaterRecord(t *testing.T) {
	job := NewJob(&jobs.Spec{ID: "wk-1", Tasks: 1}, 0, true)
	later := LoadRecord(job, NewRecord(0, "wk-1", 1, []int{0}, nil, nil))
	returned := NewRecord(0, "wk-1", 0, []int{0}, nil, nil)
	returned.Statuses[0].State = StateReturned
	LoadRecord(job, returned)
	if job.Tasks[0] != later.Tasks[0] {
		t.Errorf("the job's task is %v, want the one of the later record", job.Tasks[0].State)
	}
	if open := job.OpenTasks(); open != 1 {
		t.Errorf("%d open tasks, want 1", open)
	}
}
