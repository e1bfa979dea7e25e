package statestore

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// LeaseObserver is notified, on the event loop, of the leases that this process acquires and
// loses.
type LeaseObserver interface {
	// LeadershipAcquired is called when this process has become the leader under a fencing
	// token.
	LeadershipAcquired(token uint64)
	// LeadershipLost is called when this process is no longer the leader.
	LeadershipLost()
	// ShardAcquired is called when this process has acquired a shard under a fencing token,
	// and when the token of a shard that it already owned has been replaced.
	ShardAcquired(shard int, token uint64)
	// ShardLost is called when this process no longer owns a shard.
	ShardLost(shard int)
}

// LeaseConfig configures a lease manager.
type LeaseConfig struct {
	// Node names this node.
	Node string
	// Nonce is different for every process, also of the same node.
	Nonce uint64
	// Rank numbers the nodes of the deployment from 0. It spreads their attempts to become
	// the leader over time.
	Rank int
	// ShardCount is the number of shards.
	ShardCount int
	// AnswerGracePeriod is how long a shard owner continues to answer workers after its
	// lease has ended.
	AnswerGracePeriod time.Duration
	// Observer is notified of leases acquired and lost.
	Observer LeaseObserver
}

// LeaseManager campaigns for leadership and manages this process's leases. A lease key is
// put only when it is assigned or when it needs a new fencing token, so its revision is the
// token. Renewal does not touch the keys: it renews the node's one lease, to which they are
// attached. The leases that this process holds are learned from the watch alone, so that all
// changes are processed in order.
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
		runtime: runtime, client: client, log: log, onChange: manager.evaluateIfReady,
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

// Start begins to watch the leases, to keep the node lease alive and to campaign for
// leadership.
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

// evaluate updates the leadership and the shards of this process from the lease keys, then
// sends the commits that its roles require.
func (m *LeaseManager) evaluate() {
	m.updateLeadership()
	m.updateShards()
	if !m.LeaseValid() || !m.mirror.IsReady() {
		return
	}
	m.shards.finishRelinquishing()
	m.shards.register()
	m.election.campaign()
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

// LeaderNode returns the name of the leader's node as last seen by the watch, "" if there
// was no leader.
func (m *LeaseManager) LeaderNode() string { return m.table.holders[LeaderKey].Node }

// ShardOwner returns the name of the node that owns a shard as last seen by the watch, "" if
// it had no owner.
func (m *LeaseManager) ShardOwner(shard int) string { return m.table.holders[ShardKey(shard)].Node }

// LeaseValid reports whether the leases of this process are certain to be valid now.
func (m *LeaseManager) LeaseValid() bool { return m.node.isValid() }

// RenewToken requests a new fencing token for a shard that this process owns. Recipients that
// have seen the new token ignore commands sent under the old one, and late commits under the
// old one fail.
func (m *LeaseManager) RenewToken(shard int) { m.shards.renewToken(shard) }

// RenewLeaderToken requests a new fencing token for the leadership, if this process leads. Late
// commits under the old one fail.
func (m *LeaseManager) RenewLeaderToken() { m.election.renewToken() }

// CommitUnderToken commits a change on condition of the token of a shard that this process owns,
// and calls fn with the commit's revision. The tokens of later owners are higher. fn is not called
// if the commit fails, is not answered, or if the token has been replaced since.
func (m *LeaseManager) CommitUnderToken(shard int, fn func(revision uint64)) {
	m.shards.commitUnderToken(shard, fn)
}

// Refresh brings the copy of the leases up to date after a condition on one of them has
// failed, without waiting for the watch. fn is called afterwards, also if that failed.
func (m *LeaseManager) Refresh(fn func()) {
	m.mirror.Verify(func(error) { fn() })
}

// Relinquished reports whether this process is relinquishing a shard and must not answer under
// the shard's token any more. The next owner may start before the watch shows this process
// that the shard is released.
func (m *LeaseManager) Relinquished(shard int) bool { return m.shards.isRelinquished(shard) }

// RelinquishShards relinquishes all shards because no worker reaches this node, and abstains
// from owning shards for tuning.AbstainAfterStepDown.
func (m *LeaseManager) RelinquishShards() { m.shards.relinquishAll() }
