// Package statestore is the client of the state service, a consensus-backed key-value store
// whose keys have revisions (PROTOCOL, "State service").
//
// Client sends the requests: conditional commits (compare-and-swap), listings, watches and
// leases. Mirror maintains a copy of all key-values under a prefix and can verify that the
// copy is current. LeaseManager takes part in leader election, keeps this node's lease
// alive, assigns shards while this process is the leader, and reports how long the leases
// that this process holds are valid.
//
// The package owns the client's view of the service's limits and load, the copy of the lease
// keys and the node's lease. All of it belongs to the event loop. Two invariants hold: a
// request is reported as carried out, refused or failed only if an answer proves it, and the
// validity of a lease never counts from later than the moment its request was sent.
package statestore
