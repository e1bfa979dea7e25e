// Package placement decides which waiting tasks start on which machines of a shard: the out
// of order policy of Ponce and Hersch, "Scheduling Data Intensive Particle Physics Analysis
// Jobs on Clusters of PCs", section 4.1. docs/design.md says what was kept of it, and what
// was changed and why.
//
// Every machine has a queue of tasks whose image it caches, and the rest wait in an extra
// queue. An arriving task starts on a machine with room that caches its image, else on
// another with room, else it queues. A machine that has room takes from its own queue, then
// from the extra queue, then the last task of the longest queue of another machine. This pull
// order is the policy; it is walked once for each priority, the highest first. Work that has
// waited past a bound goes before all of it.
//
// A Planner owns the queues. Nothing of them is stored: a new owner of the shard fills them
// from the task records. It belongs to the event loop and is not safe for concurrent use.
//
// What it must never do: place a task on a machine that its job must not use, or that has
// not the resources; lose a waiting task from arrivals and queues; place a part of a gang;
// stop a running task to make room.
package placement
