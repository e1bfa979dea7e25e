package controller

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// Paths of the messages between controllers. They must not change: during a rollout nodes of
// earlier versions use them too.
const (
	// statusPath receives a statusMessage on the leader and answers with a fleet.StatusReply.
	statusPath = "/digest"
	// heartbeatPath receives a worker's heartbeat that a peer relays to the shard owner because
	// the worker cannot reach it, and answers with the reply to the worker.
	heartbeatPath = "/beat"
	// stateHealthPath answers with a stateHealthReply.
	stateHealthPath = "/state"
	// workerSilencePath answers with a workerSilenceReply.
	workerSilencePath = "/heard"
)

// statusMessage is a shard owner's status message to the leader. Versions without drains ignore
// the field Drains.
type statusMessage struct {
	*fleet.ShardStatus
	Drains *drain.ShardReport `json:"drains,omitempty"`
}

// stateHealthReply reports whether the state service has answered the node within
// tuning.UnhealthyAfter.
type stateHealthReply bool

// workerSilenceReply is the time since a worker last sent a heartbeat directly to the node, in
// milliseconds.
type workerSilenceReply int64

// noWorkerContact is the reply of a node that no worker has sent a heartbeat to: the longest
// time in milliseconds that a time.Duration can hold.
const noWorkerContact = workerSilenceReply(math.MaxInt64 / int64(time.Millisecond))

func (r workerSilenceReply) duration() time.Duration { return time.Duration(r) * time.Millisecond }

// peerHandler handles a message of another controller and calls answer exactly once.
type peerHandler func(body []byte, answer peerAnswer)

// peerAnswer receives the answer to a message. ok false refuses the message.
type peerAnswer = func(body []byte, ok bool)

// newPeerHandlers returns the handlers of the messages that a node receives, by path.
func (n *Node) newPeerHandlers() map[string]peerHandler {
	return map[string]peerHandler{
		statusPath:    n.handleStatusMessage,
		heartbeatPath: n.handleRelayedHeartbeat,
		stateHealthPath: func(_ []byte, answer peerAnswer) {
			answerJSON(stateHealthReply(n.membership.stateServiceAnswers()), answer)
		},
		workerSilencePath: func(_ []byte, answer peerAnswer) {
			answerJSON(n.ownership.workerSilence(), answer)
		},
		drain.RequestPath: n.handleOperatorRequest,
	}
}

// HandlePeer handles a message of another controller on the event loop. answer is called exactly
// once, before or after HandlePeer returns. ok is false if the message is refused: it is
// malformed, is not for this node, or has a path unknown to this version.
func (n *Node) HandlePeer(path string, body []byte, answer func(body []byte, ok bool)) {
	handle, known := n.peerHandlers[path]
	if !known {
		answer(nil, false)
		return
	}
	handle(body, answer)
}

// answerJSON answers a message with a value encoded as JSON.
func answerJSON(reply any, answer peerAnswer) {
	body, err := json.Marshal(reply)
	answer(body, err == nil)
}

// handleStatusMessage handles a shard owner's status message. It refuses the message if this
// node is not the leader.
func (n *Node) handleStatusMessage(body []byte, answer peerAnswer) {
	var message statusMessage
	if err := json.Unmarshal(body, &message); err != nil || n.leases.LeaderToken() == 0 {
		answer(nil, false)
		return
	}
	answerJSON(n.receiveStatus(&message), answer)
}

// handleRelayedHeartbeat handles a worker's heartbeat that a peer has relayed.
func (n *Node) handleRelayedHeartbeat(body []byte, answer peerAnswer) {
	heartbeat, err := workers.ParseHeartbeat(body)
	if err != nil {
		answer(nil, false)
		return
	}
	owner := n.shardOwners[taskstate.ShardOf(heartbeat.WorkerID, len(n.shardOwners))]
	if !n.mayAnswer(owner) {
		answer(nil, false)
		return
	}
	n.ownership.recordHeartbeat()
	status, reply := owner.handleHeartbeat(heartbeat)
	answer(reply, status == http.StatusOK)
}
