package controller

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/tuning"
	"lemonmoor/internal/wiretest"
)

// TestRedirectionsRelayWorkersThatAreBack: a worker that is back soon after a redirection is
// relayed, until it is time to redirect it again; one that comes later is redirected.
func TestRedirectionsRelayWorkersThatAreBack(t *testing.T) {
	const (
		interval = 3 * time.Second
		begin    = time.Minute
	)
	known := redirections{}
	if known.shouldRelay("vm-1", begin) || len(known) != 0 {
		t.Fatal("a worker that was never redirected is relayed, or known")
	}
	known.add("vm-1", begin)
	if known.shouldRelay("vm-2", begin) {
		t.Error("another worker is relayed")
	}
	for at := begin + interval; at <= begin+tuning.RelayPeriod; at += interval {
		if !known.shouldRelay("vm-1", at) {
			t.Errorf("not relayed %v after the redirection", at-begin)
		}
	}
	if known.shouldRelay("vm-1", begin+tuning.RelayPeriod+1) {
		t.Error("relayed for longer than RelayPeriod")
	}
	known.add("vm-1", begin)
	if known.shouldRelay("vm-1", begin+tuning.RelayWithin+1) {
		t.Error("relayed though it was away for longer than RelayWithin")
	}
}

// TestRedirectionsForgetWorkersThatStayAway: only those back within RelayWithin are kept.
func TestRedirectionsForgetWorkersThatStayAway(t *testing.T) {
	known := redirections{}
	known.add("vm-1", 0)
	known.add("vm-2", time.Second)
	known.removeExpired(tuning.RelayWithin)
	if len(known) != 2 {
		t.Error("forgotten too early")
	}
	known.removeExpired(tuning.RelayWithin + time.Second)
	if _, kept := known["vm-2"]; !kept || len(known) != 1 {
		t.Errorf("kept: %v", known)
	}
}

// TestWireRedirectReply: the bytes with which a worker is redirected, with and without a
// known owner.
func TestWireRedirectReply(t *testing.T) {
	wiretest.Same(t, `{"upstream":"node-1"}`, &redirectReply{})
	if body, err := json.Marshal(redirectReply{}); err != nil || string(body) != "{}" {
		t.Errorf("without a known owner: %s (%v)", body, err)
	}
}
