package drain

import (
	"cmp"
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// reporter builds the reports of a shard's owner to the leader.
type reporter struct {
	rt          eventloop.Runtime
	records     *Records
	workers     Workers
	tasks       Tasks
	ranAttempts map[TaskName]uint64 // highest attempt of a granted task seen running in this term
}

// report returns the shard's report, nil if no drain is active and no grant is left.
func (r *reporter) report() *ShardReport {
	if r.records.IsIdle() {
		return nil
	}
	report := &ShardReport{Teams: map[string]TeamWork{}, ReplicasDown: map[string]int{}}
	// The granted tasks must be first: addJob counts a granted task by its grant unless
	// addGranted has recorded that it runs again.
	r.addGranted(report)
	r.addMachines(report)
	r.tasks.EachJob(func(job *taskstate.Job) {
		if !job.Cancelled && (job.Gang == nil || !job.Gang.Done) {
			r.addJob(report, job)
		}
	})
	return report
}

// addGranted reports the granted tasks and gangs of the shard.
func (r *reporter) addGranted(report *ShardReport) {
	for _, drain := range r.records.Drains() {
		isCancelled := drain.Head.Phase == PhaseCancelled
		for _, number := range drain.grantNumbers() {
			for _, ref := range drain.Grants[number].Tasks {
				if job := r.tasks.Job(ref.Job); job != nil {
					r.addGrantedTask(report, job, ref, isCancelled)
				}
			}
		}
	}
}

// addGrantedTask reports a granted task or gang that runs under an attempt later than the
// granted one, or that was never halted and whose drain is cancelled.
func (r *reporter) addGrantedTask(report *ShardReport, job *taskstate.Job, ref TaskRef, isCancelled bool) {
	attempt, isUntouched, isRunning := r.runningAttempt(job, ref)
	if !isRunning {
		return
	}
	granted := GrantedTask{TaskRef: ref}
	granted.Attempt = attempt
	granted.RunsAgain = attempt > ref.Attempt
	granted.IsUntouched = isCancelled && attempt == ref.Attempt && isUntouched
	if granted.RunsAgain {
		r.ranAttempts[ref.Name()] = max(r.ranAttempts[ref.Name()], attempt)
	}
	if granted.RunsAgain || granted.IsUntouched {
		report.Granted = append(report.Granted, granted)
	}
}

// runningAttempt returns the attempt under which a task or gang runs and whether no halt of
// it was decided. isRunning is false unless the task, or every task of the gang, is proven
// to run.
func (r *reporter) runningAttempt(job *taskstate.Job, ref TaskRef) (attempt uint64, isUntouched, isRunning bool) {
	if ref.Gang == 0 {
		task := job.Tasks[ref.Index]
		if task == nil || !r.isProvenRunning(task) {
			return 0, false, false
		}
		return task.Attempt, !task.Halt.Decided, true
	}
	if job.Gang == nil || !job.Gang.Started || job.Gang.AttemptOver {
		return 0, false, false
	}
	isUntouched = len(job.Tasks) == ref.Gang // tasks in other shards may have been halted
	for _, task := range job.Tasks {
		if !r.isProvenRunning(task) {
			return 0, false, false
		}
		isUntouched = isUntouched && !task.Halt.Decided
	}
	return job.Gang.Attempt, isUntouched, true
}

// addMachines reports the closed machines whose workers send heartbeats, with the launched
// tasks on them.
func (r *reporter) addMachines(report *ShardReport) {
	now := r.rt.Now()
	for _, worker := range r.workers.Workers() {
		if !worker.HasReported || !r.records.IsClosed(worker.ID) {
			continue
		}
		machine := ClosedMachine{ID: worker.ID}
		for task := range worker.Tasks {
			if task.Launch.IsSent() && !task.Job.Cancelled {
				machine.Tasks = append(machine.Tasks, placedTask(task, now))
			}
		}
		slices.SortFunc(machine.Tasks, func(a, b PlacedTask) int {
			return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
		})
		report.Machines = append(report.Machines, machine)
	}
}

// placedTask returns the report of a task on a closed machine.
func placedTask(task *taskstate.Task, now time.Duration) PlacedTask {
	placed := PlacedTask{Job: task.Job.Spec.ID, Index: task.Index, Attempt: task.Attempt}
	if task.Job.Gang != nil {
		placed.Attempt = task.WireAttempt()
	}
	if task.Observed.Running {
		placed.RunningMS = max(1, (now - task.Observed.RunningSince).Milliseconds())
	}
	return placed
}

// addJob adds a job's tasks to the running work of its team or, if they are interrupted, to
// its unchosen disturbances. Tasks disturbed by a grant are left out: the leader counts
// them.
func (r *reporter) addJob(report *ShardReport, job *taskstate.Job) {
	team := report.Teams[job.Spec.Team]
	amountPerTask := Amount{1, job.Spec.CPUs}
	for _, task := range job.Tasks {
		switch {
		case task.State != taskstate.StatePlaced && task.State != taskstate.StateWaiting, r.isDisturbedByGrant(job, task):
		case r.isProvenRunning(task):
			team.Running = team.Running.Plus(amountPerTask)
		case r.isInterrupted(task):
			team.Disturbed = team.Disturbed.Plus(amountPerTask)
			if job.Spec.IsService() && task.State == taskstate.StatePlaced {
				addReplicaDown(report, job.Spec.ID)
			}
		}
	}
	report.Teams[job.Spec.Team] = team
}

// addReplicaDown counts an interrupted replica. At most MaxReportedDownServices services
// are listed, which bounds the size of the report.
func addReplicaDown(report *ShardReport, job string) {
	if _, isListed := report.ReplicasDown[job]; !isListed && len(report.ReplicasDown) >= tuning.MaxReportedDownServices {
		report.ReplicasDownIsPartial = true
		return
	}
	report.ReplicasDown[job]++
}

// isProvenRunning reports whether a task is placed and running according to a heartbeat under
// the current fencing token.
func (r *reporter) isProvenRunning(task *taskstate.Task) bool {
	if task.State != taskstate.StatePlaced || !task.Observed.Running {
		return false
	}
	worker := r.workers.Worker(task.WorkerID)
	return worker != nil && r.workers.IsCurrent(worker)
}

// isDisturbedByGrant reports whether the leader counts a task as disturbed because it is
// granted and has not been seen running under a later attempt.
func (r *reporter) isDisturbedByGrant(job *taskstate.Job, task *taskstate.Task) bool {
	name := TaskName{job.Spec.ID, task.Index}
	if job.Gang != nil {
		name.Index = gangIndex
	}
	for _, ref := range r.records.grantsOf(name) {
		if r.ranAttempts[name] <= ref.Attempt {
			return true
		}
	}
	return false
}

// isInterrupted reports whether a task that is not proven to run has run before. A task on a
// machine without current heartbeats counts as interrupted, since it cannot be proven to
// run.
func (r *reporter) isInterrupted(task *taskstate.Task) bool {
	if task.State == taskstate.StateWaiting {
		return task.Attempt > 0
	}
	worker := r.workers.Worker(task.WorkerID)
	return task.WireAttempt() > 1 || worker == nil || !r.workers.IsCurrent(worker)
}
