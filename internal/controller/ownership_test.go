package controller

import (
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// fakeShards counts how often the shards are relinquished.
type fakeShards struct {
	owned        bool
	relinquished int
}

func (f *fakeShards) ownsShard() bool   { return f.owned }
func (f *fakeShards) relinquishShards() { f.relinquished++ }

// peerRuntime is a clock, and peers whose answers the test gives.
type peerRuntime struct {
	eventloop.Runtime
	now     time.Duration
	pending []func([]byte, error)
}

func (r *peerRuntime) Now() time.Duration { return r.now }

func (r *peerRuntime) CallPeer(_, _ string, _ []byte, _ time.Duration, receive func([]byte, error)) {
	r.pending = append(r.pending, receive)
}

// answer gives an answer to the peers' messages, one to each.
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

// TestSilentOwnerFollowsWhatPeersHear: after a silence the shards are relinquished only if a
// worker may have come to a peer meanwhile.
func TestSilentOwnerFollowsWhatPeersHear(t *testing.T) {
	never := "9223372036854"
	for name, test := range map[string]struct {
		answers      [2]string
		relinquished int
	}{
		"no peer hears a worker":        {[2]string{never, never}, 0},
		"a peer hears workers":          {[2]string{never, "5"}, 1},
		"a peer heard one before it":    {[2]string{never, "3600000"}, 0},
		"a peer does not answer":        {[2]string{"", never}, 1},
		"a peer answers something else": {[2]string{"{}", never}, 1},
		"the first peer hears a worker": {[2]string{"5", never}, 1},
		"no peer answers":               {[2]string{"", ""}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			monitor, shards, runtime := newTestMonitor(2)
			workers := workerReachability{reporting: 4}
			limit := monitor.settings.OwnerSilenceLimit(workers.reporting)
			runtime.now += limit
			monitor.check(workers)
			if len(runtime.pending) != 0 {
				t.Fatal("peers are asked before the limit")
			}
			runtime.now++
			monitor.check(workers)
			monitor.check(workers)
			if len(runtime.pending) != 2 {
				t.Fatalf("%d messages to two peers", len(runtime.pending))
			}
			runtime.answer(test.answers[:]...)
			if shards.relinquished != test.relinquished || monitor.relinquishmentsSinceHeartbeat != test.relinquished {
				t.Errorf("relinquished %d times, not %d", shards.relinquished, test.relinquished)
			}
			if monitor.lastHeartbeatAt != runtime.now || monitor.peerQueryInFlight {
				t.Error("the silence does not begin anew")
			}
		})
	}
}

// TestHeartbeatDuringTheQuestionKeepsTheShards: what the peers say counts no more once a
// heartbeat has come, relayed or not.
func TestHeartbeatDuringTheQuestionKeepsTheShards(t *testing.T) {
	monitor, shards, runtime := newTestMonitor(1)
	runtime.now += monitor.settings.OwnerSilenceLimit(1) + 1
	monitor.check(workerReachability{reporting: 1})
	runtime.now++
	monitor.recordHeartbeat()
	runtime.answer("5")
	if shards.relinquished != 0 {
		t.Error("relinquished though a heartbeat has come")
	}
}

// TestDeafWorkersCostTheShards: if more workers are deaf than hear, the shards are
// relinquished at once.
func TestDeafWorkersCostTheShards(t *testing.T) {
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
			t.Errorf("%+v: relinquished %d times, not %d", test.workers, shards.relinquished, test.relinquished)
		}
	}
}

// TestSilenceLimitDoublesWithEachUnsuccessfulTerm: up to MaxSilenceDoublings; a heartbeat
// resets it.
func TestSilenceLimitDoublesWithEachUnsuccessfulTerm(t *testing.T) {
	monitor, _, runtime := newTestMonitor(1)
	workers := workerReachability{reporting: 4}
	for term := range tuning.MaxSilenceDoublings + 2 {
		runtime.now = monitor.lastHeartbeatAt + monitor.settings.OwnerSilenceLimit(4)<<min(term, tuning.MaxSilenceDoublings)
		monitor.check(workers)
		if len(runtime.pending) != 0 {
			t.Fatalf("asked too early in term %d", term)
		}
		runtime.now++
		monitor.check(workers)
		if len(runtime.pending) != 1 {
			t.Fatalf("not asked in term %d", term)
		}
		runtime.answer("5")
	}
	monitor.recordDirectHeartbeat()
	if monitor.relinquishmentsSinceHeartbeat != 0 {
		t.Error("a heartbeat does not reset the limit")
	}
	runtime.now++
	if silence := monitor.workerSilence().duration(); silence != 0 {
		t.Errorf("a worker came %v ago", silence)
	}
}
