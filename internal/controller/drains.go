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

// drains is what a node keeps for stepwise drains; a node has none if they are off.
type drains struct {
	book        *drain.Records
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
	if n.set.Operator.Drains == nil {
		return
	}
	var tracer *drain.Tracer
	if path := n.set.Operator.Drains.TraceFile; path != "" {
		var err error
		if tracer, err = drain.OpenTracer(path); err != nil {
			n.log.Error("drains are not traced", "err", err)
		}
	}
	book := drain.NewRecords(n.rt, n.state, n.log, n.actOnDrains)
	cluster := &drainCluster{n, book}
	n.drains = &drains{book, drain.NewCoordinator(drain.Dependencies{
		Runtime: n.rt, State: n.state, Lease: n.leases, Records: book, Cluster: cluster, Settings: n.set, Tracer: tracer, Log: n.log,
	})}
	for _, o := range n.owners {
		o.drains = drain.NewExecutor(n.rt, book, o.workers, o.tasks, func() bool {
			return o.token != 0 && o.tasks.IsLoaded() && o.LeaseValid()
		})
	}
}

// actOnDrains has the owners here carry out what is granted.
func (n *Node) actOnDrains() {
	for _, o := range n.owners {
		o.drains.HaltGranted()
	}
}

// tickDrains is what happens once a second for the drains.
func (n *Node) tickDrains() {
	if n.drains == nil {
		return
	}
	n.actOnDrains()
	n.drains.coordinator.Tick()
}

// operatorRequest serves an operator's request on drains: here if this node leads,
// else through the leader.
func (n *Node) operatorRequest(body []byte, answer func([]byte, bool)) {
	reply := func(r drain.Response) {
		raw, err := json.Marshal(r)
		answer(raw, err == nil)
	}
	unavailable := func(why string) {
		reply(drain.Response{Status: drain.StatusUnavailable, Node: n.set.Node, Reason: why, RetryMS: tuning.OperatorRetryDelay.Milliseconds()})
	}
	var request drain.Request
	if err := json.Unmarshal(body, &request); err != nil {
		answer(nil, false)
		return
	}
	if n.drains == nil {
		reply(drain.Response{Status: drain.StatusRefused, Node: n.set.Node, Field: "drains", Reason: "not turned on in the operators' settings of this node"})
		return
	}
	if n.leases.LeaderToken() != 0 {
		n.drains.coordinator.Handle(&request, reply)
		return
	}
	endpoint := n.peers[n.leases.LeaderNode()]
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
	n.rt.CallPeer(endpoint, drain.RequestPath, forward, tuning.PeerRequestTimeout, func(theirs []byte, err error) {
		if err != nil {
			unavailable("the leader does not answer")
			return
		}
		answer(theirs, true)
	})
}

// drainCluster is the leader's slices as the drains see them.
type drainCluster struct {
	n    *Node
	book *drain.Records
}

func (c *drainCluster) IsKnown() bool { return c.n.leader.IsLoaded() && c.n.fleet.IsListed() }

func machineInfo(i fleet.MachineInfo) drain.MachineInfo {
	return drain.MachineInfo{ID: i.ID, Addr: i.Addr, Zone: i.Zone, Type: i.MachineType, Spot: i.Spot, Shard: i.Shard, HasReported: i.HasReported, AcceptsTasks: i.AcceptsTasks}
}

func (c *drainCluster) EachMachine(fn func(*drain.MachineInfo)) {
	c.n.fleet.EachMachine(func(i fleet.MachineInfo) {
		info := machineInfo(i)
		fn(&info)
	})
}

func (c *drainCluster) Machine(id string) (drain.MachineInfo, bool) {
	i, known := c.n.fleet.Machine(id)
	return machineInfo(i), known
}

func (c *drainCluster) IsGone(id string) bool { return c.n.fleet.IsGone(id) }

func (c *drainCluster) CPUsPlacedOn(id string) float64 { return c.n.leader.CPUsPlacedOn(id) }

func (c *drainCluster) Job(id string) (*jobs.Spec, bool) {
	e := c.n.cat.Get(id)
	if e == nil || e.Phase != "" || e.Spec == nil {
		return nil, false
	}
	return e.Spec, true
}

func (c *drainCluster) TaskStatus(job string, index int) (taskstate.TaskStatus, bool) {
	return c.n.leader.TaskStatus(job, index)
}

func (c *drainCluster) PlacedReplicas(job string) int {
	_, placed := c.n.store.Progress(job)
	return placed
}

func (c *drainCluster) EachPlacement(fn func(*jobs.Spec, taskstate.TaskStatus)) {
	c.n.leader.EachPlacement(fn)
}

func (c *drainCluster) EachInterrupted(fn func(*jobs.Spec, int)) {
	c.n.leader.EachReturnedTask(func(d *jobs.Spec, index int) {
		if !c.book.IsGranted(d.ID, index, d.IsGang()) {
			fn(d, 1)
		}
	})
}

func (c *drainCluster) CapacityFor(d *jobs.Spec, zone string) int {
	return c.n.leader.CapacityFor(d, zone)
}

func (c *drainCluster) HasUrgentWaiting(p jobs.Priority) bool { return c.n.fleet.HasWaitingWork(p) }

func (c *drainCluster) RentMachine(name string, like drain.MachineInfo) (string, bool) {
	return c.n.fleet.RentNamed(name, fleet.MachineKind{MachineType: like.Type, Zone: like.Zone, Spot: like.Spot})
}

func (c *drainCluster) KeepIdle(machines map[string]bool) { c.n.fleet.KeepIdle(machines) }

func (c *drainCluster) ShardKey(block int) string { return statestore.ShardKey(block) }

func (c *drainCluster) ShardCount() int { return c.n.set.ShardCount() }
