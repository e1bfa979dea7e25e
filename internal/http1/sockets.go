package http1

import (
	"sync/atomic"

	"lemonmoor/internal/tuning"
)

// SocketBudget counts the connections of the process against the platform's limit. Past
// the limit nothing connects any more, not even to the state service. As the limit comes
// near, connections are therefore given up in the order in which they can be replaced:
// idle ones to workers, users' idle ones, then direct commands and new users. It is safe
// for concurrent use.
type SocketBudget struct {
	maxSockets  int64 // 0: no limit
	openSockets atomic.Int64
}

// NewSocketBudget returns a budget of so many sockets; 0 means no limit.
func NewSocketBudget(maxSockets int) *SocketBudget {
	return &SocketBudget{maxSockets: int64(maxSockets)}
}

func (s *SocketBudget) countOpened() { s.openSockets.Add(1) }

func (s *SocketBudget) countClosed() { s.openSockets.Add(-1) }

// remainingBelow reports whether less than a share of all sockets is left.
func (s *SocketBudget) remainingBelow(share float64) bool {
	return s.maxSockets > 0 && float64(s.maxSockets-s.openSockets.Load()) < share*float64(s.maxSockets)
}

// IsTight reports that no connection should stay open that is not in use: those to workers
// and those of users are closed after the response.
func (s *SocketBudget) IsTight() bool { return s.remainingBelow(tuning.TightSocketShare) }

// IsScarce reports that the sockets left are for heartbeats and for the addresses that
// must stay reachable: direct commands wait for the worker's next heartbeat, and users are
// refused.
func (s *SocketBudget) IsScarce() bool { return s.remainingBelow(tuning.ScarceSocketShare) }

// IsExhausted reports that the sockets left are for calls to the state service, the cloud
// and the peers alone.
func (s *SocketBudget) IsExhausted() bool {
	return s.maxSockets > 0 && s.maxSockets-s.openSockets.Load() < tuning.ReservedSockets
}
