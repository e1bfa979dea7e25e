// Package controller puts the program's parts together into one controller node: it wires
// them, routes what reaches the node (workers' heartbeats, users' requests, messages of
// other controllers) to the part that serves it, and decides from the heartbeats whether
// the node may keep the shards that it owns.
//
// It owns what a node knows of its peers and of the ways by which workers reach it
// (membership, ownershipMonitor, redirections), and for each shard the pieces of its owner
// (shardOwner). Jobs, records, machines and leases belong to the packages that it wires.
//
// All of it runs on the event loop. Nothing here may block, start a goroutine, or answer a
// worker without a lease and recent knowledge of cancellations (Node.mayAnswer).
package controller

import (
	"log/slog"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/leader"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// platform is what all parts of a node work with.
type platform struct {
	runtime     eventloop.Runtime
	settings    *settings.Settings
	log         *slog.Logger
	stateClient *statestore.Client
}

// Node is one controller.
type Node struct {
	platform
	identity     identity
	membership   *membership
	ownership    *ownershipMonitor
	redirections redirections
	peerHandlers map[string]peerHandler // by path

	// Made anew when the stored layout has another number of shards than the settings.
	leases      *statestore.LeaseManager
	catalog     *userapi.Catalog
	taskStates  *taskstate.Store
	userAPI     *userapi.API
	leader      *leader.Leader
	fleet       *fleet.Fleet
	shardOwners []*shardOwner // by shard index
	drains      *drainParts   // nil if drains are off
}

// Start begins the node's work, once it is known how the machines are divided into shards.
func (n *Node) Start() {
	reader := &layoutReader{platform: n.platform, done: n.startWithLayout}
	reader.read(0)
}

// startWithLayout starts the node for the number of shards that holds for the deployment.
func (n *Node) startWithLayout(shardCount int) {
	if shardCount != n.settings.ShardCount() {
		n.log.Warn("stored number of shards differs from the settings, the stored one holds",
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

// ownsShard tells whether this node owns any shard.
func (n *Node) ownsShard() bool {
	for _, owner := range n.shardOwners {
		if owner.token != 0 {
			return true
		}
	}
	return false
}

// relinquishShards gives up all shards that this node owns.
func (n *Node) relinquishShards() { n.leases.RelinquishShards() }

// tick is what happens once every tuning.StatusInterval.
func (n *Node) tick() {
	n.runtime.After(tuning.StatusInterval, n.tick)
	hearing := n.tickShardOwners()
	if n.ownsShard() {
		n.keepVerified()
	}
	n.ownership.check(hearing)
	n.tickDrains()
	n.leader.RequestRound()
	n.membership.compareStateHealth()
	n.redirections.forgetOld(n.runtime.Now())
}

// tickShardOwners has the shard owners check their workers and send their status, and
// returns how many of the workers receive this node's answers.
func (n *Node) tickShardOwners() hearingCount {
	var total hearingCount
	for _, owner := range n.shardOwners {
		if owner.token == 0 {
			continue
		}
		owner.workers.Tick()
		owner.rounds.needed = true
		deaf, reporting := owner.workers.CountUnreachable()
		total.reporting += reporting
		total.deaf += deaf
		n.sendStatus(owner)
	}
	return total
}

// AfterBatch takes the decisions that a batch of commands has made necessary.
func (n *Node) AfterBatch() {
	n.leader.AfterBatch()
	for _, owner := range n.shardOwners {
		owner.afterBatch()
	}
}
