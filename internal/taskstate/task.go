package taskstate

import (
	"strconv"
	"time"

	"lemonmoor/internal/jobs"
)

// State of a task, for the block's owner.
type State uint8

const (
	// StateWaiting: on no machine.
	StateWaiting State = iota
	// StatePlaced: given to a machine, or may still be on one.
	StatePlaced
	// StateDone: completed.
	StateDone
	// StateDropped: will not run here, and is on no machine.
	StateDropped
	// StateReturned to the leader, and on no machine.
	StateReturned
)

// Task is one task that has been handed to a block.
type Task struct {
	Job   *Job
	Group *TaskGroup
	Index int
	State State
	// LogPage of the log that tells of it, -1 for none; Dirty: it has changed since.
	LogPage      int
	Dirty        bool
	LoggedCommit uint64 // the newest commit that has told of it
	// Attempt is the last one used; attempts are never used twice. See Try.
	Attempt uint64
	// WorkerID is the machine that has, or may have, the task while it is Placed.
	WorkerID string

	// PlacedAt is when the task was placed: its launch needs a later proof that its job
	// is not cancelled. Halted is when it was last ordered to end because it is.
	PlacedAt, CancelHaltSentAt time.Duration

	// PlacementDurable: the placement is committed, so the launch may be sent.
	PlacementDurable bool
	// DoneDurable: the completion is committed, so the machine may forget it.
	DoneDurable bool
	// LaunchSent: a launch has left, or may have left under an earlier token. Each
	// launch leaves in exactly one message.
	LaunchSent bool
	// LaunchInFlight: that message is a direct order not answered yet.
	LaunchInFlight bool
	// LaunchInDoubt: it is a direct order that got no answer. It may be carried out
	// any time until the worker has seen a higher token.
	LaunchInDoubt bool
	// A report that does not list the task proves it gone only at GoneMinToken
	// or higher and, within the session Session, after Sequence.
	GoneMinToken, GoneSession, GoneAfterSequence uint64
	// Reported: listed in a report.
	Reported        bool
	Running         bool
	HasImage        bool          // it has its image: it runs, or waits for its gang
	HasRun          bool          // of a gang: seen running under this attempt; stored
	RunningSince    time.Duration // when it was first seen running
	HaltDecided     bool          // a halt has been decided
	WindDownSeconds float64
	HaltSent        bool // a direct message with the halt has left

	// Of a gang: the machines that have had the task within the attempt, and
	// whether there are others, not known any more.
	TriedWorkers           []string
	TriedWorkersIncomplete bool

	// For the queues.
	Queued      bool
	EnqueuedAt  time.Duration
	NotBefore   time.Duration
	AvoidWorker string // a machine that failed it
	Zone        string // fixed at hand-out, "" for any
}

// Name names a task on the wire.
func (t *Task) Name() string { return t.Job.Spec.ID + "/" + strconv.Itoa(t.Index) }

// Halt decides that the task is to be halted, with so many seconds to save.
func (t *Task) Halt(windDown float64) {
	t.HaltDecided, t.WindDownSeconds, t.HaltSent = true, windDown, false
}

// Job is a job of which a block has tasks.
type Job struct {
	Spec                *jobs.Spec
	SubmittedMS         int64 // ms since the epoch, by the accepting node's clock
	Rank                jobs.Rank
	Cancelled           bool
	HasPlacedTask       bool // a task of it has been placed
	Tasks               map[int]*Task
	Groups              map[string]*TaskGroup
	ConsecutiveFailures int           // failures in a row
	NotBefore           time.Duration // pause after failures
	Gang                *Gang         // nil if the tasks need not run together
	PartDoneElsewhere   bool          // a part of a divided gang is done in another block
}

// NewJob returns a job of which no task is known yet.
func NewJob(d *jobs.Spec, submitted int64, within bool) *Job {
	return &Job{
		Spec: d, SubmittedMS: submitted, Rank: jobs.NewRank(d, submitted, within),
		Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{},
	}
}

// OpenTasks counts the block's tasks of the job that are neither done nor given back.
func (j *Job) OpenTasks() int {
	open := 0
	for _, c := range j.Groups {
		open += c.OpenTasks
	}
	return open
}

// JobBefore orders jobs by their ranks.
func JobBefore(a, b *Job) bool { return a.Rank.Before(&b.Rank) }

// TaskGroup is the owner's working copy of a record.
type TaskGroup struct {
	Job       *Job
	Key       string
	Number    int
	Tasks     []*Task
	Zones     []string
	OpenTasks int // tasks that are neither done nor given back
	// GangAttempt is the attempt that the leader has chosen for a divided gang, Part how
	// many of its tasks it has given to the block; 0 if it is not divided.
	GangAttempt uint64
	PartSize    int
}

// LoadRecord makes an owner's working copy of a record. Every placement in it is one
// that an earlier token's launch may have carried out.
func LoadRecord(j *Job, r *Record) *TaskGroup {
	c := &TaskGroup{Job: j, Key: r.Key, Number: r.Number, Zones: r.Zones, GangAttempt: r.GangAttempt, PartSize: r.PartSize, Tasks: make([]*Task, len(r.TaskIndexes))}
	tasks := make([]Task, len(r.TaskIndexes))
	for k, i := range r.TaskIndexes {
		m := r.Statuses[k]
		t := &tasks[k]
		*t = Task{Job: j, Group: c, Index: i, State: m.State, Attempt: m.Attempt, WorkerID: m.WorkerID, HasRun: m.Running, LogPage: int(r.LogPages[k]), Zone: ZoneOf(r.Zones, i)}
		j.HasPlacedTask = j.HasPlacedTask || m.Attempt > 0 || m.State == StateDone
		switch m.State {
		case StateDone:
			t.DoneDurable = true
		case StatePlaced:
			t.PlacementDurable, t.LaunchSent = true, true
		}
		if m.State == StateWaiting || m.State == StatePlaced {
			c.OpenTasks++
		}
		c.Tasks[k] = t
		if t.State != StateReturned {
			j.Tasks[i] = t // a returned task may be back in a later record
		}
	}
	j.Groups[c.Key] = c
	return c
}

// ZoneOf is the zone fixed for a task, "" for any: one for samePlace, in turn
// for spread.
func ZoneOf(zones []string, index int) string {
	if len(zones) == 0 {
		return ""
	}
	return zones[index%len(zones)]
}
