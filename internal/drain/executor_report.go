package drain

import (
	"cmp"
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// reporter makes the reports of a shard's owner.
type reporter struct {
	rt          eventloop.Runtime
	records     *Records
	workers     Workers
	tasks       Tasks
	ranAttempts map[TaskName]uint64 // highest attempt of a granted task seen running in this term
}

// report tells how the shard stands; nil if there are no drains.
func (r *reporter) report() *ShardReport {
	if r.records.IsIdle() {
		return nil
	}
	report := &ShardReport{Teams: map[string]TeamWork{}, ReplicasDown: map[string]int{}}
	// The granted tasks go first: which of them run again decides what the others count.
	r.addGranted(report)
	r.addMachines(report)
	r.tasks.EachJob(func(job *taskstate.Job) {
		if !job.Cancelled && (job.Gang == nil || !job.Gang.Done) {
			r.addJob(report, job)
		}
	})
	return report
}

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

// addGrantedTask reports a granted task or gang that runs, if it runs again, or if it was
// never halted and its drain is cancelled.
func (r *reporter) addGrantedTask(report *ShardReport, job *taskstate.Job, ref TaskRef, isCancelled bool) {
	attempt, isUntouched, isUp := r.runningAttempt(job, ref)
	if !isUp {
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

// runningAttempt returns the attempt of a task or gang that surely runs, and whether none of
// it was halted.
func (r *reporter) runningAttempt(job *taskstate.Job, ref TaskRef) (attempt uint64, isUntouched, isUp bool) {
	if ref.Gang == 0 {
		task := job.Tasks[ref.Index]
		if task == nil || !r.isUp(task) {
			return 0, false, false
		}
		return task.Attempt, !task.Halt.Decided, true
	}
	if job.Gang == nil || !job.Gang.Started || job.Gang.AttemptOver {
		return 0, false, false
	}
	isUntouched = len(job.Tasks) == ref.Gang // tasks in other shards may have been halted
	for _, task := range job.Tasks {
		if !r.isUp(task) {
			return 0, false, false
		}
		isUntouched = isUntouched && !task.Halt.Decided
	}
	return job.Gang.Attempt, isUntouched, true
}

// addMachines reports the closed machines with the tasks on them.
func (r *reporter) addMachines(report *ShardReport) {
	now := r.rt.Now()
	for _, worker := range r.workers.Workers() {
		if !worker.HasReported || !r.records.IsClosed(worker.ID) {
			continue
		}
		machine := ClosedMachine{ID: worker.ID}
		for task := range worker.Tasks {
			if task.Launch.Sent && !task.Job.Cancelled {
				machine.Tasks = append(machine.Tasks, placedTask(task, now))
			}
		}
		slices.SortFunc(machine.Tasks, func(a, b PlacedTask) int {
			return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
		})
		report.Machines = append(report.Machines, machine)
	}
}

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

// addJob adds a job's tasks to what runs and to what nobody chose to disturb. What is
// granted is counted by the leader.
func (r *reporter) addJob(report *ShardReport, job *taskstate.Job) {
	team := report.Teams[job.Spec.Team]
	one := Amount{1, job.Spec.CPUs}
	for _, task := range job.Tasks {
		switch {
		case task.State != taskstate.StatePlaced && task.State != taskstate.StateWaiting, r.isDisturbedByGrant(job, task):
		case r.isUp(task):
			team.Running = team.Running.Plus(one)
		case r.isInterrupted(task):
			team.Disturbed = team.Disturbed.Plus(one)
			if job.Spec.IsService() && task.State == taskstate.StatePlaced {
				addReplicaDown(report, job.Spec.ID)
			}
		}
	}
	report.Teams[job.Spec.Team] = team
}

// addReplicaDown counts a replica that is not up, for so many services that the report
// stays small.
func addReplicaDown(report *ShardReport, job string) {
	if _, isListed := report.ReplicasDown[job]; !isListed && len(report.ReplicasDown) >= tuning.MaxReportedDownServices {
		report.ReplicasDownIsPartial = true
		return
	}
	report.ReplicasDown[job]++
}

// isUp reports whether a task surely runs.
func (r *reporter) isUp(task *taskstate.Task) bool {
	if task.State != taskstate.StatePlaced || !task.Observed.Running {
		return false
	}
	worker := r.workers.Worker(task.WorkerID)
	return worker != nil && r.workers.IsCurrent(worker)
}

// isDisturbedByGrant reports whether the leader counts a task as disturbed, since it is
// granted and was not seen running under a later attempt.
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

// isInterrupted reports whether a task that does not run, as far as one can tell, has run
// before. What cannot be proven counts as disturbed.
func (r *reporter) isInterrupted(task *taskstate.Task) bool {
	if task.State == taskstate.StateWaiting {
		return task.Attempt > 0
	}
	worker := r.workers.Worker(task.WorkerID)
	return task.WireAttempt() > 1 || worker == nil || !r.workers.IsCurrent(worker)
}
