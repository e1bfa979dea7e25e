package statestore

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// ErrNotVerified says that the mirror could not be shown to be current.
var ErrNotVerified = errors.New("state not proven current")

// MirrorHandler is what the owner of a mirror does with the key-values it receives.
type MirrorHandler struct {
	// Apply takes every key-value and every change in the order of their revisions. A nil
	// value means that the key has been removed.
	Apply func(key string, value json.RawMessage, revision uint64)
	// Reset, if set, is called with a complete listing before its entries are applied.
	Reset func(entries []KeyValue)
	// Updated, if set, is called after every complete listing and after every change.
	Updated func()
}

// Mirror keeps a copy of all key-values under a prefix current: it lists them once, then
// follows their changes by a watch.
type Mirror struct {
	handler    MirrorHandler
	watchPause func() time.Duration // nil: none

	rt     eventloop.Runtime
	state  *Client
	prefix string
	epoch  uint64
	ready  bool
	life   int // grows with every full reading; late answers of old ones are dropped
	// reading: the rows are being read anew. A check answered meanwhile would move
	// the copy on, and the listing, which is older, back again.
	reading bool

	next time.Duration // when the watch may be opened again, see rest

	waiting   []func(error)
	checking  bool
	planned   bool
	lastCheck time.Duration
	checked   bool

	proven time.Duration // see Proven
	known  bool
}

// NewMirror returns a mirror of the key-values under prefix.
func NewMirror(rt eventloop.Runtime, state *Client, prefix string, handler MirrorHandler) *Mirror {
	return &Mirror{rt: rt, state: state, prefix: prefix, handler: handler}
}

// SetWatchPause sets how long the mirror waits after changes before it opens the watch
// again; a copy that nothing is decided from may lag behind. It is asked after each watch
// that brought changes.
func (m *Mirror) SetWatchPause(pause func() time.Duration) { m.watchPause = pause }

// IsReady tells whether all rows have been read once.
func (m *Mirror) IsReady() bool { return m.ready }

// VerifiedAt is the newest moment of which it is proven that the mirror holds all
// that was committed before it: when a request was sent whose answer has been
// taken in. A watch proves nothing of the time for which it was open. Answers come
// late and watches fail unseen, so what rests on the copy asks for this, not for
// when it last changed. known is false before the first proof.
func (m *Mirror) VerifiedAt() (at time.Duration, known bool) { return m.proven, m.known }

// prove notes that all committed before a moment is in.
func (m *Mirror) prove(at time.Duration) {
	if !m.known || at > m.proven {
		m.proven, m.known = at, true
	}
}

// Start reads the rows and follows their changes from then on.
func (m *Mirror) Start() { m.read(0) }

func (m *Mirror) read(try int) {
	m.life++
	m.reading = true
	life := m.life
	asked := m.rt.Now()
	m.state.List(m.prefix, func(listed ListResult) {
		if life != m.life {
			return
		}
		if listed.Outcome != OutcomeOK {
			m.rt.After(m.state.Backoff(try), func() {
				if life == m.life {
					m.read(try + 1)
				}
			})
			return
		}
		if m.handler.Reset != nil {
			m.handler.Reset(listed.Entries)
		}
		// In the order of their making, as a watch would have told of them.
		slices.SortStableFunc(listed.Entries, func(a, b KeyValue) int { return cmp.Compare(a.Revision, b.Revision) })
		for _, r := range listed.Entries {
			m.handler.Apply(r.Key, r.Value, r.Revision)
		}
		m.epoch, m.ready, m.reading = listed.Revision, true, false
		m.prove(asked)
		if m.handler.Updated != nil {
			m.handler.Updated()
		}
		m.follow(life, 0)
	})
}

func (m *Mirror) follow(life, try int) {
	asked := m.rt.Now()
	m.state.Watch(m.prefix, m.epoch, tuning.WatchTimeout, func(watched WatchResult) {
		if life != m.life {
			return
		}
		switch watched.Outcome {
		case OutcomeOK:
			m.take(watched.Events, watched.Revision)
			m.prove(asked)
			pause := time.Duration(0)
			if m.watchPause != nil && len(watched.Events) > 0 {
				pause = m.rest(m.watchPause())
			}
			if pause == 0 {
				m.follow(life, 0)
				return
			}
			m.rt.After(pause, func() {
				if life == m.life {
					m.follow(life, 0)
				}
			})
		case OutcomeGone:
			m.read(0)
		default:
			m.rt.After(m.state.Backoff(try), func() {
				if life == m.life {
					m.follow(life, try+1)
				}
			})
		}
	})
}

// rest is how long to rest now, so that rests of the length given are kept on
// average: after a quiet time the first changes are followed at once.
func (m *Mirror) rest(pause time.Duration) time.Duration {
	now := m.rt.Now()
	m.next = max(m.next, now-tuning.WatchBurst*pause) + pause
	return max(0, m.next-now)
}

// take applies the changes up to an epoch. The long watch and the checks
// overlap; what the mirror has reached already is skipped.
func (m *Mirror) take(events []WatchEvent, epoch uint64) {
	if epoch <= m.epoch {
		return
	}
	for _, e := range events {
		if e.Revision <= m.epoch {
			continue
		}
		if e.DeletedKey != "" {
			m.handler.Apply(e.DeletedKey, nil, e.Revision)
		} else {
			m.handler.Apply(e.PutKey, e.Value, e.Revision)
		}
	}
	m.epoch = epoch
	if len(events) > 0 && m.handler.Updated != nil {
		m.handler.Updated()
	}
}

// Verify calls fn once the mirror is proven to hold everything that was
// committed before the call, or with ErrNotVerified. Calls share requests.
func (m *Mirror) Verify(fn func(error)) {
	if !m.ready || m.reading {
		fn(ErrNotVerified)
		return
	}
	m.waiting = append(m.waiting, fn)
	m.plan()
}

// VerifyIfOlder sees to it that the mirror is proven current, by a request sent from now on,
// if it was not within age. Asked again before that has left, it asks no more.
func (m *Mirror) VerifyIfOlder(age time.Duration) {
	if !m.ready || m.reading || (m.known && m.rt.Now()-m.proven < age) || len(m.waiting) > 0 {
		return
	}
	m.Verify(func(error) {})
}

func (m *Mirror) plan() {
	if m.checking || m.planned || len(m.waiting) == 0 {
		return
	}
	pause := time.Duration(0)
	if m.checked {
		pause = max(0, m.lastCheck+m.state.FreshnessCheckInterval-m.rt.Now())
	}
	if pause == 0 {
		m.check()
		return
	}
	m.planned = true
	m.rt.After(pause, func() {
		m.planned = false
		m.check()
	})
}

func (m *Mirror) check() {
	if m.checking {
		return
	}
	waiting := m.waiting
	m.waiting = nil
	if m.reading { // it has begun since they asked
		for _, fn := range waiting {
			fn(ErrNotVerified)
		}
		return
	}
	m.checking, m.checked, m.lastCheck = true, true, m.rt.Now()
	life, asked := m.life, m.lastCheck
	m.state.Watch(m.prefix, m.epoch, 0, func(watched WatchResult) {
		m.checking = false
		var err error
		switch {
		case watched.Outcome == OutcomeOK && life == m.life:
			m.take(watched.Events, watched.Revision)
			m.prove(asked)
		case watched.Outcome == OutcomeGone && life == m.life:
			m.read(0)
			err = ErrNotVerified
		default:
			err = ErrNotVerified
		}
		for _, fn := range waiting {
			fn(err)
		}
		m.plan()
	})
}
