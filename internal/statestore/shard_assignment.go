package statestore

import (
	"slices"
	"strings"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// shardAssigner assigns shards to nodes while this process leads.
type shardAssigner struct {
	runtime  eventloop.Runtime
	client   *Client
	table    *leaseTable
	node     *nodeLease
	commits  *leaseCommits
	election *election
}

// assign gives the shards that have no owner to the nodes with the fewest, and now and then
// moves one from a node with many to one with few.
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

func (a *shardAssigner) unownedShards() []int {
	var shards []int
	for shard := range a.table.shardCount {
		if _, owned := a.table.holders[ShardKey(shard)]; !owned {
			shards = append(shards, shard)
		}
	}
	return shards
}

func (a *shardAssigner) countShards(candidates candidateNodes) {
	for shard := range a.table.shardCount {
		if owner, owned := a.table.holders[ShardKey(shard)]; owned {
			candidates.shardCounts[owner.Node]++
		}
	}
}

// shardToMove returns the first shard whose owner has at least two more than the least
// loaded candidate, or none.
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
	names       []string       // in the order of preference
	shardCounts map[string]int // shards owned, by node, also of nodes that are no candidates
}

// leastLoaded returns the first of the candidates with the fewest shards.
func (c candidateNodes) leastLoaded() string {
	best := c.names[0]
	for _, name := range c.names {
		if c.shardCounts[name] < c.shardCounts[best] {
			best = name
		}
	}
	return best
}

// candidates lists the nodes that may be assigned shards, the leader last, since it has
// enough to do. Their shards are not counted yet.
func (a *shardAssigner) candidates() candidateNodes {
	candidates := candidateNodes{shardCounts: map[string]int{}}
	for key, entry := range a.table.holders {
		if strings.HasPrefix(key, nodePrefix) && !entry.Abstains && entry.LeaseID != 0 {
			candidates.shardCounts[entry.Node] = 0
			candidates.names = append(candidates.names, entry.Node)
		}
	}
	slices.Sort(candidates.names)
	// The name stands once at most: a node has one entry.
	if own := slices.Index(candidates.names, a.node.process.Node); own >= 0 {
		candidates.names = append(slices.Delete(candidates.names, own, own+1), a.node.process.Node)
	}
	return candidates
}
