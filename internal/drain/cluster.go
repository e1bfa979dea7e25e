package drain

import (
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// MachineInfo describes a machine as the leader knows it.
type MachineInfo struct {
	ID           string
	Addr         string // IP address and port of its worker
	Zone         string
	Type         string
	Spot         bool
	Shard        int  // index of its shard
	HasReported  bool // its worker sends heartbeats
	AcceptsTasks bool
}

// Cluster gives the Coordinator access to the leader's other parts: machines, jobs and
// tasks.
type Cluster interface {
	// IsKnown reports whether all machines and all tasks have been loaded.
	IsKnown() bool
	// EachMachine calls fn for each machine.
	EachMachine(fn func(*MachineInfo))
	// Machine returns a machine by its ID.
	Machine(id string) (info MachineInfo, isKnown bool)
	// IsGone reports whether a machine no longer exists.
	IsGone(id string) bool
	// CPUsPlacedOn returns the sum of the processors of the tasks placed on a machine.
	CPUsPlacedOn(id string) float64

	// Job returns the specification of a job; isOpen is false if the job has ended or is not
	// known.
	Job(id string) (spec *jobs.Spec, isOpen bool)
	// TaskStatus returns the recorded status of a task.
	TaskStatus(job string, index int) (status taskstate.TaskStatus, isKnown bool)
	// PlacedReplicas returns how many tasks of a job are placed.
	PlacedReplicas(job string) int
	// EachPlacement calls fn for each placed task.
	EachPlacement(fn func(spec *jobs.Spec, status taskstate.TaskStatus))
	// EachInterrupted calls fn for tasks, grouped by job, that have run and that no shard holds
	// now. Granted tasks are left out: they count as disturbed by their drain. fn may be
	// called several times for a job.
	EachInterrupted(fn func(spec *jobs.Spec, tasks int))

	// CapacityFor returns the number of further tasks of a job that fit on the open machines
	// of a zone, or of all zones if zone is "".
	CapacityFor(spec *jobs.Spec, zone string) int
	// HasUrgentWaiting reports whether tasks of a higher priority wait for room.
	HasUrgentWaiting(priority jobs.Priority) bool
	// RentMachine requests a machine of the same type, zone and spot kind as template. It
	// is idempotent: a call with the same name rents no further machine. isKnown is false
	// until the cloud has named the machine.
	RentMachine(name string, template MachineInfo) (machineID string, isKnown bool)
	// KeepIdle exempts exactly these machines from release while they are idle; it replaces
	// the set of the previous call.
	KeepIdle(machines map[string]bool)

	// ShardKey returns the key of a shard's lease.
	ShardKey(shardIndex int) string
	// ShardCount returns the number of shards.
	ShardCount() int
}
