// Package drain empties and replaces machines in steps. Each team has a budget of how
// much of its work may be disturbed at once; what is disturbed is granted in a record
// of the state service before anything is stopped.
//
// The leader's Coordinator decides and commits, a shard owner's Executor halts what is
// granted and reports, and every node follows the records in its own copy, Records.
// Operators' requests reach the Coordinator as Request and are answered by Response.
// All types belong to the event loop of their node and are not safe for concurrent use.
//
// The durable state is the records under KeyPrefix (see Head, Page and Grant); only the
// Coordinator of the leader writes them, with its fencing token as a condition. The rest
// is rebuilt when a term begins: the Coordinator keeps the newest reports of the shard
// owners, the Executor the attempts that it has seen running.
//
// The package must never grant more of a team's work than its budget allows, never halt a
// task without a grant for that attempt that was lately verified, and never remove a grant
// without proof that its tasks are disturbed no more. docs/drains.md gives the reasons.
package drain
