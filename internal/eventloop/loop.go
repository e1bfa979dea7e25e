// Package eventloop is the owner loop: one goroutine owns all state of the
// process and works through a queue of commands in batches. Everything else
// (sockets, timers, calls to other services) only posts commands.
package eventloop

import (
	"context"
	"errors"
	"sync"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// Lane ranks commands: under overload, reports of workers and answers to the
// program's own calls come first, then decisions, then users.
type Lane int

// The lanes in their order of service.
const (
	HeartbeatLane Lane = iota
	DecisionLane
	UserLane
	lanes
)

// ErrNotSent says that a call surely never reached its target.
var ErrNotSent = errors.New("not sent")

// ErrNoAnswer says that a call may have been carried out, or may yet be.
var ErrNoAnswer = errors.New("no answer")

// Runtime is all that the slices know of the world outside the loop. Every
// callback runs on the loop.
type Runtime interface {
	// Now reads the steady clock.
	Now() time.Duration
	// WallClock reads the time of day.
	WallClock() time.Time
	// After runs fn on the loop once d has passed.
	After(d time.Duration, fn func())
	// CallHTTP sends a request and hands the answer, ErrNotSent or ErrNoAnswer
	// to fn.
	CallHTTP(addr string, req http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error))
	// CallPeer sends a message to another controller; err is as with Call.
	CallPeer(endpoint, path string, body []byte, timeout time.Duration, fn func(body []byte, err error))
	// Rand returns a random number in [0,1).
	Rand() float64
}

// Loop is the queue of commands and its one worker.
type Loop struct {
	mu    sync.Mutex
	queue [lanes][]func()
	wake  chan struct{}
}

// NewLoop returns an empty loop.
func NewLoop() *Loop { return &Loop{wake: make(chan struct{}, 1)} }

// Post queues a command.
func (l *Loop) Post(lane Lane, fn func()) {
	l.mu.Lock()
	l.queue[lane] = append(l.queue[lane], fn)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// QueueLength is the number of commands queued in a lane.
func (l *Loop) QueueLength(lane Lane) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue[lane])
}

// Run works through the queue until ctx ends. After every batch it calls
// settle, where the slices take the decisions the batch made necessary.
func (l *Loop) Run(ctx context.Context, settle func()) {
	for {
		batch := l.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.wake:
				continue
			}
		}
		for _, fn := range batch {
			fn()
		}
		settle()
	}
}

// take removes the next batch: all of the first non-empty lane, users in
// small portions.
func (l *Loop) take() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for lane := range l.queue {
		q := l.queue[lane]
		if len(q) == 0 {
			continue
		}
		if Lane(lane) == UserLane && len(q) > tuning.UserCommandBatch {
			batch := q[:tuning.UserCommandBatch:tuning.UserCommandBatch]
			l.queue[lane] = q[tuning.UserCommandBatch:]
			return batch
		}
		l.queue[lane] = nil
		return q
	}
	return nil
}
