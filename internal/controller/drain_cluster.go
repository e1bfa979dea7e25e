package controller

import (
	"lemonmoor/internal/drain"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
)

// drainCluster is the leader's slices as the drains see them.
type drainCluster struct {
	node    *Node
	records *drain.Records
}

func (c *drainCluster) IsKnown() bool { return c.node.leader.IsLoaded() && c.node.fleet.IsListed() }

func machineInfo(info fleet.MachineInfo) drain.MachineInfo {
	return drain.MachineInfo{ID: info.ID, Addr: info.Addr, Zone: info.Zone, Type: info.MachineType, Spot: info.Spot, Shard: info.Shard, HasReported: info.HasReported, AcceptsTasks: info.AcceptsTasks}
}

func (c *drainCluster) EachMachine(fn func(*drain.MachineInfo)) {
	c.node.fleet.EachMachine(func(i fleet.MachineInfo) {
		info := machineInfo(i)
		fn(&info)
	})
}

func (c *drainCluster) Machine(id string) (drain.MachineInfo, bool) {
	i, known := c.node.fleet.Machine(id)
	return machineInfo(i), known
}

func (c *drainCluster) IsGone(id string) bool { return c.node.fleet.IsGone(id) }

func (c *drainCluster) CPUsPlacedOn(id string) float64 { return c.node.leader.CPUsPlacedOn(id) }

func (c *drainCluster) Job(id string) (*jobs.Spec, bool) {
	e := c.node.catalog.Get(id)
	if e == nil || e.Phase != "" || e.Spec == nil {
		return nil, false
	}
	return e.Spec, true
}

func (c *drainCluster) TaskStatus(job string, index int) (taskstate.TaskStatus, bool) {
	return c.node.leader.TaskStatus(job, index)
}

func (c *drainCluster) PlacedReplicas(job string) int {
	_, placed := c.node.taskStates.Progress(job)
	return placed
}

func (c *drainCluster) EachPlacement(fn func(*jobs.Spec, taskstate.TaskStatus)) {
	c.node.leader.EachPlacement(fn)
}

func (c *drainCluster) EachInterrupted(fn func(*jobs.Spec, int)) {
	c.node.leader.EachReturnedTask(func(d *jobs.Spec, index int) {
		if !c.records.IsGranted(d.ID, index, d.IsGang()) {
			fn(d, 1)
		}
	})
}

func (c *drainCluster) CapacityFor(d *jobs.Spec, zone string) int {
	return c.node.leader.CapacityFor(d, zone)
}

func (c *drainCluster) HasUrgentWaiting(p jobs.Priority) bool { return c.node.fleet.HasWaitingWork(p) }

func (c *drainCluster) RentMachine(name string, like drain.MachineInfo) (string, bool) {
	return c.node.fleet.RentNamed(name, fleet.MachineKind{MachineType: like.Type, Zone: like.Zone, Spot: like.Spot})
}

func (c *drainCluster) KeepIdle(machines map[string]bool) { c.node.fleet.KeepIdle(machines) }

func (c *drainCluster) ShardKey(block int) string { return statestore.ShardKey(block) }

func (c *drainCluster) ShardCount() int { return c.node.settings.ShardCount() }
