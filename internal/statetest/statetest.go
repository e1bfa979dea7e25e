// Package statetest implements an in-memory state service, on a clock controlled by the test,
// for tests of packages that store their records in the state service. It is also the
// eventloop.Runtime of the code under test.
package statetest

import (
	"cmp"
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/statestore"
)

// Address is the address of the service. Calls to other addresses go to Service.Other.
const Address = "state"

// tick is the step by which Run advances the clock.
const tick = 10 * time.Millisecond

// Service is the key-value store with its revisions and watches, and the clock. It answers
// immediately, except for commits that a test holds back and watches without changes.
type Service struct {
	// Hold reports whether to hold a commit back, that is, to neither carry it out nor answer
	// it; nil holds none.
	Hold func(*Commit) bool
	// Held contains the commits held back so far, in the order of their arrival.
	Held []*Commit
	// Refuse reports whether to refuse a request with status 503; nil refuses none.
	Refuse func(http1.ClientRequest) bool
	// Other serves calls to other addresses than Address; nil leaves them without an answer.
	Other func(call http1.ClientRequest) http1.Response

	now      time.Duration
	revision uint64
	entries  map[string]statestore.KeyValue
	events   []statestore.WatchEvent
	timers   []timer
	watches  []watch
}

// Commit is a commit request that has been received.
type Commit struct {
	Conditions []statestore.Condition `json:"guards"`
	Operations []statestore.Operation `json:"apply"`
	// Answer sends an answer to the sender, or reports an error instead of one.
	Answer func(http1.Response, error) `json:"-"`
}

type timer struct {
	at time.Duration
	fn func()
}

type watch struct {
	prefix string
	since  uint64
	fn     func(http1.Response, error)
}

var _ eventloop.Runtime = (*Service)(nil)

// New returns an empty service whose clock starts at one hour.
func New() *Service { return &Service{now: time.Hour, entries: map[string]statestore.KeyValue{}} }

// Now returns the time on the service's clock.
func (s *Service) Now() time.Duration { return s.now }

// WallClock returns the time of day, which advances with the clock.
func (s *Service) WallClock() time.Time { return time.UnixMilli(1_790_000_000_000).Add(s.now) }

// Rand returns the constant 0.5, so that tests are deterministic.
func (s *Service) Rand() float64 { return 0.5 }

// After sets a timer that Run fires.
func (s *Service) After(d time.Duration, fn func()) {
	s.timers = append(s.timers, timer{s.now + d, fn})
}

// CallPeer drops messages to other controllers without an answer.
func (s *Service) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {}

// CallHTTP serves a request to the state service or passes it to Other.
func (s *Service) CallHTTP(addr string, call http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	if addr != Address {
		if s.Other != nil {
			fn(s.Other(call), nil)
		}
		return
	}
	if s.Refuse != nil && s.Refuse(call) {
		fn(Reply(503, nil), nil)
		return
	}
	target, err := url.Parse(call.Target)
	if err != nil {
		fn(http1.Response{Status: 400}, nil)
		return
	}
	query := target.Query()
	prefix := query.Get("under")
	switch target.Path {
	case "/commit":
		commit := &Commit{Answer: fn}
		if err := json.Unmarshal(call.Body, commit); err != nil {
			fn(http1.Response{Status: 400}, nil)
			return
		}
		if s.Hold != nil && s.Hold(commit) {
			s.Held = append(s.Held, commit)
			return
		}
		fn(s.Commit(commit), nil)
	case "/keys":
		fn(Reply(200, map[string]any{"rows": s.listEntries(prefix), "epoch": s.revision}), nil)
	case "/watch":
		since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
		opened := watch{prefix, since, fn}
		if !s.answerWatch(opened, query.Get("waitMs") == "0") {
			s.watches = append(s.watches, opened)
		}
	case "/grants":
		fn(Reply(200, map[string]any{"permit": 1}), nil)
	default: // the renewal of a lease
		fn(Reply(200, map[string]any{}), nil)
	}
}

// IsFreshnessCheck reports whether a request is a freshness check of a mirror: a watch of
// prefix that does not wait for changes and proves that the copy is current.
func IsFreshnessCheck(call http1.ClientRequest, prefix string) bool {
	u, err := url.Parse(call.Target)
	return err == nil && u.Path == "/watch" && u.Query().Get("under") == prefix && u.Query().Get("waitMs") == "0"
}

// Reply returns an answer with a JSON body.
func Reply(status int, body any) http1.Response {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return http1.Response{Status: status, Body: raw}
}

// listEntries returns the entries under a prefix, sorted by key.
func (s *Service) listEntries(prefix string) []statestore.KeyValue {
	entries := []statestore.KeyValue{}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b statestore.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}

// answerWatch answers a watch if there are changes, or in any case if evenIfEmpty is set, and
// reports whether it has answered.
func (s *Service) answerWatch(open watch, evenIfEmpty bool) bool {
	events := []statestore.WatchEvent{}
	for _, event := range s.events {
		if event.Revision > open.since && strings.HasPrefix(event.PutKey+event.DeletedKey, open.prefix) {
			events = append(events, event)
		}
	}
	if len(events) == 0 && !evenIfEmpty {
		return false
	}
	open.fn(Reply(200, map[string]any{"epoch": s.revision, "log": events}), nil)
	return true
}

// Commit carries out a commit, or answers 409 if a condition does not hold.
func (s *Service) Commit(commit *Commit) http1.Response {
	failed := []string{}
	for _, condition := range commit.Conditions {
		if s.entries[condition.Key].Revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return Reply(409, map[string]any{"failed": failed, "epoch": s.revision})
	}
	s.revision++
	for _, operation := range commit.Operations {
		if operation.DeleteKey != "" {
			delete(s.entries, operation.DeleteKey)
		} else {
			s.entries[operation.PutKey] = statestore.KeyValue{Key: operation.PutKey, Value: operation.Value, Revision: s.revision}
		}
		s.events = append(s.events, statestore.WatchEvent{PutKey: operation.PutKey, Value: operation.Value, DeletedKey: operation.DeleteKey, Revision: s.revision})
	}
	return Reply(200, map[string]any{"epoch": s.revision})
}

// Set puts the JSON encoding of a value unconditionally.
func (s *Service) Set(t testing.TB, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	s.Commit(&Commit{Operations: []statestore.Operation{{PutKey: key, Value: raw}}})
}

// Get returns the entry of a key and whether it exists.
func (s *Service) Get(key string) (statestore.KeyValue, bool) {
	entry, ok := s.entries[key]
	return entry, ok
}

// AdvanceClock advances the clock without firing timers or answering watches.
func (s *Service) AdvanceClock(d time.Duration) { s.now += d }

// Run advances the clock by d in steps of one tick. In each step it answers the watches that
// have changes and fires the timers that are due.
func (s *Service) Run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tick {
		watches := s.watches
		s.watches = nil
		for _, w := range watches {
			if !s.answerWatch(w, false) {
				s.watches = append(s.watches, w)
			}
		}
		timers := s.timers
		s.timers = nil
		for _, tm := range timers {
			if tm.at <= s.now {
				tm.fn()
			} else {
				s.timers = append(s.timers, tm)
			}
		}
	}
}
