package controller

import (
	"encoding/json"
	"net/http"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// redirectReply sends a worker to the node that owns its machine's shard; empty if that is
// not known, or is this node, which may not answer now (PROTOCOL, status 421).
type redirectReply struct {
	Upstream string `json:"upstream,omitempty"`
}

// redirection is a worker that was sent to the owner of its shard.
type redirection struct {
	lastHeartbeatAt time.Duration // of its last heartbeat to this node
	redirectedAt    time.Duration
}

// redirections holds the workers that this node has redirected lately, by worker ID. One
// that is soon back could not reach its shard's owner.
type redirections map[string]redirection

// shouldRelay notes a heartbeat and tells whether it is to be relayed to the shard's owner
// rather than redirected: the worker was redirected lately and is back. After
// tuning.RelayPeriod it is redirected again, since the owner may be reachable anew.
func (r redirections) shouldRelay(workerID string, now time.Duration) bool {
	previous, isBack := r[workerID]
	if !isBack || now-previous.lastHeartbeatAt > tuning.RelayWithin || now-previous.redirectedAt > tuning.RelayPeriod {
		return false
	}
	previous.lastHeartbeatAt = now
	r[workerID] = previous
	return true
}

// add notes that a worker is redirected.
func (r redirections) add(workerID string, now time.Duration) {
	r[workerID] = redirection{lastHeartbeatAt: now, redirectedAt: now}
}

// forgetOld forgets the workers that have not come back.
func (r redirections) forgetOld(now time.Duration) {
	for workerID, previous := range r {
		if now-previous.lastHeartbeatAt > tuning.RelayWithin {
			delete(r, workerID)
		}
	}
}

// handleHeartbeat serves POST /agent/beat: it answers for the shards that this node owns,
// and sends workers of other shards to the owner, or passes their heartbeats on.
func (n *Node) handleHeartbeat(body []byte, respond http1.ResponseWriter) {
	heartbeat, err := workers.ParseHeartbeat(body)
	if err != nil {
		respond(http.StatusBadRequest, http1.ErrorBody(err.Error()), 0)
		return
	}
	n.ownership.heartbeatReceived()
	owner := n.shardOwners[taskstate.ShardOf(heartbeat.WorkerID, len(n.shardOwners))]
	if n.mayAnswer(owner) {
		status, reply := owner.handleHeartbeat(heartbeat)
		respond(status, reply, 0)
		return
	}
	if owner.token != 0 {
		n.keepVerified() // at once: a lease may be valid again
	}
	ownerNode, now := n.leases.ShardOwner(owner.shardIndex), n.runtime.Now()
	endpoint := n.membership.endpoint(ownerNode)
	if endpoint != "" && n.redirections.shouldRelay(heartbeat.WorkerID, now) {
		n.relayHeartbeat(owner.shardIndex, endpoint, body, respond)
		return
	}
	n.redirections.add(heartbeat.WorkerID, now)
	n.redirectWorker(ownerNode, respond)
}

// relayHeartbeat passes a heartbeat on to the shard's owner, whose answer counts whichever
// node gives it to the worker.
func (n *Node) relayHeartbeat(shardIndex int, endpoint string, body []byte, respond http1.ResponseWriter) {
	n.runtime.CallPeer(endpoint, heartbeatPath, body, tuning.PeerRequestTimeout, func(answer []byte, err error) {
		if err != nil {
			n.redirectWorker(n.leases.ShardOwner(shardIndex), respond)
			return
		}
		respond(http.StatusOK, answer, 0)
	})
}

// redirectWorker sends a worker to the node that owns its machine's shard.
func (n *Node) redirectWorker(ownerNode string, respond http1.ResponseWriter) {
	var reply redirectReply
	if ownerNode != n.settings.Node {
		reply.Upstream = ownerNode
	}
	body, err := json.Marshal(reply)
	if err != nil {
		respond(http.StatusServiceUnavailable, nil, 0)
		return
	}
	respond(http.StatusMisdirectedRequest, body, 0)
}
