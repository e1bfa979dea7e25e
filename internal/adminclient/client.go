// Package adminclient sends operators' requests to the controllers, over the same kind of
// HTTP/2 streams as the controllers use among themselves. It asks the controllers in turn, and
// starts over some time after the last one, until one gives a final answer or the timeout has
// passed. It retains no state beyond one request, and must not interpret requests or answers:
// its caller evaluates the answers.
package adminclient

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// Sender sends a message to a controller and waits at most timeout for its answer.
type Sender interface {
	Send(endpoint, path string, body []byte, timeout time.Duration) ([]byte, error)
}

// Node is a controller that requests can be sent to.
type Node struct {
	Name     string
	Endpoint string
}

// Nodes returns the controllers named in a settings file, first the one whose file it is.
func Nodes(settings *settings.Settings) []Node {
	nodes := []Node{{settings.Node, settings.PeerBind}}
	for _, peer := range settings.Seeds {
		nodes = append(nodes, Node{peer.Node, peer.Endpoint})
	}
	return nodes
}

// Client sends requests to controllers and repeats them until one is answered.
type Client struct {
	Sender Sender
	Nodes  []Node
	// Timeout bounds a request including all its retries.
	Timeout time.Duration
	// Sleep and Now access the clock; tests replace them.
	Sleep func(time.Duration)
	Now   func() time.Time
}

// NewClient returns a client that uses the system's clock.
func NewClient(sender Sender, nodes []Node, timeout time.Duration) *Client {
	return &Client{Sender: sender, Nodes: nodes, Timeout: timeout, Sleep: time.Sleep, Now: time.Now}
}

// NoAnswerError reports that no controller gave a final answer in time. Whether the request
// was carried out is unknown; it may be sent again.
type NoAnswerError struct {
	Failures []Failure // one for each node
}

// Failure is the reason why the last request to a node got no final answer.
type Failure struct {
	Node   Node
	Reason string
}

// Error returns the nodes that were asked, each with the reason of its failure.
func (e *NoAnswerError) Error() string {
	parts := make([]string, len(e.Failures))
	for i, failure := range e.Failures {
		parts[i] = fmt.Sprintf("%s (%s): %s", failure.Node.Name, failure.Node.Endpoint, failure.Reason)
	}
	return "no leader reachable; asked " + strings.Join(parts, "; ")
}

// Outcome is the caller's evaluation of an answer.
type Outcome struct {
	// Final reports whether the answer ends the request. Otherwise Reason says why not, and
	// the request is sent again after no less than Retry.
	Final  bool
	Reason string
	Retry  time.Duration
}

// EvaluateFunc evaluates an answer. An error means that the answer is malformed; the request is
// then sent to the next controller.
type EvaluateFunc func(answer []byte) (Outcome, error)

// Ask sends a request, encoded as JSON, until evaluate returns a final outcome. If there is
// none within c.Timeout, it returns a *NoAnswerError.
func (c *Client) Ask(path string, request any, evaluate EvaluateFunc) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request to %s: %w", path, err)
	}
	deadline := c.Now().Add(c.Timeout)
	failures := make([]Failure, len(c.Nodes))
	for {
		retry := tuning.OperatorRetryDelay
		for position, node := range c.Nodes {
			remaining := deadline.Sub(c.Now())
			if remaining <= 0 {
				break
			}
			outcome := c.askNode(node, path, body, min(remaining, 2*tuning.PeerRequestTimeout), evaluate)
			if outcome.Final {
				return nil
			}
			failures[position] = Failure{node, outcome.Reason}
			retry = max(retry, outcome.Retry)
		}
		if c.Now().Add(retry).After(deadline) {
			return &NoAnswerError{withUnaskedNodes(c.Nodes, failures)}
		}
		c.Sleep(retry)
	}
}

// withUnaskedNodes adds failures for the nodes that were not asked within the timeout.
func withUnaskedNodes(nodes []Node, failures []Failure) []Failure {
	for i := range failures {
		if failures[i].Reason == "" {
			failures[i] = Failure{nodes[i], "not asked: no time left"}
		}
	}
	return failures
}

// askNode sends the request to one node and evaluates its answer.
func (c *Client) askNode(node Node, path string, body []byte, timeout time.Duration, evaluate EvaluateFunc) Outcome {
	answer, err := c.Sender.Send(node.Endpoint, path, body, timeout)
	if err != nil {
		return Outcome{Reason: err.Error()}
	}
	outcome, err := evaluate(answer)
	if err != nil {
		return Outcome{Reason: "malformed answer: " + err.Error()}
	}
	return outcome
}
