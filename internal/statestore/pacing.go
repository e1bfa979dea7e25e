package statestore

import (
	"time"

	"lemonmoor/internal/tuning"
)

// CommitTimeout returns how long to wait for a commit whose outcome must be known. A service
// that answers slowly is not one that has failed: given up on at the usual time, commits
// were in doubt one after the other, and each doubt cost a new fencing token and a reading
// of all records.
func (c *Client) CommitTimeout() time.Duration {
	return max(tuning.StateRequestTimeout, min(tuning.CommitTimeoutFactor*c.averageLatency, tuning.MaxCommitTimeout))
}

// Backoff returns the pause before another attempt, with jitter; attempt counts from 0.
func (c *Client) Backoff(attempt int) time.Duration {
	pause := min(tuning.MinStateBackoff<<min(attempt, tuning.MaxStateBackoffDoublings), tuning.MaxStateBackoff)
	return time.Duration(float64(pause) * (0.5 + c.runtime.Rand()))
}
