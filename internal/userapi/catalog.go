package userapi

import (
	"encoding/json"
	"log/slog"
	"math"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
)

// JobObserver is told of jobs.
type JobObserver interface {
	// JobChanged is called, on the event loop, for every new and every changed record.
	JobChanged(entry *Entry)
}

// Catalog is the copy of all job records.
type Catalog struct {
	runtime  eventloop.Runtime
	log      *slog.Logger
	observer JobObserver
	mirror   *statestore.Mirror

	entries    map[string]*Entry
	unfinished map[string]*Entry // without a final phase
	teams      map[string]settings.Team
}

// NewCatalog returns an empty catalog; observer is told of every change from Start on.
func NewCatalog(runtime eventloop.Runtime, client *statestore.Client, teams []settings.Team, log *slog.Logger, observer JobObserver) *Catalog {
	catalog := &Catalog{
		runtime: runtime, log: log, observer: observer,
		entries: map[string]*Entry{}, unfinished: map[string]*Entry{}, teams: map[string]settings.Team{},
	}
	for _, team := range teams {
		catalog.teams[team.Name] = team
	}
	catalog.mirror = statestore.NewMirror(runtime, client, KeyPrefix, statestore.MirrorHandler{Apply: catalog.apply})
	return catalog
}

// SetWatchPause sets how long the catalog waits between changes, see
// statestore.Mirror.SetWatchPause.
func (c *Catalog) SetWatchPause(pause func() time.Duration) { c.mirror.SetWatchPause(pause) }

// Start begins to read the job records.
func (c *Catalog) Start() { c.mirror.Start() }

// Ready tells whether all job records have been read.
func (c *Catalog) Ready() bool { return c.mirror.IsReady() }

// Verify calls fn once the catalog is shown to hold everything that was committed before
// the call, or with statestore.ErrNotVerified.
func (c *Catalog) Verify(fn func(error)) { c.mirror.Verify(fn) }

// VerifiedAt returns the latest moment of which it is shown that all cancellations before
// it are known here, see statestore.Mirror.
func (c *Catalog) VerifiedAt() (at time.Duration, known bool) { return c.mirror.VerifiedAt() }

// VerifyIfOlder verifies the catalog unless VerifiedAt is younger than age.
func (c *Catalog) VerifyIfOlder(age time.Duration) { c.mirror.VerifyIfOlder(age) }

// CancellationAge returns how long ago, at most, the user of a job can have been told that
// it is cancelled, if it is. maxClockSkew bounds the difference between two nodes' clocks.
func (c *Catalog) CancellationAge(id string, maxClockSkew time.Duration) (age time.Duration, cancelled bool) {
	entry := c.entries[id]
	if entry == nil || entry.Phase != PhaseCancelled {
		return 0, false
	}
	if entry.CancelledMS == 0 {
		return math.MaxInt64, true
	}
	return max(0, time.Duration(c.runtime.WallClock().UnixMilli()-entry.CancelledMS)*time.Millisecond) + maxClockSkew, true
}

// Get returns a job, nil if it is not known here.
func (c *Catalog) Get(id string) *Entry { return c.entries[id] }

// EachUnfinished calls fn for every job without a final phase, in no order.
func (c *Catalog) EachUnfinished(fn func(*Entry)) {
	for _, entry := range c.unfinished {
		fn(entry)
	}
}

// Observe applies what this process has committed itself, ahead of the watch.
func (c *Catalog) Observe(id string, value json.RawMessage, revision uint64) {
	c.apply(KeyPrefix+id, value, revision)
}

// apply takes a record in, unless it is older than what is known or contradicts it.
func (c *Catalog) apply(key string, value json.RawMessage, revision uint64) {
	id := strings.TrimPrefix(key, KeyPrefix)
	if value == nil {
		c.log.Error("job record was deleted", "job", id)
		return
	}
	entry := c.entries[id]
	if entry != nil && entry.Revision >= revision {
		return
	}
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		c.log.Error("failed to decode a job record", "job", id, "err", err)
		return
	}
	if entry != nil && entry.Phase != "" && entry.Phase != record.Phase {
		// A final phase never changes; this guards what users were told against a record
		// that contradicts it.
		c.log.Error("job record contradicts its final phase", "job", id, "known", string(entry.Phase), "stored", string(record.Phase))
		return
	}
	if record.Phase == PhaseDone {
		record.Spec = nil
	}
	if entry == nil {
		entry = &Entry{ID: id}
		c.entries[id] = entry
	}
	entry.Revision, entry.Record = revision, record
	if record.Phase == "" {
		c.unfinished[id] = entry
	} else {
		delete(c.unfinished, id)
	}
	c.observer.JobChanged(entry)
}
