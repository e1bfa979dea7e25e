package statestore

import (
	"errors"
	"time"
)

// ErrNotVerified means that a copy could not be verified to be current.
var ErrNotVerified = errors.New("state not verified to be current")

// verifiedMoment is the latest time for which a mirror has been verified: it holds everything
// committed before.
type verifiedMoment struct {
	at    time.Duration // on the loop's clock
	known bool
}

func (v *verifiedMoment) advance(at time.Duration) {
	if !v.known || at > v.at {
		v.at, v.known = at, true
	}
}

// checkQueue holds the callers that wait for a freshness check, which is a watch that does
// not wait for changes: its answer proves that the mirror is current. At most one check is in
// flight.
type checkQueue struct {
	waiters    []func(error) // called with the result of the next check to be sent
	inFlight   bool
	scheduled  bool
	lastSentAt time.Duration
	everSent   bool
}

// VerifiedAt returns the latest time, on the loop's clock, for which the mirror is verified to
// hold everything committed before: the time at which a request was sent whose answer has
// been applied. The answer to a watch proves nothing about the time during which the watch
// was open. Code that relies on the copy must use VerifiedAt rather than the time of the
// copy's last change, because answers may arrive late and watches may fail unnoticed. known
// is false before the first answer.
func (m *Mirror) VerifiedAt() (at time.Duration, known bool) { return m.verified.at, m.verified.known }

// Verify calls fn with nil once the mirror is verified to hold everything committed before
// the call, or with ErrNotVerified. Concurrent calls share requests.
func (m *Mirror) Verify(fn func(error)) {
	if !m.ready || m.listing {
		fn(ErrNotVerified)
		return
	}
	m.checks.waiters = append(m.checks.waiters, fn)
	m.scheduleCheck()
}

// VerifyIfOlder verifies the mirror unless VerifiedAt is less than age ago or a verification is
// already waiting to be sent. A check in flight does not count, since the request of the
// verification must be sent from now on.
func (m *Mirror) VerifyIfOlder(age time.Duration) {
	if !m.ready || m.listing || (m.verified.known && m.runtime.Now()-m.verified.at < age) || len(m.checks.waiters) > 0 {
		return
	}
	m.Verify(func(error) {})
}

// scheduleCheck sends a freshness check for the waiting callers, if there are any, at least
// FreshnessCheckInterval after the last one.
func (m *Mirror) scheduleCheck() {
	if m.checks.inFlight || m.checks.scheduled || len(m.checks.waiters) == 0 {
		return
	}
	pause := time.Duration(0)
	if m.checks.everSent {
		pause = max(0, m.checks.lastSentAt+m.client.FreshnessCheckInterval-m.runtime.Now())
	}
	if pause == 0 {
		m.check()
		return
	}
	m.checks.scheduled = true
	m.runtime.After(pause, func() {
		m.checks.scheduled = false
		m.check()
	})
}

// check verifies the mirror for all callers waiting now.
func (m *Mirror) check() {
	if m.checks.inFlight {
		return
	}
	waiters := m.checks.waiters
	m.checks.waiters = nil
	if m.listing { // started after the callers began to wait
		notifyAll(waiters, ErrNotVerified)
		return
	}
	sentAt := m.runtime.Now()
	m.checks.inFlight, m.checks.everSent, m.checks.lastSentAt = true, true, sentAt
	generation := m.generation
	m.client.Watch(m.prefix, m.revision, 0, func(watched WatchResult) {
		m.checks.inFlight = false
		err := ErrNotVerified
		switch {
		case generation != m.generation:
		case watched.Outcome == OutcomeOK:
			m.applyEvents(watched)
			m.verified.advance(sentAt)
			err = nil
		case watched.Outcome == OutcomeGone:
			m.list(0)
		}
		notifyAll(waiters, err)
		m.scheduleCheck()
	})
}

func notifyAll(waiters []func(error), err error) {
	for _, fn := range waiters {
		fn(err)
	}
}
