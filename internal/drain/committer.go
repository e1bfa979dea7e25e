package drain

import (
	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/term"
)

// committer commits the changes of a term of leadership, one commit at a time, and waits
// until the local records show the outcome of each.
type committer struct {
	rt      eventloop.Runtime
	state   *statestore.Client
	records *Records

	terms      term.Counter
	token      uint64 // fencing token of the leadership, 0 outside a term
	isVerified bool   // whether the records were verified in this term
	inFlight   bool   // whether a commit is in progress or its outcome is not yet visible
}

// beginTerm starts a term. isReady returns true once the records are verified in it.
func (c *committer) beginTerm(token uint64) {
	c.token = token
	c.state.VerifyUntilCurrent(&c.terms, func() { c.isVerified = true }, c.records)
}

// endTerm ends the term. Responses that arrive later are ignored, so the outcomes of commits
// in progress are never reported.
func (c *committer) endTerm() {
	c.terms.Advance()
	c.token, c.isVerified, c.inFlight = 0, false, false
}

// hasTerm reports whether a term is in progress.
func (c *committer) hasTerm() bool { return c.token != 0 }

// isReady reports whether the records contain everything that earlier leaders committed.
func (c *committer) isReady() bool { return c.hasTerm() && c.isVerified }

// commit commits operations on condition of the leader's fencing token and the given
// conditions. It calls done when the records show the outcome; isCommitted is false if a
// condition failed. A commit without an answer is repeated, which is safe: if the first
// attempt was carried out, a condition of the second one fails.
func (c *committer) commit(conditions []statestore.Condition, operations []statestore.Operation, done func(isCommitted bool)) {
	c.inFlight = true
	conditions = append([]statestore.Condition{{Key: statestore.LeaderKey, Revision: c.token}}, conditions...)
	c.attempt(0, conditions, operations, done)
}

// attempt sends a commit and repeats it, with a backoff, until its outcome is known.
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

// awaitVisible verifies the records, so that they contain what was committed, and then calls
// done.
func (c *committer) awaitVisible(done func()) {
	c.state.VerifyUntilCurrent(&c.terms, func() {
		c.inFlight = false
		done()
	}, c.records)
}
