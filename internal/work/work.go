// Package work is what has been handed out to the blocks of machines: the
// records that keep it in the state service, and the tasks that a block's
// owner makes of them.
package work

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"lemonmoor/internal/engine"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/ledger"
	"lemonmoor/internal/tuning"
)

// Prefix of all work records: work/BLOCK/JOB/NUMBER.
const Prefix = "work/"

// Key of a record.
func Key(block int, job string, number int) string {
	return Prefix + strconv.Itoa(block) + "/" + job + "/" + strconv.Itoa(number)
}

// parseKey splits the key of a record.
func parseKey(key string) (block int, job string, number int, err error) {
	parts := strings.Split(strings.TrimPrefix(key, Prefix), "/")
	if len(parts) != 3 || !jobs.ValidID(parts[1]) {
		return 0, "", 0, fmt.Errorf("not a work record: %q", key)
	}
	block, err1 := strconv.Atoi(parts[0])
	number, err2 := strconv.Atoi(parts[2])
	if err1 != nil || err2 != nil || block < 0 || number < 0 {
		return 0, "", 0, fmt.Errorf("not a work record: %q", key)
	}
	return block, parts[1], number, nil
}

// BlockOf is the block that a machine belongs to, by its name alone.
func BlockOf(host string) int {
	// Names are counted up, so their sum spreads neighbours evenly; a hash
	// covers other forms of name.
	if i := strings.LastIndexByte(host, '-'); i >= 0 {
		if n, err := strconv.ParseUint(host[i+1:], 10, 63); err == nil {
			return int(n % tuning.Blocks)
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return int(h.Sum32() % tuning.Blocks)
}

// Place is where a task is, or may be.
type Place struct {
	Host    string `json:"h"`
	Attempt uint64 `json:"t"`
}

// Record is one record: up to tuning.ChunkTasks tasks of a job, handed to one
// block. The leader creates it; the block's owner updates it; the leader
// removes it when the job is over.
type Record struct {
	Key    string
	Block  int
	Job    string
	Number int
	Stamp  uint64

	Index    []int // the tasks
	Done     map[int]bool
	Returned map[int]bool // given back to the leader, on no machine
	Placed   map[int]Place
	Attempts map[int]uint64 // last attempts of tasks that are not placed
	Zones    []string       // fixed at hand-out for samePlace and spread
}

// stored is the JSON form.
type stored struct {
	Index    string            `json:"i"`
	Done     string            `json:"d,omitempty"`
	Returned string            `json:"r,omitempty"`
	Placed   map[string]Place  `json:"p,omitempty"`
	Attempts map[string]uint64 `json:"a,omitempty"`
	Zones    []string          `json:"z,omitempty"`
}

// Encode writes the record's value.
func (r *Record) Encode() (json.RawMessage, error) {
	s := stored{Index: formatRanges(r.Index), Zones: r.Zones}
	var done, back []int
	for _, i := range r.Index {
		if r.Done[i] {
			done = append(done, i)
		}
		if r.Returned[i] {
			back = append(back, i)
		}
	}
	s.Done, s.Returned = formatRanges(done), formatRanges(back)
	if len(r.Placed) > 0 {
		s.Placed = make(map[string]Place, len(r.Placed))
		for i, p := range r.Placed {
			s.Placed[strconv.Itoa(i)] = p
		}
	}
	if len(r.Attempts) > 0 {
		s.Attempts = make(map[string]uint64, len(r.Attempts))
		for i, a := range r.Attempts {
			s.Attempts[strconv.Itoa(i)] = a
		}
	}
	return json.Marshal(s)
}

// Decode reads a record.
func Decode(key string, value json.RawMessage, stamp uint64) (*Record, error) {
	block, job, number, err := parseKey(key)
	if err != nil {
		return nil, err
	}
	var s stored
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, fmt.Errorf("work record %s: %w", key, err)
	}
	r := &Record{Key: key, Block: block, Job: job, Number: number, Stamp: stamp, Zones: s.Zones,
		Done: map[int]bool{}, Returned: map[int]bool{}, Placed: map[int]Place{}, Attempts: map[int]uint64{}}
	if r.Index, err = parseRanges(s.Index, jobs.MaxTasks); err != nil || len(r.Index) == 0 || len(r.Index) > tuning.ChunkTasks {
		return nil, fmt.Errorf("work record %s: bad tasks %q", key, s.Index)
	}
	member := make(map[int]bool, len(r.Index))
	for _, i := range r.Index {
		member[i] = true
	}
	mark := func(set map[int]bool, text string) error {
		list, err := parseRanges(text, jobs.MaxTasks)
		for _, i := range list {
			if !member[i] {
				return fmt.Errorf("work record %s: no task %d", key, i)
			}
			set[i] = true
		}
		return err
	}
	if err := mark(r.Done, s.Done); err != nil {
		return nil, err
	}
	if err := mark(r.Returned, s.Returned); err != nil {
		return nil, err
	}
	number2 := func(text string) (int, error) {
		i, err := strconv.Atoi(text)
		if err != nil || !member[i] {
			return 0, fmt.Errorf("work record %s: no task %q", key, text)
		}
		return i, nil
	}
	for text, p := range s.Placed {
		i, err := number2(text)
		if err != nil {
			return nil, err
		}
		r.Placed[i] = p
	}
	for text, a := range s.Attempts {
		i, err := number2(text)
		if err != nil {
			return nil, err
		}
		r.Attempts[i] = a
	}
	return r, nil
}

// Open tells how many of the record's tasks may still run under it.
func (r *Record) Open() int {
	n := 0
	for _, i := range r.Index {
		if !r.Done[i] && !r.Returned[i] {
			n++
		}
	}
	return n
}

// Store is every node's copy of all work records, fed by a watch.
type Store struct {
	// Changed is called for each change; one of the two is nil for a new and
	// for a removed record.
	Changed func(old, now *Record)

	mirror  *ledger.Mirror
	records map[string]*Record
	byJob   map[string]map[string]*Record
	log     *slog.Logger
}

// NewStore returns an empty store.
func NewStore(rt engine.Runtime, led *ledger.Client, log *slog.Logger) *Store {
	s := &Store{Changed: func(_, _ *Record) {}, records: map[string]*Record{}, byJob: map[string]map[string]*Record{}, log: log}
	s.mirror = ledger.NewMirror(rt, led, Prefix)
	s.mirror.Apply = s.apply
	s.mirror.Reset = func() {
		for key := range s.records {
			s.apply(key, nil, 0)
		}
	}
	return s
}

// Pace sets how long to rest between changes.
func (s *Store) Pace(pause func() time.Duration) { s.mirror.Pause = pause }

// Start begins to read the records.
func (s *Store) Start() { s.mirror.Start() }

// Check calls fn when the store is proven to be current.
func (s *Store) Check(fn func(error)) { s.mirror.Check(fn) }

func (s *Store) apply(key string, value json.RawMessage, stamp uint64) {
	old := s.records[key]
	if value == nil {
		if old != nil {
			delete(s.records, key)
			delete(s.byJob[old.Job], key)
			if len(s.byJob[old.Job]) == 0 {
				delete(s.byJob, old.Job)
			}
			s.Changed(old, nil)
		}
		return
	}
	r, err := Decode(key, value, stamp)
	if err != nil {
		s.log.Error("work record does not parse", "err", err)
		return
	}
	s.records[key] = r
	if s.byJob[r.Job] == nil {
		s.byJob[r.Job] = map[string]*Record{}
	}
	s.byJob[r.Job][key] = r
	s.Changed(old, r)
}

// Get finds a record.
func (s *Store) Get(key string) *Record { return s.records[key] }

// All calls fn for every record.
func (s *Store) All(fn func(*Record)) {
	for _, r := range s.records {
		fn(r)
	}
}

// OfJob returns the records of a job.
func (s *Store) OfJob(job string) map[string]*Record { return s.byJob[job] }

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
	Seen     bool
	Running  bool
	Since    time.Duration // when it was first seen running
	Stopping bool          // a halt has been decided
	WindDown float64

	// For the queues.
	Queued    bool
	Enqueued  time.Duration
	NotBefore time.Duration
	Avoid     string // a machine that failed it
	Zone      string // fixed at hand-out, "" for any
}

// Ref names a task on the wire.
func (t *Task) Ref() string { return t.Job.Desc.ID + "/" + strconv.Itoa(t.Index) }

// Job is a job of which a block has tasks.
type Job struct {
	Desc      *jobs.Description
	Submitted int64 // ms since the epoch, by the accepting node's clock
	Within    bool  // see lead: fits its team's guarantee
	Cancelled bool
	Tasks     map[int]*Task
	Chunks    map[string]*Chunk
	Errors    int           // failures in a row
	NotBefore time.Duration // pause after failures
}

// Before orders jobs: priority, then work within a guarantee, then age.
func Before(a, b *Job) bool {
	if p, q := a.Desc.Priority(), b.Desc.Priority(); p != q {
		return p > q
	}
	if a.Within != b.Within {
		return a.Within
	}
	if a.Submitted != b.Submitted {
		return a.Submitted < b.Submitted
	}
	return a.Desc.ID < b.Desc.ID
}

// Chunk is the owner's working copy of a record.
type Chunk struct {
	Job    *Job
	Key    string
	Number int
	Stamp  uint64
	Tasks  []*Task
	Zones  []string
	Dirty  bool
	Urgent bool // a launch or an end waits for the commit
	Since  time.Duration
}

// Snapshot is the chunk as a record.
func (c *Chunk) Snapshot() *Record {
	r := &Record{Key: c.Key, Job: c.Job.Desc.ID, Number: c.Number, Zones: c.Zones,
		Done: map[int]bool{}, Returned: map[int]bool{}, Placed: map[int]Place{}, Attempts: map[int]uint64{}}
	for _, t := range c.Tasks {
		r.Index = append(r.Index, t.Index)
		switch t.State {
		case Done:
			r.Done[t.Index] = true
		case Placed:
			r.Placed[t.Index] = Place{t.Host, t.Attempt}
			continue
		case Returned:
			r.Returned[t.Index] = true
		}
		if t.State != Done && t.Attempt > 0 {
			r.Attempts[t.Index] = t.Attempt
		}
	}
	return r
}

// Load makes an owner's working copy of a record. Every placement in it is one
// that an earlier token's launch may have carried out.
func Load(j *Job, r *Record) *Chunk {
	c := &Chunk{Job: j, Key: r.Key, Number: r.Number, Stamp: r.Stamp, Zones: r.Zones}
	for _, i := range r.Index {
		t := &Task{Job: j, Chunk: c, Index: i, Attempt: r.Attempts[i], Zone: ZoneOf(r.Zones, i)}
		switch p, placed := r.Placed[i]; {
		case r.Done[i]:
			t.State, t.DoneDurable = Done, true
		case r.Returned[i]:
			t.State = Returned
		case placed:
			t.State, t.Host, t.Attempt = Placed, p.Host, p.Attempt
			t.Durable, t.Sent = true, true
		}
		c.Tasks = append(c.Tasks, t)
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
