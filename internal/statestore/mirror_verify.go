package statestore

import (
	"errors"
	"time"
)

// ErrNotVerified means that a copy could not be shown to be current.
var ErrNotVerified = errors.New("state not verified to be current")

// verifiedMoment is the latest moment of which it is shown that a mirror holds all that was
// committed before it.
type verifiedMoment struct {
	at    time.Duration
	known bool
}

func (v *verifiedMoment) advance(at time.Duration) {
	if !v.known || at > v.at {
		v.at, v.known = at, true
	}
}

// checkQueue holds who waits for a check: a watch that does not wait for changes, whose
// answer shows that the mirror is current. At most one check is on its way.
type checkQueue struct {
	waiters    []func(error)
	inFlight   bool
	scheduled  bool
	lastSentAt time.Duration
	everSent   bool
}

// VerifiedAt returns the latest moment of which it is shown that the mirror holds all that
// was committed before it: when a request was sent whose answer has been applied. A watch
// shows nothing of the time for which it was open. Answers come late and watches fail
// unseen, so whatever rests on the copy asks for this moment, not for when the copy last
// changed. known is false before the first answer.
func (m *Mirror) VerifiedAt() (at time.Duration, known bool) { return m.verified.at, m.verified.known }

// Verify calls fn once the mirror is shown to hold everything that was committed before
// the call, or with ErrNotVerified. Calls share requests.
func (m *Mirror) Verify(fn func(error)) {
	if !m.ready || m.listing {
		fn(ErrNotVerified)
		return
	}
	m.checks.waiters = append(m.checks.waiters, fn)
	m.scheduleCheck()
}

// VerifyIfOlder verifies the mirror, by a request sent from now on, unless VerifiedAt is
// younger than age. While a verification waits to be sent, no other is asked for.
func (m *Mirror) VerifyIfOlder(age time.Duration) {
	if !m.ready || m.listing || (m.verified.known && m.runtime.Now()-m.verified.at < age) || len(m.checks.waiters) > 0 {
		return
	}
	m.Verify(func(error) {})
}

// scheduleCheck sends a check for those who wait, no sooner than FreshnessCheckInterval
// after the last one.
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

// check verifies the mirror for all who wait now.
func (m *Mirror) check() {
	if m.checks.inFlight {
		return
	}
	waiters := m.checks.waiters
	m.checks.waiters = nil
	if m.listing { // it has begun since they asked
		answerAll(waiters, ErrNotVerified)
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
		answerAll(waiters, err)
		m.scheduleCheck()
	})
}

func answerAll(waiters []func(error), err error) {
	for _, fn := range waiters {
		fn(err)
	}
}
