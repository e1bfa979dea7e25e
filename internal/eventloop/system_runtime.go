package eventloop

import (
	"math/rand/v2"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// PeerSender sends a message to another controller and waits for its answer.
type PeerSender interface {
	// Send may be called concurrently; timeout covers both the message and its answer.
	Send(endpoint, path string, body []byte, timeout time.Duration) ([]byte, error)
}

// SystemRuntime is the Runtime of a running process. It reads the machine's clocks and sends
// each call from its own goroutine, which posts the response to the loop and does nothing
// else.
type SystemRuntime struct {
	loop      *Loop
	client    *http1.Client
	peers     PeerSender
	startedAt time.Time
}

var _ Runtime = (*SystemRuntime)(nil)

// NewSystemRuntime returns a runtime that posts to loop and sends calls through client and
// peers. It also starts a timer that closes the client's idle connections every
// tuning.SocketSweepInterval until the process ends.
func NewSystemRuntime(loop *Loop, client *http1.Client, peers PeerSender) *SystemRuntime {
	runtime := &SystemRuntime{loop: loop, client: client, peers: peers, startedAt: time.Now()}
	runtime.closeIdlePeriodically()
	return runtime
}

func (s *SystemRuntime) closeIdlePeriodically() {
	time.AfterFunc(tuning.SocketSweepInterval, func() {
		s.client.CloseIdle()
		s.closeIdlePeriodically()
	})
}

// Now returns the time on the monotonic clock since NewSystemRuntime was called.
func (s *SystemRuntime) Now() time.Duration { return time.Since(s.startedAt) }

// WallClock returns the time of day.
func (s *SystemRuntime) WallClock() time.Time { return time.Now() }

// Rand returns a random number in [0,1).
func (s *SystemRuntime) Rand() float64 { return rand.Float64() }

// After runs fn on the loop once delay has passed.
func (s *SystemRuntime) After(delay time.Duration, fn func()) {
	if delay <= 0 {
		s.loop.Post(DecisionLane, fn)
		return
	}
	time.AfterFunc(delay, func() { s.loop.Post(DecisionLane, fn) })
}

// CallHTTP sends a request and runs fn on the loop with the response or an error.
func (s *SystemRuntime) CallHTTP(address string, request http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error)) {
	go func() {
		var response http1.Response
		received, sent, err := s.client.Send(address, request, timeout)
		switch {
		case err == nil:
			response = *received
		case sent:
			err = ErrNoAnswer
		default:
			err = ErrNotSent
		}
		s.loop.Post(HeartbeatLane, func() { fn(response, err) })
	}()
}

// CallPeer sends a message to another controller and runs fn on the loop with its answer or
// an error.
func (s *SystemRuntime) CallPeer(endpoint, path string, body []byte, timeout time.Duration, fn func([]byte, error)) {
	go func() {
		answer, err := s.peers.Send(endpoint, path, body, timeout)
		s.loop.Post(HeartbeatLane, func() { fn(answer, err) })
	}()
}
