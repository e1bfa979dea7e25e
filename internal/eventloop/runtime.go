package eventloop

import (
	"errors"
	"time"

	"lemonmoor/internal/http1"
)

// ErrNotSent means that a call surely never reached its target.
var ErrNotSent = errors.New("not sent")

// ErrNoAnswer means that a call may have been carried out, or may yet be.
var ErrNoAnswer = errors.New("no answer")

// Runtime is all that the owners of state know of the world outside the loop. Every
// callback runs on the loop.
type Runtime interface {
	// Now reads the steady clock: the time since some fixed moment.
	Now() time.Duration
	// WallClock reads the time of day.
	WallClock() time.Time
	// After runs fn on the loop once delay has passed; never before it returns.
	After(delay time.Duration, fn func())
	// CallHTTP sends a request to an address (host:port) and passes the response,
	// ErrNotSent or ErrNoAnswer to fn. timeout is for both together.
	CallHTTP(address string, request http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error))
	// CallPeer sends a message to another controller and passes its answer, or the reason
	// why there is none, to fn. A message that failed may have been handled.
	CallPeer(endpoint, path string, body []byte, timeout time.Duration, fn func(body []byte, err error))
	// Rand returns a random number in [0,1).
	Rand() float64
}
