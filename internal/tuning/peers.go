package tuning

import "time"

// Messages between the controllers.
const (
	// MaxReportedBackoffs is the number of entries on jobs that are kept off machines in a status
	// message.
	MaxReportedBackoffs = 1000
	// StatusInterval is the time between two status messages of a shard owner to the leader.
	StatusInterval = 1 * time.Second
	// StatusStaleAfter is the age from which the leader no longer trusts a shard's last status.
	StatusStaleAfter = 4 * time.Second
	// RelayWithin is the time within which a worker that was redirected to the owner of its
	// shard must return to count as unable to reach it. Its heartbeats are then relayed.
	RelayWithin = 8 * time.Second
	// RelayPeriod is how long a worker's heartbeats are relayed before it is redirected
	// again.
	RelayPeriod = 15 * time.Second
	// PeerRequestTimeout is how long the answer of a peer is waited for. A worker gives up
	// after 4 s (PROTOCOL).
	PeerRequestTimeout = 2500 * time.Millisecond
	// PeerDialTimeout is the time after which an attempt to connect to a peer, or a ping on a
	// connection, counts as failed.
	PeerDialTimeout = 1 * time.Second
	// PeerPingAfter is how long a connection to a peer may be silent before it is tested.
	PeerPingAfter = 3 * time.Second
	// PeerIdleTimeout is how long a connection to a peer stays open without messages.
	PeerIdleTimeout = 1 * time.Minute
	// MaxPeerMessageBytes is the maximum size of a message in bytes.
	MaxPeerMessageBytes = 1 << 20
)
