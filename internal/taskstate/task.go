package taskstate

import (
	"strconv"
	"time"
)

// State is where a task stands, as far as the owner of its shard is concerned.
type State uint8

const (
	// StateWaiting is the state of a task that is on no machine and is to run.
	StateWaiting State = iota
	// StatePlaced is the state of a task that was given to a machine, and of one that
	// may still be on it: only a proof ends it.
	StatePlaced
	// StateDone is the state of a completed task. It is final.
	StateDone
	// StateDropped is the state of a task that will not run in this shard and is on no
	// machine: its job is cancelled, or its record is gone.
	StateDropped
	// StateReturned is the state of a task that was given back to the leader and is on no
	// machine. The task may come back in a later record.
	StateReturned
)

// String returns the state's name for logs and tests.
func (s State) String() string {
	switch s {
	case StateWaiting:
		return "waiting"
	case StatePlaced:
		return "placed"
	case StateDone:
		return "done"
	case StateDropped:
		return "dropped"
	case StateReturned:
		return "returned"
	}
	return "state " + strconv.Itoa(int(s))
}

// Task is one task that has been handed to a shard. The shard's owner holds it; it is used
// within the owner's event loop only. An owner may hold a hundred thousand of them: in the
// structs below flags stand together, so that they share a word.
type Task struct {
	Job   *Job
	Group *TaskGroup
	Index int
	State State
	// Zone was fixed when the task was handed out; "" for any.
	Zone string

	// Attempt is the last attempt used; attempts are never used twice. Workers know it
	// as WireAttempt.
	Attempt uint64
	// WorkerID names the worker that has, or may have, the task while it is placed.
	WorkerID string
	// PlacedAt is when the task was placed: its launch needs a proof, later than that,
	// that its job is not cancelled.
	PlacedAt time.Duration
	// PlacementDurable is set once the placement is committed, so that the launch may be
	// sent.
	PlacementDurable bool
	// DoneDurable is set once the completion is committed, so that the worker may forget
	// the task.
	DoneDurable bool

	Launch   Launch
	Gone     GoneProof
	Observed Observation
	Halt     Halt
	Tried    TriedWorkers
	Queue    QueueEntry
	Log      LogPosition
}

// Launch is what is known of the launch command of a placed task. The command leaves in
// exactly one message, so that it cannot be carried out twice.
type Launch struct {
	// Sent is set when the command has left, or may have left under an earlier token.
	Sent bool
	// InFlight is set while the command is in a direct message that is not answered yet.
	InFlight bool
	// InDoubt is set when that direct message got no answer. The worker may carry it out
	// any time until it has seen a higher token.
	InDoubt bool
}

// GoneProof tells which heartbeats prove a placed task gone from its worker by not listing
// it: those that show MinToken or a higher token and, if Session is set, are of that
// session and later than AfterSequence. A heartbeat of a later session than Session proves
// it too.
type GoneProof struct {
	MinToken, Session, AfterSequence uint64
}

// Observation is what heartbeats have shown of a placed task.
type Observation struct {
	// Reported is set once a heartbeat has listed the task.
	Reported bool
	// Running is set once the task was seen running, RunningSince is when.
	Running bool
	// HasImage is set once the task has its image: it runs, or waits for its gang.
	HasImage bool
	// HasRun is set once a gang's task was seen running under the present attempt. It is
	// stored in the log.
	HasRun       bool
	RunningSince time.Duration
}

// Halt is what is known of the commands to end a placed task.
type Halt struct {
	// Decided is set when the task is to be halted, with WindDownSeconds to save its
	// progress.
	Decided bool
	// Sent is set when a direct message with the command has left.
	Sent            bool
	WindDownSeconds float64
	// CancelSentAt is when the worker was last told to end the task because its job is
	// cancelled.
	CancelSentAt time.Duration
}

// TriedWorkers lists the workers that have had a gang's task within the present attempt.
// None of them may get it again under that attempt: it would be taken for the lost one.
type TriedWorkers struct {
	Workers []string
	// Incomplete is set when there are others that are not known any more.
	Incomplete bool
}

// QueueEntry is what the planner's queues keep with a waiting task.
type QueueEntry struct {
	Queued      bool
	EnqueuedAt  time.Duration
	NotBefore   time.Duration
	AvoidWorker string // a worker on which the task has failed; "" for none
}

// LogPosition tells where the shard's log holds the status of a task.
type LogPosition struct {
	// Page is the log page that holds the newest committed status, -1 for none.
	Page int
	// Dirty is set when the task has changed since it was last written.
	Dirty bool
	// Commit is the number of the newest commit that has written the task's status.
	Commit uint64
}

// Name returns the name by which workers know the task: JOB/INDEX.
func (t *Task) Name() string { return t.Job.Spec.ID + "/" + strconv.Itoa(t.Index) }

// PlaceOn gives a waiting task to a worker; nothing is launched yet.
func (t *Task) PlaceOn(workerID string) {
	t.State, t.WorkerID = StatePlaced, workerID
	t.Job.HasPlacedTask = true
	t.beginAttempt()
	if t.Job.Gang != nil {
		t.Tried.Workers = append(t.Tried.Workers, workerID)
	}
	t.clearPlacement()
	t.Observed.Running, t.Observed.HasImage = false, false
}

// TakeOffWorker makes a placed task wait again. It must have been proven gone from its
// worker.
func (t *Task) TakeOffWorker() {
	t.State, t.WorkerID = StateWaiting, ""
	t.clearPlacement()
}

// clearPlacement forgets what was known of a placement.
func (t *Task) clearPlacement() {
	t.PlacementDurable, t.Launch = false, Launch{}
	t.Observed.Reported, t.Observed.HasRun = false, false
	t.Halt.Decided, t.Halt.Sent = false, false
}

// DecideHalt decides that the task is to be halted, with so many seconds to save its
// progress.
func (t *Task) DecideHalt(windDownSeconds float64) {
	t.Halt.Decided, t.Halt.WindDownSeconds, t.Halt.Sent = true, windDownSeconds, false
}
