package statestore

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// LeaseObserver is told, on the event loop, which leases this process acquires and loses.
type LeaseObserver interface {
	// LeadershipAcquired tells that this process leads under a fencing token.
	LeadershipAcquired(token uint64)
	// LeadershipLost tells that it leads no longer.
	LeadershipLost()
	// ShardAcquired tells that this process owns a shard under a fencing token. It is also
	// called when the token of a shard already owned is replaced.
	ShardAcquired(shard int, token uint64)
	// ShardLost tells that it owns the shard no longer.
	ShardLost(shard int)
}

// LeaseConfig is what a lease manager needs to know.
type LeaseConfig struct {
	// Node names this node.
	Node string
	// Nonce differs for every process.
	Nonce uint64
	// Rank differs for every node of the deployment, from 0 on; it spreads their attempts
	// to become the leader.
	Rank int
	// ShardCount is the number of shards.
	ShardCount int
	// AnswerGracePeriod is how long after the end of its lease an owner goes on answering
	// workers.
	AnswerGracePeriod time.Duration
	// Observer is told of what this process acquires and loses.
	Observer LeaseObserver
}

// LeaseManager stands for leadership and holds this process's leases. A lease key is put
// when it is assigned or when a new fencing token is needed, never to renew it, so its
// revision is the token; what is renewed is the one lease of the node that the keys are
// attached to. What this process holds it learns from the watch alone, so that it sees all
// changes in their order.
type LeaseManager struct {
	runtime  eventloop.Runtime
	log      *slog.Logger
	observer LeaseObserver
	mirror   *Mirror

	table    *leaseTable
	node     *nodeLease
	election *election
	shards   *shardLeases
	assigner *shardAssigner
	answers  *answerDeadlines
}

// NewLeaseManager returns the lease manager of a node.
func NewLeaseManager(runtime eventloop.Runtime, client *Client, log *slog.Logger, config LeaseConfig) *LeaseManager {
	manager := &LeaseManager{runtime: runtime, log: log, observer: config.Observer}
	manager.answers = &answerDeadlines{runtime: runtime, gracePeriod: config.AnswerGracePeriod, previousOwners: map[int]time.Duration{}}
	manager.table = newLeaseTable(runtime, log, config.ShardCount, manager.answers)
	manager.node = &nodeLease{
		runtime: runtime, client: client, log: log, changed: manager.evaluateIfReady,
		process: leaseHolder{Node: config.Node, Nonce: config.Nonce},
	}
	commits := &leaseCommits{runtime: runtime, client: client, log: log, node: manager.node, evaluate: manager.evaluate, busy: map[commitSlot]bool{}}
	manager.election = &election{runtime: runtime, table: manager.table, node: manager.node, commits: commits, rank: config.Rank}
	manager.shards = &shardLeases{
		runtime: runtime, log: log, client: client, table: manager.table, node: manager.node, commits: commits,
		tokens: map[int]uint64{}, relinquished: map[int]uint64{},
	}
	manager.assigner = &shardAssigner{runtime: runtime, client: client, table: manager.table, node: manager.node, commits: commits, election: manager.election}
	manager.mirror = NewMirror(runtime, client, leasePrefix, MirrorHandler{Reset: manager.table.reset, Apply: manager.table.apply, Updated: manager.evaluate})
	return manager
}

// Start begins to follow the leases and to stand for leadership.
func (m *LeaseManager) Start() {
	m.mirror.Start()
	m.node.keepAlive()
	m.evaluatePeriodically()
}

func (m *LeaseManager) evaluatePeriodically() {
	m.evaluateIfReady()
	m.runtime.After(tuning.LeaseEvaluateInterval, m.evaluatePeriodically)
}

func (m *LeaseManager) evaluateIfReady() {
	if m.mirror.IsReady() {
		m.evaluate()
	}
}

// evaluate compares the lease keys with what this process believes to hold, then does what
// its roles ask for.
func (m *LeaseManager) evaluate() {
	m.updateLeadership()
	m.updateShards()
	if !m.LeaseValid() || !m.mirror.IsReady() {
		return
	}
	m.shards.finishRelinquishing()
	m.shards.register()
	m.election.stand()
	m.shards.reclaim()
	if m.election.token != 0 {
		m.assigner.assign()
	}
}

// ownToken returns the fencing token of a lease key, 0 if this process does not hold it.
func (m *LeaseManager) ownToken(key string) uint64 {
	if m.node.id != 0 && m.table.holders[key].isProcess(m.node.process) {
		return m.table.revisions[key]
	}
	return 0
}

func (m *LeaseManager) updateLeadership() {
	token, earlier := m.ownToken(LeaderKey), m.election.token
	if token == earlier {
		return
	}
	m.election.token = token
	if earlier != 0 {
		m.log.Info("leadership lost", "token", earlier)
		m.observer.LeadershipLost()
	}
	if token != 0 {
		m.log.Info("leadership acquired", "token", token)
		m.election.acquiredAt = m.runtime.Now()
		m.observer.LeadershipAcquired(token)
	}
}

func (m *LeaseManager) updateShards() {
	for shard := range m.table.shardCount {
		token, earlier := m.ownToken(ShardKey(shard)), m.shards.tokens[shard]
		switch token {
		case earlier:
		case 0:
			delete(m.shards.tokens, shard)
			m.log.Info("shard lost", "shard", shard, "token", earlier)
			m.observer.ShardLost(shard)
		default:
			m.shards.tokens[shard] = token
			m.log.Info("shard acquired", "shard", shard, "token", token)
			m.observer.ShardAcquired(shard, token)
		}
	}
}

// LeaderToken returns the fencing token of the leadership, 0 if this process does not lead.
func (m *LeaseManager) LeaderToken() uint64 { return m.election.token }

// ShardToken returns the fencing token of a shard, 0 if this process does not own it.
func (m *LeaseManager) ShardToken(shard int) uint64 { return m.shards.tokens[shard] }

// LeaderNode names the node that was last seen to lead, "" if there was none.
func (m *LeaseManager) LeaderNode() string { return m.table.holders[LeaderKey].Node }

// ShardOwner names the node that was last seen to own a shard, "" if there was none.
func (m *LeaseManager) ShardOwner(shard int) string { return m.table.holders[ShardKey(shard)].Node }

// LeaseValid tells whether what this process holds is surely held now.
func (m *LeaseManager) LeaseValid() bool { return m.node.isValid() }

// RenewToken asks for a new fencing token of a shard owned: commands sent under the old one
// are void wherever the new one has been seen, and late commits fail.
func (m *LeaseManager) RenewToken(shard int) { m.shards.renewToken(shard) }

// Refresh reads the leases at once and calls fn then, also if they could not be read: a
// condition on one of them has failed.
func (m *LeaseManager) Refresh(fn func()) {
	m.mirror.Verify(func(error) { fn() })
}

// Relinquished tells whether nothing may be answered any more under a shard's token: it is
// being given up, and the next owner may begin before this process hears of it.
func (m *LeaseManager) Relinquished(shard int) bool { return m.shards.isRelinquished(shard) }

// RelinquishShards gives up all shards and takes none for a while: no worker reaches this
// node.
func (m *LeaseManager) RelinquishShards() { m.shards.relinquishAll() }
