package statestore

import (
	"encoding/json"
	"strconv"
)

// Keys of the leases. They share a prefix so that one watch covers all of them.
const (
	leasePrefix = "lease/"
	nodePrefix  = leasePrefix + "node/"
	shardPrefix = leasePrefix + "block/"
	// fencePrefix is outside leasePrefix, so that its changes wake no watch.
	fencePrefix = "fence/"
	// LeaderKey is the key of the leader's lease. Its revision is the leader's fencing token.
	LeaderKey = leasePrefix + "lead"
)

// ShardKey returns the key of a shard's lease. Its revision is the owner's fencing token.
func ShardKey(shard int) string { return shardPrefix + strconv.Itoa(shard) }

// fenceKey returns the key that the owner of a shard puts for the sake of the revision.
func fenceKey(shard int) string { return fencePrefix + strconv.Itoa(shard) }

// leaseHolder is the value of a lease key. After a restart a node counts as another holder,
// since its nonce differs.
type leaseHolder struct {
	Node  string `json:"node"`
	Nonce uint64 `json:"nonce"`
	// LeaseID, in a node's own entry, is the lease to which keys assigned to the node are
	// attached.
	LeaseID uint64 `json:"permit,omitempty"`
	// Abstains, in a node's own entry, means that no shards are to be assigned to the node.
	Abstains bool `json:"unfit,omitempty"`
}

// isProcess reports whether two entries name the same process.
func (h leaseHolder) isProcess(other leaseHolder) bool {
	return h.Node == other.Node && h.Nonce == other.Nonce
}

// isEarlierProcess reports whether the holder is another process of the node of current.
// That process must be dead, since a node runs only one.
func (h leaseHolder) isEarlierProcess(current leaseHolder) bool {
	return h.Node == current.Node && h.Nonce != current.Nonce
}

// encode returns the JSON value to store.
func (h leaseHolder) encode() json.RawMessage {
	raw, err := json.Marshal(h)
	if err != nil {
		panic(err) // strings, numbers and a boolean always encode
	}
	return raw
}
