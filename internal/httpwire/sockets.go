package httpwire

import (
	"sync/atomic"

	"lemonmoor/internal/tuning"
)

// Sockets counts the connections of the process against the platform's limit.
// Past the limit nothing connects any more, not even to the state service, so
// what can best be had again goes first as it comes near: idle connections to
// workers, then users' idle ones, then direct orders and new users.
type Sockets struct {
	limit int64 // 0: none
	open  atomic.Int64
}

// NewSockets returns a count for a limit; 0 means no limit.
func NewSockets(limit int) *Sockets { return &Sockets{limit: int64(limit)} }

func (s *Sockets) opened() { s.open.Add(1) }
func (s *Sockets) closed() { s.open.Add(-1) }

func (s *Sockets) below(share float64) bool {
	return s.limit > 0 && float64(s.limit-s.open.Load()) < share*float64(s.limit)
}

// Tight tells that no connection should be kept that is not in use: those to
// workers are closed after their answer, and so are users'.
func (s *Sockets) Tight() bool { return s.below(tuning.SocketsTight) }

// Scarce tells that the rest is for the workers' reports and for vital calls:
// direct orders wait for the machine's report, users are refused.
func (s *Sockets) Scarce() bool { return s.below(tuning.SocketsScarce) }

// Spent tells that the rest is for vital calls alone.
func (s *Sockets) Spent() bool {
	return s.limit > 0 && s.limit-s.open.Load() < tuning.SocketsVital
}
