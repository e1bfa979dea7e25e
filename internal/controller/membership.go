package controller

import (
	"encoding/json"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// membership knows the other controllers, and by asking them whether an outage of the
// state service is this node's alone (node-only) or everybody's (service-wide).
type membership struct {
	runtime     eventloop.Runtime
	stateClient *statestore.Client
	endpoints   map[string]string // of the other controllers, by node

	// When a peer last said that the state service does not answer it either, 0 for never.
	serviceWideOutageAt time.Duration
	// When a peer last said that the state service answers it, while it does not answer
	// this node; 0 for never, or if it answers this node again.
	nodeOnlyOutageAt time.Duration
}

func newMembership(runtime eventloop.Runtime, client *statestore.Client, peers []settings.Peer) *membership {
	endpoints := make(map[string]string, len(peers))
	for _, peer := range peers {
		endpoints[peer.Node] = peer.Endpoint
	}
	return &membership{runtime: runtime, stateClient: client, endpoints: endpoints}
}

// endpoint is where another controller takes messages, "" if the node is not known or is
// this one.
func (m *membership) endpoint(node string) string { return m.endpoints[node] }

// askAll sends an empty message to each peer. receive is called once for each, with
// eventloop.ErrNotSent or ErrNoAnswer for one that did not answer.
func (m *membership) askAll(path string, receive func(body []byte, err error)) {
	for _, endpoint := range m.endpoints {
		m.runtime.CallPeer(endpoint, path, []byte("{}"), tuning.PeerRequestTimeout, receive)
	}
}

// stateServiceAnswers tells whether the state service has answered this node lately.
func (m *membership) stateServiceAnswers() bool {
	return m.stateClient.HasResponded && m.runtime.Now()-m.stateClient.LastResponseAt < tuning.UnhealthyAfter
}

// compareStateHealth asks the peers, while the state service is silent, whether it is so
// for them: only a node that is refused alone sends its users elsewhere.
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
		// What a peer said once must not count for ever: at the beginning of an outage
		// one node's last answer is older than another's.
		if !m.stateServiceAnswers() {
			m.nodeOnlyOutageAt = m.runtime.Now()
		}
	})
}

// mayServeUsers tells whether this node is as good a place for users as its peers. In an
// outage that the peers share it is: it answers 503 at once, and serves again as soon as
// the state service does.
func (m *membership) mayServeUsers() bool {
	now := m.runtime.Now()
	isNodeOnly := m.nodeOnlyOutageAt > 0 && now-m.nodeOnlyOutageAt < tuning.PeerHealthMaxAge
	isServiceWide := m.serviceWideOutageAt > 0 && now-m.serviceWideOutageAt < tuning.UnhealthyAfter
	return m.stateServiceAnswers() || (!isNodeOnly && isServiceWide)
}
