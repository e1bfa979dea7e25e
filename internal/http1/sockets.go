package http1

import (
	"sync/atomic"

	"lemonmoor/internal/tuning"
)

// SocketBudget counts the open connections of the process against the platform's limit. At
// the limit no connection can be opened, not even to the state service. As the limit
// approaches, connections are therefore shed in the order in which they are easiest to
// replace: idle ones to workers, users' idle ones, then direct commands and new users'
// requests. It is safe for concurrent use.
type SocketBudget struct {
	maxSockets  int64 // 0 for no limit
	openSockets atomic.Int64
}

// NewSocketBudget returns a budget of maxSockets sockets; 0 means no limit.
func NewSocketBudget(maxSockets int) *SocketBudget {
	return &SocketBudget{maxSockets: int64(maxSockets)}
}

func (s *SocketBudget) countOpened() { s.openSockets.Add(1) }

func (s *SocketBudget) countClosed() { s.openSockets.Add(-1) }

// remainingBelow reports whether the sockets left are less than a share, 0 to 1, of the limit.
func (s *SocketBudget) remainingBelow(share float64) bool {
	return s.maxSockets > 0 && float64(s.maxSockets-s.openSockets.Load()) < share*float64(s.maxSockets)
}

// IsTight reports whether idle connections should be closed: those to workers and those of
// users are then closed after the response.
func (s *SocketBudget) IsTight() bool { return s.remainingBelow(tuning.TightSocketShare) }

// IsScarce reports whether the sockets left are reserved for heartbeats and for the addresses
// that must stay reachable: direct commands then wait for the worker's next heartbeat, and
// users' requests are refused.
func (s *SocketBudget) IsScarce() bool { return s.remainingBelow(tuning.ScarceSocketShare) }

// IsExhausted reports whether the sockets left are reserved for calls to the state service,
// the cloud and the peers.
func (s *SocketBudget) IsExhausted() bool {
	return s.maxSockets > 0 && s.maxSockets-s.openSockets.Load() < tuning.ReservedSockets
}
