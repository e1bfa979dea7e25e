// Package adminclient lets operators' commands ask the controllers: over the same HTTP/2
// streams by which these talk among themselves, any of them, again and again until one
// answers or the time is up.
package adminclient

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// Sender sends a message to a controller and waits for its answer.
type Sender interface {
	Send(endpoint, path string, body []byte, timeout time.Duration) ([]byte, error)
}

// Node is a controller that can be asked.
type Node struct {
	Name     string
	Endpoint string
}

// Nodes lists the controllers that a settings file names, its own first.
func Nodes(set *settings.Settings) []Node {
	nodes := []Node{{set.Node, set.PeerBind}}
	for _, peer := range set.Seeds {
		nodes = append(nodes, Node{peer.Node, peer.Endpoint})
	}
	return nodes
}

// Client asks controllers.
type Client struct {
	Sender  Sender
	Nodes   []Node
	Timeout time.Duration
	// Sleep and Now are the clock, replaced in tests.
	Sleep func(time.Duration)
	Now   func() time.Time
}

// NewClient returns a client on the real clock.
func NewClient(sender Sender, nodes []Node, timeout time.Duration) *Client {
	return &Client{Sender: sender, Nodes: nodes, Timeout: timeout, Sleep: time.Sleep, Now: time.Now}
}

// NoAnswerError says that no controller could carry a request out in time. Whether an
// earlier try was carried out is not known; the request may be sent again.
type NoAnswerError struct {
	Asked []Failure
}

// Failure is what came of asking one node, the last time.
type Failure struct {
	Node   Node
	Reason string
}

// Error names the nodes that were asked and what came of it.
func (e *NoAnswerError) Error() string {
	parts := make([]string, len(e.Asked))
	for i, f := range e.Asked {
		parts[i] = fmt.Sprintf("%s (%s): %s", f.Node.Name, f.Node.Endpoint, f.Reason)
	}
	return "no leader reachable; asked " + strings.Join(parts, "; ")
}

// Verdict is what an answer means to the one who asked.
type Verdict struct {
	// Final: the answer stands. Otherwise Reason says why not, and the request is sent
	// again after Retry at the earliest.
	Final  bool
	Reason string
	Retry  time.Duration
}

// Ask sends a request until judge calls an answer final.
func (c *Client) Ask(path string, request any, judge func(answer []byte) (Verdict, error)) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	deadline := c.Now().Add(c.Timeout)
	failures := make([]Failure, len(c.Nodes))
	for {
		retry := tuning.OperatorRetryDelay
		for i, node := range c.Nodes {
			left := deadline.Sub(c.Now())
			if left <= 0 {
				break
			}
			verdict := c.ask(node, path, body, min(left, 2*tuning.PeerRequestTimeout), judge)
			if verdict.Final {
				return nil
			}
			failures[i] = Failure{node, verdict.Reason}
			retry = max(retry, verdict.Retry)
		}
		if c.Now().Add(retry).After(deadline) {
			return &NoAnswerError{asked(c.Nodes, failures)}
		}
		c.Sleep(retry)
	}
}

// asked fills in the nodes for which there was no time.
func asked(nodes []Node, failures []Failure) []Failure {
	for i := range failures {
		if failures[i].Reason == "" {
			failures[i] = Failure{nodes[i], "not asked: no time left"}
		}
	}
	return failures
}

// ask sends a request to one node.
func (c *Client) ask(node Node, path string, body []byte, timeout time.Duration, judge func([]byte) (Verdict, error)) Verdict {
	answer, err := c.Sender.Send(node.Endpoint, path, body, timeout)
	if err != nil {
		return Verdict{Reason: err.Error()}
	}
	verdict, err := judge(answer)
	if err != nil {
		return Verdict{Reason: "its answer does not parse: " + err.Error()}
	}
	return verdict
}
