package drain

import (
	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/term"
)

// committer makes the changes of a term of leadership, one commit at a time, and waits
// until the records show what came of each.
type committer struct {
	rt      eventloop.Runtime
	state   *statestore.Client
	records *Records

	terms     term.Counter
	token     uint64 // fencing token of the leadership, 0 without it
	isCurrent bool   // the records were verified in this term
	inFlight  bool   // a commit is under way, or its outcome is being read
}

// begin starts a term, which is ready once the records are verified in it.
func (c *committer) begin(token uint64) {
	c.token = token
	c.state.VerifyUntilCurrent(&c.terms, func() { c.isCurrent = true }, c.records)
}

// end drops the answers that are still to come, and with them the outcomes of commits.
func (c *committer) end() {
	c.terms.Advance()
	c.token, c.isCurrent, c.inFlight = 0, false, false
}

// hasTerm reports whether a term has begun and not ended.
func (c *committer) hasTerm() bool { return c.token != 0 }

// isReady reports whether the records hold all that earlier leaders have committed.
func (c *committer) isReady() bool { return c.hasTerm() && c.isCurrent }

// commit carries out operations under the leader's fencing token and the conditions, and
// calls done when the records show what came of them; isCommitted is false if a condition
// failed. A commit without an answer is repeated: carried out twice, it fails the second
// time.
func (c *committer) commit(conditions []statestore.Condition, operations []statestore.Operation, done func(isCommitted bool)) {
	c.inFlight = true
	conditions = append([]statestore.Condition{{Key: statestore.LeaderKey, Revision: c.token}}, conditions...)
	c.attempt(0, conditions, operations, done)
}

func (c *committer) attempt(attempt int, conditions []statestore.Condition, operations []statestore.Operation, done func(bool)) {
	c.state.Commit(conditions, operations, term.GuardValue(&c.terms, func(result statestore.CommitResult) {
		switch result.Outcome {
		case statestore.OutcomeOK, statestore.OutcomeConflict:
			c.awaitVisible(func() { done(result.Outcome == statestore.OutcomeOK) })
		case statestore.OutcomeRefused, statestore.OutcomeUnknown, statestore.OutcomeGone, statestore.OutcomeInvalid:
			c.rt.After(c.state.Backoff(attempt), c.terms.Guard(func() { c.attempt(attempt+1, conditions, operations, done) }))
		}
	}))
}

// awaitVisible calls done when the records are verified to hold what was committed.
func (c *committer) awaitVisible(done func()) {
	c.state.VerifyUntilCurrent(&c.terms, func() {
		c.inFlight = false
		done()
	}, c.records)
}
