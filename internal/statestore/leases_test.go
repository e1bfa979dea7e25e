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

// newLeases returns the lease manager of node-0 for two blocks, with its empty copy of
// the leases read, and the requests that it has sent since.
func newLeases(t *testing.T) (*store, *LeaseManager) {
	t.Helper()
	s := newStore()
	s.now = time.Hour
	log := slog.New(slog.DiscardHandler)
	o := NewLeaseManager(s, New(s, "state", log), log, LeaseConfig{
		Node: "node-0", Nonce: 1, ShardCount: 2, AnswerGracePeriod: 4 * time.Second, Observer: ignoreLeases{},
	})
	o.Start()
	s.reply(t, "/keys", `{"rows":[],"epoch":1}`)
	return s, o
}

// ignoreLeases is an observer that does nothing.
type ignoreLeases struct{}

func (ignoreLeases) LeadershipAcquired(uint64) {}
func (ignoreLeases) LeadershipLost()           {}
func (ignoreLeases) ShardAcquired(int, uint64) {}
func (ignoreLeases) ShardLost(int)             {}

// take finds the first request to a path that has not been answered.
func (s *store) take(t *testing.T, path string) request {
	t.Helper()
	i := slices.IndexFunc(s.calls, func(r request) bool { return strings.HasPrefix(r.call.Target, path) })
	if i < 0 {
		t.Fatalf("no request to %s", path)
	}
	r := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	return r
}

// reply answers the first request to a path.
func (s *store) reply(t *testing.T, path, body string) {
	t.Helper()
	s.take(t, path).fn(http1.Response{Status: 200, Body: []byte(body)}, nil)
}

// fire lets the timers run that are set now.
func (s *store) fire() {
	timers := s.timers
	s.timers = nil
	for _, fn := range timers {
		fn()
	}
}

// guards are those of a commit.
func (r request) guards(t *testing.T) []Condition {
	t.Helper()
	var c struct {
		Guards []Condition `json:"guards"`
	}
	if err := json.Unmarshal(r.call.Body, &c); err != nil {
		t.Fatal(err)
	}
	return c.Guards
}

func holderValue(t *testing.T, h leaseHolder) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(h)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestValidityCountsFromBeforeTheRequest: however late its answer, a grant or a renewal
// counts from when the request left, less the drift of the clocks and a margin.
func TestValidityCountsFromBeforeTheRequest(t *testing.T) {
	s, o := newLeases(t)
	ends := func(asked time.Duration) time.Duration {
		return asked + tuning.LeaseTTL - tuning.LeaseTTL*tuning.DriftPerMille/1000 - tuning.LeaseMargin
	}
	check := func(what string, asked time.Duration) {
		t.Helper()
		for _, c := range []struct {
			at    time.Duration
			valid bool
		}{{ends(asked) - time.Millisecond, true}, {ends(asked), false}} {
			if s.now = c.at; o.LeaseValid() != c.valid {
				t.Errorf("%s: valid %v, %v after the request", what, o.LeaseValid(), c.at-asked)
			}
		}
	}
	asked := s.now
	s.now += 2 * time.Second
	s.reply(t, "/grants", `{"permit":5}`)
	check("grant", asked)
	s.now = asked + 3*time.Second
	s.fire() // the renewal leaves
	asked = s.now
	s.now += 2 * time.Second
	s.reply(t, "/grants/5/touch", `{}`)
	check("renewal", asked)
}

// TestExpiredGrantHoldsNothing: when its grant has expired, a process holds nothing any
// more, also while its copy of the leases still shows its old entries.
func TestExpiredGrantHoldsNothing(t *testing.T) {
	s, o := newLeases(t)
	s.reply(t, "/grants", `{"permit":5}`)
	o.table.apply(ShardKey(0), holderValue(t, leaseHolder{Node: "node-0", Nonce: 1}), 7)
	o.evaluate()
	if o.ShardToken(0) != 7 || !o.LeaseValid() {
		t.Fatalf("token %d, valid %v", o.ShardToken(0), o.LeaseValid())
	}
	s.fire()
	s.take(t, "/grants/5/touch").fn(http1.Response{Status: 404, Body: []byte(`{}`)}, nil)
	s.fire()
	s.reply(t, "/grants", `{"permit":6}`)
	if o.ShardToken(0) != 0 {
		t.Errorf("holds a block of the expired grant under token %d", o.ShardToken(0))
	}
}

// TestEarlierOwnersLastAnswer: a new owner waits out the hold after a lease that has
// expired, the lease time besides if the block was taken from a live holder or if how it
// changed hands was not seen; a renewal by the same process moves nothing.
func TestEarlierOwnersLastAnswer(t *testing.T) {
	first, second := leaseHolder{Node: "node-1", Nonce: 1}, leaseHolder{Node: "node-0", Nonce: 1}
	for _, c := range []struct {
		name string
		do   func(*LeaseManager)
		wait time.Duration
	}{
		{"expired", func(o *LeaseManager) {
			o.table.apply(ShardKey(0), nil, 8)
			o.table.apply(ShardKey(0), holderValue(t, second), 9)
		}, 4 * time.Second},
		{"taken from a live holder", func(o *LeaseManager) {
			o.table.apply(ShardKey(0), holderValue(t, second), 8)
		}, 4*time.Second + tuning.LeaseTTL},
		{"read anew", func(o *LeaseManager) {
			rows := []KeyValue{{ShardKey(0), holderValue(t, second), 8}}
			o.table.reset(rows)
			o.table.apply(rows[0].Key, rows[0].Value, rows[0].Revision)
		}, 4*time.Second + tuning.LeaseTTL},
		{"renewed by its holder", func(o *LeaseManager) {
			o.table.apply(ShardKey(0), holderValue(t, first), 8)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, o := newLeases(t)
			o.table.apply(ShardKey(0), holderValue(t, first), 7)
			before := o.PreviousOwnerAnswersUntil(0)
			s.now += time.Hour
			c.do(o)
			want := before
			if c.wait > 0 {
				want = s.now + c.wait
			}
			if got := o.PreviousOwnerAnswersUntil(0); got != want {
				t.Errorf("answers of earlier owners until %v from now, want %v", got-s.now, want-s.now)
			}
		})
	}
}

// TestAnswersEndWithTheCopyOfTheLeases: an owner answers no longer than its copy of the
// leases is young enough, however often its grant is renewed, since the block may be
// another's.
func TestAnswersEndWithTheCopyOfTheLeases(t *testing.T) {
	s, o := newLeases(t)
	proven := s.now
	s.reply(t, "/grants", `{"permit":5}`)
	s.now += 5 * time.Second
	s.fire()
	s.reply(t, "/grants/5/touch", `{}`)
	if got, want := o.AnswersUntil(), proven+tuning.LeaseTTL+o.answers.gracePeriod; got != want {
		t.Errorf("answers until %v after the proof, want %v", got-proven, want-proven)
	}
}

// TestLeaseChangesAreGuarded: leadership is taken only if it is as it was seen; a block is
// assigned only under the leader's token, and taken or renewed only as it was seen.
func TestLeaseChangesAreGuarded(t *testing.T) {
	s, o := newLeases(t)
	s.reply(t, "/grants", `{"permit":5}`)
	next := func(key string) request {
		t.Helper()
		for range 20 {
			for i, r := range s.calls {
				if r.call.Target == "/commit" && strings.Contains(string(r.call.Body), `"set":"`+key+`"`) {
					s.calls = slices.Delete(s.calls, i, i+1)
					return r
				}
			}
			s.now += 100 * time.Millisecond
			s.fire()
		}
		t.Fatalf("no commit of %s", key)
		return request{}
	}
	if g := next(LeaderKey).guards(t); !slices.Contains(g, Condition{LeaderKey, 0}) {
		t.Errorf("leadership is taken under %v", g)
	}
	o.table.apply(nodePrefix+"node-1", holderValue(t, leaseHolder{Node: "node-1", Nonce: 1, LeaseID: 9}), 3)
	o.table.apply(LeaderKey, holderValue(t, leaseHolder{Node: "node-0", Nonce: 1}), 4)
	s.now += time.Second // it has let the controllers enrol
	o.evaluate()
	o.node.validUntil = s.now + time.Hour
	if g := next(ShardKey(0)).guards(t); !slices.Contains(g, Condition{LeaderKey, 4}) || !slices.Contains(g, Condition{ShardKey(0), 0}) {
		t.Errorf("a block is assigned under %v", g)
	}
	o.table.apply(ShardKey(1), holderValue(t, leaseHolder{Node: "node-0", Nonce: 1}), 6)
	o.evaluate()
	o.RenewToken(1)
	if g := next(ShardKey(1)).guards(t); !slices.Contains(g, Condition{ShardKey(1), 6}) {
		t.Errorf("a token is renewed under %v", g)
	}
}

var _ eventloop.Runtime = (*store)(nil)
