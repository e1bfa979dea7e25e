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

// Paths of the messages between controllers. Their names are those of earlier versions,
// with which this one talks during a rollout.
const (
	// statusPath takes a statusMessage at the leader and answers a fleet.StatusReply.
	statusPath = "/digest"
	// heartbeatPath takes a worker's heartbeat that a peer relays to the shard owner, which
	// the worker cannot reach itself, and answers what the worker is answered.
	heartbeatPath = "/beat"
	// stateHealthPath answers a stateHealthReply.
	stateHealthPath = "/state"
	// workerSilencePath answers a workerSilenceReply.
	workerSilencePath = "/heard"
)

// statusMessage is a shard owner's status message to the leader. Versions that know no
// drains pass over what is reported of them.
type statusMessage struct {
	*fleet.ShardStatus
	Drains *drain.ShardReport `json:"drains,omitempty"`
}

// stateHealthReply tells whether the state service has answered the node lately.
type stateHealthReply bool

// workerSilenceReply is how long ago a worker last came to the node itself, in milliseconds.
type workerSilenceReply int64

// neverHeard is the answer of a node to which no worker has come: the longest time in
// milliseconds that a time.Duration can hold.
const neverHeard = workerSilenceReply(math.MaxInt64 / int64(time.Millisecond))

func (r workerSilenceReply) duration() time.Duration { return time.Duration(r) * time.Millisecond }

// peerHandler serves a message of another controller. It calls answer once; ok false
// refuses the message.
type peerHandler func(body []byte, answer peerAnswer)

// peerAnswer takes the answer to a message.
type peerAnswer = func(body []byte, ok bool)

// routePeerMessages is the table of the messages that a node takes.
func (n *Node) routePeerMessages() map[string]peerHandler {
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

// HandlePeer serves a message of another controller, on the loop. answer is called once,
// now or later; ok false refuses the message: it is malformed, not for this node, or not
// known to this version.
func (n *Node) HandlePeer(path string, body []byte, answer func(body []byte, ok bool)) {
	handle, known := n.peerHandlers[path]
	if !known {
		answer(nil, false)
		return
	}
	handle(body, answer)
}

// answerJSON answers a message by a value.
func answerJSON(reply any, answer peerAnswer) {
	body, err := json.Marshal(reply)
	answer(body, err == nil)
}

// handleStatusMessage serves a shard owner's status message, if this node leads.
func (n *Node) handleStatusMessage(body []byte, answer peerAnswer) {
	var message statusMessage
	if err := json.Unmarshal(body, &message); err != nil || n.leases.LeaderToken() == 0 {
		answer(nil, false)
		return
	}
	answerJSON(n.receiveStatus(&message), answer)
}

// handleRelayedHeartbeat serves a worker's heartbeat that a peer passes on.
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
	n.ownership.heartbeatRelayed()
	status, reply := owner.handleHeartbeat(heartbeat)
	answer(reply, status == http.StatusOK)
}
