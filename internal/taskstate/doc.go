// Package taskstate represents the tasks that were dispatched to the shards and their
// statuses: the leader's records of tasks, the log pages to which a shard's owner writes
// the tasks' statuses, every node's copy of both (Store), and the tasks, jobs and gangs
// that an owner builds from them (Task, Job, Gang). It ensures that a task's status only
// moves forward, regardless of the order in which pages are read, and that the stored forms
// stay readable by all versions of the program.
//
// Store owns the copy; tasks, jobs and gangs belong to the owner of their shard. All are
// used only within the event loop. The package must never commit, communicate with workers
// or decide where a task runs. It must never use an attempt number twice.
package taskstate
