package taskstate

import (
	"strconv"
	"time"
)

// State is the state of a task as seen by the owner of its shard.
type State uint8

const (
	// StateWaiting is the state of a task that is on no machine and waits to run.
	StateWaiting State = iota
	// StatePlaced is the state of a task that was assigned to a machine and may still be
	// on it. Only a proof that the task is not on the machine any more ends this state.
	StatePlaced
	// StateDone is the state of a completed task. It is final.
	StateDone
	// StateDropped is the state of a task that will not run in this shard and is on no
	// machine: its job is cancelled, or its record is gone.
	StateDropped
	// StateReturned is the state of a task that was returned to the leader and is on no
	// machine. The task may be dispatched again in a later record.
	StateReturned
)

// IsOpen reports whether a task in this state waits for a machine or may be on one.
func (s State) IsOpen() bool { return s == StateWaiting || s == StatePlaced }

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

// Task is a task that was dispatched to a shard. It belongs to the shard's owner and is used
// only within its event loop. An owner may have a hundred thousand tasks, so the structs
// below place flags next to each other to share a word.
type Task struct {
	Job   *Job
	Group *TaskGroup
	Index int
	State State
	// Zone is the zone fixed when the task was dispatched, "" for any.
	Zone string

	// Attempt is the last attempt used. Attempt numbers are never reused. Workers use
	// WireAttempt instead.
	Attempt uint64
	// WorkerID is the worker that has, or may have, the task while it is placed.
	WorkerID string
	// PlacedAt is when the task was placed. The task may be launched only after a later
	// proof that its job is not cancelled.
	PlacedAt time.Duration
	// PlacementDurable is set once the placement is committed; from then on the launch may
	// be sent.
	PlacementDurable bool
	// DoneDurable is set once the completion is committed; from then on the worker may
	// forget the task.
	DoneDurable bool

	Launch   Launch
	Observed Observation
	Halt     Halt
	Tried    TriedWorkers
	Queue    QueueEntry
	Log      LogPosition
	History  History // of its placements, until it is closed
}

// Observation is the state of a placed task as shown by heartbeats.
type Observation struct {
	// Reported is set once a heartbeat has listed the task.
	Reported bool
	// Running is set once the task was seen running, at RunningSince.
	Running bool
	// HasImage is set once the task has its image: it runs, or waits for its gang.
	HasImage bool
	// HasRun is set once a gang's task was seen running in the current attempt. It is
	// stored in the log.
	HasRun       bool
	RunningSince time.Duration
}

// Halt is the state of the commands to end a placed task.
type Halt struct {
	// Decided is set when the task is to be halted, with WindDownSeconds to save its
	// progress.
	Decided bool
	// Sent is set when a direct message with the command was sent.
	Sent            bool
	WindDownSeconds float64
	// CancelSentAt is when the command to end the task because of its job's cancellation
	// was last sent to the worker.
	CancelSentAt time.Duration
}

// TriedWorkers lists the workers that have had a gang's task within the current attempt.
// None of them may be assigned the task again in that attempt, because the task would be
// mistaken for the lost one.
type TriedWorkers struct {
	Workers []string
	// Incomplete is set when other workers have had the task that are no longer known.
	Incomplete bool
}

// QueueEntry is the planner's queue state of a waiting task.
type QueueEntry struct {
	Queued     bool
	EnqueuedAt time.Duration
	NotBefore  time.Duration
}

// LogPosition is the position of a task's newest durable status in the shard's log.
type LogPosition struct {
	// Page is the number of the log page with the status, -1 for none.
	Page int
	// Revision is the revision at which this term's owner wrote the status there, 0 if it was
	// written earlier.
	Revision uint64
	// Attempt, State and Running are those of the status.
	Attempt uint64
	State   State
	Running bool
	// Dirty is set when the task has changed since it was last written.
	Dirty bool
}

// Record sets the position to the page on which a commit at a revision has written a status. It
// reports false, and leaves the position unchanged, if readers of the log take the status from
// the present page: it is newer there, or the same and written at a higher revision.
func (p *LogPosition) Record(page int, status TaskStatus, revision uint64) bool {
	recorded := TaskStatus{State: p.State, Attempt: p.Attempt, Running: p.Running}
	if recorded.supersedes(status) || (!status.supersedes(recorded) && revision < p.Revision) {
		return false
	}
	*p = LogPosition{Page: page, Revision: revision, Attempt: status.Attempt, State: status.State, Running: status.Running, Dirty: p.Dirty}
	return true
}

// Name returns the name that workers use for the task: JOB/INDEX.
func (t *Task) Name() string { return t.Job.Spec.ID + "/" + strconv.Itoa(t.Index) }

// Status returns the task's status as it is written to the log.
func (t *Task) Status() TaskStatus {
	return TaskStatus{State: t.State, Attempt: t.Attempt, WorkerID: t.WorkerID, Running: t.State == StatePlaced && t.Observed.HasRun}
}

// PlaceOn assigns a waiting task to a worker and begins a new attempt. It launches nothing.
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

// TakeOffWorker returns a placed task to the waiting state. The task must be proven gone from
// its worker.
func (t *Task) TakeOffWorker() {
	t.State, t.WorkerID = StateWaiting, ""
	t.clearPlacement()
}

// clearPlacement resets the fields that describe a single placement.
func (t *Task) clearPlacement() {
	t.PlacementDurable, t.Launch = false, Launch{}
	t.Observed.Reported, t.Observed.HasRun = false, false
	t.Halt.Decided, t.Halt.Sent = false, false
}

// DecideHalt marks the task to be halted, with windDownSeconds to save its progress.
func (t *Task) DecideHalt(windDownSeconds float64) {
	t.Halt.Decided, t.Halt.WindDownSeconds, t.Halt.Sent = true, windDownSeconds, false
}
