// Package eventloop runs the owner loop: one goroutine owns all state of the process and
// works through queues of commands in batches. Everything else (sockets, timers, calls to
// other services) only posts commands.
//
// The package owns the queues and nothing of what the commands work on. It must never run
// two commands at the same time, nor run a command on another goroutine than Run's.
package eventloop

import (
	"context"
	"strconv"
	"sync"

	"lemonmoor/internal/tuning"
)

// Lane ranks commands. Under overload heartbeats come first, so that no work is lost for
// want of an answer, then the program's own decisions, then users, who can come back.
type Lane int

// The lanes in their order of service.
const (
	// HeartbeatLane is for workers' heartbeats, for peers' messages and for the answers to
	// the program's own calls.
	HeartbeatLane Lane = iota
	// DecisionLane is for timers.
	DecisionLane
	// UserLane is for users' requests.
	UserLane

	laneCount = iota
)

// String returns the lane's name in logs.
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

// Loop is the queues of commands and the one goroutine that runs them. Post and
// QueueLength are safe for concurrent use.
type Loop struct {
	mu     sync.Mutex
	queues [laneCount][]func()
	wake   chan struct{} // holds one element while Run may have missed a command
}

// NewLoop returns a loop without commands.
func NewLoop() *Loop { return &Loop{wake: make(chan struct{}, 1)} }

// Post queues a command. It never blocks for longer than the queue's lock is held.
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

// Run works through the queues until the context ends and they are empty. After every batch
// it calls afterBatch, where the owners of state take the decisions that the batch has made
// necessary.
func (l *Loop) Run(ctx context.Context, afterBatch func()) {
	for {
		batch := l.takeBatch()
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

// takeBatch takes the next batch off: all of the first lane that is not empty, but users'
// commands in small portions, so that the other lanes are served in between.
func (l *Loop) takeBatch() []func() {
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
