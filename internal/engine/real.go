package engine

import (
	"math/rand/v2"
	"time"

	"lemonmoor/internal/httpwire"
	"lemonmoor/internal/tuning"
)

// Real is the Runtime of a running process.
type Real struct {
	loop   *Loop
	client *httpwire.Client
	peers  PeerSender
	start  time.Time
}

// PeerSender sends a message to another controller and waits for its answer.
type PeerSender interface {
	Send(endpoint, path string, body []byte, timeout time.Duration) ([]byte, error)
}

// NewReal returns a runtime that posts to loop and calls through client.
func NewReal(loop *Loop, client *httpwire.Client, peers PeerSender) *Real {
	r := &Real{loop: loop, client: client, peers: peers, start: time.Now()}
	r.sweep()
	return r
}

func (r *Real) sweep() {
	time.AfterFunc(tuning.SocketsTick, func() {
		r.client.Sweep()
		r.sweep()
	})
}

// Now reads the steady clock, from the start of the process.
func (r *Real) Now() time.Duration { return time.Since(r.start) }

// Wall reads the time of day.
func (r *Real) Wall() time.Time { return time.Now() }

// Rand returns a random number in [0,1).
func (r *Real) Rand() float64 { return rand.Float64() }

// After runs fn on the loop once d has passed.
func (r *Real) After(d time.Duration, fn func()) {
	if d <= 0 {
		r.loop.Post(Decisions, fn)
		return
	}
	time.AfterFunc(d, func() { r.loop.Post(Decisions, fn) })
}

// Call sends a request from a goroutine of its own; the answer comes back
// through the loop.
func (r *Real) Call(addr string, req httpwire.Call, timeout time.Duration, fn func(httpwire.Answer, error)) {
	go func() {
		ans, sent, err := r.client.Do(addr, req, timeout)
		var a httpwire.Answer
		switch {
		case err == nil:
			a = *ans
		case sent:
			err = ErrNoAnswer
		default:
			err = ErrNotSent
		}
		r.loop.Post(Reports, func() { fn(a, err) })
	}()
}

// Peer sends a message to another controller from a goroutine of its own.
func (r *Real) Peer(endpoint, path string, body []byte, timeout time.Duration, fn func([]byte, error)) {
	go func() {
		answer, err := r.peers.Send(endpoint, path, body, timeout)
		r.loop.Post(Reports, func() { fn(answer, err) })
	}()
}
