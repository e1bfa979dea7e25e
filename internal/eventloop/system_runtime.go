package eventloop

import (
	"math/rand/v2"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// SystemRuntime is the Runtime of a running process.
type SystemRuntime struct {
	loop   *Loop
	client *http1.Client
	peers  PeerSender
	start  time.Time
}

// PeerSender sends a message to another controller and waits for its answer.
type PeerSender interface {
	Send(endpoint, path string, body []byte, timeout time.Duration) ([]byte, error)
}

// NewSystemRuntime returns a runtime that posts to loop and calls through client.
func NewSystemRuntime(loop *Loop, client *http1.Client, peers PeerSender) *SystemRuntime {
	r := &SystemRuntime{loop: loop, client: client, peers: peers, start: time.Now()}
	r.sweep()
	return r
}

func (r *SystemRuntime) sweep() {
	time.AfterFunc(tuning.SocketSweepInterval, func() {
		r.client.CloseIdle()
		r.sweep()
	})
}

// Now reads the steady clock, from the start of the process.
func (r *SystemRuntime) Now() time.Duration { return time.Since(r.start) }

// WallClock reads the time of day.
func (r *SystemRuntime) WallClock() time.Time { return time.Now() }

// Rand returns a random number in [0,1).
func (r *SystemRuntime) Rand() float64 { return rand.Float64() }

// After runs fn on the loop once d has passed.
func (r *SystemRuntime) After(d time.Duration, fn func()) {
	if d <= 0 {
		r.loop.Post(DecisionLane, fn)
		return
	}
	time.AfterFunc(d, func() { r.loop.Post(DecisionLane, fn) })
}

// CallHTTP sends a request from a goroutine of its own; the answer comes back
// through the loop.
func (r *SystemRuntime) CallHTTP(addr string, req http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error)) {
	go func() {
		ans, sent, err := r.client.Send(addr, req, timeout)
		var a http1.Response
		switch {
		case err == nil:
			a = *ans
		case sent:
			err = ErrNoAnswer
		default:
			err = ErrNotSent
		}
		r.loop.Post(HeartbeatLane, func() { fn(a, err) })
	}()
}

// CallPeer sends a message to another controller from a goroutine of its own.
func (r *SystemRuntime) CallPeer(endpoint, path string, body []byte, timeout time.Duration, fn func([]byte, error)) {
	go func() {
		answer, err := r.peers.Send(endpoint, path, body, timeout)
		r.loop.Post(HeartbeatLane, func() { fn(answer, err) })
	}()
}
