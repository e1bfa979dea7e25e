package work

import (
	"strconv"
	"time"

	"lemonmoor/internal/jobs"
)

// State of a task, for the block's owner.
type State uint8

const (
	// Waiting: on no machine.
	Waiting State = iota
	// Placed: given to a machine, or may still be on one.
	Placed
	// Done: completed.
	Done
	// Dropped: will not run here, and is on no machine.
	Dropped
	// Returned to the leader, and on no machine.
	Returned
)

// Task is one task that has been handed to a block.
type Task struct {
	Job   *Job
	Chunk *Chunk
	Index int
	State State
	// Page of the log that tells of it, -1 for none; Dirty: it has changed since.
	Page   int
	Dirty  bool
	Logged uint64 // the newest commit that has told of it
	// Attempt is the last one used; attempts are never used twice. See Try.
	Attempt uint64
	// Host is the machine that has, or may have, the task while it is Placed.
	Host string

	// At is when the task was placed: its launch needs a later proof that its job
	// is not cancelled. Halted is when it was last ordered to end because it is.
	At, Halted time.Duration

	// Durable: the placement is committed, so the launch may be sent.
	Durable bool
	// DoneDurable: the completion is committed, so the machine may forget it.
	DoneDurable bool
	// Sent: a launch has left, or may have left under an earlier token. Each
	// launch leaves in exactly one message.
	Sent bool
	// Flying: that message is a direct order not answered yet.
	Flying bool
	// Doubt: it is a direct order that got no answer. It may be carried out
	// any time until the worker has seen a higher token.
	Doubt bool
	// A report that does not list the task proves it gone only at MinToken
	// or higher and, within the session Session, after Sequence.
	MinToken, Session, Sequence uint64
	// Seen: listed in a report.
	Seen     bool
	Running  bool
	Imaged   bool          // it has its image: it runs, or waits for its gang
	Ran      bool          // of a gang: seen running under this attempt; stored
	Since    time.Duration // when it was first seen running
	Stopping bool          // a halt has been decided
	WindDown float64
	Told     bool // a direct message with the halt has left

	// Of a gang: the machines that have had the task within the attempt, and
	// whether there are others, not known any more.
	Tried  []string
	Unsure bool

	// For the queues.
	Queued    bool
	Enqueued  time.Duration
	NotBefore time.Duration
	Avoid     string // a machine that failed it
	Zone      string // fixed at hand-out, "" for any
}

// Ref names a task on the wire.
func (t *Task) Ref() string { return t.Job.Desc.ID + "/" + strconv.Itoa(t.Index) }

// Stop decides that the task is to be halted, with so many seconds to save.
func (t *Task) Stop(windDown float64) { t.Stopping, t.WindDown, t.Told = true, windDown, false }

// Job is a job of which a block has tasks.
type Job struct {
	Desc      *jobs.Description
	Submitted int64 // ms since the epoch, by the accepting node's clock
	Rank      jobs.Rank
	Cancelled bool
	Began     bool // a task of it has been placed
	Tasks     map[int]*Task
	Chunks    map[string]*Chunk
	Errors    int           // failures in a row
	NotBefore time.Duration // pause after failures
	Gang      *Gang         // nil if the tasks need not run together
	Elsewhere bool          // a part of a divided gang is done in another block
}

// NewJob returns a job of which no task is known yet.
func NewJob(d *jobs.Description, submitted int64, within bool) *Job {
	return &Job{Desc: d, Submitted: submitted, Rank: jobs.NewRank(d, submitted, within),
		Tasks: map[int]*Task{}, Chunks: map[string]*Chunk{}}
}

// Open counts the block's tasks of the job that are neither done nor given back.
func (j *Job) Open() int {
	open := 0
	for _, c := range j.Chunks {
		open += c.Open
	}
	return open
}

// Before orders jobs by their ranks.
func Before(a, b *Job) bool { return a.Rank.Before(&b.Rank) }

// Chunk is the owner's working copy of a record.
type Chunk struct {
	Job    *Job
	Key    string
	Number int
	Tasks  []*Task
	Zones  []string
	Open   int // tasks that are neither done nor given back
	// Try is the attempt that the leader has chosen for a divided gang, Part how
	// many of its tasks it has given to the block; 0 if it is not divided.
	Try  uint64
	Part int
}

// Load makes an owner's working copy of a record. Every placement in it is one
// that an earlier token's launch may have carried out.
func Load(j *Job, r *Record) *Chunk {
	c := &Chunk{Job: j, Key: r.Key, Number: r.Number, Zones: r.Zones, Try: r.Try, Part: r.Part, Tasks: make([]*Task, len(r.Index))}
	tasks := make([]Task, len(r.Index))
	for k, i := range r.Index {
		m := r.Marks[k]
		t := &tasks[k]
		*t = Task{Job: j, Chunk: c, Index: i, State: m.State, Attempt: m.Attempt, Host: m.Host, Ran: m.Running, Page: int(r.Pages[k]), Zone: ZoneOf(r.Zones, i)}
		j.Began = j.Began || m.Attempt > 0 || m.State == Done
		switch m.State {
		case Done:
			t.DoneDurable = true
		case Placed:
			t.Durable, t.Sent = true, true
		}
		if m.State == Waiting || m.State == Placed {
			c.Open++
		}
		c.Tasks[k] = t
		if t.State != Returned {
			j.Tasks[i] = t // a returned task may be back in a later record
		}
	}
	j.Chunks[c.Key] = c
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
