// Package tokenbucket implements a token bucket for budgets that refill at a rate, such as the
// state service's changes per second or the calls to the cloud. golang.org/x/time/rate is not
// suitable: its bursts are integers and its clock is the time of day, while here rate and
// burst are fractions that change between calls and the clock is the event loop's.
//
// A Bucket belongs to the event loop and is not safe for concurrent use.
package tokenbucket

import "time"

// Bucket is a token bucket whose rate and capacity are given with each call. The zero value
// is empty and was last refilled at time 0 of the loop's clock.
type Bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Refill adds the tokens of the time since the last refill, at rate tokens per second, up to
// capacity.
func (b *Bucket) Refill(now time.Duration, rate, capacity float64) {
	b.tokens = min(capacity, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// Reset sets the number of tokens as of now.
func (b *Bucket) Reset(now time.Duration, tokens float64) {
	b.tokens, b.refilledAt = tokens, now
}

// Tokens returns the number of tokens, without refilling the bucket. It is negative if the
// bucket is overdrawn.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Spend removes tokens. The bucket may be overdrawn; later refills cover the deficit first.
func (b *Bucket) Spend(tokens float64) { b.tokens -= tokens }

// UntilNext returns the time from the last refill until the bucket holds one whole token, at
// rate tokens per second, rounded down to the nanosecond. It is not positive if the bucket
// holds one already.
func (b *Bucket) UntilNext(rate float64) time.Duration {
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}
