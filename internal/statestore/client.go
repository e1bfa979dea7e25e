// Package statestore speaks to the state service: guarded commits, listings,
// watches, and the leases by which controllers hold their offices.
package statestore

import (
	"encoding/json"
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

// noLease is how the service says that a set names a lease that has ended.
const noLease = "no such lease"

// Outcome is what is known of a request to the state service.
type Outcome int

const (
	// OutcomeOK: carried out.
	OutcomeOK Outcome = iota
	// OutcomeConflict: a guard failed, nothing was changed.
	OutcomeConflict
	// OutcomeRefused: surely not carried out, may be sent again.
	OutcomeRefused
	// OutcomeUnknown: no answer; it may have been carried out or may yet be.
	OutcomeUnknown
	// OutcomeGone: the lease or the watched history no longer exists.
	OutcomeGone
	// OutcomeInvalid: the service calls the request malformed, too large or without a
	// lease. It was surely not carried out.
	OutcomeInvalid
)

// KeyValue is one key with its value.
type KeyValue struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// Condition demands that a key has a version; 0: that it does not exist.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"stamp"`
}

// Operation is one change of a commit: a set or a removal.
type Operation struct {
	PutKey    string          `json:"set,omitempty"`
	Value     json.RawMessage `json:"v,omitempty"`
	LeaseID   uint64          `json:"permit,omitempty"`
	DeleteKey string          `json:"remove,omitempty"`
}

// CommitResult of a commit.
type CommitResult struct {
	Outcome    Outcome
	Revision   uint64
	FailedKeys []string
}

// Client sends requests to the state service.
type Client struct {
	rt   eventloop.Runtime
	addr string
	log  *slog.Logger
	// LastResponseAt is when the service last answered anything but a refusal.
	LastResponseAt time.Duration
	HasResponded   bool
	pace           time.Duration // what an answer takes lately
	// FreshnessCheckInterval is the least time between two freshness checks of a copy.
	FreshnessCheckInterval time.Duration
	limits                 Limits
	rate                   float64       // part of the changes a second that is used
	rated                  time.Duration // when that was last looked at
	pressed                time.Duration // when it last gave way
	scarce                 time.Duration // when a commit was last refused for the changes a second
	lacked                 bool          // one has been
}

// Limits are what the state service allows.
type Limits struct {
	MaxOperations    int     // changes in a commit
	MaxValueBytes    int     // bytes in a value
	FutureWriteShare float64 // part of the changes a second that may be left later
}

// SetLimits tells what the service allows, now and later.
func (c *Client) SetLimits(l Limits) { c.limits = l }

// MaxOperations is the most changes in a commit.
func (c *Client) MaxOperations() int { return max(1, c.limits.MaxOperations) }

// MaxValueBytes is the most that a value may hold.
func (c *Client) MaxValueBytes() int { return max(tuning.MinValueBytes, c.limits.MaxValueBytes) }

// WriteShare is the part of the changes a second that this node may use: it gives way
// while the service refuses some, where its limits are to fall.
func (c *Client) WriteShare() float64 {
	now := c.rt.Now()
	c.rate = min(1, c.rate+tuning.WriteShareIncreasePerSecond*(now-c.rated).Seconds())
	c.rated = now
	return c.rate
}

// WritesThrottled tells whether changes have been refused lately because there were too many
// in a second.
func (c *Client) WritesThrottled() bool {
	return c.lacked && c.rt.Now()-c.scarce < tuning.WritesThrottledPeriod
}

// press takes note of a refusal for the changes a second.
func (c *Client) press() {
	if now := c.rt.Now(); c.limits.FutureWriteShare < 1 && now-c.pressed >= tuning.WriteShareDecreaseInterval {
		c.pressed = now
		c.rate = max(c.limits.FutureWriteShare*tuning.WriteShareDecreaseFactor, c.WriteShare()*tuning.WriteShareDecreaseFactor)
	}
}

// shrink takes note of a commit that the service finds too large: its limits
// are not what the settings say. Sent again as it was, it would fail for ever.
func (c *Client) shrink(apply []Operation) {
	size := 0
	for _, a := range apply {
		size = max(size, len(a.Value))
	}
	was := c.limits
	c.limits.MaxOperations = max(1, min(c.limits.MaxOperations, len(apply)/2))
	c.limits.MaxValueBytes = max(tuning.MinValueBytes, min(c.limits.MaxValueBytes, size/2))
	if was != c.limits {
		c.log.Warn("the state service takes less than the settings say", "changes", c.limits.MaxOperations, "bytes", c.limits.MaxValueBytes)
	}
}

// New returns a client of the state service at addr.
func New(rt eventloop.Runtime, addr string, log *slog.Logger) *Client {
	return &Client{rt: rt, addr: addr, log: log, FreshnessCheckInterval: tuning.FreshnessCheckInterval, rate: 1, limits: Limits{MaxOperations: 1, MaxValueBytes: tuning.MaxPageBytes, FutureWriteShare: 1}}
}

// call sends one request and sorts the ways it can end.
func (c *Client) call(method, target string, body any, timeout time.Duration, fn func(Outcome, []byte)) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			c.log.Error("state request does not encode", "target", target, "err", err)
			fn(OutcomeInvalid, nil)
			return
		}
	}
	asked := c.rt.Now()
	c.rt.CallHTTP(c.addr, http1.ClientRequest{Method: method, Target: target, Body: raw}, timeout,
		func(ans http1.Response, err error) {
			if err == nil && method == "POST" {
				c.pace += (c.rt.Now() - asked - c.pace) / tuning.LatencyAverageCount
			}
			switch {
			case err == eventloop.ErrNotSent:
				fn(OutcomeRefused, nil)
				return
			case err != nil:
				c.log.Debug("state service silent", "target", target, "err", err)
				fn(OutcomeUnknown, nil)
				return
			}
			out := OutcomeUnknown // an answer outside the protocol proves nothing
			switch ans.Status {
			case 200, 201, 204:
				out = OutcomeOK
			case 409:
				out = OutcomeConflict
			case 429, 503:
				c.log.Debug("state service refuses", "target", target, "status", ans.Status)
				if ans.Status == 429 && target == "/commit" {
					c.scarce, c.lacked = c.rt.Now(), true
					c.press()
				}
				fn(OutcomeRefused, ans.Body)
				return
			case 404, 410:
				out = OutcomeGone
			case 400:
				out = OutcomeInvalid
				c.log.Warn("state service finds fault", "target", target, "body", string(ans.Body))
			}
			c.LastResponseAt, c.HasResponded = c.rt.Now(), true
			fn(out, ans.Body)
		})
}

// CommitTimeout is how long a commit is waited for whose outcome must be known. A
// service that answers slowly is not one that has failed: given up on at the
// usual time, commits were in doubt one after the other, and each doubt cost a
// new token and a reading of all records.
func (c *Client) CommitTimeout() time.Duration {
	return max(tuning.StateRequestTimeout, min(tuning.CommitTimeoutFactor*c.pace, tuning.MaxCommitTimeout))
}

// Commit applies changes if all guards hold.
func (c *Client) Commit(guards []Condition, apply []Operation, fn func(CommitResult)) {
	c.CommitWithTimeout(guards, apply, tuning.StateRequestTimeout, fn)
}

// CommitWithTimeout is Commit with a time after which the outcome counts as unknown.
func (c *Client) CommitWithTimeout(guards []Condition, apply []Operation, timeout time.Duration, fn func(CommitResult)) {
	if guards == nil {
		guards = []Condition{}
	}
	body := struct {
		Guards []Condition `json:"guards"`
		Apply  []Operation `json:"apply,omitempty"`
	}{guards, apply}
	c.call("POST", "/commit", body, timeout, func(out Outcome, raw []byte) {
		var reply struct {
			Epoch  uint64   `json:"epoch"`
			Failed []string `json:"failed"`
		}
		if out == OutcomeOK || out == OutcomeConflict {
			if err := json.Unmarshal(raw, &reply); err != nil || reply.Epoch == 0 {
				out = OutcomeUnknown
			}
		}
		if out == OutcomeInvalid && !strings.Contains(string(raw), noLease) {
			c.shrink(apply)
		}
		fn(CommitResult{out, reply.Epoch, reply.Failed})
	})
}

// ListResult is the result of a listing.
type ListResult struct {
	Outcome Outcome
	Entries []KeyValue
	// Revision is that of the first page: later changes may or may not be in Entries.
	Revision uint64
}

// List reads all key-values under a prefix, page by page.
func (c *Client) List(prefix string, fn func(ListResult)) {
	var all []KeyValue
	var epoch uint64
	var page func(since string)
	page = func(since string) {
		target := "/keys?under=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(tuning.ListPageSize)
		if since != "" {
			target += "&since=" + url.QueryEscape(since)
		}
		c.call("GET", target, nil, tuning.StateRequestTimeout, func(out Outcome, raw []byte) {
			if out != OutcomeOK {
				fn(ListResult{Outcome: out})
				return
			}
			var reply struct {
				Rows    []KeyValue `json:"rows"`
				HasNext bool       `json:"hasNext"`
				Epoch   uint64     `json:"epoch"`
			}
			if err := json.Unmarshal(raw, &reply); err != nil {
				fn(ListResult{Outcome: OutcomeUnknown})
				return
			}
			if since == "" {
				epoch = reply.Epoch
			}
			all = append(all, reply.Rows...)
			if reply.HasNext && len(reply.Rows) > 0 {
				page(reply.Rows[len(reply.Rows)-1].Key)
				return
			}
			fn(ListResult{OutcomeOK, all, epoch})
		})
	}
	page("")
}

// WatchEvent is one change seen by a watch.
type WatchEvent struct {
	PutKey     string          `json:"set"`
	Value      json.RawMessage `json:"v"`
	DeletedKey string          `json:"remove"`
	Revision   uint64          `json:"stamp"`
}

// WatchResult is the result of a watch.
type WatchResult struct {
	Outcome Outcome
	Events  []WatchEvent
	// Revision is the one up to which Events are complete.
	Revision uint64
}

// Watch asks for the changes under a prefix after a revision and waits for the first of
// them up to wait. OutcomeGone means that the service has dropped the history since then.
func (c *Client) Watch(prefix string, since uint64, wait time.Duration, fn func(WatchResult)) {
	target := fmt.Sprintf("/watch?under=%s&since=%d&waitMs=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	c.call("GET", target, nil, wait+tuning.StateRequestTimeout, func(out Outcome, raw []byte) {
		if out != OutcomeOK {
			fn(WatchResult{Outcome: out})
			return
		}
		var reply struct {
			Epoch uint64       `json:"epoch"`
			Log   []WatchEvent `json:"log"`
		}
		if err := json.Unmarshal(raw, &reply); err != nil || reply.Epoch < since {
			fn(WatchResult{Outcome: OutcomeUnknown})
			return
		}
		fn(WatchResult{OutcomeOK, reply.Log, reply.Epoch})
	})
}

// GrantResult is the result of a request for a lease.
type GrantResult struct {
	Outcome Outcome
	LeaseID uint64
}

// GrantLease asks for a new lease.
func (c *Client) GrantLease(ttl time.Duration, fn func(GrantResult)) {
	body := map[string]int64{"ttlMs": ttl.Milliseconds()}
	c.call("POST", "/grants", body, tuning.StateRequestTimeout, func(out Outcome, raw []byte) {
		var reply struct {
			Permit uint64 `json:"permit"`
		}
		if out == OutcomeOK {
			if err := json.Unmarshal(raw, &reply); err != nil || reply.Permit == 0 {
				out = OutcomeUnknown
			}
		}
		fn(GrantResult{out, reply.Permit})
	})
}

// RenewLease renews a lease.
func (c *Client) RenewLease(permit uint64, fn func(Outcome)) {
	c.call("POST", fmt.Sprintf("/grants/%d/touch", permit), nil, tuning.StateRequestTimeout,
		func(out Outcome, _ []byte) { fn(out) })
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(permit uint64, fn func(Outcome)) {
	c.call("DELETE", fmt.Sprintf("/grants/%d", permit), nil, tuning.StateRequestTimeout,
		func(out Outcome, _ []byte) { fn(out) })
}

// Backoff is the pause before try number n (from 0), with jitter.
func (c *Client) Backoff(n int) time.Duration {
	d := tuning.MinStateBackoff << min(n, 5)
	d = min(d, tuning.MaxStateBackoff)
	return time.Duration(float64(d) * (0.5 + c.rt.Rand()))
}
