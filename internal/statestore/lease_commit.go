package statestore

import (
	"log/slog"
	"strconv"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// leasePurpose is what a commit of lease changes is for.
type leasePurpose int

const (
	purposeRegister   leasePurpose = iota // the node's own entry
	purposeLead                           // become the leader
	purposeReclaim                        // take back shards of an earlier process of this node
	purposeAssign                         // assign shards, as the leader
	purposeRenewToken                     // replace the fencing token of one shard
	purposeRelinquish                     // give shards up
)

// String returns the purpose's name in logs.
func (p leasePurpose) String() string {
	switch p {
	case purposeRegister:
		return "register"
	case purposeLead:
		return "lead"
	case purposeReclaim:
		return "reclaim"
	case purposeAssign:
		return "assign"
	case purposeRenewToken:
		return "renew token"
	case purposeRelinquish:
		return "relinquish"
	}
	return "purpose " + strconv.Itoa(int(p))
}

// noShard is the shard of commits that are not for a single one.
const noShard = -1

// commitSlot is what at most one commit may be on its way for.
type commitSlot struct {
	purpose leasePurpose
	shard   int
}

// leaseCommits sends lease changes, one commit at a time for each slot. The watch shows
// what came of them. Repeats do no harm: their conditions fail.
type leaseCommits struct {
	runtime  eventloop.Runtime
	client   *Client
	log      *slog.Logger
	node     *nodeLease
	evaluate func() // called when a slot is free again
	busy     map[commitSlot]bool
}

func (c *leaseCommits) isBusy(slot commitSlot) bool { return c.busy[slot] }

// reserve keeps others out of a slot until free or send is called.
func (c *leaseCommits) reserve(slot commitSlot) { c.busy[slot] = true }

// free gives a reserved slot back.
func (c *leaseCommits) free(slot commitSlot) { delete(c.busy, slot) }

// send commits operations and keeps the slot busy until the watch has had time to show
// their effect, or until the commit may be tried again.
func (c *leaseCommits) send(slot commitSlot, conditions []Condition, operations []Operation) {
	c.reserve(slot)
	leaseID := c.node.id
	c.client.Commit(conditions, operations, func(result CommitResult) {
		if result.Outcome == OutcomeInvalid && leaseID == c.node.id {
			c.log.Info("lease commit rejected as invalid", "purpose", slot.purpose.String(), "shard", slot.shard)
		}
		pause := c.client.Backoff(1)
		if result.Outcome == OutcomeOK {
			pause = tuning.MinStateBackoff // time for the watch
		}
		c.runtime.After(pause, func() {
			c.free(slot)
			c.evaluate()
		})
	})
}
