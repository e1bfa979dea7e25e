package controller

import (
	"lemonmoor/internal/drain"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
)

// drainCluster implements drain.Cluster for the drain coordinator. Machines and tasks come
// from the leader's and the fleet's state, jobs from the catalog.
type drainCluster struct {
	node    *Node
	records *drain.Records
}

// IsKnown reports whether all tasks are loaded and all machines are listed.
func (c *drainCluster) IsKnown() bool { return c.node.leader.IsLoaded() && c.node.fleet.IsListed() }

func drainMachineInfo(info fleet.MachineInfo) drain.MachineInfo {
	return drain.MachineInfo{
		ID: info.ID, Addr: info.Addr, Zone: info.Zone, Type: info.MachineType, Spot: info.Spot, Shard: info.Shard,
		HasReported: info.HasReported, AcceptsTasks: info.AcceptsTasks,
	}
}

// EachMachine calls visit for each machine.
func (c *drainCluster) EachMachine(visit func(*drain.MachineInfo)) {
	c.node.fleet.EachMachine(func(machine fleet.MachineInfo) {
		info := drainMachineInfo(machine)
		visit(&info)
	})
}

// Machine returns a machine by its ID.
func (c *drainCluster) Machine(id string) (info drain.MachineInfo, isKnown bool) {
	machine, isKnown := c.node.fleet.Machine(id)
	return drainMachineInfo(machine), isKnown
}

// IsGone reports whether a machine no longer exists.
func (c *drainCluster) IsGone(id string) bool { return c.node.fleet.IsGone(id) }

// CPUsPlacedOn returns the number of CPUs requested by the tasks placed on a machine.
func (c *drainCluster) CPUsPlacedOn(id string) float64 { return c.node.leader.CPUsPlacedOn(id) }

// Job returns a job by its ID; isOpen is false if the job has ended or is unknown.
func (c *drainCluster) Job(id string) (spec *jobs.Spec, isOpen bool) {
	entry := c.node.catalog.Get(id)
	if entry == nil || entry.Phase != "" || entry.Spec == nil {
		return nil, false
	}
	return entry.Spec, true
}

// TaskStatus returns the recorded status of a task.
func (c *drainCluster) TaskStatus(job string, index int) (status taskstate.TaskStatus, isKnown bool) {
	return c.node.leader.TaskStatus(job, index)
}

// PlacedReplicas returns the number of placed tasks of a job.
func (c *drainCluster) PlacedReplicas(job string) int {
	_, placed := c.node.taskStates.Progress(job)
	return placed
}

// EachPlacement calls visit for each placed task.
func (c *drainCluster) EachPlacement(visit func(*jobs.Spec, taskstate.TaskStatus)) {
	c.node.leader.EachPlacement(visit)
}

// EachInterrupted calls visit for each task that has run and is now assigned to no shard.
// Tasks granted to drains are left out: those count as disturbed by the drain.
func (c *drainCluster) EachInterrupted(visit func(spec *jobs.Spec, tasks int)) {
	c.node.leader.EachReturnedTask(func(spec *jobs.Spec, index int) {
		if !c.records.IsGranted(spec.ID, index, spec.IsGang()) {
			visit(spec, 1)
		}
	})
}

// CapacityFor returns how many tasks of a job fit on the open machines of a zone, or of all
// zones if zone is "".
func (c *drainCluster) CapacityFor(spec *jobs.Spec, zone string) int {
	return c.node.leader.CapacityFor(spec, zone)
}

// HasUrgentWaiting reports whether tasks of a priority above the given one wait for capacity.
func (c *drainCluster) HasUrgentWaiting(priority jobs.Priority) bool {
	return c.node.fleet.HasWaitingWork(priority)
}

// RentMachine requests a machine of the same type, zone and spot property as another one. It is
// idempotent: a repeated call with the same name rents no further machine. isKnown is false
// until the ID of the rented machine is known.
func (c *drainCluster) RentMachine(name string, template drain.MachineInfo) (machineID string, isKnown bool) {
	return c.node.fleet.RentNamed(name, fleet.MachineKind{MachineType: template.Type, Zone: template.Zone, Spot: template.Spot})
}

// KeepIdle excludes exactly these machines from the release of idle machines; it replaces the
// set of the previous call.
func (c *drainCluster) KeepIdle(machines map[string]bool) { c.node.fleet.KeepIdle(machines) }

// ShardKey returns the state service key of a shard's lease.
func (c *drainCluster) ShardKey(shardIndex int) string { return statestore.ShardKey(shardIndex) }

// ShardCount returns the number of shards that the machines are divided into.
func (c *drainCluster) ShardCount() int { return c.node.settings.ShardCount() }
