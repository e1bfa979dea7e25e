package leader

import (
	"sort"

	"lemonmoor/internal/tuning"
)

// taskBatch holds the tasks of one job that a dispatch round assigns to a shard in one task
// record.
type taskBatch struct {
	job     *jobState
	shard   int
	tasks   []int
	retried int // number of tasks that were returned to the queue before
	bytes   int // upper bound of the size of the encoded record

	// Set for the parts of a divided gang only, see taskstate.Record.
	gangAttempt uint64
	partSize    int
	// allDone is set if the tasks are proven done, since other tasks of their gang are done.
	allDone bool
}

// cost returns an upper bound of the bytes that a task adds to the record. retried is set if
// the task was returned to the queue before, so that it may have had an attempt.
func (b *taskBatch) cost(index int, retried bool) int {
	switch {
	case retried:
		return tuning.RetriedTaskBytes
	case len(b.tasks) > 0 && b.tasks[len(b.tasks)-1]+1 == index:
		return 0 // extends a run of consecutive indexes
	}
	return tuning.NewTaskBytes
}

// add adds a task to the batch and returns true. If the record would then exceed maxBytes or
// one of the limits on its number of tasks, it returns false and the batch is unchanged.
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

// requeue returns the tasks of the batch to the queue of their job.
func (b *taskBatch) requeue() {
	if b.gangAttempt > 0 {
		b.job.gang.recalling = true // the attempt cannot be completed without this part
	}
	queue := &b.job.pending
	queue.returned = append(queue.returned, b.tasks...)
	sort.Ints(queue.returned)
}

// addTask moves the next task from the queue of a job to a batch for a shard. It starts a new
// batch if no batch of the job for the shard has room for the task.
func (r *dispatchRound) addTask(job *jobState, shard int) {
	index, retried := job.pending.pop()
	job.team.countPlanned(job.spec, 1) // until the task is counted with its record
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

// addTasks moves the next count tasks of a job to batches for a shard.
func (r *dispatchRound) addTasks(job *jobState, shard, count int) {
	for range count {
		r.addTask(job, shard)
	}
}
