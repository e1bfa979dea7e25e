package statestore

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// store is a small state service on a clock of its own. Answers wait until they
// are let go, so that a test can delay, lose and reorder them.
type store struct {
	now    time.Duration
	epoch  uint64
	values map[string]string
	stamps map[string]uint64
	log    []WatchEvent
	oldest uint64 // changes up to this one are forgotten
	timers []func()
	calls  []request
}

type request struct {
	call http1.ClientRequest
	fn   func(http1.Response, error)
}

func newStore() *store { return &store{values: map[string]string{}, stamps: map[string]uint64{}} }

func (s *store) Now() time.Duration               { return s.now }
func (s *store) WallClock() time.Time             { return time.UnixMilli(0).Add(s.now) }
func (s *store) Rand() float64                    { return 0.5 }
func (s *store) After(_ time.Duration, fn func()) { s.timers = append(s.timers, fn) }
func (s *store) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {
}

func (s *store) CallHTTP(_ string, c http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	s.calls = append(s.calls, request{c, fn})
}

func (s *store) set(key, value string) {
	s.epoch++
	if value == "" {
		delete(s.values, key)
		delete(s.stamps, key)
		s.log = append(s.log, WatchEvent{DeletedKey: key, Revision: s.epoch})
		return
	}
	s.values[key], s.stamps[key] = value, s.epoch
	s.log = append(s.log, WatchEvent{PutKey: key, Value: json.RawMessage(value), Revision: s.epoch})
}

// answer carries a request out now.
func (s *store) answer(c http1.ClientRequest) http1.Response {
	u, err := url.Parse(c.Target)
	if err != nil {
		return http1.Response{Status: 400}
	}
	reply := func(v any) http1.Response {
		raw, _ := json.Marshal(v)
		return http1.Response{Status: 200, Body: raw}
	}
	prefix := u.Query().Get("under")
	switch u.Path {
	case "/keys":
		rows := []KeyValue{}
		for key, v := range s.values {
			if strings.HasPrefix(key, prefix) && key > u.Query().Get("since") {
				rows = append(rows, KeyValue{key, json.RawMessage(v), s.stamps[key]})
			}
		}
		sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
		more := len(rows) > 2 // small pages
		if more {
			rows = rows[:2]
		}
		return reply(map[string]any{"rows": rows, "hasNext": more, "epoch": s.epoch})
	case "/watch":
		since, _ := strconv.ParseUint(u.Query().Get("since"), 10, 64)
		if since < s.oldest {
			return http1.Response{Status: 410}
		}
		log := []WatchEvent{}
		for _, e := range s.log {
			if e.Revision > since && strings.HasPrefix(e.PutKey+e.DeletedKey, prefix) {
				log = append(log, e)
			}
		}
		return reply(map[string]any{"epoch": s.epoch, "log": log})
	}
	return http1.Response{Status: 400}
}

// step lets one timer or one answer go.
func (s *store) step(lost bool) bool {
	if len(s.timers) > 0 {
		fn := s.timers[0]
		s.timers = s.timers[1:]
		s.now += 200 * time.Millisecond
		fn()
		return true
	}
	if len(s.calls) == 0 {
		return false
	}
	r := s.calls[0]
	s.calls = s.calls[1:]
	if lost {
		r.fn(http1.Response{}, eventloop.ErrNoAnswer)
	} else {
		r.fn(s.answer(r.call), nil)
	}
	return true
}

// TestMirrorIsCurrentWhenChecked: whatever is lost, and when the history is too
// old, a copy that a check has proven holds all that was written before the
// check was asked for.
func TestMirrorIsCurrentWhenChecked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		state := New(s, "state", slog.New(slog.DiscardHandler))
		have := map[string]string{}
		m := NewMirror(s, state, "a/", MirrorHandler{
			Apply: func(key string, value json.RawMessage, _ uint64) {
				if value == nil {
					delete(have, key)
				} else {
					have[key] = string(value)
				}
			},
			Reset: func([]KeyValue) { clear(have) },
		})
		m.Start()
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				key := fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "prefix"), rapid.IntRange(0, 6).Draw(t, "key"))
				value := rapid.SampledFrom([]string{"1", "2", "3", ""}).Draw(t, "value")
				if _, there := s.values[key]; value != "" || there {
					s.set(key, value)
				}
			case 2:
				want := map[string]string{}
				for key, v := range s.values {
					if strings.HasPrefix(key, "a/") {
						want[key] = v
					}
				}
				asked := s.epoch
				m.Verify(func(err error) {
					if err == nil && asked == s.epoch && fmt.Sprint(have) != fmt.Sprint(want) {
						t.Fatalf("proven current: %v, the service has %v", have, want)
					}
				})
			case 3:
				if rapid.IntRange(0, 4).Draw(t, "forget") == 0 {
					s.oldest = s.epoch
				}
			default:
				s.step(rapid.IntRange(0, 5).Draw(t, "lost") == 0)
			}
		}
	})
}

// TestPatienceFollowsThePace: a slow service is waited for, within bounds, and
// a quick one is not.
func TestPatienceFollowsThePace(t *testing.T) {
	s := newStore()
	state := New(s, "state", slog.New(slog.DiscardHandler))
	answer := func(took time.Duration) {
		state.Commit(nil, nil, func(CommitResult) {})
		r := s.calls[0]
		s.calls = s.calls[1:]
		s.now += took
		r.fn(http1.Response{Status: 200, Body: []byte(`{"epoch":1}`)}, nil)
	}
	for range 30 {
		answer(5 * time.Millisecond)
	}
	quick := state.CommitTimeout()
	for range 30 {
		answer(100 * time.Millisecond)
	}
	if slow := state.CommitTimeout(); slow < 2*quick || slow > 10*time.Second {
		t.Errorf("waits %v for a quick service, %v for a slow one", quick, slow)
	}
}

// TestProvenHoldsAllBefore: whatever is lost, late or forgotten by the service, a copy
// holds everything that was written before the moment that it calls proven; a watch
// that was open for long proves nothing of that time.
func TestProvenHoldsAllBefore(t *testing.T) {
	type written struct {
		at    time.Duration
		value string
	}
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		state := New(s, "state", slog.New(slog.DiscardHandler))
		have, log := map[string]string{}, map[string][]written{}
		m := NewMirror(s, state, "a/", MirrorHandler{
			Apply: func(key string, value json.RawMessage, _ uint64) { have[key] = string(value) },
			Reset: func([]KeyValue) { clear(have) },
		})
		m.Start()
		proofs := 0
		var last time.Duration
		for range rapid.IntRange(5, 150).Draw(t, "steps") {
			s.now += time.Millisecond
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				key, value := fmt.Sprintf("a/%d", rapid.IntRange(0, 4).Draw(t, "key")), rapid.SampledFrom([]string{"1", "2", "3", ""}).Draw(t, "value")
				if _, there := s.values[key]; value != "" || there {
					s.set(key, value)
					log[key] = append(log[key], written{s.now, value})
				}
			case 2:
				m.VerifyIfOlder(time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond)
			case 3:
				if rapid.IntRange(0, 4).Draw(t, "forget") == 0 {
					s.oldest = s.epoch
				}
			default:
				if len(s.calls) > 1 && rapid.Bool().Draw(t, "overtaken") {
					s.calls[0], s.calls[1] = s.calls[1], s.calls[0]
				}
				s.step(rapid.IntRange(0, 5).Draw(t, "lost") == 0)
			}
			at, known := m.VerifiedAt()
			if !known {
				continue
			}
			if at > last {
				proofs, last = proofs+1, at
			}
			for key, values := range log {
				ok := false
				for i, w := range values {
					// The newest before the moment, or any later one.
					ok = ok || (have[key] == w.value && (w.at >= at || i == len(values)-1 || values[i+1].at >= at))
				}
				if !ok && values[0].at < at {
					t.Fatalf("proven at %v, but %s is %q of %v", at, key, have[key], values)
				}
			}
		}
	})
}

// TestReadingAnewDoesNotGoBack guards against a fault that generated inputs found: while
// the rows were read anew, a check moved the copy past the listing's epoch and proved
// it, and the listing took it back.
func TestReadingAnewDoesNotGoBack(t *testing.T) {
	s := newStore()
	have := map[string]string{}
	m := NewMirror(s, New(s, "state", slog.New(slog.DiscardHandler)), "a/", MirrorHandler{
		Apply: func(key string, value json.RawMessage, _ uint64) { have[key] = string(value) },
		Reset: func([]KeyValue) { clear(have) },
	})
	for i := range 3 { // two pages
		s.set(fmt.Sprintf("a/%d", i), "1")
	}
	m.Start()
	s.step(false)
	s.step(false)
	s.oldest = 9 // the history is gone
	s.step(false)
	s.step(false) // the first page of the new listing
	s.oldest = 0
	s.set("a/0", "2")
	proven := false
	m.Verify(func(err error) { proven = err == nil })
	for len(s.calls) > 1 { // the check first, if it has been sent
		s.calls = append(s.calls[1:], s.calls[0])
		s.step(false)
	}
	for range 3 {
		s.step(false)
		if proven && have["a/0"] != "2" {
			t.Fatalf("proven current, then back at %v", have)
		}
	}
}

// TestProofCountsFromTheRequest: what an answer proves, it proves of the moment at which its
// request was sent. It may have been given long before it came, and a watch proves nothing
// of the time for which it was open.
func TestProofCountsFromTheRequest(t *testing.T) {
	s := newStore()
	s.now = time.Hour
	m := NewMirror(s, New(s, "state", slog.New(slog.DiscardHandler)), "a/", MirrorHandler{
		Apply: func(string, json.RawMessage, uint64) {},
	})
	deliver := func(what string) {
		t.Helper()
		asked := s.now
		r := s.calls[len(s.calls)-1]
		s.calls = s.calls[:len(s.calls)-1]
		given := s.answer(r.call)
		s.now += 4 * time.Second
		r.fn(given, nil)
		if at, known := m.VerifiedAt(); !known || at != asked {
			t.Errorf("%s: proven of %v after its request", what, at-asked)
		}
	}
	m.Start()
	deliver("listing")
	deliver("watch")
	s.now += time.Second
	m.Verify(func(error) {})
	deliver("check")
}

// TestEachChangeIsAppliedOnce: the long watch and the checks overlap; a change that a check has
// brought in is not applied once more, since what follows it may be applied already.
func TestEachChangeIsAppliedOnce(t *testing.T) {
	s := newStore()
	applied := map[uint64]int{}
	m := NewMirror(s, New(s, "state", slog.New(slog.DiscardHandler)), "a/", MirrorHandler{
		Apply: func(_ string, _ json.RawMessage, stamp uint64) { applied[stamp]++ },
	})
	m.Start()
	s.step(false) // the listing
	s.set("a/0", "1")
	m.Verify(func(error) {})
	s.calls[0], s.calls[1] = s.calls[1], s.calls[0]
	s.step(false) // the check
	s.set("a/0", "2")
	s.step(false) // the watch, from before
	if applied[1] != 1 || applied[2] != 1 {
		t.Errorf("applied %d and %d times", applied[1], applied[2])
	}
}

// TestCheckOvertakenByReadingAnewProvesNothing: a check is under way when the history is found
// too old. Taken in while the rows are read anew, its answer would move the copy past the
// listing, which then takes it back.
func TestCheckOvertakenByReadingAnewProvesNothing(t *testing.T) {
	s := newStore()
	m := NewMirror(s, New(s, "state", slog.New(slog.DiscardHandler)), "a/", MirrorHandler{
		Apply: func(string, json.RawMessage, uint64) {},
		Reset: func([]KeyValue) {},
	})
	m.Start()
	s.step(false) // the listing
	s.set("a/0", "1")
	var outcome error
	m.Verify(func(err error) { outcome = err })
	check := s.calls[1]
	given := s.answer(check.call)
	s.oldest = 9
	s.calls = s.calls[:1]
	s.step(false) // the watch: gone
	check.fn(given, nil)
	if !errors.Is(outcome, ErrNotVerified) {
		t.Errorf("the check came to %v", outcome)
	}
}
