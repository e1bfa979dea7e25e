// Package tokenbucket meters a budget that refills at a rate, such as the state service's
// changes a second or the cloud's calls. golang.org/x/time/rate is not used: its bursts are
// whole numbers and its clock is the time of day, while here both rate and burst are
// fractions that change between calls and the clock is the event loop's.
//
// A Bucket belongs to the event loop and is not safe for concurrent use.
package tokenbucket

import "time"

// Bucket holds the tokens that may be spent now. The zero value is empty, last refilled
// at time 0 of the loop's clock.
type Bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Refill adds what has come in since the last refill, at rate tokens a second, up to
// capacity.
func (b *Bucket) Refill(now time.Duration, rate, capacity float64) {
	b.tokens = min(capacity, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// Reset gives the bucket exactly so many tokens.
func (b *Bucket) Reset(now time.Duration, tokens float64) {
	b.tokens, b.refilledAt = tokens, now
}

// Tokens returns how many tokens there are, as of the last refill.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Spend takes tokens out. The bucket may be overdrawn; refills then make up for it first.
func (b *Bucket) Spend(tokens float64) { b.tokens -= tokens }

// UntilNext returns how long refilling takes at rate tokens a second until there is one
// whole token, rounded down to the nanosecond.
func (b *Bucket) UntilNext(rate float64) time.Duration {
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}
