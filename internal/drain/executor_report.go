package drain

import (
	"slices"
	"strings"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

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

// isUp tells whether a task surely runs.
func (e *Executor) isUp(task *taskstate.Task) bool {
	if task.State != taskstate.StatePlaced || !task.Running {
		return false
	}
	worker := e.workers.Worker(task.WorkerID)
	return worker != nil && e.workers.IsCurrent(worker)
}
