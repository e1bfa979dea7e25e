package leader

import (
	"lemonmoor/internal/taskstate"
)

// recallFor asks a block to give waiting tasks back when others have open
// machines with room for them.
func (l *Leader) recallFor(b *roomView, p *jobState, q queue, n int) int {
	if len(b.cpus) == 1 {
		return 0
	}
	found := 0
	for block := range b.cpus {
		if block != q.block && found < n {
			found += b.take(p, q.zone, block, false, n-found, func(int, int) {})
		}
	}
	if found > 0 {
		if l.recalls[q.block] == nil {
			l.recalls[q.block] = map[string]int{}
		}
		l.recalls[q.block][p.e.ID] += found
	}
	return found
}

// queue is tasks of a job that wait in a block, all for one zone.
type queue struct {
	block  int
	zone   string
	number int
}

// queues tells where tasks of a job wait.
func (l *Leader) queues(p *jobState) []queue {
	var list []queue
	if len(p.zones) <= 1 {
		for block, n := range p.waiting {
			if n > 0 {
				list = append(list, queue{block, taskstate.ZoneOf(p.zones, 0), n})
			}
		}
		return list
	}
	sums := map[queue]int{}
	add := func(r *taskstate.Record) {
		for k, i := range r.TaskIndexes {
			if r.Statuses[k].State == taskstate.StateWaiting {
				sums[queue{block: r.Shard, zone: taskstate.ZoneOf(p.zones, i)}]++
			}
		}
	}
	for _, r := range l.store.JobRecords(p.e.ID) {
		add(r)
	}
	for _, r := range l.pending {
		if r.Job == p.e.ID {
			add(r)
		}
	}
	for q, n := range sums {
		list = append(list, queue{q.block, q.zone, n})
	}
	return list
}
