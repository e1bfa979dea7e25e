package statestore

import (
	"time"

	"lemonmoor/internal/tuning"
)

// CommitTimeout returns how long to wait for a commit whose outcome must be known. It grows
// with the average latency: with the usual timeout, the outcomes of commit after commit
// would be unknown while the service is merely slow, and each unknown outcome costs a new
// fencing token and a reread of all records.
func (c *Client) CommitTimeout() time.Duration {
	return max(tuning.StateRequestTimeout, min(tuning.CommitTimeoutFactor*c.averageLatency, tuning.MaxCommitTimeout))
}

// Backoff returns the pause before a retry. attempt is the number of retries so far, from 0;
// the pause doubles with each up to tuning.MaxStateBackoff, and is then multiplied by a random
// factor from 0.5 to 1.5.
func (c *Client) Backoff(attempt int) time.Duration {
	pause := min(tuning.MinStateBackoff<<min(attempt, tuning.MaxStateBackoffDoublings), tuning.MaxStateBackoff)
	return time.Duration(float64(pause) * (0.5 + c.runtime.Rand()))
}
