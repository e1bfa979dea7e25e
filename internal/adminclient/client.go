// Package adminclient sends operators' requests to the controllers, over the same HTTP/2
// streams by which these talk among themselves. It asks one controller after the other, and
// all of them again, until one gives a final answer or the time is up. It owns no state
// beyond one request, and must not know what the requests mean: its caller judges the
// answers.
package adminclient

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// Sender sends a message to a controller and waits for its answer, at most timeout.
type Sender interface {
	Send(endpoint, path string, body []byte, timeout time.Duration) ([]byte, error)
}

// Node is a controller that can be asked.
type Node struct {
	Name     string
	Endpoint string
}

// Nodes lists the controllers that a settings file names, the one that it belongs to first.
func Nodes(settings *settings.Settings) []Node {
	nodes := []Node{{settings.Node, settings.PeerBind}}
	for _, peer := range settings.Seeds {
		nodes = append(nodes, Node{peer.Node, peer.Endpoint})
	}
	return nodes
}

// Client asks controllers.
type Client struct {
	Sender Sender
	Nodes  []Node
	// Timeout bounds a request with all its repeats.
	Timeout time.Duration
	// Sleep and Now are the clock; tests replace them.
	Sleep func(time.Duration)
	Now   func() time.Time
}

// NewClient returns a client on the real clock.
func NewClient(sender Sender, nodes []Node, timeout time.Duration) *Client {
	return &Client{Sender: sender, Nodes: nodes, Timeout: timeout, Sleep: time.Sleep, Now: time.Now}
}

// NoAnswerError says that no controller gave a final answer in time. Whether the request was
// carried out is not known; it may be sent again.
type NoAnswerError struct {
	Failures []Failure // one for each node
}

// Failure is what came of asking one node the last time.
type Failure struct {
	Node   Node
	Reason string
}

// Error names the nodes that were asked and what came of it.
func (e *NoAnswerError) Error() string {
	parts := make([]string, len(e.Failures))
	for i, failure := range e.Failures {
		parts[i] = fmt.Sprintf("%s (%s): %s", failure.Node.Name, failure.Node.Endpoint, failure.Reason)
	}
	return "no leader reachable; asked " + strings.Join(parts, "; ")
}

// Verdict is what an answer means to the one who asked.
type Outcome struct {
	// Final says that the answer stands. Otherwise Reason says why not, and the request is
	// sent again after Retry at the earliest.
	Final  bool
	Reason string
	Retry  time.Duration
}

// Judge tells what an answer means. An error says that it does not parse; the next
// controller is asked then.
type EvaluateFunc func(answer []byte) (Outcome, error)

// Ask sends a request, encoded as JSON, until judge calls an answer final. If none is in
// time it returns a *NoAnswerError.
func (c *Client) Ask(path string, request any, judge EvaluateFunc) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	deadline := c.Now().Add(c.Timeout)
	failures := make([]Failure, len(c.Nodes))
	for {
		retry := tuning.OperatorRetryDelay
		for i, node := range c.Nodes {
			remaining := deadline.Sub(c.Now())
			if remaining <= 0 {
				break
			}
			verdict := c.askNode(node, path, body, min(remaining, 2*tuning.PeerRequestTimeout), judge)
			if verdict.Final {
				return nil
			}
			failures[i] = Failure{node, verdict.Reason}
			retry = max(retry, verdict.Retry)
		}
		if c.Now().Add(retry).After(deadline) {
			return &NoAnswerError{withUnaskedNodes(c.Nodes, failures)}
		}
		c.Sleep(retry)
	}
}

// withUnaskedNodes fills in the nodes for which there was no time.
func withUnaskedNodes(nodes []Node, failures []Failure) []Failure {
	for i := range failures {
		if failures[i].Reason == "" {
			failures[i] = Failure{nodes[i], "not asked: no time left"}
		}
	}
	return failures
}

// askNode sends the request to one node and judges its answer.
func (c *Client) askNode(node Node, path string, body []byte, timeout time.Duration, judge EvaluateFunc) Outcome {
	answer, err := c.Sender.Send(node.Endpoint, path, body, timeout)
	if err != nil {
		return Outcome{Reason: err.Error()}
	}
	verdict, err := judge(answer)
	if err != nil {
		return Outcome{Reason: "its answer does not parse: " + err.Error()}
	}
	return verdict
}
