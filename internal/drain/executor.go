package drain

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// Workers is what the Executor asks of the shard's worker registry.
type Workers interface {
	Workers() []*workers.Worker
	Worker(id string) *workers.Worker
	// IsCurrent reports whether a worker's heartbeats arrive under the present fencing
	// token.
	IsCurrent(worker *workers.Worker) bool
	// HaltTask has a task halted, with the time that it needs to save a checkpoint.
	HaltTask(task *taskstate.Task)
	// HaltGang has all tasks of a gang halted, at the same time.
	HaltGang(job *taskstate.Job)
}

// Tasks is what the Executor asks of the shard's task store.
type Tasks interface {
	Job(id string) *taskstate.Job
	EachJob(fn func(*taskstate.Job))
}

// Executor carries out, for the owner of a shard, what the records of the drains grant,
// and reports how it stands. It halts a task only if the records were lately verified: a
// grant that is withdrawn is never acted upon later.
type Executor struct {
	rt      eventloop.Runtime
	records *Records
	workers Workers
	tasks   Tasks
	// isLeaseHeld reports whether the shard's lease is surely held.
	isLeaseHeld func() bool
	reporter    *reporter

	terms       term.Counter
	termBeganAt time.Duration
	isVerifying bool // the records; what is granted is halted when they are verified
}

// NewExecutor returns an executor for one shard. isLeaseHeld reports whether the shard's
// lease is surely held and its tasks are known.
func NewExecutor(rt eventloop.Runtime, records *Records, workers Workers, tasks Tasks, isLeaseHeld func() bool) *Executor {
	return &Executor{
		rt: rt, records: records, workers: workers, tasks: tasks, isLeaseHeld: isLeaseHeld,
		reporter: &reporter{rt: rt, records: records, workers: workers, tasks: tasks, ranAttempts: map[TaskName]uint64{}},
	}
}

// BeginTerm starts a term of ownership of the shard.
func (e *Executor) BeginTerm() {
	e.terms.Advance()
	e.termBeganAt = e.rt.Now()
	clear(e.reporter.ranAttempts)
}

// Report tells the leader how the shard stands; nil if there are no drains.
func (e *Executor) Report() *ShardReport { return e.reporter.report() }

// HaltGranted halts what is granted and still runs, while the shard's lease is held.
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

// halt halts one task or gang, if the attempt granted still runs; false if that has to wait
// until the records are verified.
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
	if task == nil || job.Gang != nil || task.State != taskstate.StatePlaced || task.Attempt != ref.Attempt || !task.Launch.Sent || task.Halt.Decided {
		return true
	}
	if !e.recordsAreFresh() {
		return false
	}
	e.workers.HaltTask(task)
	return true
}

// recordsAreFresh reports whether the records were verified in this term and lately. If
// not, they are verified now, and what is granted is halted after that.
func (e *Executor) recordsAreFresh() bool {
	now := e.rt.Now()
	verifiedAt, isKnown := e.records.VerifiedAt()
	if isKnown && verifiedAt >= e.termBeganAt && now-verifiedAt <= tuning.MaxLaunchKnowledgeAge {
		return true
	}
	if e.isVerifying {
		return false
	}
	e.isVerifying = true
	haltGranted := e.terms.Guard(e.HaltGranted)
	e.records.Verify(func(err error) {
		e.isVerifying = false // also in a later term, which could not verify otherwise
		if err == nil {
			haltGranted()
		}
	})
	return false
}
