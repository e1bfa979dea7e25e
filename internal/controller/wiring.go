package controller

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/leader"
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// identity distinguishes a node from others, and from earlier processes under the same name.
type identity struct {
	nonce uint64 // unique per process
	rank  int    // position among the nodes sorted by name; staggers their elections
}

// New creates a node and wires its components for the number of shards in the settings. nonce
// must be unique per process.
func New(runtime eventloop.Runtime, settings *settings.Settings, nonce uint64, log *slog.Logger) *Node {
	client := statestore.New(runtime, settings.External.State, log)
	client.FreshnessCheckInterval = settings.FreshnessCheckInterval()
	client.SetLimits(statestore.Limits{
		MaxOperations: settings.MaxOperations(), MaxValueBytes: settings.MaxValueBytes(), FutureWriteShare: settings.FutureWriteShare(),
	})
	node := &Node{
		platform:     platform{runtime: runtime, settings: settings, log: log, stateClient: client, metrics: metrics.New()},
		identity:     identity{nonce: nonce, rank: rankOf(settings)},
		membership:   newMembership(runtime, client, settings.Seeds),
		redirections: redirections{},
	}
	node.ownership = &ownershipMonitor{runtime: runtime, settings: settings, membership: node.membership, shards: node}
	node.peerHandlers = node.newPeerHandlers()
	node.build()
	return node
}

// rankOf returns the number of nodes whose names sort before this node's.
func rankOf(settings *settings.Settings) int {
	rank := 0
	for _, seed := range settings.Seeds {
		if seed.Node < settings.Node {
			rank++
		}
	}
	return rank
}

// build creates and connects the components that depend on the number of shards in the settings.
func (n *Node) build() {
	n.leases = statestore.NewLeaseManager(n.runtime, n.stateClient, n.log, statestore.LeaseConfig{
		Node: n.settings.Node, Nonce: n.identity.nonce, Rank: n.identity.rank, ShardCount: n.settings.ShardCount(),
		AnswerGracePeriod: n.settings.AnswerGracePeriod(), Observer: leaseObserver{n},
	})
	n.catalog = userapi.NewCatalog(n.runtime, n.stateClient, n.settings.Deployment.Teams, n.log, jobObserver{n})
	n.taskStates = taskstate.NewStore(n.runtime, n.stateClient, n.log)
	machines := leader.NewMachineUsage(n.settings.ShardCount())
	n.fleet = fleet.New(fleet.Dependencies{
		Runtime: n.runtime, Address: n.settings.External.Cloud, Leases: n.leases, Loads: machines, Settings: n.settings, Log: n.log,
	})
	n.leader = leader.New(leader.Dependencies{
		Runtime: n.runtime, State: n.stateClient, Leases: n.leases, Catalog: n.catalog, Records: n.taskStates,
		Fleet: n.fleet, Machines: machines, Settings: n.settings, Metrics: n.metrics, Log: n.log,
	})
	n.userAPI = userapi.NewAPI(userapi.Config{
		Runtime: n.runtime, Client: n.stateClient, Catalog: n.catalog, Settings: n.settings, Progress: n.taskStates, Machines: n.fleet,
	})
	n.shardOwners = nil
	for shardIndex := range n.settings.ShardCount() {
		n.shardOwners = append(n.shardOwners, newShardOwner(n, shardIndex))
	}
	n.drains = n.newDrainComponents()

	n.connectRecords()
}

// leaseObserver begins and ends the terms of a node's components as its leases are acquired and
// lost.
type leaseObserver struct{ node *Node }

// LeadershipAcquired begins the terms of the leader's components under a new fencing token.
func (o leaseObserver) LeadershipAcquired(token uint64) {
	o.node.metrics.SetLeaderToken(token)
	o.node.leader.BeginTerm(token)
	o.node.fleet.BeginTerm()
	if o.node.drains != nil {
		o.node.drains.coordinator.BeginTerm(token)
	}
}

// LeadershipLost ends the terms of the leader's components.
func (o leaseObserver) LeadershipLost() {
	o.node.metrics.SetLeaderToken(0)
	o.node.leader.EndTerm()
	o.node.fleet.EndTerm()
	if o.node.drains != nil {
		o.node.drains.coordinator.EndTerm()
	}
}

// ShardAcquired begins a shard owner's term under a new fencing token.
func (o leaseObserver) ShardAcquired(shardIndex int, token uint64) {
	o.node.metrics.SetShardToken(shardIndex, token)
	o.node.ownership.shardAcquired()
	o.node.shardOwners[shardIndex].beginTerm(token)
}

// ShardLost ends a shard owner's term.
func (o leaseObserver) ShardLost(shardIndex int) {
	o.node.metrics.SetShardToken(shardIndex, 0)
	o.node.shardOwners[shardIndex].endTerm()
}

// jobObserver notifies a node's components of changed jobs.
type jobObserver struct{ node *Node }

// JobChanged notifies the leader and the shard owners of a changed job.
func (o jobObserver) JobChanged(entry *userapi.Entry) {
	o.node.leader.JobChanged(entry)
	for _, owner := range o.node.shardOwners {
		owner.tasks.JobChanged(entry)
	}
}

// connectRecords registers the leader and the shard owners as observers of the task records, and
// sets the watch pause of the copies of records and jobs.
func (n *Node) connectRecords() {
	n.taskStates.Observe(n.leader)
	for _, owner := range n.shardOwners {
		n.taskStates.Observe(owner.tasks)
	}
	n.taskStates.SetWatchPause(n.watchPause)
	n.catalog.SetWatchPause(n.watchPause)
}

// watchPause returns the pause of the copies of jobs and records between two watches. It is
// longer on a node that neither leads nor owns a shard, which only answers users from them.
func (n *Node) watchPause() time.Duration {
	if n.leases.LeaderToken() != 0 || n.ownsShard() {
		return n.settings.WatchPause()
	}
	return max(tuning.PassiveWatchPause, n.settings.WatchPause())
}
