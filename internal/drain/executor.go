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

// isUp tells whether a task surely runs.
func (e *Executor) isUp(task *taskstate.Task) bool {
	if task.State != taskstate.StatePlaced || !task.Running {
		return false
	}
	worker := e.workers.Worker(task.WorkerID)
	return worker != nil && e.workers.IsCurrent(worker)
}

// Report tells the leader how the block stands; nil if there are no drains.
func (e *Executor) Report() *ShardReport {
	if e.records.IsIdle() {
		return nil
	}
	report := &ShardReport{Teams: map[string]TeamWork{}, Down: map[string]int{}}
	e.reportGranted(report)
	e.reportMachines(report)
	e.tasks.EachJob(func(job *taskstate.Job) {
		if !job.Cancelled && (job.Gang == nil || !job.Gang.Done) {
			e.reportJob(report, job)
		}
	})
	return report
}

func (e *Executor) reportGranted(report *ShardReport) {
	for _, drain := range e.records.Drains() {
		for _, number := range drain.grantNumbers() {
			for _, ref := range drain.Grants[number].Tasks {
				if job := e.tasks.Job(ref.Job); job != nil {
					e.reportRef(report, job, ref, drain.Head.Phase == PhaseCancelled)
				}
			}
		}
	}
}

// reportRef reports a granted task that runs.
func (e *Executor) reportRef(report *ShardReport, job *taskstate.Job, ref TaskRef, isCancelled bool) {
	state := GrantedTask{TaskRef: ref}
	isUntouched := false
	if ref.Gang > 0 {
		if job.Gang == nil || !job.Gang.Started || job.Gang.AttemptOver {
			return
		}
		isUntouched = len(job.Tasks) == ref.Gang
		for _, task := range job.Tasks {
			if !e.isUp(task) {
				return
			}
			isUntouched = isUntouched && !task.HaltDecided
		}
		state.Attempt = job.Gang.Attempt
	} else {
		task := job.Tasks[ref.Index]
		if task == nil || !e.isUp(task) {
			return
		}
		state.Attempt, isUntouched = task.Attempt, !task.HaltDecided
	}
	state.Runs = state.Attempt > ref.Attempt
	state.Void = isCancelled && state.Attempt == ref.Attempt && isUntouched
	if state.Runs {
		e.ranAttempts[ref.Name()] = max(e.ranAttempts[ref.Name()], state.Attempt)
	}
	if state.Runs || state.Void {
		report.Granted = append(report.Granted, state)
	}
}

func (e *Executor) reportMachines(report *ShardReport) {
	now := e.rt.Now()
	for _, worker := range e.workers.Workers() {
		if !worker.HasReported || !e.records.IsClosed(worker.ID) {
			continue
		}
		machine := ClosedMachine{ID: worker.ID}
		for task := range worker.Tasks {
			if !task.LaunchSent || task.Job.Cancelled {
				continue
			}
			placed := PlacedTask{Job: task.Job.Spec.ID, Index: task.Index, Attempt: task.Attempt}
			if task.Job.Gang != nil {
				placed.Attempt = task.WireAttempt()
			}
			if task.Running {
				placed.RunsMS = max(1, (now - task.RunningSince).Milliseconds())
			}
			machine.Tasks = append(machine.Tasks, placed)
		}
		slices.SortFunc(machine.Tasks, func(a, b PlacedTask) int {
			if c := strings.Compare(a.Job, b.Job); c != 0 {
				return c
			}
			return a.Index - b.Index
		})
		report.Machines = append(report.Machines, machine)
	}
}

// reportJob adds a job's tasks to what runs and to what nobody chose to disturb.
func (e *Executor) reportJob(report *ShardReport, job *taskstate.Job) {
	team := report.Teams[job.Spec.Team]
	one := Amount{1, job.Spec.CPUs}
	for _, task := range job.Tasks {
		switch {
		case task.State != taskstate.StatePlaced && task.State != taskstate.StateWaiting, e.isDisturbedByGrant(job, task):
		case e.isUp(task):
			team.Running = team.Running.Plus(one)
		case e.isInterrupted(task):
			team.Disturbed = team.Disturbed.Plus(one)
			if job.Spec.IsService() && task.State == taskstate.StatePlaced {
				e.reportDown(report, job.Spec.ID)
			}
		}
	}
	report.Teams[job.Spec.Team] = team
}

func (e *Executor) reportDown(report *ShardReport, job string) {
	if _, isListed := report.Down[job]; !isListed && len(report.Down) >= tuning.MaxReportedDownServices {
		report.Partial = true
		return
	}
	report.Down[job]++
}

// isDisturbedByGrant tells whether a task is counted by the leader, as granted.
func (e *Executor) isDisturbedByGrant(job *taskstate.Job, task *taskstate.Task) bool {
	name := TaskName{job.Spec.ID, task.Index}
	if job.Gang != nil {
		name.Index = gangIndex
	}
	for _, granted := range e.records.grantsOf(name) {
		if e.ranAttempts[name] <= granted.ref.Attempt {
			return true
		}
	}
	return false
}

// isInterrupted tells whether a task that does not run, as far as one can tell, has run
// before. What cannot be proven counts as disturbed.
func (e *Executor) isInterrupted(task *taskstate.Task) bool {
	if task.State == taskstate.StateWaiting {
		return task.Attempt > 0
	}
	worker := e.workers.Worker(task.WorkerID)
	return task.WireAttempt() > 1 || worker == nil || !e.workers.IsCurrent(worker)
}
