package leader

import (
	"slices"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
)

// commitObserver is notified of the answers to commits.
type commitObserver interface {
	// commitAnswered is called when a commit has been answered, before its result is
	// processed: work that waited for the answer may be due.
	commitAnswered()
	// tokenRejected is called when a commit has failed on the condition on the leader's
	// lease, after the leases have been read again.
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
	// busy is set while a commit is in flight or backs off, and while a copy is being verified
	// or the leases are being read again after a commit.
	busy bool
}

// begin sets the fencing token of a new term. A commit of an earlier term no longer blocks
// new ones.
func (c *committer) begin(token uint64) { c.token, c.busy = token, false }

// commit sends operations under the given conditions and the one that this process still
// holds the leadership. done is called with the result unless the term has ended or the
// condition on the leadership has failed.
func (c *committer) commit(conditions []statestore.Condition, operations []statestore.Operation, done func(statestore.CommitResult)) {
	conditions = append([]statestore.Condition{{Key: statestore.LeaderKey, Revision: c.token}}, conditions...)
	c.busy = true
	c.state.Commit(conditions, operations, term.GuardValue(c.terms, func(result statestore.CommitResult) {
		c.busy = false
		if result.Outcome == statestore.OutcomeConflict && slices.Contains(result.FailedKeys, statestore.LeaderKey) {
			// Another node may lead by now, which the watch of the leases reports. Until the
			// leases have been read again nothing more is sent.
			c.busy = true
			c.leases.Refresh(c.terms.Guard(c.observer.tokenRejected))
			return
		}
		c.observer.commitAnswered()
		done(result)
	}))
}

// backOff calls retry after a pause that grows with attempt, the number of earlier retries.
// Until then nothing is sent.
func (c *committer) backOff(attempt int, retry func()) {
	c.busy = true
	c.runtime.After(c.state.Backoff(attempt), c.terms.Guard(func() {
		c.busy = false
		retry()
	}))
}

// renewToken requests a new fencing token, again and again until it is granted, which ends the term:
// a commit that was not answered, and whose repetition is refused for good, fails under it. Until then
// nothing is sent.
func (c *committer) renewToken() {
	c.busy = true
	c.leases.RenewLeaderToken()
	c.runtime.After(tuning.MaxStateBackoff, c.terms.Guard(c.renewToken))
}

// verify verifies that a copy of the stored state is current and calls done with the error,
// nil if it is. Until then nothing is sent.
func (c *committer) verify(copied statestore.Verifier, done func(error)) {
	c.busy = true
	copied.Verify(term.GuardValue(c.terms, func(err error) {
		c.busy = false
		done(err)
	}))
}
