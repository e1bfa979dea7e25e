package drain

import (
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// MachineInfo is a machine as the leader knows it.
type MachineInfo struct {
	ID           string
	Addr         string
	Zone         string
	Type         string
	Spot         bool
	Shard        int
	HasReported  bool // its worker reports
	AcceptsTasks bool // it takes tasks
}

// Cluster is what the Coordinator asks of the leader's other slices.
type Cluster interface {
	// IsKnown tells whether all machines and all work are known.
	IsKnown() bool
	EachMachine(fn func(*MachineInfo))
	Machine(id string) (MachineInfo, bool)
	// IsGone tells whether a machine does not exist any more.
	IsGone(id string) bool
	// CPUsPlacedOn is the processors of the tasks placed on a machine.
	CPUsPlacedOn(id string) float64

	// Job finds a job; false if it is over.
	Job(id string) (*jobs.Spec, bool)
	// TaskStatus is what the records say of a task.
	TaskStatus(job string, index int) (taskstate.TaskStatus, bool)
	// PlacedReplicas is how many tasks of a job are placed.
	PlacedReplicas(job string) int
	// EachPlacement calls fn for all tasks that are placed.
	EachPlacement(fn func(d *jobs.Spec, mark taskstate.TaskStatus))
	// EachInterrupted calls fn for each job with the number of tasks that have run and
	// that no block holds now, without those granted.
	EachInterrupted(fn func(d *jobs.Spec, tasks int))

	// CapacityFor is how many tasks of a job the open machines have room for.
	CapacityFor(d *jobs.Spec, zone string) int
	// HasUrgentWaiting tells whether work of a higher priority waits for room.
	HasUrgentWaiting(p jobs.Priority) bool
	// RentMachine asks for a machine like another one. Repeated under the same name, it
	// rents nothing more; the machine's name is known after a while.
	RentMachine(name string, like MachineInfo) (machine string, known bool)
	// KeepIdle has machines kept that are idle.
	KeepIdle(machines map[string]bool)

	// ShardKey is the key of a block's lease.
	ShardKey(block int) string
	ShardCount() int
}
