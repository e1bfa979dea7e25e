package controller

import (
	"encoding/json"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// shardHolder is the node as seen by an ownershipMonitor.
type shardHolder interface {
	ownsShard() bool
	relinquishShards()
}

// workerReachability counts workers of the shards that a node owns.
type workerReachability struct {
	reporting   int // their heartbeats arrive
	unreachable int // reporting workers that the node's answers do not reach
}

// ownershipMonitor decides from the heartbeats that reach this node whether it keeps its
// shards. The node relinquishes them if workers cannot reach it or its answers do not reach
// the workers. It keeps them if all of its machines have died.
type ownershipMonitor struct {
	runtime    eventloop.Runtime
	settings   *settings.Settings
	membership *membership
	shards     shardHolder

	// When the last heartbeat of any worker of any shard arrived, directly or relayed, or
	// when the wait for one was restarted.
	lastHeartbeatAt time.Duration
	// When a worker last sent a heartbeat directly to this node, 0 if none has.
	lastWorkerContactAt time.Duration
	peerQueryInFlight   bool
	// How often the shards have been relinquished since the last heartbeat.
	relinquishmentsSinceHeartbeat int
}

// shardAcquired restarts the wait for heartbeats, so that the workers of a newly acquired shard
// have time to reach this node.
func (m *ownershipMonitor) shardAcquired() { m.lastHeartbeatAt = m.runtime.Now() }

// recordDirectHeartbeat records a heartbeat that a worker sent to this node itself.
func (m *ownershipMonitor) recordDirectHeartbeat() {
	m.lastWorkerContactAt = m.runtime.Now()
	m.recordHeartbeat()
}

// recordHeartbeat records a heartbeat that arrived directly or was relayed by a peer. Relayed
// heartbeats count because their worker reaches this node too. If they did not count, owners
// would relinquish their shards after a restart, when all workers still report through another
// node.
func (m *ownershipMonitor) recordHeartbeat() {
	m.lastHeartbeatAt, m.relinquishmentsSinceHeartbeat = m.runtime.Now(), 0
}

// workerSilence returns the time since a worker last sent a heartbeat directly to this node, in
// milliseconds.
func (m *ownershipMonitor) workerSilence() workerSilenceReply {
	if m.lastWorkerContactAt == 0 {
		return noWorkerContact
	}
	return workerSilenceReply((m.runtime.Now() - m.lastWorkerContactAt).Milliseconds())
}

// check relinquishes the shards if this node's answers do not reach more than half of the
// reporting workers. If no heartbeat has arrived here within the silence limit, it asks the
// peers whether workers reach them. The limit doubles with each relinquishment since the last
// heartbeat, up to tuning.MaxSilenceDoublings times. Without reporting workers check does
// nothing.
func (m *ownershipMonitor) check(workers workerReachability) {
	if workers.reporting == 0 {
		return
	}
	if workers.unreachable > workers.reporting-workers.unreachable {
		m.relinquish()
		return
	}
	silenceLimit := m.settings.OwnerSilenceLimit(workers.reporting) << min(m.relinquishmentsSinceHeartbeat, tuning.MaxSilenceDoublings)
	if m.runtime.Now()-m.lastHeartbeatAt > silenceLimit {
		m.askPeersForHeartbeats()
	}
}

// relinquish relinquishes the shards on the assumption that this node is partitioned, and not
// that all machines have died. If they have died, the next owner receives no heartbeats either
// and the shards move from node to node; each relinquishment without a heartbeat in between
// makes a node keep them longer the next time.
func (m *ownershipMonitor) relinquish() {
	m.shards.relinquishShards()
	m.lastHeartbeatAt = m.runtime.Now()
	m.relinquishmentsSinceHeartbeat++
}

// askPeersForHeartbeats asks the peers whether workers send heartbeats to them, as workers do
// that cannot reach their owner. It is called when no heartbeat arrives for any shard. If no
// worker reaches a peer either, the machines are dead and the shards are kept: relinquishing
// them would only restart the wait for the machines' leases to end, and the tasks of a single
// dead machine would stay lost for minutes while its shard moves from node to node. A peer that
// does not answer counts as one that workers may reach.
func (m *ownershipMonitor) askPeersForHeartbeats() {
	if m.peerQueryInFlight {
		return
	}
	pending := len(m.membership.endpoints)
	if pending == 0 {
		return
	}
	m.peerQueryInFlight = true
	silentSince, mayReachPeer := m.lastHeartbeatAt, false
	m.membership.askAll(workerSilencePath, func(body []byte, err error) {
		if err != nil || m.peerMayReceiveHeartbeats(body, silentSince) {
			mayReachPeer = true
		}
		if pending--; pending == 0 {
			m.peerQueryInFlight = false
			m.peersAnswered(silentSince, mayReachPeer)
		}
	})
}

// peerMayReceiveHeartbeats reports whether, by a peer's answer, a worker may have sent it a
// heartbeat after since. It returns true for a malformed answer.
func (m *ownershipMonitor) peerMayReceiveHeartbeats(body []byte, since time.Duration) bool {
	var silence workerSilenceReply
	if json.Unmarshal(body, &silence) != nil {
		return true
	}
	return silence.duration() < m.runtime.Now()-since
}

// peersAnswered relinquishes the shards if a worker may have reached a peer. If none has, it
// keeps them and restarts the wait for heartbeats. It does nothing if a heartbeat has arrived
// at this node in the meantime, or if the node no longer owns a shard.
func (m *ownershipMonitor) peersAnswered(silentSince time.Duration, mayReachPeer bool) {
	if !m.shards.ownsShard() || m.lastHeartbeatAt != silentSince {
		return
	}
	if mayReachPeer {
		m.relinquish()
		return
	}
	m.lastHeartbeatAt = m.runtime.Now() // the peers are asked again after another silence limit
}
