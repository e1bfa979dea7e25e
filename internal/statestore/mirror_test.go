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

// fakeService is a small state service with its own clock, and the eventloop.Runtime of the
// code under test. It answers requests only when the test says so, which lets the test
// delay, lose and reorder answers.
type fakeService struct {
	now         time.Duration
	revision    uint64
	values      map[string]string
	revisions   map[string]uint64
	events      []WatchEvent
	droppedUpTo uint64 // the history up to this revision is no longer available
	timers      []func()
	requests    []request // not answered yet, in the order sent
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

// set puts a key, or deletes it if value is empty.
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

// serve carries out a listing or a watch now and returns the answer.
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
		hasNext := len(entries) > 2 // small pages, so that listings take several
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

// step fires the first timer or, if none is set, answers the first request. If lost is set,
// the request fails without an answer.
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

// TestVerifiedMirrorHoldsEverythingCommittedBefore checks that a mirror whose verification
// succeeds holds everything committed before the verification was requested, also if answers
// are lost or the service has dropped the history.
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
				revisionBefore := service.revision
				mirror.Verify(func(err error) {
					if err == nil && revisionBefore == service.revision && fmt.Sprint(copied) != fmt.Sprint(want) {
						t.Fatalf("verified mirror has %v, want %v as in the service", copied, want)
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

// TestCommitTimeoutFollowsLatency checks that the commit timeout grows with the latency of the
// service, within bounds. With a fixed one, the outcomes of commits would be unknown while the
// service is merely slow.
func TestCommitTimeoutFollowsLatency(t *testing.T) {
	service := newFakeService()
	client := New(service, "state", slog.New(slog.DiscardHandler))
	commitWithLatency := func(latency time.Duration) {
		client.Commit(nil, nil, func(CommitResult) {})
		r := service.requests[0]
		service.requests = service.requests[1:]
		service.now += latency
		r.answer(http1.Response{Status: 200, Body: []byte(`{"epoch":1}`)}, nil)
	}
	for range 30 {
		commitWithLatency(5 * time.Millisecond)
	}
	fast := client.CommitTimeout()
	for range 30 {
		commitWithLatency(100 * time.Millisecond)
	}
	if slow := client.CommitTimeout(); slow < 2*fast || slow > 10*time.Second {
		t.Errorf("timeout with a slow service: %v, want at least twice the %v with a fast one and at most 10s", slow, fast)
	}
}

// write is a value that a key was set to, and when.
type write struct {
	at    time.Duration
	value string
}

// mayBeCopiedAt reports whether a copy verified at verifiedAt may hold value for a key with the
// given history: the latest value before verifiedAt or any later one.
func mayBeCopiedAt(verifiedAt time.Duration, value string, history []write) bool {
	for i, written := range history {
		if value == written.value && (written.at >= verifiedAt || i == len(history)-1 || history[i+1].at >= verifiedAt) {
			return true
		}
	}
	return history[0].at >= verifiedAt
}

// TestMirrorHoldsEverythingBeforeVerifiedAt checks that a mirror holds everything committed
// before VerifiedAt, also if answers are lost, late or out of order, or the service has
// dropped the history. The answer to a watch proves nothing about the time during which the
// watch was open.
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
					t.Fatalf("verified at %v: key %s is %q, want the latest value before or any later one of %v", verifiedAt, key, copied[key], values)
				}
			}
		}
	})
}

// TestNewListingDoesNotRevertVerifiedChanges checks that a listing does not revert a copy that
// has been verified. If a freshness check were applied while a new listing is in flight, it
// would advance the copy past the listing's revision and verify it, and the listing would then
// restore older values.
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
	service.droppedUpTo = 9 // the history that the watch needs is no longer available
	service.step(false)
	service.step(false) // the first page of the new listing
	service.droppedUpTo = 0
	service.set("a/0", "2")
	verified := false
	mirror.Verify(func(err error) { verified = err == nil })
	for len(service.requests) > 1 { // answer the check first, if it has been sent
		service.requests = append(service.requests[1:], service.requests[0])
		service.step(false)
	}
	for range 3 {
		service.step(false)
		if verified && copied["a/0"] != "2" {
			t.Fatalf("verified mirror was reverted to %v, want \"2\" for a/0", copied)
		}
	}
}

// TestVerifiedAtCountsFromTheRequest checks that VerifiedAt is the time at which the request
// was sent, not the time at which the answer arrived: the service may have answered long
// before, and the answer to a watch proves nothing about the time during which the watch was
// open.
func TestVerifiedAtCountsFromTheRequest(t *testing.T) {
	service := newFakeService()
	service.now = time.Hour
	mirror := NewMirror(service, New(service, "state", slog.New(slog.DiscardHandler)), "a/", MirrorHandler{
		Apply: func(string, json.RawMessage, uint64) {},
	})
	deliver := func(requestName string) {
		t.Helper()
		sentAt := service.now
		r := service.requests[len(service.requests)-1]
		service.requests = service.requests[:len(service.requests)-1]
		response := service.serve(r.call)
		service.now += 4 * time.Second
		r.answer(response, nil)
		if at, known := mirror.VerifiedAt(); !known || at != sentAt {
			t.Errorf("%s: verified at %v after its request (known: %v), want 0s", requestName, at-sentAt, known)
		}
	}
	mirror.Start()
	deliver("listing")
	deliver("watch")
	service.now += time.Second
	mirror.Verify(func(error) {})
	deliver("check")
}

// TestEachChangeIsAppliedOnce checks that a change that a freshness check has returned is not
// applied again when the overlapping watch returns it too, since later changes may have been
// applied in between.
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
	service.step(false) // the watch sent before the check
	if applied[1] != 1 || applied[2] != 1 {
		t.Errorf("changes 1 and 2 applied %d and %d times, want once each", applied[1], applied[2])
	}
}

// TestCheckOvertakenByNewListingVerifiesNothing checks that a freshness check in flight when a
// new listing starts, because the service has dropped the history, verifies nothing. If its
// answer were applied, it would advance the copy past the listing, which would then revert it.
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
	service.step(false) // the watch fails and the new listing starts
	check.answer(response, nil)
	if !errors.Is(outcome, ErrNotVerified) {
		t.Errorf("result of the check: %v, want %v", outcome, ErrNotVerified)
	}
}
