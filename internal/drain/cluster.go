package drain

import (
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// MachineInfo is a machine as the leader knows it.
type MachineInfo struct {
	ID           string
	Addr         string // of its worker: IP address and port
	Zone         string
	Type         string
	Spot         bool
	Shard        int  // index of its shard
	HasReported  bool // its worker sends heartbeats
	AcceptsTasks bool
}

// Cluster is what the Coordinator asks of the leader's other parts.
type Cluster interface {
	// IsKnown reports whether all machines and all work are known.
	IsKnown() bool
	EachMachine(fn func(*MachineInfo))
	Machine(id string) (info MachineInfo, isKnown bool)
	// IsGone reports whether a machine does not exist any more.
	IsGone(id string) bool
	// CPUsPlacedOn returns the processors of the tasks placed on a machine.
	CPUsPlacedOn(id string) float64

	// Job finds a job; isOpen is false if it is over.
	Job(id string) (spec *jobs.Spec, isOpen bool)
	// TaskStatus returns what the records say of a task.
	TaskStatus(job string, index int) (status taskstate.TaskStatus, isKnown bool)
	// PlacedReplicas returns how many tasks of a job are placed.
	PlacedReplicas(job string) int
	// EachPlacement calls fn for all tasks that are placed.
	EachPlacement(fn func(spec *jobs.Spec, status taskstate.TaskStatus))
	// EachInterrupted calls fn for each job with the number of tasks that have run and
	// that no shard holds now, without those granted.
	EachInterrupted(fn func(spec *jobs.Spec, tasks int))

	// CapacityFor returns for how many tasks of a job the open machines have room, in a
	// zone or, if it is "", in all.
	CapacityFor(spec *jobs.Spec, zone string) int
	// HasUrgentWaiting reports whether work of a higher priority waits for room.
	HasUrgentWaiting(priority jobs.Priority) bool
	// RentMachine asks for a machine like another one. Repeated under the same name, it
	// rents nothing more; the machine's name is known after a while.
	RentMachine(name string, like MachineInfo) (machineID string, isKnown bool)
	// KeepIdle has machines kept that are idle, and no others any more.
	KeepIdle(machines map[string]bool)

	// ShardKey returns the key of a shard's lease.
	ShardKey(shardIndex int) string
	ShardCount() int
}
