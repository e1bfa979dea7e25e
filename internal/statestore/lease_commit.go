package statestore

import (
	"log/slog"
	"strconv"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// leasePurpose is the purpose of a commit of lease changes.
type leasePurpose int

const (
	purposeRegister   leasePurpose = iota // write the node's own entry
	purposeLead                           // become the leader
	purposeReclaim                        // acquire the shards of an earlier process of this node
	purposeAssign                         // assign shards, as the leader
	purposeRenewToken                     // replace the fencing token of one shard
	purposeRelinquish                     // release shards
	purposeFence                          // get a revision under the token of one shard
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
	case purposeFence:
		return "fence"
	}
	return "purpose " + strconv.Itoa(int(p))
}

// noShard is the shard number in the slot of a commit that is not about a single shard.
const noShard = -1

// commitSlot identifies a kind of commit of which at most one is in flight at a time.
type commitSlot struct {
	purpose leasePurpose
	shard   int
}

// leaseCommits sends lease changes, one commit at a time per slot. Their effect is learned
// from the watch alone. Repeating a commit that succeeded is harmless: its conditions then
// fail, or, for the node's own entry, which has none, it puts the same value.
type leaseCommits struct {
	runtime  eventloop.Runtime
	client   *Client
	log      *slog.Logger
	node     *nodeLease
	evaluate func() // called whenever send has freed a slot
	busy     map[commitSlot]bool
}

func (c *leaseCommits) isBusy(slot commitSlot) bool { return c.busy[slot] }

// reserve marks a slot as busy until free is called or a commit sent in it is finished.
func (c *leaseCommits) reserve(slot commitSlot) { c.busy[slot] = true }

// free ends the reservation of a slot.
func (c *leaseCommits) free(slot commitSlot) { delete(c.busy, slot) }

// send commits operations. The slot stays busy after the answer: after a success until the
// watch has had time to report the change, otherwise until the commit may be retried.
func (c *leaseCommits) send(slot commitSlot, conditions []Condition, operations []Operation) {
	c.sendThen(slot, conditions, operations, func(uint64) {})
}

// sendThen is send, and calls fn with the revision of the commit if it has succeeded.
func (c *leaseCommits) sendThen(slot commitSlot, conditions []Condition, operations []Operation, fn func(revision uint64)) {
	c.reserve(slot)
	leaseID := c.node.id
	c.client.Commit(conditions, operations, func(result CommitResult) {
		if result.Outcome == OutcomeInvalid && leaseID == c.node.id {
			c.log.Info("lease commit rejected as invalid", "purpose", slot.purpose.String(), "shard", slot.shard)
		}
		pause := c.client.Backoff(1)
		if result.Outcome == OutcomeOK {
			fn(result.Revision)
			pause = tuning.MinStateBackoff // for the watch to report the change
		}
		c.runtime.After(pause, func() {
			c.free(slot)
			c.evaluate()
		})
	})
}
