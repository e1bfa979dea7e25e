package leader

import (
	"sort"

	"lemonmoor/internal/tuning"
)

// taskBatch is the tasks of one job that a dispatch round gives to a shard in one record.
type taskBatch struct {
	job     *jobState
	shard   int
	tasks   []int
	retried int // tasks that a shard has returned before
	bytes   int // what the record takes, at most

	// Of a divided gang, see taskstate.Record.
	gangAttempt uint64
	partSize    int
	// allDone: the tasks are proven done, since others of their gang are.
	allDone bool
}

// cost returns how many bytes a task adds to the record.
func (b *taskBatch) cost(index int, retried bool) int {
	switch {
	case retried:
		return tuning.RetriedTaskBytes
	case len(b.tasks) > 0 && b.tasks[len(b.tasks)-1]+1 == index:
		return 0 // it continues a run
	}
	return tuning.NewTaskBytes
}

// add puts a task into the batch, or reports that the record would be too large with it.
func (b *taskBatch) add(index int, retried bool, maxBytes int) bool {
	retriedCount, cost := b.retried, b.cost(index, retried)
	if retried {
		retriedCount++
	}
	if len(b.tasks) >= tuning.MaxRecordTasks || retriedCount > tuning.MaxRetriedRecordTasks || b.bytes+cost > maxBytes {
		return false
	}
	b.tasks, b.retried, b.bytes = append(b.tasks, index), retriedCount, b.bytes+cost
	return true
}

// requeue returns the batch's tasks to the queue of their job.
func (b *taskBatch) requeue() {
	queue := &b.job.pending
	queue.returned = append(queue.returned, b.tasks...)
	sort.Ints(queue.returned)
}

// addTask puts the next task of a job into a batch for a shard.
func (r *dispatchRound) addTask(job *jobState, shard int) {
	index, retried := job.pending.pop()
	job.team.countPlanned(job.spec, 1) // until the record counts
	maxBytes := r.leader.state.MaxValueBytes() - tuning.RecordOverheadBytes
	for i := len(r.batches) - 1; i >= 0 && r.batches[i].job == job; i-- {
		if batch := r.batches[i]; batch.shard == shard && batch.add(index, retried, maxBytes) {
			return
		}
	}
	batch := &taskBatch{job: job, shard: shard, tasks: []int{index}}
	batch.bytes = (&taskBatch{}).cost(index, retried)
	if retried {
		batch.retried = 1
	}
	r.batches = append(r.batches, batch)
}

// addTasks puts the next so many tasks of a job into batches for a shard.
func (r *dispatchRound) addTasks(job *jobState, shard, count int) {
	for range count {
		r.addTask(job, shard)
	}
}
