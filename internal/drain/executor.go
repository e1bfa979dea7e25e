package drain

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// Workers is what the Executor asks of the worker registry.
type Workers interface {
	Workers() []*workers.Worker
	Worker(id string) *workers.Worker
	// IsCurrent tells whether a machine is heard under the present token.
	IsCurrent(h *workers.Worker) bool
	// HaltTask has a task halted, with the time that it needs to save.
	HaltTask(k *taskstate.Task)
	// HaltGang has all tasks of a gang halted, at the same time.
	HaltGang(j *taskstate.Job)
}

// Tasks is what the Executor asks of the block's task store.
type Tasks interface {
	Job(id string) *taskstate.Job
	EachJob(fn func(*taskstate.Job))
}

// Executor carries out, for the owner of a block, what the records of the drains
// grant, and reports how it stands. It stops a task only if the book is proven to be
// current: a grant that is withdrawn is never acted upon later.
type Executor struct {
	rt          eventloop.Runtime
	records     *Records
	workers     Workers
	tasks       Tasks
	isLeaseHeld func() bool         // the block's lease, surely
	termBeganAt time.Duration       // this term
	isVerifying bool                // for a proof, after which to act
	ranAttempts map[TaskName]uint64 // highest attempt seen running, of granted tasks
}

// NewExecutor returns an executor for one block.
func NewExecutor(rt eventloop.Runtime, records *Records, workers Workers, tasks Tasks, isLeaseHeld func() bool) *Executor {
	return &Executor{rt: rt, records: records, workers: workers, tasks: tasks, isLeaseHeld: isLeaseHeld, ranAttempts: map[TaskName]uint64{}}
}

// BeginTerm starts a term.
func (e *Executor) BeginTerm() {
	e.termBeganAt = e.rt.Now()
	clear(e.ranAttempts)
}

// recordsAreFresh tells whether the book is proven current in this term and lately; if not, a
// proof is asked for, and what is granted is acted upon when it is there.
func (e *Executor) recordsAreFresh() bool {
	now := e.rt.Now()
	verifiedAt, known := e.records.VerifiedAt()
	if known && verifiedAt >= e.termBeganAt && now-verifiedAt <= tuning.MaxLaunchKnowledgeAge {
		return true
	}
	if e.isVerifying {
		return false
	}
	e.isVerifying = true
	termBeganAt := e.termBeganAt
	e.records.Verify(func(err error) {
		e.isVerifying = false
		if err == nil && e.termBeganAt == termBeganAt && e.isLeaseHeld() {
			e.HaltGranted()
		}
	})
	return false
}

// HaltGranted stops what is granted and still runs, while the block is held.
func (e *Executor) HaltGranted() {
	if !e.isLeaseHeld() {
		return
	}
	for _, drain := range e.records.Drains() {
		if !drain.Head.Phase.Active() {
			continue
		}
		for _, number := range drain.grantNumbers() {
			for _, ref := range drain.Grants[number].Tasks {
				if !e.halt(ref) {
					return
				}
			}
		}
	}
}

// halt stops one task or gang; false if that has to wait for a proof.
func (e *Executor) halt(ref TaskRef) bool {
	job := e.tasks.Job(ref.Job)
	if job == nil || job.Cancelled {
		return true
	}
	if ref.Gang > 0 {
		gang := job.Gang
		if gang == nil || gang.Attempt != ref.Attempt || gang.AttemptOver || gang.Done {
			return true
		}
		if !e.recordsAreFresh() {
			return false
		}
		e.workers.HaltGang(job)
		return true
	}
	task := job.Tasks[ref.Index]
	if task == nil || job.Gang != nil || task.State != taskstate.StatePlaced || task.Attempt != ref.Attempt || !task.LaunchSent || task.HaltDecided {
		return true
	}
	if !e.recordsAreFresh() {
		return false
	}
	e.workers.HaltTask(task)
	return true
}
