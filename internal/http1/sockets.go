package http1

import (
	"sync/atomic"

	"lemonmoor/internal/tuning"
)

// SocketBudget counts the connections of the process against the platform's limit.
// Past the limit nothing connects any more, not even to the state service, so
// what can best be had again goes first as it comes near: idle connections to
// workers, then users' idle ones, then direct orders and new users.
type SocketBudget struct {
	maxSockets int64 // 0: none
	openSockets  atomic.Int64
}

// NewSocketBudget returns a count for a limit; 0 means no limit.
func NewSocketBudget(limit int) *SocketBudget { return &SocketBudget{maxSockets: int64(limit)} }

func (s *SocketBudget) noteOpened() { s.openSockets.Add(1) }
func (s *SocketBudget) noteClosed() { s.openSockets.Add(-1) }

func (s *SocketBudget) remainingBelow(share float64) bool {
	return s.maxSockets > 0 && float64(s.maxSockets-s.openSockets.Load()) < share*float64(s.maxSockets)
}

// IsTight tells that no connection should be kept that is not in use: those to
// workers are closed after their answer, and so are users'.
func (s *SocketBudget) IsTight() bool { return s.remainingBelow(tuning.TightSocketShare) }

// IsScarce tells that the rest is for the workers' reports and for vital calls:
// direct orders wait for the machine's report, users are refused.
func (s *SocketBudget) IsScarce() bool { return s.remainingBelow(tuning.ScarceSocketShare) }

// IsExhausted tells that the rest is for vital calls alone.
func (s *SocketBudget) IsExhausted() bool {
	return s.maxSockets > 0 && s.maxSockets-s.openSockets.Load() < tuning.ReservedSockets
}
