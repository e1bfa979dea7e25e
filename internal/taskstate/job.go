package taskstate

import (
	"time"

	"lemonmoor/internal/jobs"
)

// Job is a job of which a shard has tasks, in the working copy of the shard's owner.
type Job struct {
	Spec        *jobs.Spec
	SubmittedMS int64 // milliseconds since 1970, by the accepting node's clock
	Rank        jobs.Rank
	Cancelled   bool
	// HasPlacedTask is set once a task of the job was placed, under any owner.
	HasPlacedTask bool
	// Tasks holds the job's tasks in the shard by index, without those returned to the
	// leader.
	Tasks map[int]*Task
	// Groups holds the job's records in the shard by key.
	Groups map[string]*TaskGroup
	// ConsecutiveFailures counts failures of tasks in a row. NotBefore is the end of the
	// pause after them.
	ConsecutiveFailures int
	NotBefore           time.Duration
	// Gang is nil if the job's tasks need not run at the same time.
	Gang *Gang
	// PartDoneElsewhere is set when a task of a divided gang is done in another shard.
	PartDoneElsewhere bool
}

// NewJob returns a job without tasks. withinQuota tells whether its team is within its
// guaranteed quota.
func NewJob(spec *jobs.Spec, submittedMS int64, withinQuota bool) *Job {
	return &Job{
		Spec: spec, SubmittedMS: submittedMS, Rank: jobs.NewRank(spec, submittedMS, withinQuota),
		Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{},
	}
}

// OpenTasks counts the job's tasks in the shard that are waiting or placed.
func (j *Job) OpenTasks() int {
	open := 0
	for _, group := range j.Groups {
		open += group.OpenTasks
	}
	return open
}

// JobBefore reports whether one job's rank is before the other's.
func JobBefore(a, b *Job) bool { return a.Rank.Before(&b.Rank) }

// TaskGroup is the owner's working copy of a record.
type TaskGroup struct {
	Job    *Job
	Key    string // the record's
	Number int    // the record's
	Tasks  []*Task
	Zones  []string
	// OpenTasks counts the tasks that are waiting or placed.
	OpenTasks int
	// GangAttempt and PartSize are those of the Record.
	GangAttempt uint64
	PartSize    int
}

// LoadRecord makes the owner's working copy of a record and adds it to its job. Of every
// placement in it the launch may have been sent under an earlier token.
func LoadRecord(job *Job, record *Record) *TaskGroup {
	group := &TaskGroup{
		Job: job, Key: record.Key, Number: record.Number, Zones: record.Zones,
		GangAttempt: record.GangAttempt, PartSize: record.PartSize, Tasks: make([]*Task, len(record.TaskIndexes)),
	}
	tasks := make([]Task, len(record.TaskIndexes))
	for position, index := range record.TaskIndexes {
		task := &tasks[position]
		*task = Task{Job: job, Group: group, Index: index, Zone: ZoneOf(record.Zones, index)}
		task.load(record.Statuses[position], int(record.LogPages[position]))
		job.HasPlacedTask = job.HasPlacedTask || task.Attempt > 0 || task.State == StateDone
		if task.State == StateWaiting || task.State == StatePlaced {
			group.OpenTasks++
		}
		group.Tasks[position] = task
		if task.State != StateReturned {
			job.Tasks[index] = task // a returned task may have come back in a later record
		}
	}
	job.Groups[group.Key] = group
	return group
}

// load gives a new task the status that is stored of it.
func (t *Task) load(status TaskStatus, logPage int) {
	t.State, t.Attempt, t.WorkerID = status.State, status.Attempt, status.WorkerID
	t.Observed.HasRun, t.Log.Page = status.Running, logPage
	t.DoneDurable = t.State == StateDone
	if t.State == StatePlaced {
		t.PlacementDurable, t.Launch.Sent = true, true
	}
}

// ZoneOf returns the zone fixed for a task of a job, "" for any: with one zone all tasks
// share it, with several they take turns.
func ZoneOf(zones []string, taskIndex int) string {
	if len(zones) == 0 {
		return ""
	}
	return zones[taskIndex%len(zones)]
}
