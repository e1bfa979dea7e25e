package controller

import (
	"encoding/json"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// membership holds the endpoints of the other controllers. It asks them whether an outage of
// the state service affects only this node (node-only) or them as well (service-wide).
type membership struct {
	runtime     eventloop.Runtime
	stateClient *statestore.Client
	endpoints   map[string]string // of the other controllers, by node

	// When a peer last reported that the state service does not answer it either, 0 if never.
	serviceWideOutageAt time.Duration
	// When a peer last reported that the state service answers it while it does not answer
	// this node; 0 if never, or if it answers this node again.
	nodeOnlyOutageAt time.Duration
}

func newMembership(runtime eventloop.Runtime, client *statestore.Client, peers []settings.Peer) *membership {
	endpoints := make(map[string]string, len(peers))
	for _, peer := range peers {
		endpoints[peer.Node] = peer.Endpoint
	}
	return &membership{runtime: runtime, stateClient: client, endpoints: endpoints}
}

// endpoint returns the address at which another controller receives messages, "" if the node
// is unknown or is this one.
func (m *membership) endpoint(node string) string { return m.endpoints[node] }

// askAll sends an empty message to each peer. receive is called once per peer, with an error if
// the peer did not answer or refused the message.
func (m *membership) askAll(path string, receive func(body []byte, err error)) {
	for _, endpoint := range m.endpoints {
		m.runtime.CallPeer(endpoint, path, []byte("{}"), tuning.PeerRequestTimeout, receive)
	}
}

// stateServiceAnswers reports whether the state service has answered this node within
// tuning.UnhealthyAfter.
func (m *membership) stateServiceAnswers() bool {
	return m.stateClient.HasResponded && m.runtime.Now()-m.stateClient.LastResponseAt < tuning.UnhealthyAfter
}

// compareStateHealth asks the peers, while the state service does not answer this node, whether
// it answers them: only a node that alone gets no answers sends its users to other nodes.
func (m *membership) compareStateHealth() {
	if m.stateServiceAnswers() {
		m.nodeOnlyOutageAt = 0
		return
	}
	m.askAll(stateHealthPath, func(body []byte, err error) {
		var peerIsAnswered stateHealthReply
		if err != nil || json.Unmarshal(body, &peerIsAnswered) != nil {
			return
		}
		if !peerIsAnswered {
			m.serviceWideOutageAt = m.runtime.Now()
			return
		}
		// A peer's reply counts only for a limited time: the nodes got their last answers at
		// different times, so at the beginning of a service-wide outage a peer may still
		// report that it is answered.
		if !m.stateServiceAnswers() {
			m.nodeOnlyOutageAt = m.runtime.Now()
		}
	})
}

// mayServeUsers reports whether this node can serve users as well as its peers can. In a
// service-wide outage it can: it answers 503 without delay, and serves users again as soon as
// the state service answers.
func (m *membership) mayServeUsers() bool {
	now := m.runtime.Now()
	isNodeOnly := m.nodeOnlyOutageAt > 0 && now-m.nodeOnlyOutageAt < tuning.PeerHealthMaxAge
	isServiceWide := m.serviceWideOutageAt > 0 && now-m.serviceWideOutageAt < tuning.UnhealthyAfter
	return m.stateServiceAnswers() || (!isNodeOnly && isServiceWide)
}
