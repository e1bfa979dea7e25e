package controller

import (
	"lemonmoor/internal/drain"
)

// drainParts is what a node keeps for stepwise drains.
type drainParts struct {
	records     *drain.Records
	coordinator *drain.Coordinator
}

// newDrainParts makes the parts for drains and gives each shard owner its executor; nil if
// drains are off.
func (n *Node) newDrainParts() *drainParts {
	if n.settings.Operator.Drains == nil {
		return nil
	}
	records := drain.NewRecords(n.runtime, n.stateClient, n.log, n.haltGranted)
	coordinator := drain.NewCoordinator(drain.Dependencies{
		Runtime: n.runtime, State: n.stateClient, Lease: n.leases, Records: records, Cluster: &drainCluster{n, records},
		Settings: n.settings, Tracer: n.openDrainTracer(), Log: n.log,
	})
	for _, owner := range n.shardOwners {
		owner.drainExecutor = drain.NewExecutor(n.runtime, records, owner.workers, owner.tasks, func() bool {
			return owner.token != 0 && owner.tasks.IsLoaded() && owner.LeaseValid()
		})
	}
	return &drainParts{records, coordinator}
}

// openDrainTracer opens the file that drains are traced to, nil if none is set or it cannot
// be opened.
func (n *Node) openDrainTracer() *drain.Tracer {
	path := n.settings.Operator.Drains.TraceFile
	if path == "" {
		return nil
	}
	tracer, err := drain.OpenTracer(path)
	if err != nil {
		n.log.Error("failed to open the trace file of drains, drains are not traced", "err", err)
	}
	return tracer
}

// haltGranted has the shard owners of this node carry out what drains are granted.
func (n *Node) haltGranted() {
	for _, owner := range n.shardOwners {
		owner.drainExecutor.HaltGranted()
	}
}

// tickDrains is what happens for the drains once every tuning.StatusInterval.
func (n *Node) tickDrains() {
	if n.drains == nil {
		return
	}
	n.haltGranted()
	n.drains.coordinator.Tick()
}
