package controller

import (
	"lemonmoor/internal/drain"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
)

// drainCluster is the cluster as the drains' coordinator sees it: the leader's view of
// machines and tasks, and the catalog's of jobs. It implements drain.Cluster.
type drainCluster struct {
	node    *Node
	records *drain.Records
}

// IsKnown reports whether all machines and all tasks are known.
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

// Machine finds a machine by its name.
func (c *drainCluster) Machine(id string) (info drain.MachineInfo, isKnown bool) {
	machine, isKnown := c.node.fleet.Machine(id)
	return drainMachineInfo(machine), isKnown
}

// IsGone reports whether a machine does not exist any more.
func (c *drainCluster) IsGone(id string) bool { return c.node.fleet.IsGone(id) }

// CPUsPlacedOn returns the processors of the tasks placed on a machine.
func (c *drainCluster) CPUsPlacedOn(id string) float64 { return c.node.leader.CPUsPlacedOn(id) }

// Job finds a job; isOpen is false if it is over or not known.
func (c *drainCluster) Job(id string) (spec *jobs.Spec, isOpen bool) {
	entry := c.node.catalog.Get(id)
	if entry == nil || entry.Phase != "" || entry.Spec == nil {
		return nil, false
	}
	return entry.Spec, true
}

// TaskStatus returns what the records say of a task.
func (c *drainCluster) TaskStatus(job string, index int) (status taskstate.TaskStatus, isKnown bool) {
	return c.node.leader.TaskStatus(job, index)
}

// PlacedReplicas returns how many tasks of a job are placed.
func (c *drainCluster) PlacedReplicas(job string) int {
	_, placed := c.node.taskStates.Progress(job)
	return placed
}

// EachPlacement calls visit for all tasks that are placed.
func (c *drainCluster) EachPlacement(visit func(*jobs.Spec, taskstate.TaskStatus)) {
	c.node.leader.EachPlacement(visit)
}

// EachInterrupted calls visit for each task that has run and that no shard holds now,
// without the tasks that drains were granted: those count as disturbed by the drain.
func (c *drainCluster) EachInterrupted(visit func(spec *jobs.Spec, tasks int)) {
	c.node.leader.EachReturnedTask(func(spec *jobs.Spec, index int) {
		if !c.records.IsGranted(spec.ID, index, spec.IsGang()) {
			visit(spec, 1)
		}
	})
}

// CapacityFor returns for how many tasks of a job the open machines have room, in a zone
// or, if it is "", in all.
func (c *drainCluster) CapacityFor(spec *jobs.Spec, zone string) int {
	return c.node.leader.CapacityFor(spec, zone)
}

// HasUrgentWaiting reports whether tasks of a higher priority wait for room.
func (c *drainCluster) HasUrgentWaiting(priority jobs.Priority) bool {
	return c.node.fleet.HasWaitingWork(priority)
}

// RentMachine asks for a machine like another one. Repeated under the same name it rents
// nothing more; the machine's name is known after a while.
func (c *drainCluster) RentMachine(name string, like drain.MachineInfo) (machineID string, isKnown bool) {
	return c.node.fleet.RentNamed(name, fleet.MachineKind{MachineType: like.Type, Zone: like.Zone, Spot: like.Spot})
}

// KeepIdle has these machines kept while they are idle, and no others any more.
func (c *drainCluster) KeepIdle(machines map[string]bool) { c.node.fleet.KeepIdle(machines) }

// ShardKey returns the key of a shard's lease.
func (c *drainCluster) ShardKey(shardIndex int) string { return statestore.ShardKey(shardIndex) }

// ShardCount returns into how many shards the machines are divided.
func (c *drainCluster) ShardCount() int { return c.node.settings.ShardCount() }
