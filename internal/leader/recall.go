package leader

import (
	"lemonmoor/internal/taskstate"
)

// recallFor asks a block to give waiting tasks back when others have open
// machines with room for them.
func (l *Leader) recallFor(b *capacityView, p *jobState, q shardQueue, n int) int {
	if len(b.totalCPUs) == 1 {
		return 0
	}
	found := 0
	for block := range b.totalCPUs {
		if block != q.shard && found < n {
			found += b.take(p, q.zone, block, false, n-found, func(int, int) {})
		}
	}
	if found > 0 {
		if l.recalls[q.shard] == nil {
			l.recalls[q.shard] = map[string]int{}
		}
		l.recalls[q.shard][p.entry.ID] += found
	}
	return found
}

// shardQueue is tasks of a job that wait in a block, all for one zone.
type shardQueue struct {
	shard  int
	zone   string
	tasks int
}

// queuedTasks tells where tasks of a job wait.
func (l *Leader) queuedTasks(p *jobState) []shardQueue {
	var list []shardQueue
	if len(p.zones) <= 1 {
		for block, n := range p.waitingByShard {
			if n > 0 {
				list = append(list, shardQueue{block, taskstate.ZoneOf(p.zones, 0), n})
			}
		}
		return list
	}
	sums := map[shardQueue]int{}
	add := func(r *taskstate.Record) {
		for k, i := range r.TaskIndexes {
			if r.Statuses[k].State == taskstate.StateWaiting {
				sums[shardQueue{shard: r.Shard, zone: taskstate.ZoneOf(p.zones, i)}]++
			}
		}
	}
	for _, r := range l.records.JobRecords(p.entry.ID) {
		add(r)
	}
	for _, r := range l.pendingRecords {
		if r.Job == p.entry.ID {
			add(r)
		}
	}
	for q, n := range sums {
		list = append(list, shardQueue{q.shard, q.zone, n})
	}
	return list
}
