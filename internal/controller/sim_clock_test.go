package controller

import (
	"container/heap"
	"time"
)

const (
	second      = time.Second
	millisecond = time.Millisecond
)

// clock is the simulated time and the queue of scheduled events.
type clock struct {
	now      time.Duration
	sequence int // number of the last scheduled event
	events   eventQueue
}

// schedule calls fn after a delay; a negative delay counts as 0.
func (c *clock) schedule(delay time.Duration, fn func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now + max(delay, 0), c.sequence, fn})
}

// runUntil runs all events that are due up to and including a time, and sets the clock to it.
func (c *clock) runUntil(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.fn()
	}
	c.now = until
}

// event is a scheduled call. Events of the same time run in the order in which they were
// scheduled.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || (q[i].at == q[k].at && q[i].seq < q[k].seq)
}

func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// runWhen calls fn once, as soon as condition is true; it checks every millisecond.
func (c *clock) runWhen(condition func() bool, fn func()) {
	if condition() {
		fn()
		return
	}
	c.schedule(millisecond, func() { c.runWhen(condition, fn) })
}
