package statestore

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// election campaigns for leadership and records whether this process is the leader.
type election struct {
	runtime eventloop.Runtime
	table   *leaseTable
	node    *nodeLease
	commits *leaseCommits
	rank    int // see LeaseConfig

	token      uint64 // fencing token of the leadership, 0 if not held
	acquiredAt time.Duration
}

// campaign tries to become the leader, after a pause that depends on the rank, if there is no
// leader or if an earlier process of this node is still recorded as the leader.
func (e *election) campaign() {
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

// renewToken replaces the fencing token of the leadership, if this process leads, by putting its key
// again.
func (e *election) renewToken() {
	slot := commitSlot{purposeLead, noShard}
	if e.token == 0 || e.commits.isBusy(slot) {
		return
	}
	e.commits.send(slot, []Condition{{LeaderKey, e.token}}, []Operation{e.node.attach(LeaderKey)})
}

// isVacant reports whether no leader is recorded, or only an earlier process of this node.
func (e *election) isVacant() bool {
	leader, hasLeader := e.table.holders[LeaderKey]
	return !hasLeader || leader.isEarlierProcess(e.node.process)
}
