package controller

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/tuning"
	"lemonmoor/internal/wiretest"
)

// TestRedirectionsRelayReturningWorkers checks that the heartbeats of a worker that returns soon
// after a redirection are relayed for RelayPeriod, after which it is redirected again, and that a
// worker that returns later than RelayWithin is redirected.
func TestRedirectionsRelayReturningWorkers(t *testing.T) {
	const (
		interval     = 3 * time.Second
		redirectedAt = time.Minute
	)
	known := redirections{}
	if known.shouldRelay("vm-1", redirectedAt) || len(known) != 0 {
		t.Fatal("a worker that was never redirected is relayed or recorded")
	}
	known.add("vm-1", redirectedAt)
	if known.shouldRelay("vm-2", redirectedAt) {
		t.Error("vm-2 is relayed although only vm-1 was redirected")
	}
	for at := redirectedAt + interval; at <= redirectedAt+tuning.RelayPeriod; at += interval {
		if !known.shouldRelay("vm-1", at) {
			t.Errorf("vm-1 is not relayed %v after the redirection", at-redirectedAt)
		}
	}
	if known.shouldRelay("vm-1", redirectedAt+tuning.RelayPeriod+1) {
		t.Error("vm-1 is relayed for longer than RelayPeriod")
	}
	known.add("vm-1", redirectedAt)
	if known.shouldRelay("vm-1", redirectedAt+tuning.RelayWithin+1) {
		t.Error("vm-1 is relayed although it was away for longer than RelayWithin")
	}
}

// TestRedirectionsExpire checks that removeExpired removes workers that have not returned within
// RelayWithin and retains the others.
func TestRedirectionsExpire(t *testing.T) {
	known := redirections{}
	known.add("vm-1", 0)
	known.add("vm-2", time.Second)
	known.removeExpired(tuning.RelayWithin)
	if len(known) != 2 {
		t.Errorf("%d redirections after RelayWithin, want 2", len(known))
	}
	known.removeExpired(tuning.RelayWithin + time.Second)
	if _, retained := known["vm-2"]; !retained || len(known) != 1 {
		t.Errorf("redirections: %v, want only vm-2", known)
	}
}

// TestWireRedirectReply checks the encoding of the answer that redirects a worker, with and
// without a known owner.
func TestWireRedirectReply(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"upstream":"node-1"}`, &redirectReply{})
	if body, err := json.Marshal(redirectReply{}); err != nil || string(body) != "{}" {
		t.Errorf("reply without a known owner: %s (error %v), want {}", body, err)
	}
}
