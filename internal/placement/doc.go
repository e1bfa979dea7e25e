// Package placement decides which waiting tasks start on which machines of a shard. It
// implements the out-of-order policy of Ponce and Hersch, "Scheduling Data Intensive Particle
// Physics Analysis Jobs on Clusters of PCs", section 4.1. docs/design.md describes which
// parts of it are kept, what differs and why.
//
// Every machine has an image queue of tasks whose image it caches; all other tasks wait in
// one extra queue. An arriving task starts on a machine with room that caches its image,
// else on any other machine with room; if there is none, it is queued. A machine with room
// pulls tasks from its own queue, then from the extra queue, then the last task of the
// longest queue of another machine. The policy applies this pull order once per priority,
// the highest first. Work that has waited longer than a bound is placed before all of it.
//
// A Planner owns the queues. They are not stored: a new owner of the shard fills them from
// the task records. A Planner belongs to the event loop and is not safe for concurrent use.
//
// A Planner never
//   - places a task on a machine that its job must not use or that lacks the resources;
//   - loses a waiting task from its arrivals and queues;
//   - places only a part of a gang;
//   - stops a running task to make room.
package placement
