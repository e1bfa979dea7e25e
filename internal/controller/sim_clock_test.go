package controller

import (
	"container/heap"
	"time"
)

const (
	second      = time.Second
	millisecond = time.Millisecond
)

// clock is the simulated time, and what is to happen at which moment.
type clock struct {
	now      time.Duration
	sequence int // of the event scheduled last
	events   eventQueue
}

// after schedules fn.
func (c *clock) schedule(delay time.Duration, fn func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now + max(delay, 0), c.sequence, fn})
}

// run lets everything happen that is due until a moment, and stops there.
func (c *clock) runUntil(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.fn()
	}
	c.now = until
}

// event is something that happens at a moment. Events of the same moment happen in the
// order in which they were scheduled.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// eventQueue is a heap of events, the next one first.
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

// whenever calls fn as soon as something holds.
func (c *clock) runWhen(holds func() bool, fn func()) {
	if holds() {
		fn()
		return
	}
	c.schedule(millisecond, func() { c.runWhen(holds, fn) })
}
