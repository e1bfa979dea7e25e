package tuning

import "time"

// Messages between the controllers.
const (
	// StatusInterval is the time between two status messages of a shard owner to the
	// leader.
	StatusInterval = 1 * time.Second
	// StatusStaleAfter is when the leader no longer trusts the last status of a shard.
	StatusStaleAfter = 4 * time.Second
	// RelayWithin is how soon a worker that was redirected to the owner of its shard must
	// be back to count as unable to reach it. Its heartbeats are relayed then.
	RelayWithin = 8 * time.Second
	// RelayPeriod is how long a worker's heartbeats are relayed before it is redirected
	// once more.
	RelayPeriod = 15 * time.Second
	// PeerRequestTimeout is when a peer's answer is no longer waited for; a worker gives up
	// after 4 s (PROTOCOL).
	PeerRequestTimeout = 2500 * time.Millisecond
	// PeerDialTimeout is when a connection to a peer counts as failed.
	PeerDialTimeout = 1 * time.Second
	// PeerPingAfter is how long a connection to a peer may be silent before it is tested.
	PeerPingAfter = 3 * time.Second
	// PeerIdleTimeout is how long a connection to a peer stays open without messages.
	PeerIdleTimeout = 1 * time.Minute
	// MaxPeerMessageBytes is the most bytes of a message.
	MaxPeerMessageBytes = 1 << 20
)
