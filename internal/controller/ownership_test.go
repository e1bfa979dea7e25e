package controller

import (
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// fakeShards is a shardHolder that counts how often the shards are relinquished.
type fakeShards struct {
	owned        bool
	relinquished int
}

func (f *fakeShards) ownsShard() bool   { return f.owned }
func (f *fakeShards) relinquishShards() { f.relinquished++ }

// peerRuntime is a runtime with a fake clock. It retains the requests to peers until the test
// answers them.
type peerRuntime struct {
	eventloop.Runtime
	now     time.Duration
	pending []func([]byte, error)
}

func (r *peerRuntime) Now() time.Duration { return r.now }

func (r *peerRuntime) CallPeer(_, _ string, _ []byte, _ time.Duration, receive func([]byte, error)) {
	r.pending = append(r.pending, receive)
}

// answer answers the pending requests to peers with one body each; an empty body stands for
// no answer.
func (r *peerRuntime) answer(bodies ...string) {
	pending := r.pending
	r.pending = nil
	for i, receive := range pending {
		if bodies[i] == "" {
			receive(nil, eventloop.ErrNoAnswer)
			continue
		}
		receive([]byte(bodies[i]), nil)
	}
}

// newTestMonitor returns the monitor of a node that has just acquired its shards and has the given
// number of peers, at most two, with its fake shards and runtime.
func newTestMonitor(peers int) (*ownershipMonitor, *fakeShards, *peerRuntime) {
	runtime, shards := &peerRuntime{now: time.Hour}, &fakeShards{owned: true}
	var config settings.Settings
	config.Deployment.Workers.ReportS, config.Deployment.Workers.LeaseS = 1, 10
	var seeds []settings.Peer
	for _, name := range []string{"node-1", "node-2"}[:peers] {
		seeds = append(seeds, settings.Peer{Node: name, Endpoint: name + ":1"})
	}
	monitor := &ownershipMonitor{
		runtime: runtime, settings: &config, membership: newMembership(runtime, nil, seeds), shards: shards,
	}
	monitor.shardAcquired()
	return monitor, shards, runtime
}

// TestSilentOwnerRelinquishesIfPeersMayReceiveHeartbeats checks that an owner without
// heartbeats relinquishes its shards only if a worker may have reached a peer in the meantime.
func TestSilentOwnerRelinquishesIfPeersMayReceiveHeartbeats(t *testing.T) {
	never := "9223372036854"
	for name, test := range map[string]struct {
		answers      [2]string
		relinquished int
	}{
		"no worker reaches a peer":                   {[2]string{never, never}, 0},
		"workers reach a peer":                       {[2]string{never, "5"}, 1},
		"a worker reached a peer before the silence": {[2]string{never, "3600000"}, 0},
		"a peer does not answer":                     {[2]string{"", never}, 1},
		"a peer's answer is malformed":               {[2]string{"{}", never}, 1},
		"a worker reaches the first peer":            {[2]string{"5", never}, 1},
		"no peer answers":                            {[2]string{"", ""}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			monitor, shards, runtime := newTestMonitor(2)
			workers := workerReachability{reporting: 4}
			limit := monitor.settings.OwnerSilenceLimit(workers.reporting)
			runtime.now += limit
			monitor.check(workers)
			if len(runtime.pending) != 0 {
				t.Fatal("peers are asked before the silence limit has passed")
			}
			runtime.now++
			monitor.check(workers)
			monitor.check(workers)
			if len(runtime.pending) != 2 {
				t.Fatalf("%d requests to two peers, want 2", len(runtime.pending))
			}
			runtime.answer(test.answers[:]...)
			if shards.relinquished != test.relinquished || monitor.relinquishmentsSinceHeartbeat != test.relinquished {
				t.Errorf("relinquished %d times, counted %d; want %d", shards.relinquished, monitor.relinquishmentsSinceHeartbeat, test.relinquished)
			}
			if monitor.lastHeartbeatAt != runtime.now || monitor.peerQueryInFlight {
				t.Error("the wait for heartbeats does not restart after the peers' answers")
			}
		})
	}
}

// TestHeartbeatDuringPeerQueryKeepsShards checks that the peers' answers are ignored if a
// heartbeat, direct or relayed, arrives before them.
func TestHeartbeatDuringPeerQueryKeepsShards(t *testing.T) {
	monitor, shards, runtime := newTestMonitor(1)
	runtime.now += monitor.settings.OwnerSilenceLimit(1) + 1
	monitor.check(workerReachability{reporting: 1})
	runtime.now++
	monitor.recordHeartbeat()
	runtime.answer("5")
	if shards.relinquished != 0 {
		t.Error("the shards are relinquished although a heartbeat arrived during the query")
	}
}

// TestUnreachableMajorityOfWorkersRelinquishesShards checks that the shards are relinquished at
// once if more than half of the reporting workers are not reached by the node's answers.
func TestUnreachableMajorityOfWorkersRelinquishesShards(t *testing.T) {
	for _, test := range []struct {
		workers      workerReachability
		relinquished int
	}{
		{workerReachability{reporting: 0, unreachable: 0}, 0},
		{workerReachability{reporting: 4, unreachable: 2}, 0},
		{workerReachability{reporting: 4, unreachable: 3}, 1},
	} {
		monitor, shards, _ := newTestMonitor(1)
		monitor.check(test.workers)
		if shards.relinquished != test.relinquished {
			t.Errorf("%+v: relinquished %d times, want %d", test.workers, shards.relinquished, test.relinquished)
		}
	}
}

// TestSilenceLimitDoublesWithEachUnsuccessfulTerm checks that the silence limit doubles with
// each relinquishment, up to tuning.MaxSilenceDoublings times, and that a heartbeat resets it.
func TestSilenceLimitDoublesWithEachUnsuccessfulTerm(t *testing.T) {
	monitor, _, runtime := newTestMonitor(1)
	workers := workerReachability{reporting: 4}
	for term := range tuning.MaxSilenceDoublings + 2 {
		runtime.now = monitor.lastHeartbeatAt + monitor.settings.OwnerSilenceLimit(4)<<min(term, tuning.MaxSilenceDoublings)
		monitor.check(workers)
		if len(runtime.pending) != 0 {
			t.Fatalf("peers are asked before the silence limit of term %d has passed", term)
		}
		runtime.now++
		monitor.check(workers)
		if len(runtime.pending) != 1 {
			t.Fatalf("%d requests after the silence limit of term %d, want 1", len(runtime.pending), term)
		}
		runtime.answer("5")
	}
	monitor.recordDirectHeartbeat()
	if monitor.relinquishmentsSinceHeartbeat != 0 {
		t.Errorf("%d relinquishments since the last heartbeat after a heartbeat, want 0", monitor.relinquishmentsSinceHeartbeat)
	}
	runtime.now++
	if silence := monitor.workerSilence().duration(); silence != 0 {
		t.Errorf("the last direct heartbeat is %v old, want 0", silence)
	}
}
