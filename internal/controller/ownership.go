package controller

import (
	"encoding/json"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// heldShards is what an ownershipMonitor asks of the node.
type heldShards interface {
	ownsShard() bool
	relinquishShards()
}

// hearingCount counts the workers of a node's shards: those that report, and those of them
// that are deaf, that is whose heartbeats arrive while the node's answers do not reach them.
type hearingCount struct {
	reporting int
	deaf      int
}

// ownershipMonitor decides from the heartbeats that reach this node whether it may keep its
// shards. A node that workers cannot reach, or whose answers do not reach them, relinquishes
// them; one whose machines have all died keeps them.
type ownershipMonitor struct {
	runtime    eventloop.Runtime
	settings   *settings.Settings
	membership *membership
	shards     heldShards

	// When the last heartbeat of any worker of any shard came, directly or relayed, or
	// when the wait for one began anew.
	lastHeartbeatAt time.Duration
	// When a worker itself last came to this node, 0 if none has.
	lastWorkerContactAt time.Duration
	askingPeers         bool
	// How many times in a row the shards were relinquished without a heartbeat.
	unsuccessfulTerms int
}

// shardAcquired gives the workers of a new shard time to come here.
func (m *ownershipMonitor) shardAcquired() { m.lastHeartbeatAt = m.runtime.Now() }

// heartbeatReceived notes a heartbeat that a worker sent to this node.
func (m *ownershipMonitor) heartbeatReceived() {
	m.lastWorkerContactAt = m.runtime.Now()
	m.heartbeatRelayed()
}

// heartbeatRelayed notes a heartbeat that a peer passed on. A worker whose heartbeats are
// relayed reaches this node too: not to count it made owners relinquish their shards after
// a restart, when all workers still reported through another node.
func (m *ownershipMonitor) heartbeatRelayed() {
	m.lastHeartbeatAt, m.unsuccessfulTerms = m.runtime.Now(), 0
}

// workerSilence is how long ago a worker came to this node, in milliseconds.
func (m *ownershipMonitor) workerSilence() workerSilenceReply {
	if m.lastWorkerContactAt == 0 {
		return neverHeard
	}
	return workerSilenceReply((m.runtime.Now() - m.lastWorkerContactAt).Milliseconds())
}

// check relinquishes the shards if most workers are deaf, and asks the peers if no
// heartbeat has come for too long.
func (m *ownershipMonitor) check(workers hearingCount) {
	if workers.reporting == 0 {
		return
	}
	if workers.deaf > workers.reporting-workers.deaf {
		m.relinquish()
		return
	}
	silenceLimit := m.settings.OwnerSilenceLimit(workers.reporting) << min(m.unsuccessfulTerms, tuning.MaxSilenceDoublings)
	if m.runtime.Now()-m.lastHeartbeatAt > silenceLimit {
		m.askPeersForHeartbeats()
	}
}

// relinquish gives the shards up: it is this node that is cut off, not every machine that
// has died. If they have all died nevertheless, the next owner hears none either: the
// longer a shard goes round, the longer it is kept.
func (m *ownershipMonitor) relinquish() {
	m.shards.relinquishShards()
	m.lastHeartbeatAt = m.runtime.Now()
	m.unsuccessfulTerms++
}

// askPeersForHeartbeats is what follows when no heartbeat comes for any shard: the peers
// are asked whether workers come to them, as workers do that do not reach their owner. If
// none does, the machines are dead, and to relinquish the shards would only begin the wait
// for the ends of the machines' leases anew: a lone machine's tasks were lost for minutes
// while its shard went round. A peer that does not answer may be one that workers reach.
func (m *ownershipMonitor) askPeersForHeartbeats() {
	if m.askingPeers {
		return
	}
	pending := len(m.membership.endpoints)
	if pending == 0 {
		return
	}
	m.askingPeers = true
	silentSince, peerHears := m.lastHeartbeatAt, false
	m.membership.askAll(workerSilencePath, func(body []byte, err error) {
		if err != nil || m.peerMayHear(body, silentSince) {
			peerHears = true
		}
		if pending--; pending == 0 {
			m.askingPeers = false
			m.peersAnswered(silentSince, peerHears)
		}
	})
}

// peerMayHear tells from a peer's answer whether a worker may have come to it since a
// moment: also if the answer does not say.
func (m *ownershipMonitor) peerMayHear(body []byte, since time.Duration) bool {
	var silence workerSilenceReply
	if json.Unmarshal(body, &silence) != nil {
		return true
	}
	return silence.duration() < m.runtime.Now()-since
}

// peersAnswered decides after a silence, unless a heartbeat has come meanwhile.
func (m *ownershipMonitor) peersAnswered(silentSince time.Duration, peerHears bool) {
	if !m.shards.ownsShard() || m.lastHeartbeatAt != silentSince {
		return
	}
	if peerHears {
		m.relinquish()
		return
	}
	m.lastHeartbeatAt = m.runtime.Now() // the peers are asked again after as long a silence
}
