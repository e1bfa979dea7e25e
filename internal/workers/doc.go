// Package workers speaks with the workers, the processes that run tasks on the rented
// machines. Its Registry takes their heartbeats, knows what is or may be on each machine,
// and sends commands under the fencing token of the shard's lease.
//
// The Registry owns what is known of the workers of one shard; nothing of it is stored. A
// new owner of the shard rebuilds it from the task records and from the heartbeats that
// follow. It belongs to the event loop and is not safe for concurrent use.
//
// What it must never do:
//
//   - take a task for gone from its machine without proof: a later heartbeat of the same
//     session under the present token that does not list it, a later session, a released
//     machine, or a lease that has surely expired;
//   - launch a task before its placement is durable, without a valid shard lease, or
//     without knowing from lately that its job is not cancelled;
//   - send one launch in two messages;
//   - answer a heartbeat, and so renew a worker's lease, when a task there could thereby
//     outlive the cancellation of its job.
//
// The messages are those of the workers' protocol (sections "Workers -> controller nodes"
// and "Controller nodes -> workers"). Its own names for things end in wire.go.
package workers
