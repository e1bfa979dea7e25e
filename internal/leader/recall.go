package leader

import (
	"sort"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/taskstate"
)

// recallRequests says how many waiting tasks of which jobs the owners of shards are asked
// to return. Owners fetch them with the answers to their status messages.
type recallRequests map[int]map[string]int // by shard and job

// ofShard returns the requests to a shard.
func (r recallRequests) ofShard(shard int) map[string]int {
	if r[shard] == nil {
		r[shard] = map[string]int{}
	}
	return r[shard]
}

// pop returns the requests to a shard in the order of the jobs' IDs, and forgets them.
func (r recallRequests) pop(shard int) []fleet.Recall {
	var list []fleet.Recall
	for job, tasks := range r[shard] {
		list = append(list, fleet.Recall{Job: job, Tasks: tasks})
	}
	delete(r, shard)
	sort.Slice(list, func(i, j int) bool { return list[i].Job < list[j].Job })
	return list
}

// TakeRecalls takes what a shard's owner is asked to return.
func (l *Leader) TakeRecalls(shard int) []fleet.Recall { return l.recalls.pop(shard) }

// shardQueue is tasks of a job that wait in a shard, all of them bound to one zone or to
// none.
type shardQueue struct {
	shard int
	zone  string
	tasks int
}

// queuedTasks tells where tasks of a job wait.
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

// queuedTasksByZone is queuedTasks for a job whose tasks are bound to several zones: only
// its records say which of them wait.
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

// recallFrom asks a shard to return up to limit waiting tasks of a job when other shards
// have room for them on machines that are up, and returns how many.
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
