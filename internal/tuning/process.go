package tuning

import "time"

// Sockets of the process, which the platform limits.
const (
	// TightSocketShare is the fraction of the limit that must be free for unused connections
	// to stay open. A machine may have one connection that it opened and one that this
	// process opened; half of the machines may move here within a heartbeat interval.
	TightSocketShare = 0.15
	// ScarceSocketShare is the fraction of the limit that must be free for direct commands to
	// be sent and users to be accepted. Below it the free sockets are for heartbeats.
	ScarceSocketShare = 0.06
	// ReservedSockets is the number of sockets reserved for the state service, the cloud and
	// the peers.
	ReservedSockets = 32
	// SocketSweepInterval is the time between two rounds of closing connections.
	SocketSweepInterval = 1 * time.Second
	// IdleClientConnectionTimeout is how long an unused connection to a worker or a service
	// is kept open.
	IdleClientConnectionTimeout = 20 * time.Second
	// MaxIdleConnectionsPerAddress is the maximum number of unused connections to an address.
	MaxIdleConnectionsPerAddress = 3
	// AbandonedConnectionHeartbeats is the number of heartbeat intervals of silence after
	// which a worker's connection counts as abandoned.
	AbandonedConnectionHeartbeats = 3
)

// The event loop and the Go runtime.
const (
	// UserCommandBatch is the number of users' commands that run before the other lanes of the
	// event loop are checked again.
	UserCommandBatch = 8
	// GoMemoryShare is the fraction of the memory quota above which the Go runtime collects
	// garbage more aggressively. The rest is for code, stacks and the kernel.
	GoMemoryShare = 0.6
	// GCPercent trades memory for processor time below that limit.
	GCPercent = 200
)

// ViolationSummaryInterval is the time between two log lines that repeat which invariants were
// violated.
const ViolationSummaryInterval = 1 * time.Minute
