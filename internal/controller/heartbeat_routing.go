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

// redirectReply redirects a worker to the node that owns its machine's shard. Upstream is empty
// if the owner is unknown, or if it is this node but may not answer now (PROTOCOL, status 421).
type redirectReply struct {
	Upstream string `json:"upstream,omitempty"`
}

// redirection records that a worker was redirected to the owner of its shard.
type redirection struct {
	lastHeartbeatAt time.Duration // the worker's last heartbeat to this node
	redirectedAt    time.Duration
}

// redirections holds the workers that this node has redirected recently, by worker ID. A
// worker that returns within tuning.RelayWithin could not reach its shard's owner.
type redirections map[string]redirection

// shouldRelay reports whether a heartbeat is to be relayed to the shard's owner because its
// worker was redirected recently and has returned; if so, it records the heartbeat. After
// tuning.RelayPeriod the worker is redirected again, since the owner may be reachable by then.
func (r redirections) shouldRelay(workerID string, now time.Duration) bool {
	previous, wasRedirected := r[workerID]
	if !wasRedirected || now-previous.lastHeartbeatAt > tuning.RelayWithin || now-previous.redirectedAt > tuning.RelayPeriod {
		return false
	}
	previous.lastHeartbeatAt = now
	r[workerID] = previous
	return true
}

// add records that a worker is redirected.
func (r redirections) add(workerID string, now time.Duration) {
	r[workerID] = redirection{lastHeartbeatAt: now, redirectedAt: now}
}

// removeExpired removes the workers that have not returned within tuning.RelayWithin.
func (r redirections) removeExpired(now time.Duration) {
	for workerID, previous := range r {
		if now-previous.lastHeartbeatAt > tuning.RelayWithin {
			delete(r, workerID)
		}
	}
}

// handleHeartbeat handles POST /agent/beat. It answers workers of the shards that this node owns
// and may answer for (mayAnswer). Other workers are redirected to the owner, or their heartbeats
// are relayed to it.
func (n *Node) handleHeartbeat(body []byte, respond http1.ResponseWriter) {
	heartbeat, err := workers.ParseHeartbeat(body)
	if err != nil {
		respond(http.StatusBadRequest, http1.ErrorBody(err.Error()), 0)
		return
	}
	n.ownership.recordDirectHeartbeat()
	owner := n.shardOwners[taskstate.ShardOf(heartbeat.WorkerID, len(n.shardOwners))]
	if n.mayAnswer(owner) {
		status, reply := owner.handleHeartbeat(heartbeat)
		respond(status, reply, 0)
		return
	}
	if owner.token != 0 {
		n.verifyCopiesIfStale() // now, not with the next tick: the lease may be valid again
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

// relayHeartbeat relays a heartbeat to the shard's owner and the owner's answer to the worker,
// for which it is as valid as an answer received directly. If the owner does not answer, or
// refuses the heartbeat, the worker is redirected.
func (n *Node) relayHeartbeat(shardIndex int, endpoint string, body []byte, respond http1.ResponseWriter) {
	n.runtime.CallPeer(endpoint, heartbeatPath, body, tuning.PeerRequestTimeout, func(answer []byte, err error) {
		if err != nil {
			n.redirectWorker(n.leases.ShardOwner(shardIndex), respond)
			return
		}
		respond(http.StatusOK, answer, 0)
	})
}

// redirectWorker redirects a worker to the node that owns its machine's shard.
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
