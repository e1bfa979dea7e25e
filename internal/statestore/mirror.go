package statestore

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// MirrorHandler holds the callbacks that apply key-values to the copy of a mirror's owner.
type MirrorHandler struct {
	// Apply is called for every key-value of a listing and every change, in the order of
	// their revisions. A nil value means that the key has been deleted.
	Apply func(key string, value json.RawMessage, revision uint64)
	// Reset, if set, is called with a complete listing before its entries are applied.
	Reset func(entries []KeyValue)
	// Updated, if set, is called after every complete listing and after every batch of
	// changes.
	Updated func()
}

// Mirror keeps a copy of all key-values under a prefix current. It lists them once, then
// watches their changes, and lists them again if the service no longer has the history that
// the watch needs. The handler holds the copy; the mirror tracks the revision it has reached.
type Mirror struct {
	runtime eventloop.Runtime
	client  *Client
	prefix  string
	handler MirrorHandler

	revision uint64 // all changes up to this one have been applied
	ready    bool   // a listing has been applied
	// generation is incremented by every listing that is started. Answers to requests of
	// earlier generations are dropped.
	generation int
	// listing is set while a listing is in flight. The answer to a freshness check must not
	// be applied then: it would advance the copy, and the older listing would revert it.
	listing bool

	pacer    watchPacer
	checks   checkQueue
	verified verifiedMoment
}

// NewMirror returns a mirror of the key-values under prefix.
func NewMirror(runtime eventloop.Runtime, client *Client, prefix string, handler MirrorHandler) *Mirror {
	return &Mirror{runtime: runtime, client: client, prefix: prefix, handler: handler}
}

// SetWatchPause sets the average pause before the mirror reopens a watch that has returned
// changes. A copy on which no decision is based may lag behind. pause is called after each
// watch that returned changes.
func (m *Mirror) SetWatchPause(pause func() time.Duration) { m.pacer.pause = pause }

// IsReady reports whether a complete listing has been applied.
func (m *Mirror) IsReady() bool { return m.ready }

// Revision returns the revision up to which all changes have been applied.
func (m *Mirror) Revision() uint64 { return m.revision }

// Start lists the key-values and watches their changes from then on.
func (m *Mirror) Start() { m.list(0) }

// list starts a new generation with a complete listing; attempt counts the listings that
// failed before it.
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
	// In the order of their revisions, as a watch would have reported them.
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

// watch requests the next changes within one generation; attempt counts the watches that
// failed before it.
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

// watchAgain reopens the watch after a pause. Without a pause it does so directly, without a
// timer.
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

// applyEvents applies the events of a watch or a freshness check. The two overlap, so events
// that have already been applied are skipped.
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

// watchPacer limits the rate of the watches of a mirror whose keys change constantly.
type watchPacer struct {
	pause  func() time.Duration // nil: none
	nextAt time.Duration        // when the next watch is due at the average rate
}

// next returns the pause before the next watch. The requested pause is kept on average: after
// a quiet period the first tuning.WatchBurst watches are reopened without a pause.
func (p *watchPacer) next(now time.Duration) time.Duration {
	if p.pause == nil {
		return 0
	}
	pause := p.pause()
	p.nextAt = max(p.nextAt, now-tuning.WatchBurst*pause) + pause
	return max(0, p.nextAt-now)
}
