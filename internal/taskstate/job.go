package taskstate

import (
	"time"

	"lemonmoor/internal/jobs"
)

// Job is a job with tasks in a shard, in the working copy of the shard's owner.
type Job struct {
	Spec        *jobs.Spec
	SubmittedMS int64 // milliseconds since 1970, by the accepting node's clock
	Rank        jobs.Rank
	Cancelled   bool
	// HasPlacedTask is set once a task of the job has been placed, by any owner.
	HasPlacedTask bool
	// Tasks maps the indexes of the job's tasks in the shard to the tasks, without those
	// returned to the leader.
	Tasks map[int]*Task
	// Groups maps the keys of the job's records in the shard to their working copies.
	Groups   map[string]*TaskGroup
	Failures Failures
	// NotBefore is the end of the pause after a gang's incomplete attempt.
	NotBefore time.Duration
	// Gang is nil if the job's tasks need not run at the same time.
	Gang *Gang
	// PartDoneElsewhere is set when a task of a divided gang is done in another shard.
	PartDoneElsewhere bool
}

// NewJob returns a job without tasks. withinQuota reports whether its team is within its
// guaranteed quota.
func NewJob(spec *jobs.Spec, submittedMS int64, withinQuota bool) *Job {
	return &Job{
		Spec: spec, SubmittedMS: submittedMS, Rank: jobs.NewRank(spec, submittedMS, withinQuota),
		Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{},
	}
}

// OpenTasks returns the number of the job's tasks in the shard that are waiting or placed.
func (j *Job) OpenTasks() int {
	open := 0
	for _, group := range j.Groups {
		open += group.OpenTasks
	}
	return open
}

// JobBefore reports whether a's rank is before b's.
func JobBefore(a, b *Job) bool { return a.Rank.Before(&b.Rank) }

// TaskGroup is the owner's working copy of a record.
type TaskGroup struct {
	Job    *Job
	Key    string // of the record
	Number int    // of the record
	Tasks  []*Task
	Zones  []string
	// OpenTasks is the number of tasks that are waiting or placed.
	OpenTasks int
	// GangAttempt and PartSize are those of the Record.
	GangAttempt uint64
	PartSize    int
}

// LoadRecord builds the owner's working copy of a record and adds it to its job. It marks the
// launch of every placement as sent, because an earlier token's owner may have sent it.
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
		if task.State.IsOpen() {
			group.OpenTasks++
		}
		group.Tasks[position] = task
		if task.State != StateReturned {
			job.Tasks[index] = task // a returned task may be in a later record again
		}
	}
	job.Groups[group.Key] = group
	return group
}

// load sets the fields of a new task from its stored status.
func (t *Task) load(status TaskStatus, logPage int) {
	t.State, t.Attempt, t.WorkerID = status.State, status.Attempt, status.WorkerID
	t.Observed.HasRun = status.Running
	t.Log = LogPosition{Page: logPage, Attempt: status.Attempt, State: status.State, Running: status.Running}
	t.DoneDurable = t.State == StateDone
	if t.State == StatePlaced {
		t.PlacementDurable = true
		t.Launch.Recover(0) // the registry's term sets the token
	}
}

// ZoneOf returns the zone that a task of a job is bound to, "" for any zone. With one zone
// all tasks share it; with several, tasks are assigned to them in rotation by index.
func ZoneOf(zones []string, taskIndex int) string {
	if len(zones) == 0 {
		return ""
	}
	return zones[taskIndex%len(zones)]
}
