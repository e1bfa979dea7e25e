// Package userapi serves users: submissions, polls and cancellations. It keeps
// a copy of all job records, fed by a watch, and answers from it only what a
// check has proven to be current.
package userapi

import (
	"encoding/json"
	"log/slog"
	"math"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
)

// KeyPrefix of all job records.
const KeyPrefix = "job/"

// Final phases of a job; "" stands for any other.
const (
	PhaseDone      = "done"
	PhaseCancelled = "cancelled"
)

// Record is a job as it is stored.
type Record struct {
	Phase       string     `json:"phase,omitempty"`
	SubmittedMS int64      `json:"at"` // ms since the epoch, of the accepting node
	Spec        *jobs.Spec `json:"job,omitempty"`
	TaskCount   int        `json:"n,omitempty"` // of a done job, whose description is dropped
	// CancelledMS is when a cancelled job was called off, in ms since the epoch by the clock
	// of the node that wrote it, from before the commit; 0 if a version did that
	// which does not tell.
	CancelledMS int64 `json:"off,omitempty"`
}

// Entry is a job record in memory.
type Entry struct {
	ID       string
	Revision uint64
	Record
	within int8 // 0: not looked at yet, 1: yes, -1: no
}

// Catalog holds all jobs.
type Catalog struct {
	// JobChanged is called for every change of a job.
	JobChanged func(*Entry)

	entries map[string]*Entry
	open    map[string]*Entry // without a final phase
	teams   map[string]settings.Team
	mirror  *statestore.Mirror
	rt      eventloop.Runtime
	log     *slog.Logger
}

// NewCatalog returns an empty catalog.
func NewCatalog(rt eventloop.Runtime, state *statestore.Client, teams []settings.Team, log *slog.Logger) *Catalog {
	c := &Catalog{
		entries: map[string]*Entry{}, open: map[string]*Entry{}, teams: map[string]settings.Team{},
		rt: rt, log: log, JobChanged: func(*Entry) {},
	}
	for _, t := range teams {
		c.teams[t.Name] = t
	}
	c.mirror = statestore.NewMirror(rt, state, KeyPrefix, statestore.MirrorHandler{Apply: c.apply})
	return c
}

// SetWatchPause sets how long to rest between changes.
func (c *Catalog) SetWatchPause(pause func() time.Duration) { c.mirror.SetWatchPause(pause) }

// Start begins to read the job records.
func (c *Catalog) Start() { c.mirror.Start() }

// Ready tells whether all job records have been read.
func (c *Catalog) Ready() bool { return c.mirror.IsReady() }

// Verify calls fn when the catalog is proven to be current.
func (c *Catalog) Verify(fn func(error)) { c.mirror.Verify(fn) }

// VerifiedAt is the newest moment of which it is proven that all cancellations before it
// are known here, see statestore.Mirror.
func (c *Catalog) VerifiedAt() (at time.Duration, known bool) { return c.mirror.VerifiedAt() }

// VerifyIfOlder has the catalog shown to be current if that was longer ago than age.
func (c *Catalog) VerifyIfOlder(age time.Duration) { c.mirror.VerifyIfOlder(age) }

// CancellationAge is how long ago the user of a job can have been told that it is
// cancelled, at most, if it is. skew bounds the difference of two nodes' clocks.
func (c *Catalog) CancellationAge(id string, skew time.Duration) (age time.Duration, cancelled bool) {
	e := c.entries[id]
	if e == nil || e.Phase != PhaseCancelled {
		return 0, false
	}
	if e.CancelledMS == 0 {
		return math.MaxInt64, true
	}
	return max(0, time.Duration(c.rt.WallClock().UnixMilli()-e.CancelledMS)*time.Millisecond) + skew, true
}

// Get finds a job.
func (c *Catalog) Get(id string) *Entry { return c.entries[id] }

// EachUnfinished calls fn for every job without a final phase.
func (c *Catalog) EachUnfinished(fn func(*Entry)) {
	for _, e := range c.open {
		fn(e)
	}
}

// WithinQuota tells whether a job fits into its team's guarantee together with the
// team's earlier unfinished jobs. It is looked at once, when the job is new.
func (c *Catalog) WithinQuota(e *Entry) bool {
	if e.within == 0 && e.Spec != nil {
		team := c.teams[e.Spec.Team]
		var cpus, cards float64
		for _, o := range c.open {
			if o.Spec == nil || o.Spec.Team != e.Spec.Team || (o != e && (o.SubmittedMS > e.SubmittedMS || (o.SubmittedMS == e.SubmittedMS && o.ID > e.ID))) {
				continue
			}
			cpus += o.Spec.CPUs * float64(o.Spec.Tasks)
			cards += o.Spec.GPUs * float64(o.Spec.Tasks)
		}
		e.within = -1
		if cpus <= team.CPUs+1e-9 && cards <= team.GPUs+1e-9 {
			e.within = 1
		}
	}
	return e.within > 0
}

func (c *Catalog) apply(key string, value json.RawMessage, stamp uint64) {
	id := strings.TrimPrefix(key, KeyPrefix)
	if value == nil {
		c.log.Error("job record vanished", "job", id)
		return
	}
	old := c.entries[id]
	if old != nil && old.Revision >= stamp {
		return
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		c.log.Error("job record does not parse", "job", id, "err", err)
		return
	}
	if old != nil && old.Phase != "" && old.Phase != r.Phase {
		// A final phase never changes; this guards what users were told
		// against a record that contradicts it.
		c.log.Error("job record went back", "job", id, "was", old.Phase, "is", r.Phase)
		return
	}
	if r.Phase == PhaseDone {
		r.Spec = nil
	}
	e := old
	if e == nil {
		e = &Entry{ID: id}
		c.entries[id] = e
	}
	e.Revision, e.Record = stamp, r
	if r.Phase == "" {
		c.open[id] = e
	} else {
		delete(c.open, id)
	}
	c.JobChanged(e)
}

// Observe applies what this process has committed itself, ahead of the watch.
func (c *Catalog) Observe(id string, value json.RawMessage, stamp uint64) {
	c.apply(KeyPrefix+id, value, stamp)
}
