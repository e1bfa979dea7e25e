package statestore

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// MirrorHandler is what the owner of a mirror does with the key-values it receives.
type MirrorHandler struct {
	// Apply takes every key-value and every change in the order of their revisions. A nil
	// value means that the key has been deleted.
	Apply func(key string, value json.RawMessage, revision uint64)
	// Reset, if set, is called with a complete listing before its entries are applied.
	Reset func(entries []KeyValue)
	// Updated, if set, is called after every complete listing and after every change.
	Updated func()
}

// Mirror keeps a copy of all key-values under a prefix current: it lists them once, then
// follows their changes by a watch, and lists them anew when the service has dropped the
// history in between. The handler holds the copy; the mirror owns how far it has come.
type Mirror struct {
	runtime eventloop.Runtime
	client  *Client
	prefix  string
	handler MirrorHandler

	revision uint64 // all changes up to this one have been applied
	ready    bool   // a listing has been applied
	// generation grows with every listing begun. Answers to requests of earlier
	// generations are dropped.
	generation int
	// listing tells that a listing is on its way. The answer to a check that arrives
	// meanwhile would move the copy on, and the listing, which is older, back again.
	listing bool

	pacer    watchPacer
	checks   checkQueue
	verified verifiedMoment
}

// NewMirror returns a mirror of the key-values under prefix.
func NewMirror(runtime eventloop.Runtime, client *Client, prefix string, handler MirrorHandler) *Mirror {
	return &Mirror{runtime: runtime, client: client, prefix: prefix, handler: handler}
}

// SetWatchPause sets how long the mirror waits after changes before it opens the watch
// again; a copy that nothing is decided from may lag behind. It is asked after each watch
// that brought changes.
func (m *Mirror) SetWatchPause(pause func() time.Duration) { m.pacer.pause = pause }

// IsReady tells whether a complete listing has been applied.
func (m *Mirror) IsReady() bool { return m.ready }

// Start lists the key-values and follows their changes from then on.
func (m *Mirror) Start() { m.list(0) }

// list begins a new generation with a complete listing.
func (m *Mirror) list(attempt int) {
	m.generation++
	m.listing = true
	generation := m.generation
	sentAt := m.runtime.Now()
	m.client.List(m.prefix, func(listed ListResult) {
		if generation != m.generation {
			return
		}
		if listed.Outcome != OutcomeOK {
			m.runtime.After(m.client.Backoff(attempt), func() {
				if generation == m.generation {
					m.list(attempt + 1)
				}
			})
			return
		}
		m.applyListing(listed)
		m.verified.advance(sentAt)
		m.updated()
		m.watch(generation, 0)
	})
}

func (m *Mirror) applyListing(listed ListResult) {
	if m.handler.Reset != nil {
		m.handler.Reset(listed.Entries)
	}
	// In the order of their changes, as a watch would have reported them.
	slices.SortStableFunc(listed.Entries, func(a, b KeyValue) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, entry := range listed.Entries {
		m.handler.Apply(entry.Key, entry.Value, entry.Revision)
	}
	m.revision, m.ready, m.listing = listed.Revision, true, false
}

func (m *Mirror) updated() {
	if m.handler.Updated != nil {
		m.handler.Updated()
	}
}

// watch follows the changes of one generation.
func (m *Mirror) watch(generation, attempt int) {
	sentAt := m.runtime.Now()
	m.client.Watch(m.prefix, m.revision, tuning.WatchTimeout, func(watched WatchResult) {
		if generation != m.generation {
			return
		}
		switch watched.Outcome {
		case OutcomeOK:
			m.applyEvents(watched)
			m.verified.advance(sentAt)
			pause := time.Duration(0)
			if len(watched.Events) > 0 {
				pause = m.pacer.next(m.runtime.Now())
			}
			m.watchAgain(generation, 0, pause)
		case OutcomeGone:
			m.list(0)
		case OutcomeConflict, OutcomeRefused, OutcomeUnknown, OutcomeInvalid:
			m.watchAgain(generation, attempt+1, m.client.Backoff(attempt))
		}
	})
}

// watchAgain opens the watch after a pause; without one, at once and not by a timer.
func (m *Mirror) watchAgain(generation, attempt int, pause time.Duration) {
	if pause == 0 {
		m.watch(generation, attempt)
		return
	}
	m.runtime.After(pause, func() {
		if generation == m.generation {
			m.watch(generation, attempt)
		}
	})
}

// applyEvents applies the changes up to a revision. The long watch and the checks overlap;
// what has been applied already is skipped.
func (m *Mirror) applyEvents(watched WatchResult) {
	if watched.Revision <= m.revision {
		return
	}
	for _, event := range watched.Events {
		if event.Revision <= m.revision {
			continue
		}
		if event.DeletedKey != "" {
			m.handler.Apply(event.DeletedKey, nil, event.Revision)
		} else {
			m.handler.Apply(event.PutKey, event.Value, event.Revision)
		}
	}
	m.revision = watched.Revision
	if len(watched.Events) > 0 {
		m.updated()
	}
}

// watchPacer spreads the watches of a mirror under constant change.
type watchPacer struct {
	pause  func() time.Duration // nil: none
	nextAt time.Duration        // when the next watch is due on average
}

// next returns the pause before the next watch, so that the pauses asked for are kept on
// average: after a quiet time the first changes are followed at once.
func (p *watchPacer) next(now time.Duration) time.Duration {
	if p.pause == nil {
		return 0
	}
	pause := p.pause()
	p.nextAt = max(p.nextAt, now-tuning.WatchBurst*pause) + pause
	return max(0, p.nextAt-now)
}
