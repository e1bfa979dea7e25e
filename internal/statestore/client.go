package statestore

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

const (
	// commitTarget is the path of commits.
	commitTarget = "/commit"
	// leaseEndedText is how the service says that an operation names a lease that has ended.
	leaseEndedText = "no such lease"
)

// Client sends requests to the state service. It belongs to the event loop.
type Client struct {
	// LastResponseAt is when the service last answered anything but a refusal, by the
	// loop's clock; it counts once HasResponded.
	LastResponseAt time.Duration
	// HasResponded tells whether the service has ever answered anything but a refusal.
	HasResponded bool
	// FreshnessCheckInterval is the least time between two verifications of one mirror.
	FreshnessCheckInterval time.Duration

	runtime        eventloop.Runtime
	address        string
	log            *slog.Logger
	averageLatency time.Duration // of the answers to POST requests, moving
	limits         Limits
	throttle       writeThrottle
}

// New returns a client of the state service at an address. Until SetLimits is called its
// commits hold one operation.
func New(runtime eventloop.Runtime, address string, log *slog.Logger) *Client {
	return &Client{
		runtime: runtime, address: address, log: log,
		FreshnessCheckInterval: tuning.FreshnessCheckInterval,
		limits:                 Limits{MaxOperations: 1, MaxValueBytes: tuning.MaxPageBytes, FutureWriteShare: 1},
		throttle:               writeThrottle{share: 1},
	}
}

// send sends one request; a nil body sends none. fn gets the outcome and, unless there was
// no answer, the answer's body.
func (c *Client) send(method, target string, body any, timeout time.Duration, fn func(Outcome, []byte)) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			c.log.Error("failed to encode a state service request", "target", target, "err", err)
			fn(OutcomeInvalid, nil)
			return
		}
	}
	sentAt := c.runtime.Now()
	request := http1.ClientRequest{Method: method, Target: target, Body: raw}
	c.runtime.CallHTTP(c.address, request, timeout, func(response http1.Response, err error) {
		if err == nil && method == "POST" {
			c.averageLatency += (c.runtime.Now() - sentAt - c.averageLatency) / tuning.LatencyAverageCount
		}
		switch {
		case errors.Is(err, eventloop.ErrNotSent):
			fn(OutcomeRefused, nil)
		case err != nil:
			c.log.Debug("state service did not answer", "target", target, "err", err)
			fn(OutcomeUnknown, nil)
		default:
			fn(c.received(target, response), response.Body)
		}
	})
}

// received takes note of an answer and returns the outcome it tells.
func (c *Client) received(target string, response http1.Response) Outcome {
	outcome := outcomeOfStatus(response.Status)
	if outcome == OutcomeRefused {
		c.log.Debug("state service refused a request", "target", target, "status", response.Status)
		if response.Status == 429 && target == commitTarget {
			c.throttle.refused(c.runtime.Now(), c.limits.FutureWriteShare)
		}
		return outcome
	}
	if outcome == OutcomeInvalid {
		c.log.Warn("state service rejected a request as invalid", "target", target, "body", string(response.Body))
	}
	c.LastResponseAt, c.HasResponded = c.runtime.Now(), true
	return outcome
}

// Commit carries all operations out if all conditions hold, or none.
func (c *Client) Commit(conditions []Condition, operations []Operation, fn func(CommitResult)) {
	c.CommitWithTimeout(conditions, operations, tuning.StateRequestTimeout, fn)
}

// CommitWithTimeout is Commit with a time after which the outcome counts as unknown.
func (c *Client) CommitWithTimeout(conditions []Condition, operations []Operation, timeout time.Duration, fn func(CommitResult)) {
	if conditions == nil {
		conditions = []Condition{}
	}
	c.send("POST", commitTarget, commitRequest{conditions, operations}, timeout, func(outcome Outcome, body []byte) {
		var reply commitReply
		if outcome == OutcomeOK || outcome == OutcomeConflict {
			if err := json.Unmarshal(body, &reply); err != nil || reply.Revision == 0 {
				outcome = OutcomeUnknown
			}
		}
		if outcome == OutcomeInvalid && !strings.Contains(string(body), leaseEndedText) {
			c.halveLimits(operations)
		}
		fn(CommitResult{outcome, reply.Revision, reply.FailedKeys})
	})
}

// List reads all key-values under a prefix, page by page.
func (c *Client) List(prefix string, fn func(ListResult)) {
	var listed ListResult
	var readPage func(afterKey string)
	readPage = func(afterKey string) {
		target := "/keys?under=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(tuning.ListPageSize)
		if afterKey != "" {
			target += "&since=" + url.QueryEscape(afterKey)
		}
		c.send("GET", target, nil, tuning.StateRequestTimeout, func(outcome Outcome, body []byte) {
			if outcome != OutcomeOK {
				fn(ListResult{Outcome: outcome})
				return
			}
			var reply listReply
			if err := json.Unmarshal(body, &reply); err != nil {
				fn(ListResult{Outcome: OutcomeUnknown})
				return
			}
			if afterKey == "" {
				listed.Revision = reply.Revision
			}
			listed.Entries = append(listed.Entries, reply.Entries...)
			if reply.HasNext && len(reply.Entries) > 0 {
				readPage(reply.Entries[len(reply.Entries)-1].Key)
				return
			}
			fn(listed)
		})
	}
	readPage("")
}

// Watch asks for the changes under a prefix after a revision and waits for the first of
// them up to wait. OutcomeGone means that the service has dropped the history since then.
func (c *Client) Watch(prefix string, after uint64, wait time.Duration, fn func(WatchResult)) {
	target := fmt.Sprintf("/watch?under=%s&since=%d&waitMs=%d", url.QueryEscape(prefix), after, wait.Milliseconds())
	c.send("GET", target, nil, wait+tuning.StateRequestTimeout, func(outcome Outcome, body []byte) {
		if outcome != OutcomeOK {
			fn(WatchResult{Outcome: outcome})
			return
		}
		var reply watchReply
		if err := json.Unmarshal(body, &reply); err != nil || reply.Revision < after {
			fn(WatchResult{Outcome: OutcomeUnknown})
			return
		}
		fn(WatchResult{OutcomeOK, reply.Events, reply.Revision})
	})
}

// GrantLease asks for a new lease that ends when it has not been renewed for ttl.
func (c *Client) GrantLease(ttl time.Duration, fn func(GrantResult)) {
	c.send("POST", "/grants", grantRequest{ttl.Milliseconds()}, tuning.StateRequestTimeout, func(outcome Outcome, body []byte) {
		var reply grantReply
		if outcome == OutcomeOK {
			if err := json.Unmarshal(body, &reply); err != nil || reply.LeaseID == 0 {
				outcome = OutcomeUnknown
			}
		}
		fn(GrantResult{outcome, reply.LeaseID})
	})
}

// RenewLease renews a lease. OutcomeGone means that it has ended.
func (c *Client) RenewLease(leaseID uint64, fn func(Outcome)) {
	c.send("POST", fmt.Sprintf("/grants/%d/touch", leaseID), nil, tuning.StateRequestTimeout,
		func(outcome Outcome, _ []byte) { fn(outcome) })
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(leaseID uint64, fn func(Outcome)) {
	c.send("DELETE", fmt.Sprintf("/grants/%d", leaseID), nil, tuning.StateRequestTimeout,
		func(outcome Outcome, _ []byte) { fn(outcome) })
}
