// Package statetest is a state service in memory, on a clock that a test moves, for tests
// of the packages that keep their records in one. It is the runtime of the code under test
// too.
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

// Address is where the service is called; calls to other addresses go to Other.
const Address = "state"

// tick is the step in which time passes.
const tick = 10 * time.Millisecond

// Service is the key-value store with its revisions and watches, and the clock. It answers
// at once, except commits that a test holds back.
type Service struct {
	// Hold tells whether a commit is held back; nil for none.
	Hold func(*Commit) bool
	// Held are the commits held back so far.
	Held []*Commit
	// Refuse tells whether a request is refused for now; nil for none.
	Refuse func(http1.ClientRequest) bool
	// Other serves calls to other addresses; nil leaves them without an answer.
	Other func(call http1.ClientRequest) http1.Response

	now     time.Duration
	epoch   uint64
	rows    map[string]statestore.KeyValue
	log     []statestore.WatchEvent
	timers  []timer
	watches []watch
}

// Commit is a transaction on its way.
type Commit struct {
	Conditions []statestore.Condition `json:"guards"`
	Operations  []statestore.Operation `json:"apply"`
	// Answer gives its sender an answer, or an error in place of one.
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

// New returns an empty service.
func New() *Service { return &Service{now: time.Hour, rows: map[string]statestore.KeyValue{}} }

// Now reads the clock.
func (s *Service) Now() time.Duration { return s.now }

// WallClock reads the time of day.
func (s *Service) WallClock() time.Time { return time.UnixMilli(1_790_000_000_000).Add(s.now) }

// Rand is always the same.
func (s *Service) Rand() float64 { return 0.5 }

// After sets a timer.
func (s *Service) After(d time.Duration, fn func()) {
	s.timers = append(s.timers, timer{s.now + d, fn})
}

// CallPeer leaves messages to other controllers without an answer.
func (s *Service) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {}

// CallHTTP serves a request.
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
		fn(Reply(200, map[string]any{"rows": s.list(prefix), "epoch": s.epoch}), nil)
	case "/watch":
		since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
		opened := watch{prefix, since, fn}
		if !s.tell(opened, query.Get("waitMs") == "0") {
			s.watches = append(s.watches, opened)
		}
	case "/grants":
		fn(Reply(200, map[string]any{"permit": 1}), nil)
	default: // a renewal
		fn(Reply(200, map[string]any{}), nil)
	}
}

// IsCheck tells whether a request asks for the changes under a prefix without waiting, as a
// proof that a copy is current.
func IsFreshnessCheck(call http1.ClientRequest, prefix string) bool {
	u, err := url.Parse(call.Target)
	return err == nil && u.Path == "/watch" && u.Query().Get("under") == prefix && u.Query().Get("waitMs") == "0"
}

// Reply is an answer with a JSON body.
func Reply(status int, body any) http1.Response {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return http1.Response{Status: status, Body: raw}
}

// list gives the rows under a prefix, in the order of their keys.
func (s *Service) list(prefix string) []statestore.KeyValue {
	rows := []statestore.KeyValue{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b statestore.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

// tell answers a watch if there is anything to tell, or anyway.
func (s *Service) tell(open watch, anyway bool) bool {
	events := []statestore.WatchEvent{}
	for _, e := range s.log {
		if e.Revision > open.since && strings.HasPrefix(e.PutKey+e.DeletedKey, open.prefix) {
			events = append(events, e)
		}
	}
	if len(events) == 0 && !anyway {
		return false
	}
	open.fn(Reply(200, map[string]any{"epoch": s.epoch, "log": events}), nil)
	return true
}

// Commit carries a commit out, or refuses it for its guards.
func (s *Service) Commit(commit *Commit) http1.Response {
	failed := []string{}
	for _, g := range commit.Conditions {
		if s.rows[g.Key].Revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return Reply(409, map[string]any{"failed": failed, "epoch": s.epoch})
	}
	s.epoch++
	for _, a := range commit.Operations {
		if a.DeleteKey != "" {
			delete(s.rows, a.DeleteKey)
		} else {
			s.rows[a.PutKey] = statestore.KeyValue{Key: a.PutKey, Value: a.Value, Revision: s.epoch}
		}
		s.log = append(s.log, statestore.WatchEvent{PutKey: a.PutKey, Value: a.Value, DeletedKey: a.DeleteKey, Revision: s.epoch})
	}
	return Reply(200, map[string]any{"epoch": s.epoch})
}

// Set writes one value, unconditionally.
func (s *Service) Set(t testing.TB, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	s.Commit(&Commit{Operations: []statestore.Operation{{PutKey: key, Value: raw}}})
}

// Get finds a row.
func (s *Service) Get(key string) (statestore.KeyValue, bool) {
	row, ok := s.rows[key]
	return row, ok
}

// Skip moves the clock without anything happening meanwhile.
func (s *Service) AdvanceClock(d time.Duration) { s.now += d }

// Run lets time pass: timers fire and watches tell of changes.
func (s *Service) Run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tick {
		watches := s.watches
		s.watches = nil
		for _, w := range watches {
			if !s.tell(w, false) {
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
