package statestore

import (
	"time"

	"lemonmoor/internal/tuning"
)

// Limits are what the state service allows, now and after announced changes.
type Limits struct {
	// MaxOperations is the most operations in a commit.
	MaxOperations int
	// MaxValueBytes is the most bytes in a value.
	MaxValueBytes int
	// FutureWriteShare is the share of the writes a second that may be left later, from 0
	// to 1.
	FutureWriteShare float64
}

// SetLimits sets the limits that the settings tell.
func (c *Client) SetLimits(limits Limits) { c.limits = limits }

// MaxOperations returns the most operations that a commit may hold, at least 1.
func (c *Client) MaxOperations() int { return max(1, c.limits.MaxOperations) }

// MaxValueBytes returns the most bytes that a value may have.
func (c *Client) MaxValueBytes() int { return max(tuning.MinValueBytes, c.limits.MaxValueBytes) }

// WriteShare returns the share of the writes a second that this node may use, from 0 to 1:
// it backs off while the service refuses writes, where its limits are to fall.
func (c *Client) WriteShare() float64 { return c.throttle.currentShare(c.runtime.Now()) }

// WritesThrottled tells whether the service has lately refused commits because there were
// too many writes in a second.
func (c *Client) WritesThrottled() bool { return c.throttle.isActive(c.runtime.Now()) }

// halveLimits takes note of a commit that the service finds too large: its limits are not
// what the settings say. Sent again as it was, the commit would fail for ever.
func (c *Client) halveLimits(operations []Operation) {
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

// writeThrottle is the share of the service's writes a second that this node uses. It falls
// by a factor with refusals and grows back steadily.
type writeThrottle struct {
	share           float64 // as of shareUpdatedAt
	shareUpdatedAt  time.Duration
	lastDecreasedAt time.Duration
	lastRefusedAt   time.Duration
	hasBeenRefused  bool
}

func (w *writeThrottle) currentShare(now time.Duration) float64 {
	w.share = min(1, w.share+tuning.WriteShareIncreasePerSecond*(now-w.shareUpdatedAt).Seconds())
	w.shareUpdatedAt = now
	return w.share
}

func (w *writeThrottle) isActive(now time.Duration) bool {
	return w.hasBeenRefused && now-w.lastRefusedAt < tuning.WritesThrottledPeriod
}

// refused takes note of a commit refused for the writes a second. The share falls only
// where the service's limit is to fall, to futureShare of what it is.
func (w *writeThrottle) refused(now time.Duration, futureShare float64) {
	w.lastRefusedAt, w.hasBeenRefused = now, true
	if futureShare >= 1 || now-w.lastDecreasedAt < tuning.WriteShareDecreaseInterval {
		return
	}
	w.lastDecreasedAt = now
	w.share = max(futureShare*tuning.WriteShareDecreaseFactor, w.currentShare(now)*tuning.WriteShareDecreaseFactor)
}
