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
	// commitTarget is the request path of commits.
	commitTarget = "/commit"
	// leaseEndedText is the error text of the service for an operation under a lease that has
	// ended.
	leaseEndedText = "no such lease"
)

// Client sends requests to the state service. It belongs to the event loop.
type Client struct {
	// LastResponseAt is when the last answer that was not a refusal arrived, on the loop's
	// clock. It is valid only if HasResponded is set.
	LastResponseAt time.Duration
	// HasResponded reports whether any answer but a refusal has arrived yet.
	HasResponded bool
	// FreshnessCheckInterval is the minimum time between two freshness checks of one mirror.
	FreshnessCheckInterval time.Duration

	runtime        eventloop.Runtime
	address        string
	log            *slog.Logger
	averageLatency time.Duration // moving average over the answers to POST requests
	limits         Limits
	throttle       writeThrottle
}

// New returns a client of the state service at an address. Until SetLimits is called its
// commits are limited to one operation.
func New(runtime eventloop.Runtime, address string, log *slog.Logger) *Client {
	return &Client{
		runtime: runtime, address: address, log: log,
		FreshnessCheckInterval: tuning.FreshnessCheckInterval,
		limits:                 Limits{MaxOperations: 1, MaxValueBytes: tuning.MaxPageBytes, FutureWriteShare: 1},
		throttle:               writeThrottle{share: 1},
	}
}

// send sends one request, without a body if body is nil, and passes fn the outcome and the
// body of the answer, nil if there was no answer.
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
			fn(c.recordResponse(target, response), response.Body)
		}
	})
}

// recordResponse records an answer for the throttle and for LastResponseAt, and returns its
// outcome.
func (c *Client) recordResponse(target string, response http1.Response) Outcome {
	outcome := outcomeOfStatus(response.Status)
	if outcome == OutcomeRefused {
		c.log.Debug("state service refused a request", "target", target, "status", response.Status)
		if response.Status == 429 && target == commitTarget {
			c.throttle.recordRefusal(c.runtime.Now(), c.limits.FutureWriteShare)
		}
		return outcome
	}
	if outcome == OutcomeInvalid {
		c.log.Warn("state service rejected a request as invalid", "target", target, "body", string(response.Body))
	}
	c.LastResponseAt, c.HasResponded = c.runtime.Now(), true
	return outcome
}

// Commit carries out all operations atomically if all conditions hold, and none otherwise.
func (c *Client) Commit(conditions []Condition, operations []Operation, fn func(CommitResult)) {
	c.CommitWithTimeout(conditions, operations, tuning.StateRequestTimeout, fn)
}

// CommitWithTimeout is Commit with a timeout, after which the outcome is OutcomeUnknown.
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
			c.lowerLimits(operations)
		}
		fn(CommitResult{outcome, reply.Revision, reply.FailedKeys})
	})
}

// List reads all key-values under a prefix, page by page. The result has the revision of the
// first page.
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

// Watch requests the changes under a prefix after a revision. If there are none yet, the
// service waits up to wait for the first one. OutcomeGone means that the service no longer
// has the history since that revision.
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

// GrantLease requests a new lease that ends if it is not renewed for ttl.
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

// RevokeLease ends a lease immediately.
func (c *Client) RevokeLease(leaseID uint64, fn func(Outcome)) {
	c.send("DELETE", fmt.Sprintf("/grants/%d", leaseID), nil, tuning.StateRequestTimeout,
		func(outcome Outcome, _ []byte) { fn(outcome) })
}
