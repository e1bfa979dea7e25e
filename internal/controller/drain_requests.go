package controller

import (
	"encoding/json"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/tuning"
)

// handleOperatorRequest handles an operator's drain request on the leader. Any other node
// forwards it to the leader, or answers that it is unavailable if it knows no leader or the
// request was forwarded already. A node without drains refuses it.
func (n *Node) handleOperatorRequest(body []byte, answer peerAnswer) {
	var request drain.Request
	if err := json.Unmarshal(body, &request); err != nil {
		answer(nil, false)
		return
	}
	if n.drains == nil {
		answerJSON(drain.Response{
			Status: drain.StatusRefused, Node: n.settings.Node, Field: "drains", Reason: "not turned on in the operators' settings of this node",
		}, answer)
		return
	}
	if n.leases.LeaderToken() != 0 {
		n.drains.coordinator.Handle(&request, func(response drain.Response) { answerJSON(response, answer) })
		return
	}
	endpoint := n.membership.endpoint(n.leases.LeaderNode())
	if request.Forwarded || endpoint == "" {
		n.answerUnavailable("no leader is known to this node", answer)
		return
	}
	n.forwardOperatorRequest(request, endpoint, answer)
}

// forwardOperatorRequest forwards an operator's request to the leader. The request is marked
// as forwarded, and a forwarded request is not forwarded again.
func (n *Node) forwardOperatorRequest(request drain.Request, endpoint string, answer peerAnswer) {
	request.Forwarded = true
	body, err := json.Marshal(request)
	if err != nil {
		answer(nil, false)
		return
	}
	n.runtime.CallPeer(endpoint, drain.RequestPath, body, tuning.PeerRequestTimeout, func(leaderAnswer []byte, err error) {
		if err != nil {
			n.answerUnavailable("the leader does not answer", answer)
			return
		}
		answer(leaderAnswer, true)
	})
}

// answerUnavailable answers an operator that the request cannot be served now and when to
// retry it.
func (n *Node) answerUnavailable(reason string, answer peerAnswer) {
	answerJSON(drain.Response{
		Status: drain.StatusUnavailable, Node: n.settings.Node, Reason: reason, RetryMS: tuning.OperatorRetryDelay.Milliseconds(),
	}, answer)
}
