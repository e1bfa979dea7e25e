package statestore

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// shardLeases manages the shards that this process owns: it replaces their fencing tokens,
// relinquishes them, and reclaims the shards of an earlier process of this node. It never
// acquires any other shard; those are assigned by the leader.
type shardLeases struct {
	runtime eventloop.Runtime
	log     *slog.Logger
	client  *Client
	table   *leaseTable
	node    *nodeLease
	commits *leaseCommits

	tokens map[int]uint64 // fencing tokens of the shards owned
	// relinquished maps shards to the tokens under which this process must not answer any
	// more, also if the commit that releases the shard fails or its answer is lost.
	relinquished map[int]uint64
	abstainUntil time.Duration // this node acquires no shards before this time
}

func (s *shardLeases) isAbstaining() bool { return s.runtime.Now() < s.abstainUntil }

func (s *shardLeases) isRelinquished(shard int) bool {
	return s.tokens[shard] != 0 && s.relinquished[shard] == s.tokens[shard]
}

// register keeps the node's own entry current. The leader finds its candidates by these
// entries.
func (s *shardLeases) register() {
	key := nodePrefix + s.node.process.Node
	slot := commitSlot{purposeRegister, noShard}
	entry := s.ownEntry(s.isAbstaining())
	if s.table.holders[key] == entry || s.commits.isBusy(slot) {
		return
	}
	s.commits.send(slot, nil, []Operation{{PutKey: key, Value: entry.encode(), LeaseID: s.node.id}})
}

func (s *shardLeases) ownEntry(abstains bool) leaseHolder {
	return leaseHolder{s.node.process.Node, s.node.process.Nonce, s.node.id, abstains}
}

// reclaim acquires the shards of an earlier process of this node. That process is dead, and
// the new token invalidates everything that it sends.
func (s *shardLeases) reclaim() {
	slot := commitSlot{purposeReclaim, noShard}
	if s.isAbstaining() || s.commits.isBusy(slot) {
		return
	}
	var conditions []Condition
	var operations []Operation
	for shard := range s.table.shardCount {
		key := ShardKey(shard)
		if owner, owned := s.table.holders[key]; owned && owner.isEarlierProcess(s.node.process) {
			conditions = append(conditions, s.table.condition(key))
			operations = append(operations, s.node.attach(key))
		}
	}
	if count := min(len(operations), s.client.MaxOperations()); count > 0 {
		s.commits.send(slot, conditions[:count], operations[:count])
	}
}

// renewToken replaces the fencing token of a shard, if this process owns it, by putting its
// key again.
func (s *shardLeases) renewToken(shard int) {
	slot := commitSlot{purposeRenewToken, shard}
	token := s.tokens[shard]
	if token == 0 || s.commits.isBusy(slot) {
		return
	}
	key := ShardKey(shard)
	s.commits.send(slot, []Condition{{key, token}}, []Operation{s.node.attach(key)})
}

// commitUnderToken puts the fence key of a shard on condition of its token, if this process owns
// it, and calls fn with the revision of the commit, unless the token has been replaced since.
func (s *shardLeases) commitUnderToken(shard int, fn func(revision uint64)) {
	slot := commitSlot{purposeFence, shard}
	token := s.tokens[shard]
	if token == 0 || s.commits.isBusy(slot) {
		return
	}
	operation := Operation{PutKey: fenceKey(shard), Value: s.node.process.encode()}
	s.commits.sendThen(slot, []Condition{{ShardKey(shard), token}}, []Operation{operation}, func(revision uint64) {
		if s.tokens[shard] == token {
			fn(revision)
		}
	})
}

// relinquishAll relinquishes all shards and abstains from owning any for
// tuning.AbstainAfterStepDown.
func (s *shardLeases) relinquishAll() {
	if len(s.tokens) == 0 || s.commits.isBusy(commitSlot{purposeRelinquish, noShard}) {
		return
	}
	for shard, token := range s.tokens {
		s.relinquished[shard] = token
	}
	s.log.Info("relinquishing all shards: no worker reaches this node", "count", len(s.tokens))
	s.abstainUntil = s.runtime.Now() + tuning.AbstainAfterStepDown
	s.release()
}

// release marks the node's own entry as abstaining and deletes the keys of the relinquished
// shards, so that they have no owner, in as many commits as the limit of operations requires.
func (s *shardLeases) release() {
	slot := commitSlot{purposeRelinquish, noShard}
	if s.commits.isBusy(slot) {
		return
	}
	var conditions []Condition
	operations := []Operation{{
		PutKey: nodePrefix + s.node.process.Node, Value: s.ownEntry(true).encode(), LeaseID: s.node.id,
	}}
	for shard, token := range s.tokens {
		if !s.isRelinquished(shard) {
			continue
		}
		if len(operations) == s.client.MaxOperations() {
			s.commits.send(slot, conditions, operations)
			slot, conditions, operations = commitSlot{purposeRelinquish, shard}, nil, nil
		}
		conditions = append(conditions, Condition{ShardKey(shard), token})
		operations = append(operations, Operation{DeleteKey: ShardKey(shard)})
	}
	s.commits.send(slot, conditions, operations)
}

// finishRelinquishing repeats a release that was refused or whose answer was lost. Shards that
// this process still owns when it no longer abstains are kept under new tokens.
func (s *shardLeases) finishRelinquishing() {
	for shard := range s.tokens {
		if !s.isRelinquished(shard) {
			continue
		}
		if s.isAbstaining() {
			s.release()
			return
		}
		s.renewToken(shard)
	}
}
