package statestore

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// fakeService is a small state service on a clock of its own, and the runtime of the code
// under test. Answers wait until the test releases them, so that it can delay, lose and
// reorder them.
type fakeService struct {
	now         time.Duration
	revision    uint64
	values      map[string]string
	revisions   map[string]uint64
	events      []WatchEvent
	droppedUpTo uint64 // the history up to this revision is dropped
	timers      []func()
	requests    []request
}

type request struct {
	call   http1.ClientRequest
	answer func(http1.Response, error)
}

func newFakeService() *fakeService {
	return &fakeService{values: map[string]string{}, revisions: map[string]uint64{}}
}

func (f *fakeService) Now() time.Duration               { return f.now }
func (f *fakeService) WallClock() time.Time             { return time.UnixMilli(0).Add(f.now) }
func (f *fakeService) Rand() float64                    { return 0.5 }
func (f *fakeService) After(_ time.Duration, fn func()) { f.timers = append(f.timers, fn) }
func (f *fakeService) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {
}

func (f *fakeService) CallHTTP(_ string, c http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	f.requests = append(f.requests, request{c, fn})
}

func (f *fakeService) set(key, value string) {
	f.revision++
	if value == "" {
		delete(f.values, key)
		delete(f.revisions, key)
		f.events = append(f.events, WatchEvent{DeletedKey: key, Revision: f.revision})
		return
	}
	f.values[key], f.revisions[key] = value, f.revision
	f.events = append(f.events, WatchEvent{PutKey: key, Value: json.RawMessage(value), Revision: f.revision})
}

// serve carries a request out now and returns the answer.
func (f *fakeService) serve(call http1.ClientRequest) http1.Response {
	target, err := url.Parse(call.Target)
	if err != nil {
		return http1.Response{Status: 400}
	}
	reply := func(v any) http1.Response {
		raw, _ := json.Marshal(v)
		return http1.Response{Status: 200, Body: raw}
	}
	prefix := target.Query().Get("under")
	switch target.Path {
	case "/keys":
		entries := []KeyValue{}
		for key, v := range f.values {
			if strings.HasPrefix(key, prefix) && key > target.Query().Get("since") {
				entries = append(entries, KeyValue{key, json.RawMessage(v), f.revisions[key]})
			}
		}
		slices.SortFunc(entries, func(a, b KeyValue) int { return strings.Compare(a.Key, b.Key) })
		hasNext := len(entries) > 2 // small pages
		if hasNext {
			entries = entries[:2]
		}
		return reply(map[string]any{"rows": entries, "hasNext": hasNext, "epoch": f.revision})
	case "/watch":
		since, _ := strconv.ParseUint(target.Query().Get("since"), 10, 64)
		if since < f.droppedUpTo {
			return http1.Response{Status: 410}
		}
		events := []WatchEvent{}
		for _, event := range f.events {
			if event.Revision > since && strings.HasPrefix(event.PutKey+event.DeletedKey, prefix) {
				events = append(events, event)
			}
		}
		return reply(map[string]any{"epoch": f.revision, "log": events})
	}
	return http1.Response{Status: 400}
}

// step fires one timer or, if none is set, answers one request; lost leaves that without
// an answer.
func (f *fakeService) step(lost bool) {
	if len(f.timers) > 0 {
		fn := f.timers[0]
		f.timers = f.timers[1:]
		f.now += 200 * time.Millisecond
		fn()
		return
	}
	if len(f.requests) == 0 {
		return
	}
	r := f.requests[0]
	f.requests = f.requests[1:]
	if lost {
		r.answer(http1.Response{}, eventloop.ErrNoAnswer)
	} else {
		r.answer(f.serve(r.call), nil)
	}
}

// TestVerifiedMirrorHoldsEverythingCommittedBefore: whatever answers are lost, and also when
// the service has dropped the history, a mirror whose verification succeeds holds all that
// was committed before the verification was asked for.
func TestVerifiedMirrorHoldsEverythingCommittedBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := newFakeService()
		client := New(service, "state", slog.New(slog.DiscardHandler))
		copied := map[string]string{}
		mirror := NewMirror(service, client, "a/", MirrorHandler{
			Apply: func(key string, value json.RawMessage, _ uint64) {
				if value == nil {
					delete(copied, key)
				} else {
					copied[key] = string(value)
				}
			},
			Reset: func([]KeyValue) { clear(copied) },
		})
		mirror.Start()
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				key := fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "prefix"), rapid.IntRange(0, 6).Draw(t, "key"))
				value := rapid.SampledFrom([]string{"1", "2", "3", ""}).Draw(t, "value")
				if _, exists := service.values[key]; value != "" || exists {
					service.set(key, value)
				}
			case 2:
				want := map[string]string{}
				for key, v := range service.values {
					if strings.HasPrefix(key, "a/") {
						want[key] = v
					}
				}
				asked := service.revision
				mirror.Verify(func(err error) {
					if err == nil && asked == service.revision && fmt.Sprint(copied) != fmt.Sprint(want) {
						t.Fatalf("verified current with %v, the service has %v", copied, want)
					}
				})
			case 3:
				if rapid.IntRange(0, 4).Draw(t, "forget") == 0 {
					service.droppedUpTo = service.revision
				}
			default:
				service.step(rapid.IntRange(0, 5).Draw(t, "lost") == 0)
			}
		}
	})
}

// TestCommitTimeoutFollowsLatency: commits of a slow service are waited for longer than those
// of a quick one, within bounds.
func TestCommitTimeoutFollowsLatency(t *testing.T) {
	service := newFakeService()
	client := New(service, "state", slog.New(slog.DiscardHandler))
	answer := func(took time.Duration) {
		client.Commit(nil, nil, func(CommitResult) {})
		r := service.requests[0]
		service.requests = service.requests[1:]
		service.now += took
		r.answer(http1.Response{Status: 200, Body: []byte(`{"epoch":1}`)}, nil)
	}
	for range 30 {
		answer(5 * time.Millisecond)
	}
	quick := client.CommitTimeout()
	for range 30 {
		answer(100 * time.Millisecond)
	}
	if slow := client.CommitTimeout(); slow < 2*quick || slow > 10*time.Second {
		t.Errorf("waits %v for a quick service, %v for a slow one", quick, slow)
	}
}

// write is a value that a key was given.
type write struct {
	at    time.Duration
	value string
}

// mayBeCopiedAt tells whether a copy verified at a moment may hold a value of a key with a
// history: the newest before the moment, or any later one.
func mayBeCopiedAt(verifiedAt time.Duration, value string, history []write) bool {
	for i, written := range history {
		if value == written.value && (written.at >= verifiedAt || i == len(history)-1 || history[i+1].at >= verifiedAt) {
			return true
		}
	}
	return history[0].at >= verifiedAt
}

// TestMirrorHoldsEverythingBeforeVerifiedAt: whatever answers are lost or late, and whatever
// history the service drops, a mirror holds everything that was committed before VerifiedAt;
// a watch that was open for long shows nothing of that time.
func TestMirrorHoldsEverythingBeforeVerifiedAt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := newFakeService()
		client := New(service, "state", slog.New(slog.DiscardHandler))
		copied, history := map[string]string{}, map[string][]write{}
		mirror := NewMirror(service, client, "a/", MirrorHandler{
			Apply: func(key string, value json.RawMessage, _ uint64) { copied[key] = string(value) },
			Reset: func([]KeyValue) { clear(copied) },
		})
		mirror.Start()
		for range rapid.IntRange(5, 150).Draw(t, "steps") {
			service.now += time.Millisecond
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				key, value := fmt.Sprintf("a/%d", rapid.IntRange(0, 4).Draw(t, "key")), rapid.SampledFrom([]string{"1", "2", "3", ""}).Draw(t, "value")
				if _, exists := service.values[key]; value != "" || exists {
					service.set(key, value)
					history[key] = append(history[key], write{service.now, value})
				}
			case 2:
				mirror.VerifyIfOlder(time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond)
			case 3:
				if rapid.IntRange(0, 4).Draw(t, "forget") == 0 {
					service.droppedUpTo = service.revision
				}
			default:
				if len(service.requests) > 1 && rapid.Bool().Draw(t, "overtaken") {
					service.requests[0], service.requests[1] = service.requests[1], service.requests[0]
				}
				service.step(rapid.IntRange(0, 5).Draw(t, "lost") == 0)
			}
			verifiedAt, known := mirror.VerifiedAt()
			if !known {
				continue
			}
			for key, values := range history {
				if !mayBeCopiedAt(verifiedAt, copied[key], values) {
					t.Fatalf("verified at %v, but %s is %q of %v", verifiedAt, key, copied[key], values)
				}
			}
		}
	})
}

// TestNewListingDoesNotRevertVerifiedChanges guards against a fault that generated inputs
// found: while the keys were listed anew, a check moved the copy past the listing's revision
// and verified it, and the listing took it back.
func TestNewListingDoesNotRevertVerifiedChanges(t *testing.T) {
	service := newFakeService()
	copied := map[string]string{}
	mirror := NewMirror(service, New(service, "state", slog.New(slog.DiscardHandler)), "a/", MirrorHandler{
		Apply: func(key string, value json.RawMessage, _ uint64) { copied[key] = string(value) },
		Reset: func([]KeyValue) { clear(copied) },
	})
	for i := range 3 { // two pages
		service.set(fmt.Sprintf("a/%d", i), "1")
	}
	mirror.Start()
	service.step(false)
	service.step(false)
	service.droppedUpTo = 9 // the history is gone
	service.step(false)
	service.step(false) // the first page of the new listing
	service.droppedUpTo = 0
	service.set("a/0", "2")
	verified := false
	mirror.Verify(func(err error) { verified = err == nil })
	for len(service.requests) > 1 { // the check first, if it has been sent
		service.requests = append(service.requests[1:], service.requests[0])
		service.step(false)
	}
	for range 3 {
		service.step(false)
		if verified && copied["a/0"] != "2" {
			t.Fatalf("verified current, then back at %v", copied)
		}
	}
}

// TestVerifiedAtCountsFromTheRequest: an answer shows what was committed before its request
// was sent. It may have been given long before it came, and a watch shows nothing of the time
// for which it was open.
func TestVerifiedAtCountsFromTheRequest(t *testing.T) {
	service := newFakeService()
	service.now = time.Hour
	mirror := NewMirror(service, New(service, "state", slog.New(slog.DiscardHandler)), "a/", MirrorHandler{
		Apply: func(string, json.RawMessage, uint64) {},
	})
	deliver := func(what string) {
		t.Helper()
		sentAt := service.now
		r := service.requests[len(service.requests)-1]
		service.requests = service.requests[:len(service.requests)-1]
		response := service.serve(r.call)
		service.now += 4 * time.Second
		r.answer(response, nil)
		if at, known := mirror.VerifiedAt(); !known || at != sentAt {
			t.Errorf("%s: verified at %v after its request", what, at-sentAt)
		}
	}
	mirror.Start()
	deliver("listing")
	deliver("watch")
	service.now += time.Second
	mirror.Verify(func(error) {})
	deliver("check")
}

// TestEachChangeIsAppliedOnce: the long watch and the checks overlap; a change that a check
// has brought is not applied once more, since what follows it may have been applied already.
func TestEachChangeIsAppliedOnce(t *testing.T) {
	service := newFakeService()
	applied := map[uint64]int{}
	mirror := NewMirror(service, New(service, "state", slog.New(slog.DiscardHandler)), "a/", MirrorHandler{
		Apply: func(_ string, _ json.RawMessage, revision uint64) { applied[revision]++ },
	})
	mirror.Start()
	service.step(false) // the listing
	service.set("a/0", "1")
	mirror.Verify(func(error) {})
	service.requests[0], service.requests[1] = service.requests[1], service.requests[0]
	service.step(false) // the check
	service.set("a/0", "2")
	service.step(false) // the watch, from before
	if applied[1] != 1 || applied[2] != 1 {
		t.Errorf("applied %d and %d times", applied[1], applied[2])
	}
}

// TestCheckOvertakenByNewListingVerifiesNothing: a check is on its way when the service turns
// out to have dropped the history. Applied while the keys are listed anew, its answer would
// move the copy past the listing, which then takes it back.
func TestCheckOvertakenByNewListingVerifiesNothing(t *testing.T) {
	service := newFakeService()
	mirror := NewMirror(service, New(service, "state", slog.New(slog.DiscardHandler)), "a/", MirrorHandler{
		Apply: func(string, json.RawMessage, uint64) {},
		Reset: func([]KeyValue) {},
	})
	mirror.Start()
	service.step(false) // the listing
	service.set("a/0", "1")
	var outcome error
	mirror.Verify(func(err error) { outcome = err })
	check := service.requests[1]
	response := service.serve(check.call)
	service.droppedUpTo = 9
	service.requests = service.requests[:1]
	service.step(false) // the watch: gone
	check.answer(response, nil)
	if !errors.Is(outcome, ErrNotVerified) {
		t.Errorf("the check came to %v", outcome)
	}
}
