package statestore

import (
	"encoding/json"
	"log/slog"
	"reflect"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/wiretest"
)

// TestWireKeyValues: key-values, conditions, operations and events.
func TestWireKeyValues(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"key":"job/wk-1","v":{"at":1},"stamp":2}`, &KeyValue{})
	wiretest.CheckRoundTrip(t, `{"key":"job/wk-1","stamp":2}`, &Condition{})
	wiretest.CheckEncoding(t, Condition{Key: "job/wk-1"}, `{"key":"job/wk-1","stamp":0}`)
	wiretest.CheckRoundTrip(t, `{"set":"job/wk-1","v":{"at":1},"permit":3,"remove":"job/wk-2"}`, &Operation{})
	wiretest.CheckEncoding(t, Operation{DeleteKey: "job/wk-2"}, `{"remove":"job/wk-2"}`)
	wiretest.CheckRoundTrip(t, `{"set":"job/wk-1","v":{"at":1},"remove":"job/wk-2","stamp":4}`, &WatchEvent{})
}

// TestWireLeases: the keys and values of leases.
func TestWireLeases(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"node":"n0","nonce":1125899906842623,"permit":3,"unfit":true}`, &leaseHolder{})
	wiretest.CheckEncoding(t, leaseHolder{}, `{"node":"","nonce":0}`)
	if LeaderKey != "lease/lead" || ShardKey(12) != "lease/block/12" || nodePrefix != "lease/node/" || leasePrefix != "lease/" {
		t.Error(LeaderKey, ShardKey(12), nodePrefix, leasePrefix)
	}
}

// takeOnly takes the one request that a client has sent, checks it and returns how to
// answer it.
func (f *fakeService) takeOnly(t *testing.T, method, target, body string) func(http1.Response, error) {
	t.Helper()
	if len(f.requests) != 1 {
		t.Fatalf("%d requests instead of %s %s", len(f.requests), method, target)
	}
	c := f.requests[0].call
	if c.Method != method || c.Target != target || string(c.Body) != body {
		t.Errorf("sent %s %s %s\nnot  %s %s %s", c.Method, c.Target, c.Body, method, target, body)
	}
	fn := f.requests[0].answer
	f.requests = nil
	return fn
}

func reply(status int, body string) http1.Response {
	return http1.Response{Status: status, Body: []byte(body)}
}

// TestWireCommit: a commit and the answers to it.
func TestWireCommit(t *testing.T) {
	service := newFakeService()
	client := New(service, "state", slog.New(slog.DiscardHandler))
	for _, answer := range []struct {
		status int
		body   string
		want   CommitResult
	}{
		{200, `{"epoch":7}`, CommitResult{Outcome: OutcomeOK, Revision: 7}},
		{409, `{"epoch":8,"failed":["lease/lead"]}`, CommitResult{Outcome: OutcomeConflict, Revision: 8, FailedKeys: []string{"lease/lead"}}},
		{400, `{"error":"no such lease"}`, CommitResult{Outcome: OutcomeInvalid}},
		{429, `{}`, CommitResult{Outcome: OutcomeRefused}},
		{503, `{}`, CommitResult{Outcome: OutcomeRefused}},
		{410, `{}`, CommitResult{Outcome: OutcomeGone}},
		{404, `{}`, CommitResult{Outcome: OutcomeGone}},
		{500, `{}`, CommitResult{Outcome: OutcomeUnknown}},
		{200, `{}`, CommitResult{Outcome: OutcomeUnknown}},
	} {
		var got CommitResult
		client.Commit([]Condition{{Key: "lease/lead", Revision: 3}, {Key: "job/wk-1"}},
			[]Operation{{PutKey: "job/wk-1", Value: json.RawMessage(`{"at":1}`), LeaseID: 4}, {DeleteKey: "work/0/wk-1/0"}}, func(result CommitResult) { got = result })
		service.takeOnly(t, "POST", "/commit", `{"guards":[{"key":"lease/lead","stamp":3},{"key":"job/wk-1","stamp":0}],`+
			`"apply":[{"set":"job/wk-1","v":{"at":1},"permit":4},{"remove":"work/0/wk-1/0"}]}`)(reply(answer.status, answer.body), nil)
		if !reflect.DeepEqual(got, answer.want) {
			t.Errorf("%d %s: %+v", answer.status, answer.body, got)
		}
	}
	client.Commit(nil, nil, func(CommitResult) {})
	service.takeOnly(t, "POST", "/commit", `{"guards":[]}`)
}

// TestWireList: keys are listed page by page.
func TestWireList(t *testing.T) {
	service := newFakeService()
	client := New(service, "state", slog.New(slog.DiscardHandler))
	var got []KeyValue
	var revision uint64
	client.List("job/", func(listed ListResult) {
		if listed.Outcome != OutcomeOK {
			t.Errorf("outcome %v", listed.Outcome)
		}
		got, revision = listed.Entries, listed.Revision
	})
	first := service.requests[0].call.Target
	limit, _ := strings.CutPrefix(first, "/keys?under=job%2F&limit=")
	service.takeOnly(t, "GET", "/keys?under=job%2F&limit="+limit, "")(reply(200, `{"rows":[{"key":"job/a&b","v":{"at":1},"stamp":5}],"hasNext":true,"epoch":6}`), nil)
	service.takeOnly(t, "GET", "/keys?under=job%2F&limit="+limit+"&since=job%2Fa%26b", "")(reply(200, `{"rows":[{"key":"job/c","v":2,"stamp":7}],"hasNext":false,"epoch":8}`), nil)
	wiretest.CheckEncoding(t, got, `[{"key":"job/a\u0026b","v":{"at":1},"stamp":5},{"key":"job/c","v":2,"stamp":7}]`)
	if revision != 6 || limit == "" {
		t.Errorf("revision %d, limit %q", revision, limit)
	}
}

// TestWireWatch: changes are watched from a revision on.
func TestWireWatch(t *testing.T) {
	service := newFakeService()
	client := New(service, "state", slog.New(slog.DiscardHandler))
	var got []WatchEvent
	var revision uint64
	client.Watch("work/", 6, 1500*time.Millisecond, func(watched WatchResult) {
		if watched.Outcome != OutcomeOK {
			t.Errorf("outcome %v", watched.Outcome)
		}
		got, revision = watched.Events, watched.Revision
	})
	service.takeOnly(t, "GET", "/watch?under=work%2F&since=6&waitMs=1500", "")(reply(200, `{"epoch":9,"log":[{"set":"work/0/wk-1/0","v":{"i":"0"},"stamp":7},`+
		`{"remove":"work/0/wk-2/0","stamp":9}]}`), nil)
	if len(got) != 2 || revision != 9 || got[0].PutKey != "work/0/wk-1/0" || string(got[0].Value) != `{"i":"0"}` || got[0].Revision != 7 ||
		got[1].DeletedKey != "work/0/wk-2/0" || got[1].Revision != 9 {
		t.Errorf("%+v at %d", got, revision)
	}
}

// TestWireNodeLeases: leases are asked for, renewed and revoked.
func TestWireNodeLeases(t *testing.T) {
	service := newFakeService()
	client := New(service, "state", slog.New(slog.DiscardHandler))
	leaseID, renewed, revoked := uint64(0), OutcomeUnknown, OutcomeUnknown
	client.GrantLease(1500*time.Millisecond, func(granted GrantResult) { leaseID = granted.LeaseID })
	service.takeOnly(t, "POST", "/grants", `{"ttlMs":1500}`)(reply(201, `{"permit":12}`), nil)
	client.RenewLease(12, func(outcome Outcome) { renewed = outcome })
	service.takeOnly(t, "POST", "/grants/12/touch", "")(reply(200, `{}`), nil)
	client.RevokeLease(12, func(outcome Outcome) { revoked = outcome })
	service.takeOnly(t, "DELETE", "/grants/12", "")(reply(204, ""), nil)
	if leaseID != 12 || renewed != OutcomeOK || revoked != OutcomeOK {
		t.Error(leaseID, renewed, revoked)
	}
	client.RenewLease(13, func(outcome Outcome) { renewed = outcome })
	service.takeOnly(t, "POST", "/grants/13/touch", "")(reply(404, `{}`), nil)
	if renewed != OutcomeGone {
		t.Error(renewed)
	}
}

// TestWireRefusals: which refusals of commits throttle writes, and which lower the limits
// that the settings tell.
func TestWireRefusals(t *testing.T) {
	for _, test := range []struct {
		answer        http1.Response
		throttled     bool
		maxOperations int
	}{
		{reply(429, `{}`), true, 8},
		{reply(503, `{}`), false, 8},
		{reply(400, `{"error":"no such lease"}`), false, 8},
		{reply(400, `{"error":"too many operations"}`), false, 1},
	} {
		service := newFakeService()
		client := New(service, "state", slog.New(slog.DiscardHandler))
		client.SetLimits(Limits{MaxOperations: 8, MaxValueBytes: 8000, FutureWriteShare: 1})
		client.Commit(nil, []Operation{{DeleteKey: "job/wk-1"}}, func(CommitResult) {})
		service.requests[0].answer(test.answer, nil)
		if client.WritesThrottled() != test.throttled || client.MaxOperations() != test.maxOperations {
			t.Errorf("%d %s: throttled %v, %d operations", test.answer.Status, test.answer.Body, client.WritesThrottled(), client.MaxOperations())
		}
	}
}
