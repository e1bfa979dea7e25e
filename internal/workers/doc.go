// Package workers communicates with the workers, the processes that run tasks on the rented
// machines. Its Registry processes their heartbeats, tracks the tasks that are or may be on
// each machine, and sends commands under the fencing token of the shard's lease.
//
// A Registry holds the state of the workers of one shard in memory only. A new owner of the
// shard rebuilds it from the task records and from the heartbeats that follow. The Registry
// belongs to the event loop and is not safe for concurrent use.
//
// The Registry must never:
//
//   - consider a task gone from its machine without proof: a later heartbeat of the same
//     session under the current token that does not list the task, a later session, a released
//     machine, or a worker lease that has expired by any clock within the allowed drift;
//   - launch a task before its placement is durable, without a valid shard lease, or
//     without a recent verification that its job is not cancelled;
//   - send one launch in two messages;
//   - have a worker forget an attempt while a copy of a message that launched it can still be
//     executed: only a message with a higher token than those of all direct messages of this
//     term that launched the attempt tells the worker to;
//   - answer a heartbeat, and thereby renew a worker's lease, when a task on that worker
//     could as a result outlive the cancellation of its job.
//
// The messages are those of the workers' protocol (sections "Workers -> controller nodes"
// and "Controller nodes -> workers"). The names of that protocol appear in wire.go only.
package workers
