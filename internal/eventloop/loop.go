// Package eventloop implements the process's event loop: one goroutine owns all state of the
// process and runs queued commands in batches. Everything else (sockets, timers, calls to
// other services) only posts commands.
//
// The package owns the queues, but none of the state that the commands work on. It must never
// run two commands concurrently, nor run a command on a goroutine other than Run's.
package eventloop

import (
	"context"
	"strconv"
	"sync"

	"lemonmoor/internal/tuning"
)

// Lane is the priority class of a command. Under overload heartbeats are served first, so
// that no work is lost because a worker gets no answer, then the program's own decisions,
// then users' requests, which can be repeated.
type Lane int

// The lanes, in descending order of priority.
const (
	// HeartbeatLane is for workers' heartbeats, peers' messages and the responses to the
	// program's own calls.
	HeartbeatLane Lane = iota
	// DecisionLane is for timers.
	DecisionLane
	// UserLane is for users' requests.
	UserLane

	laneCount = iota
)

// String returns the name of the lane as it appears in logs.
func (l Lane) String() string {
	switch l {
	case HeartbeatLane:
		return "heartbeat"
	case DecisionLane:
		return "decision"
	case UserLane:
		return "user"
	}
	return "lane " + strconv.Itoa(int(l))
}

// Loop holds the queued commands, which the goroutine that calls Run executes. Post and
// QueueLength are safe for concurrent use.
type Loop struct {
	mu     sync.Mutex
	queues [laneCount][]func()
	wake   chan struct{} // contains one element while Run may have missed a command
}

// NewLoop returns a loop with empty queues.
func NewLoop() *Loop { return &Loop{wake: make(chan struct{}, 1)} }

// Post appends a command to the queue of a lane. It blocks only while another goroutine holds
// the lock of the queues.
func (l *Loop) Post(lane Lane, command func()) {
	l.mu.Lock()
	l.queues[lane] = append(l.queues[lane], command)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// QueueLength returns the number of commands queued in a lane.
func (l *Loop) QueueLength(lane Lane) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queues[lane])
}

// Run executes the queued commands until the context is done and the queues are empty. After
// every batch it calls afterBatch, in which the owners of state make the decisions that the
// batch requires.
func (l *Loop) Run(ctx context.Context, afterBatch func()) {
	for {
		batch := l.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.wake:
				continue
			}
		}
		for _, command := range batch {
			command()
		}
		afterBatch()
	}
}

// nextBatch dequeues and returns the next batch: all commands of the first lane that is not
// empty, or nil if all are empty. Users' commands are returned at most
// tuning.UserCommandBatch at a time, so that the other lanes are served in between.
func (l *Loop) nextBatch() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for lane := range l.queues {
		queue := l.queues[lane]
		if len(queue) == 0 {
			continue
		}
		if Lane(lane) == UserLane && len(queue) > tuning.UserCommandBatch {
			l.queues[lane] = queue[tuning.UserCommandBatch:]
			return queue[:tuning.UserCommandBatch:tuning.UserCommandBatch]
		}
		l.queues[lane] = nil
		return queue
	}
	return nil
}
