package tuning

import "time"

// Sockets of the process, which the platform limits.
const (
	// TightSocketShare is the part of the limit below which connections that are not in use
	// are closed. A machine may have one connection that it opened and one that this
	// process opened; half of the machines may move here within a heartbeat interval.
	TightSocketShare = 0.15
	// ScarceSocketShare is the part of the limit below which direct commands wait and users
	// are refused: the rest is for heartbeats.
	ScarceSocketShare = 0.06
	// ReservedSockets is the number of sockets kept for the state service, the cloud and
	// the peers.
	ReservedSockets = 32
	// SocketSweepInterval is the time between two rounds of closing connections.
	SocketSweepInterval = 1 * time.Second
	// IdleClientConnectionTimeout is how long an unused connection to a worker or a service
	// is kept.
	IdleClientConnectionTimeout = 20 * time.Second
	// MaxIdleConnectionsPerAddress is how many unused connections to one address are kept.
	MaxIdleConnectionsPerAddress = 3
	// AbandonedConnectionHeartbeats is how many heartbeat intervals of silence make a
	// worker's connection an abandoned one.
	AbandonedConnectionHeartbeats = 3
)

// The event loop and the Go runtime.
const (
	// UserCommandBatch is how many commands of users run before the other lanes of the event
	// loop are looked at again.
	UserCommandBatch = 8
	// GoMemoryShare is the part of the memory quota that the Go runtime may use before it
	// collects garbage harder; the rest is code, stacks and the kernel.
	GoMemoryShare = 0.6
	// GCPercent trades memory for processor time below that limit.
	GCPercent = 200
)
