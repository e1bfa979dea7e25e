package statestore

import (
	"slices"
	"strings"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// shardAssigner assigns shards to nodes while this process is the leader.
type shardAssigner struct {
	runtime  eventloop.Runtime
	client   *Client
	table    *leaseTable
	node     *nodeLease
	commits  *leaseCommits
	election *election
}

// assign assigns the shards without an owner to the candidates with the fewest shards. If all
// shards have owners and none has changed for tuning.ShardRebalanceDelay, it moves one shard,
// see shardToMove, to the candidate with the fewest.
func (a *shardAssigner) assign() {
	slot := commitSlot{purposeAssign, noShard}
	if a.commits.isBusy(slot) || a.runtime.Now() < a.election.acquiredAt+tuning.FirstAssignmentDelay {
		return
	}
	candidates := a.candidates()
	if len(candidates.names) == 0 {
		return
	}
	shards := a.unownedShards()
	a.countShards(candidates)
	if len(shards) == 0 && a.runtime.Now() > a.table.shardsChangedAt+tuning.ShardRebalanceDelay {
		shards = a.shardToMove(candidates)
	}
	if len(shards) == 0 {
		return
	}
	shards = shards[:min(len(shards), a.client.MaxOperations())]
	conditions := []Condition{{LeaderKey, a.election.token}}
	var operations []Operation
	for _, shard := range shards {
		target := candidates.leastLoaded()
		candidates.shardCounts[target]++
		entry := a.table.holders[nodePrefix+target]
		owner := leaseHolder{Node: entry.Node, Nonce: entry.Nonce}
		conditions = append(conditions, a.table.condition(ShardKey(shard)))
		operations = append(operations, Operation{PutKey: ShardKey(shard), Value: owner.encode(), LeaseID: entry.LeaseID})
	}
	a.commits.send(slot, conditions, operations)
}

// unownedShards returns the shards without an owner, in ascending order.
func (a *shardAssigner) unownedShards() []int {
	var shards []int
	for shard := range a.table.shardCount {
		if _, owned := a.table.holders[ShardKey(shard)]; !owned {
			shards = append(shards, shard)
		}
	}
	return shards
}

// countShards adds the number of shards that each node owns to the candidates' counts.
func (a *shardAssigner) countShards(candidates candidateNodes) {
	for shard := range a.table.shardCount {
		if owner, owned := a.table.holders[ShardKey(shard)]; owned {
			candidates.shardCounts[owner.Node]++
		}
	}
}

// shardToMove returns the first shard whose owner has at least two more shards than the least
// loaded candidate, or nil if there is none.
func (a *shardAssigner) shardToMove(candidates candidateNodes) []int {
	target := candidates.leastLoaded()
	for shard := range a.table.shardCount {
		owner := a.table.holders[ShardKey(shard)].Node
		if candidates.shardCounts[owner] > candidates.shardCounts[target]+1 {
			return []int{shard}
		}
	}
	return nil
}

// candidateNodes are the nodes that may be assigned shards.
type candidateNodes struct {
	names       []string       // in order of preference
	shardCounts map[string]int // number of shards owned, by node, including other nodes
}

// leastLoaded returns the first candidate among those with the fewest shards.
func (c candidateNodes) leastLoaded() string {
	best := c.names[0]
	for _, name := range c.names {
		if c.shardCounts[name] < c.shardCounts[best] {
			best = name
		}
	}
	return best
}

// candidates returns the nodes that may be assigned shards, with all counts 0. The leader is
// last because of its additional work.
func (a *shardAssigner) candidates() candidateNodes {
	candidates := candidateNodes{shardCounts: map[string]int{}}
	for key, entry := range a.table.holders {
		if strings.HasPrefix(key, nodePrefix) && !entry.Abstains && entry.LeaseID != 0 {
			candidates.shardCounts[entry.Node] = 0
			candidates.names = append(candidates.names, entry.Node)
		}
	}
	slices.Sort(candidates.names)
	// The name occurs at most once, since a node has a single entry.
	if own := slices.Index(candidates.names, a.node.process.Node); own >= 0 {
		candidates.names = append(slices.Delete(candidates.names, own, own+1), a.node.process.Node)
	}
	return candidates
}
