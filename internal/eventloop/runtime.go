package eventloop

import (
	"errors"
	"time"

	"lemonmoor/internal/http1"
)

// ErrNotSent means that no part of a call reached its target, so that it was not carried out.
var ErrNotSent = errors.New("not sent")

// ErrNoAnswer means that a call was sent but not answered: it may have been carried out, or
// may still be.
var ErrNoAnswer = errors.New("no answer")

// Runtime gives the owners of state access to everything outside the loop: clocks, timers,
// network calls and randomness. Every callback runs on the loop.
type Runtime interface {
	// Now returns the time on the monotonic clock, counted from a fixed point in the past.
	Now() time.Duration
	// WallClock returns the time of day.
	WallClock() time.Time
	// After runs fn on the loop once delay has passed. It never calls fn before it returns,
	// even without a delay.
	After(delay time.Duration, fn func())
	// CallHTTP sends a request to an address (host:port) and passes the response,
	// ErrNotSent or ErrNoAnswer to fn. timeout covers both request and response.
	CallHTTP(address string, request http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error))
	// CallPeer sends a message to another controller and passes its answer, or an error, to
	// fn. A message whose call failed may have been handled nevertheless.
	CallPeer(endpoint, path string, body []byte, timeout time.Duration, fn func(body []byte, err error))
	// Rand returns a random number in [0,1).
	Rand() float64
}
