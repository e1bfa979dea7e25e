// Package statestore speaks to the state service, a consensus-backed key-value store whose
// keys carry revisions (PROTOCOL, "State service").
//
// Client sends the requests: commits on conditions (compare-and-swap), listings, watches
// and leases. Mirror keeps a copy of all key-values under a prefix and can show that the
// copy is current. LeaseManager stands for election, keeps this node's lease, takes part in
// the assignment of shards, and knows until when what this process holds may be trusted.
//
// The package owns the client's view of the service's limits and load, the mirrors' contents
// as far as they concern leases, and the node's lease. All of it belongs to the event loop.
// It must never report a request as carried out, as refused or as failed without an answer
// that proves it, and never count the validity of a lease from later than its request.
package statestore
