package statestore

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// election stands for leadership and remembers whether this process has it.
type election struct {
	runtime eventloop.Runtime
	table   *leaseTable
	node    *nodeLease
	commits *leaseCommits
	rank    int // spreads the nodes' attempts

	token      uint64 // fencing token of the leadership, 0 if not held
	acquiredAt time.Duration
}

// stand tries to become the leader, after a pause, if nobody leads or an earlier process of
// this node is still recorded as the leader.
func (e *election) stand() {
	slot := commitSlot{purposeLead, noShard}
	if !e.isVacant() || e.commits.isBusy(slot) {
		return
	}
	e.commits.reserve(slot)
	pause := time.Duration(float64(tuning.ElectionJitter) * (float64(e.rank) + e.runtime.Rand()))
	e.runtime.After(pause, func() {
		e.commits.free(slot)
		if !e.node.isValid() || !e.isVacant() {
			return
		}
		e.commits.send(slot, []Condition{e.table.condition(LeaderKey)}, []Operation{e.node.attach(LeaderKey)})
	})
}

func (e *election) isVacant() bool {
	leader, taken := e.table.holders[LeaderKey]
	return !taken || leader.isEarlierProcess(e.node.process)
}
