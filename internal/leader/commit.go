package leader

import (
	"slices"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/term"
)

// commitObserver hears what commits mean for the leadership.
type commitObserver interface {
	// commitAnswered says that a commit is over: there may be something to do.
	commitAnswered()
	// tokenRejected says that a commit has failed on the leader's lease, and that the
	// leases have been read anew since.
	tokenRejected()
}

// committer sends transactions under the leader's fencing token, one at a time.
type committer struct {
	runtime  eventloop.Runtime
	state    *statestore.Client
	leases   *statestore.LeaseManager
	terms    *term.Counter
	observer commitObserver
	token    uint64
	busy     bool // a commit is in flight or backs off, or copies are being verified after one
}

// begin takes the fencing token of a new term.
func (c *committer) begin(token uint64) { c.token, c.busy = token, false }

// commit sends operations on the condition that the leadership is still held. done is
// called with the result unless the term has ended or that condition has failed.
func (c *committer) commit(conditions []statestore.Condition, operations []statestore.Operation, done func(statestore.CommitResult)) {
	conditions = append([]statestore.Condition{{Key: statestore.LeaderKey, Revision: c.token}}, conditions...)
	c.busy = true
	c.state.Commit(conditions, operations, term.GuardValue(c.terms, func(result statestore.CommitResult) {
		c.busy = false
		if result.Outcome == statestore.OutcomeConflict && slices.Contains(result.FailedKeys, statestore.LeaderKey) {
			// The watch will say who leads; until then nothing more is sent.
			c.busy = true
			c.leases.Refresh(c.terms.Guard(c.observer.tokenRejected))
			return
		}
		c.observer.commitAnswered()
		done(result)
	}))
}

// backOff calls retry after a pause that grows with the attempts so far; until then nothing
// is sent.
func (c *committer) backOff(attempt int, retry func()) {
	c.busy = true
	c.runtime.After(c.state.Backoff(attempt), c.terms.Guard(func() {
		c.busy = false
		retry()
	}))
}

// verify calls done when a copy of the state has been verified, or could not be; until then
// nothing is sent.
func (c *committer) verify(copied statestore.Verifier, done func(error)) {
	c.busy = true
	copied.Verify(term.GuardValue(c.terms, func(err error) {
		c.busy = false
		done(err)
	}))
}
