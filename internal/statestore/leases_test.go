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

// newTestManager returns a started lease manager of node-0 for two shards, which has applied
// an empty listing of the leases, and the service with the manager's unanswered requests.
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

// noObserver is a LeaseObserver that does nothing.
type noObserver struct{}

func (noObserver) LeadershipAcquired(uint64) {}
func (noObserver) LeadershipLost()           {}
func (noObserver) ShardAcquired(int, uint64) {}
func (noObserver) ShardLost(int)             {}

// takeRequest removes and returns the first unanswered request whose target starts with path.
func (f *fakeService) takeRequest(t *testing.T, path string) request {
	t.Helper()
	i := slices.IndexFunc(f.requests, func(r request) bool { return strings.HasPrefix(r.call.Target, path) })
	if i < 0 {
		t.Fatalf("no unanswered request to %s", path)
	}
	r := f.requests[i]
	f.requests = slices.Delete(f.requests, i, i+1)
	return r
}

// reply answers the first unanswered request to a path with status 200.
func (f *fakeService) reply(t *testing.T, path, body string) {
	t.Helper()
	f.takeRequest(t, path).answer(http1.Response{Status: 200, Body: []byte(body)}, nil)
}

// fireTimers runs the timers that are set now, regardless of when they are due.
func (f *fakeService) fireTimers() {
	timers := f.timers
	f.timers = nil
	for _, fn := range timers {
		fn()
	}
}

// conditions returns the conditions of a commit request.
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

// holderValue returns the value of a lease key held by holder.
func holderValue(t *testing.T, holder leaseHolder) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(holder)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestLeaseValidityCountsFromTheRequest checks that the validity of a lease counts from
// the time at which the grant or renewal was sent, less clock drift and a margin, however late
// the answer arrives. Counted from the answer, a lease would be considered valid after the
// service has ended it.
func TestLeaseValidityCountsFromTheRequest(t *testing.T) {
	service, manager := newTestManager(t)
	validUntil := func(sentAt time.Duration) time.Duration {
		return sentAt + tuning.LeaseTTL - tuning.LeaseTTL*tuning.DriftPerMille/1000 - tuning.LeaseMargin
	}
	check := func(requestName string, sentAt time.Duration) {
		t.Helper()
		for _, moment := range []struct {
			at    time.Duration
			valid bool
		}{{validUntil(sentAt) - time.Millisecond, true}, {validUntil(sentAt), false}} {
			if service.now = moment.at; manager.LeaseValid() != moment.valid {
				t.Errorf("%s: lease valid %v after the request: got %v, want %v", requestName, moment.at-sentAt, manager.LeaseValid(), moment.valid)
			}
		}
	}
	sentAt := service.now
	service.now += 2 * time.Second
	service.reply(t, "/grants", `{"permit":5}`)
	check("grant", sentAt)
	service.now = sentAt + 3*time.Second
	service.fireTimers() // sends the renewal
	sentAt = service.now
	service.now += 2 * time.Second
	service.reply(t, "/grants/5/touch", `{}`)
	check("renewal", sentAt)
}

// TestExpiredNodeLeaseEndsShardOwnership checks that a process whose node lease has expired
// owns no shard, even while its copy of the leases still shows its old entries.
func TestExpiredNodeLeaseEndsShardOwnership(t *testing.T) {
	service, manager := newTestManager(t)
	service.reply(t, "/grants", `{"permit":5}`)
	manager.table.apply(ShardKey(0), holderValue(t, leaseHolder{Node: "node-0", Nonce: 1}), 7)
	manager.evaluate()
	if manager.ShardToken(0) != 7 || !manager.LeaseValid() {
		t.Fatalf("before the expiry: token %d, lease valid %v, want 7 and true", manager.ShardToken(0), manager.LeaseValid())
	}
	service.fireTimers()
	service.takeRequest(t, "/grants/5/touch").answer(http1.Response{Status: 404, Body: []byte(`{}`)}, nil)
	service.fireTimers()
	service.reply(t, "/grants", `{"permit":6}`)
	if manager.ShardToken(0) != 0 {
		t.Errorf("after the expiry: token %d of shard 0, want 0", manager.ShardToken(0))
	}
}

// TestPreviousOwnerAnswersUntilItsDeadline checks that a new owner waits for the grace period
// if the previous owner's lease has expired. It waits for the lease's TTL in addition if the
// shard was reassigned from a live owner or if the change of owner was not seen. A new token
// for the same process changes nothing.
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
		{"reassigned from a live owner", func(manager *LeaseManager) {
			manager.table.apply(ShardKey(0), holderValue(t, second), 8)
		}, 4*time.Second + tuning.LeaseTTL},
		{"change of owner not seen", func(manager *LeaseManager) {
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
			initial := manager.PreviousOwnerAnswersUntil(0)
			service.now += time.Hour
			test.change(manager)
			want := initial
			if test.wait > 0 {
				want = service.now + test.wait
			}
			if got := manager.PreviousOwnerAnswersUntil(0); got != want {
				t.Errorf("previous owners answer for %v from now, want %v", got-service.now, want-service.now)
			}
		})
	}
}

// TestAnswersEndWhenTheLeaseTableIsTooOld checks that an owner stops answering when its copy
// of the leases is too old, however often its node lease is renewed, since another process may
// own the shard by then.
func TestAnswersEndWhenTheLeaseTableIsTooOld(t *testing.T) {
	service, manager := newTestManager(t)
	verifiedAt := service.now
	service.reply(t, "/grants", `{"permit":5}`)
	service.now += 5 * time.Second
	service.fireTimers()
	service.reply(t, "/grants/5/touch", `{}`)
	if got, want := manager.AnswersUntil(), verifiedAt+tuning.LeaseTTL+manager.answers.gracePeriod; got != want {
		t.Errorf("answers for %v after the verification, want %v", got-verifiedAt, want-verifiedAt)
	}
}

// TestLeaseCommitsAreConditional checks that a lease key is replaced only at the revision that
// was seen, and a shard is assigned only under the leader's current token. An unconditional
// commit could overwrite a change that this process has not seen yet.
func TestLeaseCommitsAreConditional(t *testing.T) {
	service, manager := newTestManager(t)
	service.reply(t, "/grants", `{"permit":5}`)
	nextCommitOf := func(key string) request {
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
		t.Fatalf("no commit of %s within 20 timer runs", key)
		return request{}
	}
	if conditions := nextCommitOf(LeaderKey).conditions(t); !slices.Contains(conditions, Condition{LeaderKey, 0}) {
		t.Errorf("conditions of the leadership commit: %v, want %s at revision 0 among them", conditions, LeaderKey)
	}
	manager.table.apply(nodePrefix+"node-1", holderValue(t, leaseHolder{Node: "node-1", Nonce: 1, LeaseID: 9}), 3)
	manager.table.apply(LeaderKey, holderValue(t, leaseHolder{Node: "node-0", Nonce: 1}), 4)
	service.now += time.Second // past the time for the nodes to register
	manager.evaluate()
	manager.node.validUntil = service.now + time.Hour
	if conditions := nextCommitOf(ShardKey(0)).conditions(t); !slices.Contains(conditions, Condition{LeaderKey, 4}) || !slices.Contains(conditions, Condition{ShardKey(0), 0}) {
		t.Errorf("conditions of the assignment: %v, want %s at revision 4 and %s at revision 0 among them", conditions, LeaderKey, ShardKey(0))
	}
	manager.table.apply(ShardKey(1), holderValue(t, leaseHolder{Node: "node-0", Nonce: 1}), 6)
	manager.evaluate()
	manager.RenewToken(1)
	if conditions := nextCommitOf(ShardKey(1)).conditions(t); !slices.Contains(conditions, Condition{ShardKey(1), 6}) {
		t.Errorf("conditions of the token renewal: %v, want %s at revision 6 among them", conditions, ShardKey(1))
	}
}

// TestCommitUnderTokenServesThatTokenOnly guards against a revision that counts as a token although
// another owner may have the shard, or this one a newer token, by then.
func TestCommitUnderTokenServesThatTokenOnly(t *testing.T) {
	service, manager := newTestManager(t)
	service.reply(t, "/grants", `{"permit":5}`)
	own := holderValue(t, leaseHolder{Node: "node-0", Nonce: 1})
	manager.table.apply(ShardKey(0), own, 7)
	manager.evaluate()
	takeFence := func() request {
		t.Helper()
		i := slices.IndexFunc(service.requests, func(r request) bool { return strings.Contains(string(r.call.Body), `"set":"fence/0"`) })
		if i < 0 {
			t.Fatal("no commit of fence/0")
		}
		r := service.requests[i]
		service.requests = slices.Delete(service.requests, i, i+1)
		return r
	}
	var revisions []uint64
	record := func(revision uint64) { revisions = append(revisions, revision) }
	manager.CommitUnderToken(0, record)
	first := takeFence()
	if conditions := first.conditions(t); !slices.Equal(conditions, []Condition{{ShardKey(0), 7}}) {
		t.Errorf("conditions %v, want %s at revision 7", conditions, ShardKey(0))
	}
	first.answer(http1.Response{Status: 200, Body: []byte(`{"epoch":9}`)}, nil)
	service.now += time.Second
	service.fireTimers()
	for _, answer := range []http1.Response{{Status: 409, Body: []byte(`{"failed":["lease/block/0"],"epoch":12}`)}, {Status: 503}} {
		manager.CommitUnderToken(0, record)
		takeFence().answer(answer, nil)
		service.now += time.Minute
		service.fireTimers()
	}
	manager.CommitUnderToken(0, record)
	late := takeFence()
	manager.table.apply(ShardKey(0), own, 20)
	manager.evaluate()
	late.answer(http1.Response{Status: 200, Body: []byte(`{"epoch":19}`)}, nil)
	if !slices.Equal(revisions, []uint64{9}) {
		t.Errorf("revisions reported: %v, want 9 alone", revisions)
	}
	manager.CommitUnderToken(1, record) // not owned
	if i := slices.IndexFunc(service.requests, func(r request) bool { return strings.Contains(string(r.call.Body), "fence/1") }); i >= 0 {
		t.Error("a commit for a shard that is not owned was sent")
	}
}

var _ eventloop.Runtime = (*fakeService)(nil)
