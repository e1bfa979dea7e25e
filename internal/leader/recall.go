package leader

import (
	"sort"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/taskstate"
)

// recallRequests holds the number of waiting tasks that the owners of shards are asked to
// return, by shard and job. Owners receive them in the answers to their status messages.
type recallRequests map[int]map[string]int

// ofShard returns the requests to a shard, by job. The caller may add to them.
func (r recallRequests) ofShard(shard int) map[string]int {
	if r[shard] == nil {
		r[shard] = map[string]int{}
	}
	return r[shard]
}

// pop removes the requests to a shard and returns them, sorted by job ID.
func (r recallRequests) pop(shard int) []fleet.Recall {
	var list []fleet.Recall
	for job, tasks := range r[shard] {
		list = append(list, fleet.Recall{Job: job, Tasks: tasks})
	}
	delete(r, shard)
	sort.Slice(list, func(i, j int) bool { return list[i].Job < list[j].Job })
	return list
}

// TakeRecalls removes and returns the requests to the owner of a shard to return tasks.
func (l *Leader) TakeRecalls(shard int) []fleet.Recall { return l.recalls.pop(shard) }

// shardQueue is the number of tasks of a job that wait in a shard and are bound to the same
// zone, "" if they are not bound to one.
type shardQueue struct {
	shard int
	zone  string
	tasks int
}

// queuedTasks returns how many tasks of a job wait, by shard and zone.
func (l *Leader) queuedTasks(job *jobState) []shardQueue {
	if len(job.zones) > 1 {
		return l.queuedTasksByZone(job)
	}
	var queues []shardQueue
	for shard, tasks := range job.counts.waitingByShard {
		if tasks > 0 {
			queues = append(queues, shardQueue{shard, taskstate.ZoneOf(job.zones, 0), tasks})
		}
	}
	return queues
}

// queuedTasksByZone is queuedTasks for a job whose tasks are bound to several zones. It reads
// the job's records, since only they show which tasks wait.
func (l *Leader) queuedTasksByZone(job *jobState) []shardQueue {
	counts := map[shardQueue]int{}
	add := func(record *taskstate.Record) {
		for position, index := range record.TaskIndexes {
			if record.Statuses[position].State == taskstate.StateWaiting {
				counts[shardQueue{shard: record.Shard, zone: taskstate.ZoneOf(job.zones, index)}]++
			}
		}
	}
	for _, record := range l.records.JobRecords(job.entry.ID) {
		add(record)
	}
	for _, record := range l.unseenRecords {
		if record.Job == job.entry.ID {
			add(record)
		}
	}
	var queues []shardQueue
	for queue, tasks := range counts {
		queues = append(queues, shardQueue{queue.shard, queue.zone, tasks})
	}
	return queues
}

// recallFrom requests that a shard returns up to limit waiting tasks of a job, as many as other
// shards have room for on machines that are up. It returns the number of tasks recalled.
func (r *dispatchRound) recallFrom(queue shardQueue, job *jobState, limit int) int {
	if len(r.capacity.totalCPUs) == 1 {
		return 0
	}
	recalled := 0
	for shard := range r.capacity.totalCPUs {
		if shard != queue.shard && recalled < limit {
			recalled += r.capacity.occupy(job, machineSet{zone: queue.zone, shard: shard}, limit-recalled)
		}
	}
	if recalled > 0 {
		r.leader.recalls.ofShard(queue.shard)[job.entry.ID] += recalled
	}
	return recalled
}
