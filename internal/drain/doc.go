// Package drain empties and replaces machines in steps. A budget for each team limits how
// much of its work may be disturbed at the same time. Every disturbance is granted in a
// record of the state service before a task is halted.
//
// The leader's Coordinator decides and commits grants. A shard owner's Executor halts the
// granted tasks and reports on them. Every node follows the records in its own copy,
// Records. Operators' requests reach the Coordinator as Request and are answered by
// Response. All types belong to the event loop of their node and are not safe for
// concurrent use.
//
// The durable state is the records under KeyPrefix (see Head, Page and Grant). Only the
// leader's Coordinator writes them, with its fencing token as a condition. The other state
// is rebuilt in each term: the Coordinator retains the newest report of each shard owner,
// the Executor the attempts that it has seen running.
//
// The package must never grant more of a team's work than its budget allows, never halt a
// task without a recently verified grant for that attempt, and never remove a grant
// without proof that its tasks are no longer disturbed. docs/drains.md gives the reasons.
package drain
