package drain

import (
	"slices"
	"strings"
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
	rt      eventloop.Runtime
	book    *Records
	workers Workers
	tasks   Tasks
	holds   func() bool         // the block's lease, surely
	begun   time.Duration       // this term
	asking  bool                // for a proof, after which to act
	ran     map[TaskName]uint64 // highest attempt seen running, of granted tasks
}

// NewExecutor returns an executor for one block.
func NewExecutor(rt eventloop.Runtime, book *Records, workers Workers, tasks Tasks, holds func() bool) *Executor {
	return &Executor{rt: rt, book: book, workers: workers, tasks: tasks, holds: holds, ran: map[TaskName]uint64{}}
}

// BeginTerm starts a term.
func (e *Executor) BeginTerm() {
	e.begun = e.rt.Now()
	clear(e.ran)
}

// fresh tells whether the book is proven current in this term and lately; if not, a
// proof is asked for, and what is granted is acted upon when it is there.
func (e *Executor) fresh() bool {
	now := e.rt.Now()
	proven, known := e.book.VerifiedAt()
	if known && proven >= e.begun && now-proven <= tuning.MaxLaunchKnowledgeAge {
		return true
	}
	if e.asking {
		return false
	}
	e.asking = true
	begun := e.begun
	e.book.Verify(func(err error) {
		e.asking = false
		if err == nil && e.begun == begun && e.holds() {
			e.HaltGranted()
		}
	})
	return false
}

// HaltGranted stops what is granted and still runs, while the block is held.
func (e *Executor) HaltGranted() {
	if !e.holds() {
		return
	}
	for _, d := range e.book.Drains() {
		if !d.Head.Phase.Active() {
			continue
		}
		for _, number := range d.grantNumbers() {
			for _, ref := range d.Grants[number].Tasks {
				if !e.act(ref) {
					return
				}
			}
		}
	}
}

// act stops one task or gang; false if that has to wait for a proof.
func (e *Executor) act(ref TaskRef) bool {
	j := e.tasks.Job(ref.Job)
	if j == nil || j.Cancelled {
		return true
	}
	if ref.Gang > 0 {
		g := j.Gang
		if g == nil || g.Attempt != ref.Attempt || g.AttemptOver || g.Done {
			return true
		}
		if !e.fresh() {
			return false
		}
		e.workers.HaltGang(j)
		return true
	}
	k := j.Tasks[ref.Index]
	if k == nil || j.Gang != nil || k.State != taskstate.StatePlaced || k.Attempt != ref.Attempt || !k.Launch.Sent || k.Halt.Decided {
		return true
	}
	if !e.fresh() {
		return false
	}
	e.workers.HaltTask(k)
	return true
}

// up tells whether a task surely runs.
func (e *Executor) up(k *taskstate.Task) bool {
	if k.State != taskstate.StatePlaced || !k.Observed.Running {
		return false
	}
	h := e.workers.Worker(k.WorkerID)
	return h != nil && e.workers.IsCurrent(h)
}

// Report tells the leader how the block stands; nil if there are no drains.
func (e *Executor) Report() *ShardReport {
	if e.book.IsIdle() {
		return nil
	}
	r := &ShardReport{Teams: map[string]TeamWork{}, Down: map[string]int{}}
	e.reportGranted(r)
	e.reportMachines(r)
	e.tasks.EachJob(func(j *taskstate.Job) {
		if !j.Cancelled && (j.Gang == nil || !j.Gang.Done) {
			e.reportJob(r, j)
		}
	})
	return r
}

func (e *Executor) reportGranted(r *ShardReport) {
	for _, d := range e.book.Drains() {
		for _, number := range d.grantNumbers() {
			for _, ref := range d.Grants[number].Tasks {
				if j := e.tasks.Job(ref.Job); j != nil {
					e.reportRef(r, j, ref, d.Head.Phase == PhaseCancelled)
				}
			}
		}
	}
}

// reportRef reports a granted task that runs.
func (e *Executor) reportRef(r *ShardReport, j *taskstate.Job, ref TaskRef, cancelled bool) {
	state := GrantedTask{TaskRef: ref}
	untouched := false
	if ref.Gang > 0 {
		if j.Gang == nil || !j.Gang.Started || j.Gang.AttemptOver {
			return
		}
		untouched = len(j.Tasks) == ref.Gang
		for _, k := range j.Tasks {
			if !e.up(k) {
				return
			}
			untouched = untouched && !k.Halt.Decided
		}
		state.Attempt = j.Gang.Attempt
	} else {
		k := j.Tasks[ref.Index]
		if k == nil || !e.up(k) {
			return
		}
		state.Attempt, untouched = k.Attempt, !k.Halt.Decided
	}
	state.Runs = state.Attempt > ref.Attempt
	state.Void = cancelled && state.Attempt == ref.Attempt && untouched
	if state.Runs {
		e.ran[ref.Name()] = max(e.ran[ref.Name()], state.Attempt)
	}
	if state.Runs || state.Void {
		r.Granted = append(r.Granted, state)
	}
}

func (e *Executor) reportMachines(r *ShardReport) {
	now := e.rt.Now()
	for _, h := range e.workers.Workers() {
		if !h.HasReported || !e.book.IsClosed(h.ID) {
			continue
		}
		m := ClosedMachine{ID: h.ID}
		for k := range h.Tasks {
			if !k.Launch.Sent || k.Job.Cancelled {
				continue
			}
			placed := PlacedTask{Job: k.Job.Spec.ID, Index: k.Index, Attempt: k.Attempt}
			if k.Job.Gang != nil {
				placed.Attempt = k.WireAttempt()
			}
			if k.Observed.Running {
				placed.RunsMS = max(1, (now - k.Observed.RunningSince).Milliseconds())
			}
			m.Tasks = append(m.Tasks, placed)
		}
		slices.SortFunc(m.Tasks, func(a, b PlacedTask) int {
			if c := strings.Compare(a.Job, b.Job); c != 0 {
				return c
			}
			return a.Index - b.Index
		})
		r.Machines = append(r.Machines, m)
	}
}

// reportJob adds a job's tasks to what runs and to what nobody chose to disturb.
func (e *Executor) reportJob(r *ShardReport, j *taskstate.Job) {
	team := r.Teams[j.Spec.Team]
	one := Amount{1, j.Spec.CPUs}
	for _, k := range j.Tasks {
		switch {
		case k.State != taskstate.StatePlaced && k.State != taskstate.StateWaiting, e.disturbedByGrant(j, k):
		case e.up(k):
			team.Running = team.Running.Plus(one)
		case e.interrupted(k):
			team.Disturbed = team.Disturbed.Plus(one)
			if j.Spec.IsService() && k.State == taskstate.StatePlaced {
				e.reportDown(r, j.Spec.ID)
			}
		}
	}
	r.Teams[j.Spec.Team] = team
}

func (e *Executor) reportDown(r *ShardReport, job string) {
	if _, there := r.Down[job]; !there && len(r.Down) >= tuning.MaxReportedDownServices {
		r.Partial = true
		return
	}
	r.Down[job]++
}

// disturbedByGrant tells whether a task is counted by the leader, as granted.
func (e *Executor) disturbedByGrant(j *taskstate.Job, k *taskstate.Task) bool {
	name := TaskName{j.Spec.ID, k.Index}
	if j.Gang != nil {
		name.Index = wholeGang
	}
	for _, h := range e.book.grantsOf(name) {
		if e.ran[name] <= h.ref.Attempt {
			return true
		}
	}
	return false
}

// interrupted tells whether a task that does not run, as far as one can tell, has run
// before. What cannot be proven counts as disturbed.
func (e *Executor) interrupted(k *taskstate.Task) bool {
	if k.State == taskstate.StateWaiting {
		return k.Attempt > 0
	}
	h := e.workers.Worker(k.WorkerID)
	return k.WireAttempt() > 1 || h == nil || !e.workers.IsCurrent(h)
}
