package controller

import (
	"encoding/json"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// drainParts is what a node keeps for stepwise drains; a node has none if they are off.
type drainParts struct {
	records     *drain.Records
	coordinator *drain.Coordinator
}

// statusMessage is an owner's status message to the leader. Versions that know no
// drains pass over what is reported of them.
type statusMessage struct {
	*fleet.ShardStatus
	Drains *drain.ShardReport `json:"drains,omitempty"`
}

// buildDrains makes the part for drains, if it is on.
func (n *Node) buildDrains() {
	n.drains = nil
	if n.settings.Operator.Drains == nil {
		return
	}
	var tracer *drain.Tracer
	if path := n.settings.Operator.Drains.TraceFile; path != "" {
		var err error
		if tracer, err = drain.OpenTracer(path); err != nil {
			n.log.Error("drains are not traced", "err", err)
		}
	}
	records := drain.NewRecords(n.runtime, n.stateClient, n.log)
	cluster := &drainCluster{n, records}
	n.drains = &drainParts{records, drain.NewCoordinator(n.runtime, n.stateClient, n.leases, records, cluster, n.settings, tracer, n.log)}
	for _, owner := range n.shardOwners {
		owner.drainExecutor = drain.NewExecutor(n.runtime, records, owner.workers, owner.tasks, func() bool {
			return owner.token != 0 && owner.tasks.IsLoaded() && owner.LeaseValid()
		})
	}
	records.OnChange = n.haltGranted
}

// haltGranted has the owners here carry out what is granted.
func (n *Node) haltGranted() {
	for _, owner := range n.shardOwners {
		owner.drainExecutor.HaltGranted()
	}
}

// tickDrains is what happens once a second for the drains.
func (n *Node) tickDrains() {
	if n.drains == nil {
		return
	}
	n.haltGranted()
	n.drains.coordinator.Tick()
}

// handleOperatorRequest serves an operator's request on drains: here if this node leads,
// else through the leader.
func (n *Node) handleOperatorRequest(body []byte, answer func([]byte, bool)) {
	reply := func(response drain.Response) {
		raw, err := json.Marshal(response)
		answer(raw, err == nil)
	}
	unavailable := func(reason string) {
		reply(drain.Response{Status: drain.StatusUnavailable, Node: n.settings.Node, Reason: reason, RetryMS: tuning.OperatorRetryDelay.Milliseconds()})
	}
	var request drain.Request
	if err := json.Unmarshal(body, &request); err != nil {
		answer(nil, false)
		return
	}
	if n.drains == nil {
		reply(drain.Response{Status: drain.StatusRefused, Node: n.settings.Node, Field: "drains", Reason: "not turned on in the operators' settings of this node"})
		return
	}
	if n.leases.LeaderToken() != 0 {
		n.drains.coordinator.Handle(&request, reply)
		return
	}
	endpoint := n.peerEndpoints[n.leases.LeaderNode()]
	if request.Forwarded || endpoint == "" {
		unavailable("no leader is known to this node")
		return
	}
	request.Forwarded = true
	forward, err := json.Marshal(request)
	if err != nil {
		answer(nil, false)
		return
	}
	n.runtime.CallPeer(endpoint, drain.RequestPath, forward, tuning.PeerRequestTimeout, func(leaderAnswer []byte, err error) {
		if err != nil {
			unavailable("the leader does not answer")
			return
		}
		answer(leaderAnswer, true)
	})
}

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
