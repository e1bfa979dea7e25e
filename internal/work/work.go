// Package work is what has been handed out to the block of machines: tasks,
// their placements and the records that keep them in the state service.
package work

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// State of a task.
type State uint8

const (
	// Waiting: on no machine.
	Waiting State = iota
	// Placed: given to a machine, or may still be on one.
	Placed
	// Done: completed.
	Done
	// Dropped: will not run, and is on no machine (its job is cancelled).
	Dropped
)

// Task is one task that has been handed out.
type Task struct {
	Job   *Job
	Chunk *Chunk
	Index int
	State State
	// Attempt is the last one used; attempts are never used twice.
	Attempt uint64
	// Host is the machine that has, or may have, the task while it is Placed.
	Host string

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
	// or higher and, within the session Shift, after Tick.
	MinToken, Shift, Tick uint64
	// Seen: listed in a report.
	Seen    bool
	Running bool
	Since   time.Duration // when it was first seen running
	// Stopping: a halt has been decided.
	Stopping bool
	WindDown float64

	// For the queues.
	Queued    bool
	Enqueued  time.Duration
	NotBefore time.Duration
	Avoid     string // a machine that refused it
	Zone      string // fixed at hand-out, "" for any
}

// Ref names a task on the wire.
func (t *Task) Ref() string { return t.Job.Desc.ID + "/" + strconv.Itoa(t.Index) }

// Job is a job of which tasks have been handed out or wait to be.
type Job struct {
	Desc      *jobs.Description
	Submitted int64 // ms since the epoch, by the accepting node's clock
	Arrived   time.Duration
	Within    bool // fits its team's guarantee with the team's earlier jobs
	Cancelled bool
	Chunks    map[int]*Chunk
	HandedOut int
	DoneCount int
	Running   int
	Finishing bool
	Errors    int           // failures in a row on machines that run other jobs
	NotBefore time.Duration // pause after failures
	Zones     []string      // fixed at the first hand-out for samePlace and spread
}

// Open tells how many tasks are handed out and not over.
func (j *Job) Open() (n int) {
	for _, c := range j.Chunks {
		for _, t := range c.Tasks {
			if t.State == Waiting || t.State == Placed {
				n++
			}
		}
	}
	return n
}

// Placed tells how many tasks are, or may be, on machines.
func (j *Job) Placed() (n int) {
	for _, c := range j.Chunks {
		for _, t := range c.Tasks {
			if t.State == Placed {
				n++
			}
		}
	}
	return n
}

// Task finds a task that has been handed out.
func (j *Job) Task(index int) *Task {
	c := j.Chunks[index/tuning.ChunkTasks]
	if c == nil || index-c.Base() >= len(c.Tasks) || index < c.Base() {
		return nil
	}
	return c.Tasks[index-c.Base()]
}

// Chunk is a run of a job's tasks that share one record.
type Chunk struct {
	Job    *Job
	Number int
	Tasks  []*Task
	Stored bool // the record exists, or may exist
	Dirty  bool
	Urgent bool // a placement waits for the commit
	Since  time.Duration
}

// Base is the index of the chunk's first task.
func (c *Chunk) Base() int { return c.Number * tuning.ChunkTasks }

// Prefix of all work records of the block.
const Prefix = "work/" + tuning.Block + "/"

// Key of the chunk's record.
func (c *Chunk) Key() string {
	return Prefix + c.Job.Desc.ID + "/" + strconv.Itoa(c.Number)
}

// ParseKey splits the key of a work record.
func ParseKey(key string) (job string, number int, err error) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", 0, fmt.Errorf("not a work record: %q", key)
	}
	job, num, ok := strings.Cut(rest, "/")
	if !ok || !jobs.ValidID(job) {
		return "", 0, fmt.Errorf("not a work record: %q", key)
	}
	number, err = strconv.Atoi(num)
	if err != nil || number < 0 || number*tuning.ChunkTasks >= jobs.MaxTasks {
		return "", 0, fmt.Errorf("not a work record: %q", key)
	}
	return job, number, nil
}

// record is a chunk as it is stored.
type record struct {
	Handed   int               `json:"n"`
	Done     string            `json:"d,omitempty"` // "0-3,7", counted from the chunk's base
	Placed   map[string]place  `json:"p,omitempty"`
	Attempts map[string]uint64 `json:"a,omitempty"` // last attempts of waiting tasks
	Zones    []string          `json:"z,omitempty"`
}

type place struct {
	Host    string `json:"h"`
	Attempt uint64 `json:"t"`
}

// Encode writes the chunk's record.
func (c *Chunk) Encode() (json.RawMessage, error) {
	r := record{Handed: len(c.Tasks), Zones: c.Job.Zones}
	var done strings.Builder
	for i := 0; i < len(c.Tasks); i++ {
		t := c.Tasks[i]
		switch t.State {
		case Done:
			from := i
			for i+1 < len(c.Tasks) && c.Tasks[i+1].State == Done {
				i++
			}
			if done.Len() > 0 {
				done.WriteByte(',')
			}
			done.WriteString(strconv.Itoa(from))
			if i > from {
				done.WriteString("-" + strconv.Itoa(i))
			}
		case Placed:
			if r.Placed == nil {
				r.Placed = map[string]place{}
			}
			r.Placed[strconv.Itoa(i)] = place{t.Host, t.Attempt}
		default:
			if t.Attempt > 0 {
				if r.Attempts == nil {
					r.Attempts = map[string]uint64{}
				}
				r.Attempts[strconv.Itoa(i)] = t.Attempt
			}
		}
	}
	r.Done = done.String()
	return json.Marshal(r)
}

// Decode reads a record into a new chunk of the job. Every placement in it is
// one that an earlier token's launch may have carried out.
func Decode(j *Job, number int, raw json.RawMessage) (*Chunk, error) {
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("work record: %w", err)
	}
	c := &Chunk{Job: j, Number: number, Stored: true}
	if r.Handed < 0 || r.Handed > tuning.ChunkTasks || c.Base()+r.Handed > j.Desc.Tasks {
		return nil, fmt.Errorf("work record: %d tasks in chunk %d", r.Handed, number)
	}
	for i := range r.Handed {
		c.Tasks = append(c.Tasks, &Task{Job: j, Chunk: c, Index: c.Base() + i})
	}
	at := func(s string) (*Task, error) {
		i, err := strconv.Atoi(s)
		if err != nil || i < 0 || i >= r.Handed {
			return nil, fmt.Errorf("work record: no task %q", s)
		}
		return c.Tasks[i], nil
	}
	if r.Done != "" {
		for part := range strings.SplitSeq(r.Done, ",") {
			lo, hi, ranged := strings.Cut(part, "-")
			if !ranged {
				hi = lo
			}
			first, err := at(lo)
			if err != nil {
				return nil, err
			}
			last, err := at(hi)
			if err != nil {
				return nil, err
			}
			for i := first.Index; i <= last.Index; i++ {
				t := c.Tasks[i-c.Base()]
				t.State, t.DoneDurable = Done, true
			}
		}
	}
	for s, p := range r.Placed {
		t, err := at(s)
		if err != nil {
			return nil, err
		}
		t.State, t.Host, t.Attempt = Placed, p.Host, p.Attempt
		t.Durable, t.Sent = true, true
	}
	for s, a := range r.Attempts {
		t, err := at(s)
		if err != nil {
			return nil, err
		}
		t.Attempt = a
	}
	if len(r.Zones) > 0 {
		j.Zones = r.Zones
	}
	return c, nil
}

// ZoneOf is the zone fixed for a task, "" for any: one for samePlace, in turn
// for spread.
func (j *Job) ZoneOf(index int) string {
	if len(j.Zones) == 0 {
		return ""
	}
	return j.Zones[index%len(j.Zones)]
}
