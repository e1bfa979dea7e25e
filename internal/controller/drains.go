package controller

import (
	"lemonmoor/internal/drain"
)

// drainComponents holds a node's components for stepwise drains.
type drainComponents struct {
	records     *drain.Records
	coordinator *drain.Coordinator
}

// newDrainComponents creates the drain components and the drain executor of each shard owner.
// It returns nil if drains are disabled.
func (n *Node) newDrainComponents() *drainComponents {
	if n.settings.Operator.Drains == nil {
		return nil
	}
	records := drain.NewRecords(n.runtime, n.stateClient, n.log, n.haltGrantedTasks)
	coordinator := drain.NewCoordinator(drain.Dependencies{
		Runtime: n.runtime, State: n.stateClient, Lease: n.leases, Records: records, Cluster: &drainCluster{n, records},
		Settings: n.settings, Tracer: n.openDrainTracer(), Log: n.log,
	})
	for _, owner := range n.shardOwners {
		owner.drainExecutor = drain.NewExecutor(n.runtime, records, owner.workers, owner.tasks, func() bool {
			return owner.token != 0 && owner.tasks.IsLoaded() && owner.LeaseValid()
		})
	}
	return &drainComponents{records, coordinator}
}

// openDrainTracer opens the trace file of drains. It returns nil if none is configured or it
// cannot be opened.
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

// haltGrantedTasks makes the shard owners of this node halt the tasks granted to drains.
func (n *Node) haltGrantedTasks() {
	for _, owner := range n.shardOwners {
		owner.drainExecutor.HaltGranted()
	}
}

// tickDrains advances the drains. It runs once every tuning.StatusInterval.
func (n *Node) tickDrains() {
	if n.drains == nil {
		return
	}
	n.haltGrantedTasks()
	n.drains.coordinator.Tick()
}
