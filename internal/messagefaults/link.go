package messagefaults

import (
	"math/rand/v2"
	"time"
)

// Connection says on which connection a message is sent.
type Connection int

const (
	// ReusedConnection is a connection that is open already. Its messages arrive in order.
	ReusedConnection Connection = iota
	// NewConnection is opened first, which takes a message in each direction.
	NewConnection
)

// Direction is one direction of a link.
type Direction struct {
	heldUntil   time.Duration
	lastArrival time.Duration // of the messages on the reused connection
}

// Hold holds back the messages that are sent before until. They arrive then, in order.
func (d *Direction) Hold(until time.Duration) { d.heldUntil = max(d.heldUntil, until) }

// Delays draws the delays of messages.
type Delays struct {
	Random *rand.Rand
	// LateShare is the share of the messages that are late on their own, while others pass.
	LateShare float64
}

// quarterMilliseconds is the number of steps in which delays within a millisecond are drawn, so that
// the order of messages that are released together varies.
const quarterMilliseconds = 4

// latenesses are the longest delays of single messages that are late.
var latenesses = []time.Duration{300 * time.Millisecond, 3 * time.Second, 16 * time.Second}

// Holds are the longest times for which a link is held, from a moment to longer than a lease.
var Holds = []time.Duration{200 * time.Millisecond, 2 * time.Second, 6 * time.Second, 12 * time.Second, 45 * time.Second}

// Within draws a time of at most limit milliseconds.
func (d *Delays) Within(limit int) time.Duration {
	return time.Duration(1+d.Random.IntN(limit*quarterMilliseconds)) * time.Millisecond / quarterMilliseconds
}

// HoldTime draws the time for which a link is held.
func (d *Delays) HoldTime() time.Duration {
	return Holds[d.Random.IntN(len(Holds))] * time.Duration(2+d.Random.IntN(3)) / 4
}

// DrawConnection draws the connection of a message.
func (d *Delays) DrawConnection() Connection { return Connection(d.Random.IntN(2)) }

// Arrival returns when a message arrives that is sent now in a direction.
func (d *Delays) Arrival(direction *Direction, now time.Duration, connection Connection) time.Duration {
	arrival := max(now, direction.heldUntil) + d.Within(3)
	if d.Random.Float64() < d.LateShare {
		arrival += latenesses[d.Random.IntN(len(latenesses))] * time.Duration(1+d.Random.IntN(4)) / 4
	}
	if connection == ReusedConnection {
		arrival = max(arrival, direction.lastArrival+d.Within(1))
		direction.lastArrival = arrival
	}
	return arrival
}

// Open returns when a connection is open that is requested now.
func (d *Delays) Open(there, back *Direction, now time.Duration, connection Connection) time.Duration {
	if connection == ReusedConnection {
		return now
	}
	return d.Arrival(back, d.Arrival(there, now, connection), connection)
}
