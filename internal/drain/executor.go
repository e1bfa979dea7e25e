package drain

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// Workers is the shard's worker registry as the Executor sees it.
type Workers interface {
	// Workers returns all workers of the shard.
	Workers() []*workers.Worker
	// Worker returns a worker by its ID, nil if it is not known.
	Worker(id string) *workers.Worker
	// IsCurrent reports whether a worker's heartbeats arrive under the owner's current
	// fencing token.
	IsCurrent(worker *workers.Worker) bool
	// HaltTask halts a task and leaves it the time that it needs to save a checkpoint.
	HaltTask(task *taskstate.Task)
	// HaltGang halts all tasks of a gang at the same time.
	HaltGang(job *taskstate.Job)
}

// Tasks is the shard's task store as the Executor sees it.
type Tasks interface {
	// Job returns a job by its ID, nil if the shard has no tasks of it.
	Job(id string) *taskstate.Job
	// EachJob calls fn for each job.
	EachJob(fn func(*taskstate.Job))
}

// Executor halts the tasks that the records of the drains grant, on behalf of the owner of a
// shard, and reports on them. It halts a task only if the records were verified recently,
// so that it never acts on a grant that has been withdrawn.
type Executor struct {
	rt      eventloop.Runtime
	records *Records
	workers Workers
	tasks   Tasks
	// isLeaseHeld reports whether the shard's lease is certain to be held.
	isLeaseHeld func() bool
	reporter    *reporter

	terms       term.Counter
	termBeganAt time.Duration
	isVerifying bool // whether the records are being verified; granted tasks are halted afterwards
}

// NewExecutor returns an executor for one shard. isLeaseHeld must report whether the shard's
// lease is certain to be held and its tasks are loaded.
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

// Report returns the shard's report to the leader, nil if no drain is active and no grant is
// left.
func (e *Executor) Report() *ShardReport { return e.reporter.report() }

// HaltGranted halts the attempts that still run and that active drains have granted, provided
// that the shard's lease is held.
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

// halt halts one task or gang if the granted attempt still runs. It returns false if the
// records have to be verified first.
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
	if task == nil || job.Gang != nil || task.State != taskstate.StatePlaced || task.Attempt != ref.Attempt || !task.Launch.IsSent() || task.Halt.Decided {
		return true
	}
	if !e.recordsAreFresh() {
		return false
	}
	e.workers.HaltTask(task)
	return true
}

// recordsAreFresh reports whether the records were verified in this term and at most
// MaxLaunchKnowledgeAge ago. If not, it starts to verify them; HaltGranted is called again
// when they are verified.
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
		e.isVerifying = false // even if the term has ended: a later term could not verify otherwise
		if err == nil {
			haltGranted()
		}
	})
	return false
}
