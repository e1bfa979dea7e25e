// Package taskstate holds what was dispatched to the shards and what has become of it: the
// leader's records of tasks, the log pages on which a shard's owner writes the tasks'
// statuses, every node's copy of both (Store), and the tasks, jobs and gangs that an owner
// makes of them (Task, Job, Gang). Its one job is that a task's status only moves forward,
// in whatever order pages are read, and that its stored forms stay readable by all versions
// of the program.
//
// Store owns the copy; tasks, jobs and gangs belong to the owner of their shard. All are
// used within the event loop only. The package must never commit, talk to workers or decide
// where a task runs. It must never use an attempt number twice.
package taskstate
