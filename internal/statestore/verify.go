package statestore

import "lemonmoor/internal/term"

// Verifier is a copy of a part of the state that can be verified to be current.
type Verifier interface {
	// Verify calls fn once the copy is shown to hold everything that was committed
	// before the call, or with an error if that could not be shown.
	Verify(fn func(error))
}

// VerifyUntilCurrent verifies copies one after the other and calls done when all of them
// are verified. Whenever one is not, all are verified again, after a pause that
// grows. It gives up silently when the term ends.
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
