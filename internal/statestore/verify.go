package statestore

import "lemonmoor/internal/term"

// Verifier is a copy of part of the state that can be verified to be current.
type Verifier interface {
	// Verify calls fn with nil once the copy is verified to hold everything committed
	// before the call, or with an error if it could not be verified.
	Verify(fn func(error))
}

// VerifyUntilCurrent verifies copies one after the other and calls done when all of them are
// verified. If one cannot be verified, all are verified again after a pause that grows with
// each attempt. When the term ends it stops without calling done.
func (c *Client) VerifyUntilCurrent(terms *term.Counter, done func(), copies ...Verifier) {
	c.verifyUntilCurrent(terms, done, copies, 0)
}

func (c *Client) verifyUntilCurrent(terms *term.Counter, done func(), copies []Verifier, attempt int) {
	var verifyFrom func(index int)
	verifyFrom = func(index int) {
		if index == len(copies) {
			done()
			return
		}
		copies[index].Verify(term.GuardValue(terms, func(err error) {
			if err == nil {
				verifyFrom(index + 1)
				return
			}
			c.runtime.After(c.Backoff(attempt), terms.Guard(func() {
				c.verifyUntilCurrent(terms, done, copies, attempt+1)
			}))
		}))
	}
	verifyFrom(0)
}
