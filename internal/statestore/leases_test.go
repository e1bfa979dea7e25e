package statestore

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// newTestManager returns the lease manager of node-0 for two shards, which has listed an
// empty set of leases, and the service that holds the requests it has sent since.
func newTestManager(t *testing.T) (*fakeService, *LeaseManager) {
	t.Helper()
	service := newFakeService()
	service.now = time.Hour
	log := slog.New(slog.DiscardHandler)
	manager := NewLeaseManager(service, New(service, "state", log), log, LeaseConfig{
		Node: "node-0", Nonce: 1, ShardCount: 2, AnswerGracePeriod: 4 * time.Second, Observer: noObserver{},
	})
	manager.Start()
	service.reply(t, "/keys", `{"rows":[],"epoch":1}`)
	return service, manager
}

// noObserver is an observer that does nothing.
type noObserver struct{}

func (noObserver) LeadershipAcquired(uint64) {}
func (noObserver) LeadershipLost()           {}
func (noObserver) ShardAcquired(int, uint64) {}
func (noObserver) ShardLost(int)             {}

// take finds the first request to a path that has not been answered.
func (f *fakeService) takeRequest(t *testing.T, path string) request {
	t.Helper()
	i := slices.IndexFunc(f.requests, func(r request) bool { return strings.HasPrefix(r.call.Target, path) })
	if i < 0 {
		t.Fatalf("no request to %s", path)
	}
	r := f.requests[i]
	f.requests = slices.Delete(f.requests, i, i+1)
	return r
}

// reply answers the first request to a path.
func (f *fakeService) reply(t *testing.T, path, body string) {
	t.Helper()
	f.takeRequest(t, path).answer(http1.Response{Status: 200, Body: []byte(body)}, nil)
}

// fire runs the timers that are set now.
func (f *fakeService) fireTimers() {
	timers := f.timers
	f.timers = nil
	for _, fn := range timers {
		fn()
	}
}

// conditions returns those of a commit.
func (r request) conditions(t *testing.T) []Condition {
	t.Helper()
	var commit struct {
		Guards []Condition `json:"guards"`
	}
	if err := json.Unmarshal(r.call.Body, &commit); err != nil {
		t.Fatal(err)
	}
	return commit.Guards
}

func holderValue(t *testing.T, holder leaseHolder) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(holder)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestLeaseValidityCountsFromBeforeTheRequest: however late its answer, a grant or a renewal
// counts from when the request left, less the drift of the clocks and a margin.
func TestLeaseValidityCountsFromBeforeTheRequest(t *testing.T) {
	service, manager := newTestManager(t)
	validUntil := func(sentAt time.Duration) time.Duration {
		return sentAt + tuning.LeaseTTL - tuning.LeaseTTL*tuning.DriftPerMille/1000 - tuning.LeaseMargin
	}
	check := func(what string, sentAt time.Duration) {
		t.Helper()
		for _, moment := range []struct {
			at    time.Duration
			valid bool
		}{{validUntil(sentAt) - time.Millisecond, true}, {validUntil(sentAt), false}} {
			if service.now = moment.at; manager.LeaseValid() != moment.valid {
				t.Errorf("%s: valid %v, %v after the request", what, manager.LeaseValid(), moment.at-sentAt)
			}
		}
	}
	sentAt := service.now
	service.now += 2 * time.Second
	service.reply(t, "/grants", `{"permit":5}`)
	check("grant", sentAt)
	service.now = sentAt + 3*time.Second
	service.fireTimers() // the renewal leaves
	sentAt = service.now
	service.now += 2 * time.Second
	service.reply(t, "/grants/5/touch", `{}`)
	check("renewal", sentAt)
}

// TestExpiredNodeLeaseHoldsNothing: when its node lease has expired, a process holds nothing
// any more, also while its copy of the leases still shows its old entries.
func TestExpiredNodeLeaseHoldsNothing(t *testing.T) {
	service, manager := newTestManager(t)
	service.reply(t, "/grants", `{"permit":5}`)
	manager.table.apply(ShardKey(0), holderValue(t, leaseHolder{Node: "node-0", Nonce: 1}), 7)
	manager.evaluate()
	if manager.ShardToken(0) != 7 || !manager.LeaseValid() {
		t.Fatalf("token %d, valid %v", manager.ShardToken(0), manager.LeaseValid())
	}
	service.fireTimers()
	service.takeRequest(t, "/grants/5/touch").answer(http1.Response{Status: 404, Body: []byte(`{}`)}, nil)
	service.fireTimers()
	service.reply(t, "/grants", `{"permit":6}`)
	if manager.ShardToken(0) != 0 {
		t.Errorf("holds a shard of the expired lease under token %d", manager.ShardToken(0))
	}
}

// TestPreviousOwnerAnswersUntilItsDeadline: a new owner waits out the grace period after a
// lease that has expired, and the lease's time to live besides if the shard was taken from a
// live owner or if how it changed hands was not seen; a new token of the same process moves
// nothing.
func TestPreviousOwnerAnswersUntilItsDeadline(t *testing.T) {
	first, second := leaseHolder{Node: "node-1", Nonce: 1}, leaseHolder{Node: "node-0", Nonce: 1}
	for _, test := range []struct {
		name   string
		change func(*LeaseManager)
		wait   time.Duration
	}{
		{"expired", func(manager *LeaseManager) {
			manager.table.apply(ShardKey(0), nil, 8)
			manager.table.apply(ShardKey(0), holderValue(t, second), 9)
		}, 4 * time.Second},
		{"taken from a live owner", func(manager *LeaseManager) {
			manager.table.apply(ShardKey(0), holderValue(t, second), 8)
		}, 4*time.Second + tuning.LeaseTTL},
		{"listed anew", func(manager *LeaseManager) {
			entries := []KeyValue{{ShardKey(0), holderValue(t, second), 8}}
			manager.table.reset(entries)
			manager.table.apply(entries[0].Key, entries[0].Value, entries[0].Revision)
		}, 4*time.Second + tuning.LeaseTTL},
		{"token renewed by its owner", func(manager *LeaseManager) {
			manager.table.apply(ShardKey(0), holderValue(t, first), 8)
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			service, manager := newTestManager(t)
			manager.table.apply(ShardKey(0), holderValue(t, first), 7)
			before := manager.PreviousOwnerAnswersUntil(0)
			service.now += time.Hour
			test.change(manager)
			want := before
			if test.wait > 0 {
				want = service.now + test.wait
			}
			if got := manager.PreviousOwnerAnswersUntil(0); got != want {
				t.Errorf("earlier owners answer until %v from now, want %v", got-service.now, want-service.now)
			}
		})
	}
}

// TestAnswersEndWhenTheLeaseTableIsTooOld: an owner answers no longer than its copy of the
// leases is young enough, however often its node lease is renewed, since the shard may be
// another's.
func TestAnswersEndWhenTheLeaseTableIsTooOld(t *testing.T) {
	service, manager := newTestManager(t)
	verifiedAt := service.now
	service.reply(t, "/grants", `{"permit":5}`)
	service.now += 5 * time.Second
	service.fireTimers()
	service.reply(t, "/grants/5/touch", `{}`)
	if got, want := manager.AnswersUntil(), verifiedAt+tuning.LeaseTTL+manager.answers.gracePeriod; got != want {
		t.Errorf("answers until %v after the verification, want %v", got-verifiedAt, want-verifiedAt)
	}
}

// TestLeaseCommitsAreConditional: leadership is taken only if its key is as it was seen; a
// shard is assigned only under the leader's token, and its key is replaced only as it was
// seen.
func TestLeaseCommitsAreConditional(t *testing.T) {
	service, manager := newTestManager(t)
	service.reply(t, "/grants", `{"permit":5}`)
	next := func(key string) request {
		t.Helper()
		for range 20 {
			for i, r := range service.requests {
				if r.call.Target == "/commit" && strings.Contains(string(r.call.Body), `"set":"`+key+`"`) {
					service.requests = slices.Delete(service.requests, i, i+1)
					return r
				}
			}
			service.now += 100 * time.Millisecond
			service.fireTimers()
		}
		t.Fatalf("no commit of %s", key)
		return request{}
	}
	if conditions := next(LeaderKey).conditions(t); !slices.Contains(conditions, Condition{LeaderKey, 0}) {
		t.Errorf("leadership is taken under %v", conditions)
	}
	manager.table.apply(nodePrefix+"node-1", holderValue(t, leaseHolder{Node: "node-1", Nonce: 1, LeaseID: 9}), 3)
	manager.table.apply(LeaderKey, holderValue(t, leaseHolder{Node: "node-0", Nonce: 1}), 4)
	service.now += time.Second // it has let the nodes register
	manager.evaluate()
	manager.node.validUntil = service.now + time.Hour
	if conditions := next(ShardKey(0)).conditions(t); !slices.Contains(conditions, Condition{LeaderKey, 4}) || !slices.Contains(conditions, Condition{ShardKey(0), 0}) {
		t.Errorf("a shard is assigned under %v", conditions)
	}
	manager.table.apply(ShardKey(1), holderValue(t, leaseHolder{Node: "node-0", Nonce: 1}), 6)
	manager.evaluate()
	manager.RenewToken(1)
	if conditions := next(ShardKey(1)).conditions(t); !slices.Contains(conditions, Condition{ShardKey(1), 6}) {
		t.Errorf("a token is renewed under %v", conditions)
	}
}

var _ eventloop.Runtime = (*fakeService)(nil)
