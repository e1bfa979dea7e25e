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
	// Known tells whether all machines and all work are known.
	IsKnown() bool
	EachMachine(fn func(*MachineInfo))
	Machine(id string) (MachineInfo, bool)
	// Gone tells whether a machine does not exist any more.
	IsGone(id string) bool
	// Load is the processors of the tasks placed on a machine.
	CPUsPlacedOn(id string) float64

	// Job finds a job; false if it is over.
	Job(id string) (*jobs.Spec, bool)
	// Mark is what the records say of a task.
	TaskStatus(job string, index int) (taskstate.TaskStatus, bool)
	// Replicas is how many tasks of a job are placed.
	PlacedReplicas(job string) int
	// Placements calls fn for all tasks that are placed.
	EachPlacement(fn func(d *jobs.Spec, mark taskstate.TaskStatus))
	// Interrupted calls fn for each job with the number of tasks that have run and
	// that no block holds now, without those granted.
	EachInterrupted(fn func(d *jobs.Spec, tasks int))

	// Room is how many tasks of a job the open machines have room for.
	CapacityFor(d *jobs.Spec, zone string) int
	// Waits tells whether work of a higher priority waits for room.
	HasUrgentWaiting(p jobs.Priority) bool
	// Rent asks for a machine like another one. Repeated under the same name, it
	// rents nothing more; the machine's name is known after a while.
	RentMachine(name string, like MachineInfo) (machine string, known bool)
	// Keep has machines kept that are idle.
	KeepIdle(machines map[string]bool)

	// BlockKey is the key of a block's lease.
	ShardKey(block int) string
	ShardCount() int
}
