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

// JobObserver receives changes of job records.
type JobObserver interface {
	// JobChanged is called on the event loop for every new and every changed record.
	JobChanged(entry *Entry)
}

// Catalog is a local copy of all job records, updated by a watch on the state service.
type Catalog struct {
	runtime  eventloop.Runtime
	log      *slog.Logger
	observer JobObserver
	mirror   *statestore.Mirror

	entries    map[string]*Entry
	unfinished map[string]*Entry // jobs without a final phase
	teams      map[string]settings.Team
}

// NewCatalog returns an empty catalog. Once Start is called, observer is notified of every
// change.
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

// SetWatchPause sets the average pause before the watch is opened again after changes, see
// statestore.Mirror.SetWatchPause.
func (c *Catalog) SetWatchPause(pause func() time.Duration) { c.mirror.SetWatchPause(pause) }

// Start starts reading the job records.
func (c *Catalog) Start() { c.mirror.Start() }

// Ready reports whether all job records have been read.
func (c *Catalog) Ready() bool { return c.mirror.IsReady() }

// Revision returns the revision of the state service up to which the catalog holds all changes.
func (c *Catalog) Revision() uint64 { return c.mirror.Revision() }

// Verify calls fn with nil once the catalog is known to contain everything that was committed
// before the call, or with statestore.ErrNotVerified if that cannot be confirmed.
func (c *Catalog) Verify(fn func(error)) { c.mirror.Verify(fn) }

// VerifiedAt returns the latest time for which the catalog is known to contain all earlier
// cancellations; known is false if there is none yet. See statestore.Mirror.VerifiedAt.
func (c *Catalog) VerifiedAt() (at time.Duration, known bool) { return c.mirror.VerifiedAt() }

// VerifyIfOlder starts a verification of the catalog unless VerifiedAt is less than age ago.
func (c *Catalog) VerifyIfOlder(age time.Duration) { c.mirror.VerifyIfOlder(age) }

// CancellationAge returns an upper bound of the time since the job's user may have been told
// that it is cancelled; cancelled is false if it is not. The age is math.MaxInt64 if the
// record has no cancellation time. maxClockSkew is the maximum difference between two nodes'
// clocks.
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

// Get returns the job with the given ID, or nil if the catalog does not contain it.
func (c *Catalog) Get(id string) *Entry { return c.entries[id] }

// EachUnfinished calls fn for every job without a final phase, in unspecified order.
func (c *Catalog) EachUnfinished(fn func(*Entry)) {
	for _, entry := range c.unfinished {
		fn(entry)
	}
}

// Observe applies a record that this process has committed, before the watch delivers it.
func (c *Catalog) Observe(id string, value json.RawMessage, revision uint64) {
	c.apply(KeyPrefix+id, value, revision)
}

// apply stores a record in the catalog and notifies the observer. It ignores a record that is
// not newer than the known one, and logs an error for one that contradicts a final phase.
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
		// A final phase never changes. A record that contradicts it is ignored, because users
		// may have been told the final phase already.
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
