package statestore

import (
	"time"

	"lemonmoor/internal/tuning"
)

// Limits are the limits of the state service, now and after announced changes.
type Limits struct {
	// MaxOperations is the maximum number of operations in a commit.
	MaxOperations int
	// MaxValueBytes is the maximum size of a value in bytes.
	MaxValueBytes int
	// FutureWriteShare is the announced future limit of writes per second as a fraction of
	// the current one, from 0 to 1; it is 1 if no reduction is announced.
	FutureWriteShare float64
}

// SetLimits sets the limits given by the settings.
func (c *Client) SetLimits(limits Limits) { c.limits = limits }

// MaxOperations returns the maximum number of operations in a commit, at least 1.
func (c *Client) MaxOperations() int { return max(1, c.limits.MaxOperations) }

// MaxValueBytes returns the maximum size of a value in bytes, at least tuning.MinValueBytes.
func (c *Client) MaxValueBytes() int { return max(tuning.MinValueBytes, c.limits.MaxValueBytes) }

// WriteShare returns the fraction of the limit of writes per second that this node may use,
// from 0 to 1. If a reduction of the limit is announced, the share decreases while the
// service refuses writes.
func (c *Client) WriteShare() float64 { return c.throttle.currentShare(c.runtime.Now()) }

// WritesThrottled reports whether the service has refused a commit for too many writes per
// second within the last tuning.WritesThrottledPeriod.
func (c *Client) WritesThrottled() bool { return c.throttle.isActive(c.runtime.Now()) }

// lowerLimits reduces the limits after the service has rejected a commit as too large, to at
// most half of the commit's operations and half of its largest value. The limits in the
// settings are too high then, and a retry of the same size would fail forever.
func (c *Client) lowerLimits(operations []Operation) {
	largest := 0
	for _, operation := range operations {
		largest = max(largest, len(operation.Value))
	}
	earlier := c.limits
	c.limits.MaxOperations = max(1, min(c.limits.MaxOperations, len(operations)/2))
	c.limits.MaxValueBytes = max(tuning.MinValueBytes, min(c.limits.MaxValueBytes, largest/2))
	if earlier != c.limits {
		c.log.Warn("state service limits are lower than the settings say",
			"max_operations", c.limits.MaxOperations, "max_value_bytes", c.limits.MaxValueBytes)
	}
}

// writeThrottle controls the share of the service's writes per second that this node uses.
// The share decreases by a factor on refusals and increases at a constant rate (additive
// increase, multiplicative decrease).
type writeThrottle struct {
	share           float64 // as of shareUpdatedAt
	shareUpdatedAt  time.Duration
	lastDecreasedAt time.Duration
	lastRefusedAt   time.Duration
	hasBeenRefused  bool
}

// currentShare returns the share after the increase since its last update.
func (w *writeThrottle) currentShare(now time.Duration) float64 {
	w.share = min(1, w.share+tuning.WriteShareIncreasePerSecond*(now-w.shareUpdatedAt).Seconds())
	w.shareUpdatedAt = now
	return w.share
}

func (w *writeThrottle) isActive(now time.Duration) bool {
	return w.hasBeenRefused && now-w.lastRefusedAt < tuning.WritesThrottledPeriod
}

// recordRefusal records a commit refused for too many writes per second. The share decreases
// only if a reduction of the service's limit is announced, to futureShare of its current
// value.
func (w *writeThrottle) recordRefusal(now time.Duration, futureShare float64) {
	w.lastRefusedAt, w.hasBeenRefused = now, true
	if futureShare >= 1 || now-w.lastDecreasedAt < tuning.WriteShareDecreaseInterval {
		return
	}
	w.lastDecreasedAt = now
	w.share = max(futureShare*tuning.WriteShareDecreaseFactor, w.currentShare(now)*tuning.WriteShareDecreaseFactor)
}
