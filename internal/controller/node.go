// Package controller assembles a controller node. It wires the components of the other
// packages, routes incoming messages (workers' heartbeats, users' requests, messages of other
// controllers) to the component that handles them, and decides from the heartbeats whether the
// node may keep the shards that it owns.
//
// The package's own state is the node's view of its peers and of the connections to its workers
// (membership, ownershipMonitor, redirections), and for each shard the components of its owner
// (shardOwner). Jobs, records, machines and leases belong to the packages that it wires.
//
// All code runs on the event loop. It must not block, start a goroutine, or answer a worker
// without a lease and recent knowledge of cancellations (Node.mayAnswer).
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

// platform holds the dependencies that all components of a node share.
type platform struct {
	runtime     eventloop.Runtime
	settings    *settings.Settings
	log         *slog.Logger
	stateClient *statestore.Client
	metrics     *metrics.Metrics
}

// Node is a controller node.
type Node struct {
	platform
	identity     identity
	membership   *membership
	ownership    *ownershipMonitor
	redirections redirections
	peerHandlers map[string]peerHandler // by path

	// Created by build, and again if the stored layout differs from the settings in the number
	// of shards.
	leases      *statestore.LeaseManager
	catalog     *userapi.Catalog
	taskStates  *taskstate.Store
	userAPI     *userapi.API
	leader      *leader.Leader
	fleet       *fleet.Fleet
	shardOwners []*shardOwner    // by shard index
	drains      *drainComponents // nil if drains are disabled

	violationsLoggedAt time.Duration // when the summary of violated invariants was last due
}

// Start reads the stored number of shards, and then starts the node.
func (n *Node) Start() {
	reader := &layoutReader{platform: n.platform, done: n.startWithLayout}
	reader.read(0)
}

// startWithLayout starts the node with the deployment's number of shards. If that differs from
// the settings, the components are built again.
func (n *Node) startWithLayout(shardCount int) {
	if shardCount != n.settings.ShardCount() {
		n.log.Warn("stored number of shards differs from the settings, using the stored number",
			"count", shardCount, "settings_count", n.settings.ShardCount())
		n.settings.SetShardCount(shardCount)
		n.build()
	}
	n.start()
}

func (n *Node) start() {
	n.catalog.Start()
	n.taskStates.Start()
	n.leases.Start()
	n.fleet.Start()
	if n.drains != nil {
		n.drains.records.Start()
	}
	n.tick()
}

// Metrics returns the node's metrics in the text format of Prometheus. It may be called from any
// goroutine.
func (n *Node) Metrics() ([]byte, error) { return n.metrics.Encode() }

// ownsShard reports whether this node owns any shard.
func (n *Node) ownsShard() bool {
	for _, owner := range n.shardOwners {
		if owner.token != 0 {
			return true
		}
	}
	return false
}

// relinquishShards relinquishes all shards that this node owns.
func (n *Node) relinquishShards() { n.leases.RelinquishShards() }

// tick runs the node's periodic work, once every tuning.StatusInterval.
func (n *Node) tick() {
	n.runtime.After(tuning.StatusInterval, n.tick)
	reachability := n.tickShardOwners()
	if n.ownsShard() {
		n.verifyCopiesIfStale()
	}
	n.ownership.check(reachability)
	n.tickDrains()
	n.leader.RequestRound()
	n.membership.compareStateHealth()
	n.redirections.removeExpired(n.runtime.Now())
	n.logViolationsIfDue()
}

// logViolationsIfDue logs the violated invariants once every tuning.ViolationSummaryInterval.
func (n *Node) logViolationsIfDue() {
	if now := n.runtime.Now(); now >= n.violationsLoggedAt+tuning.ViolationSummaryInterval {
		n.violationsLoggedAt = now
		n.metrics.LogViolations(n.log)
	}
}

// tickShardOwners makes the shard owners check their workers and send their status. It counts
// the reporting workers and those of them that this node's answers do not reach.
func (n *Node) tickShardOwners() workerReachability {
	var total workerReachability
	for _, owner := range n.shardOwners {
		if owner.token == 0 {
			continue
		}
		owner.workers.Tick()
		owner.tasks.CheckLog()
		owner.logPassedOver()
		owner.rounds.needed = true
		unreachable, reporting := owner.workers.CountUnreachable()
		total.reporting += reporting
		total.unreachable += unreachable
		n.sendStatus(owner)
	}
	return total
}

// AfterBatch runs the scheduling decisions and commits that became due in a batch of event loop
// commands.
func (n *Node) AfterBatch() {
	n.leader.AfterBatch()
	for _, owner := range n.shardOwners {
		owner.afterBatch()
	}
}
