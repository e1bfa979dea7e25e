package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// reconciliation compares the tasks that a worker lists with the task records.
type reconciliation struct {
	registry          *Registry
	worker            *Worker
	heartbeat         *Heartbeat
	tokenAcknowledged bool // the heartbeat shows the current token
	// ended are the listed attempts that the registry needs no longer; see appendForgets.
	ended    []*ReportedTask
	commands []Command // for the answer
	// earlierUnrecorded are the unrecorded attempts that the worker's last message listed as alive.
	earlierUnrecorded []taskAttempt
}

// taskSet is the set of tasks that the records place on a worker's machine and that the
// worker lists. As a field of reconciliation it would be allocated on the heap.
type taskSet map[*taskstate.Task]bool

// reconcileHeartbeat compares the tasks listed in a regular heartbeat with the records and
// returns the commands for the answer. Only a regular heartbeat proves tasks gone, and only
// its answer carries launches; see reconcileCommandAnswer.
func (r *Registry) reconcileHeartbeat(worker *Worker, heartbeat *Heartbeat) []Command {
	r.observeSession(worker, heartbeat.Session)
	worker.Sequence = heartbeat.Sequence
	rec := r.beginReconciliation(worker, heartbeat)
	listed := make(taskSet, len(heartbeat.Tasks))
	rec.processListed(listed)
	rec.processUnlisted(listed)
	rec.updateStrays()
	if !rec.tokenAcknowledged {
		// The worker has not seen the current token yet, so its list proves little.
		// Cancelled tasks are halted all the same.
		return r.haltsOfCancelledTasks(heartbeat)
	}
	rec.appendForgets()
	rec.appendHalts(listed)
	rec.appendLaunches()
	return rec.commands[:min(len(rec.commands), tuning.MaxCommandsPerMessage)]
}

// reconcileCommandAnswer processes the list of tasks in the answer to a direct message. The
// list proves no task gone: the worker may have made it before it read our last answer to a
// heartbeat, which may have carried a launch. Nor does the answer count as the newest
// heartbeat: a heartbeat sent before it may arrive after it and must not be dropped as stale.
func (r *Registry) reconcileCommandAnswer(worker *Worker, answer *Heartbeat) {
	rec := r.beginReconciliation(worker, answer)
	rec.processListed(make(taskSet, len(answer.Tasks)))
}

func (r *Registry) beginReconciliation(worker *Worker, heartbeat *Heartbeat) reconciliation {
	worker.Token = max(worker.Token, heartbeat.Token)
	if heartbeat.SpotNoticeSeconds != nil {
		worker.TerminationAt = r.runtime.Now() + time.Duration(*heartbeat.SpotNoticeSeconds*float64(time.Second))
		if worker.drain(drainReasonSpotNotice) {
			r.log.Info("spot notice received", "worker", worker.ID, "seconds", *heartbeat.SpotNoticeSeconds)
		}
	}
	return reconciliation{
		registry: r, worker: worker, heartbeat: heartbeat,
		tokenAcknowledged: heartbeat.Token >= r.lease.Token(),
	}
}

// processListed processes all tasks that the worker lists. It adds to listed those that the
// records place on this machine.
func (c *reconciliation) processListed(listed taskSet) {
	c.worker.UnknownTasks = 0
	c.earlierUnrecorded, c.worker.unrecorded = c.worker.unrecorded, nil
	for i := range c.heartbeat.Tasks {
		c.processReported(&c.heartbeat.Tasks[i], listed)
	}
}

// processReported processes one task that the worker lists, see processListed.
func (c *reconciliation) processReported(reported *ReportedTask, listed taskSet) {
	registry := c.registry
	task := registry.findTask(reported.Name)
	if task == nil || task.State != taskstate.StatePlaced || task.WorkerID != c.worker.ID || task.WireAttempt() != reported.Attempt {
		c.processUnrecorded(task, reported)
		return
	}
	listed[task] = true
	if task.Launch.IsUnseen() {
		c.worker.LostLaunches = 0 // this launch has reached it
	}
	if !task.Observed.Reported {
		registry.addStepShownBy(c.worker, task, taskstate.StepListed, c.heartbeat.number())
	}
	task.Observed.Reported = true
	task.Launch.Listed(c.heartbeat.number())
	if task.Launch.IsInFlight() {
		return // the pending answer to the launch reports the phase
	}
	if reported.Phase == PhaseEnded {
		c.processEnded(task, reported)
		return
	}
	if reported.Phase.hasImage() && !task.Observed.HasImage {
		task.Observed.HasImage = true
		c.worker.FetchingTasks--
	}
	if reported.Phase == PhaseRunning && !task.Observed.Running {
		task.Observed.Running, task.Observed.RunningSince = true, registry.runtime.Now()
	}
	registry.gangTaskReported(task, reported.Phase)
}

// findTask returns the task with the given name, or nil if there is no record of it.
func (r *Registry) findTask(name string) *taskstate.Task {
	jobID, index, ok := parseTaskName(name)
	if !ok {
		return nil
	}
	job := r.tasks.Job(jobID)
	if job == nil {
		return nil
	}
	return job.Tasks[index]
}

// processUnrecorded processes a listed task that the records do not place on this machine: an
// attempt that has ended or that was never recorded. task is nil if there is no record of it
// at all.
func (c *reconciliation) processUnrecorded(task *taskstate.Task, reported *ReportedTask) {
	if reported.Phase != PhaseEnded {
		c.logUnrecorded(reported)
		c.checkGone(reported)
		c.checkStaysEnded(reported)
		c.worker.UnknownTasks++
		c.commands = append(c.commands, haltCommand(reported.Name, reported.Attempt, 0))
		return
	}
	if task != nil && reported.Cause == CauseDone && task.Job.Gang != nil {
		c.registry.GangDone(task.Job) // a late report, or an earlier attempt, completes the gang too
	}
	if task != nil && task.State == taskstate.StateDone && !task.DoneDurable {
		return // the worker must not forget it before its completion is durable
	}
	c.forget(reported)
}

// forget has the worker forget an ended attempt, as soon as that is safe.
func (c *reconciliation) forget(reported *ReportedTask) { c.ended = append(c.ended, reported) }

// processUnlisted processes the tasks that the records place on this machine and that the
// heartbeat does not list. It ends the placements of those that this proves gone, and renews
// the fencing token if a launch is in doubt.
func (c *reconciliation) processUnlisted(listed taskSet) {
	registry, worker, heartbeat := c.registry, c.worker, c.heartbeat
	launchLost := false
	for task := range worker.Tasks {
		if listed[task] || !task.Launch.IsSent() || task.Launch.IsInFlight() {
			continue
		}
		switch {
		case task.Launch.IsVoidInSession(heartbeat.Session):
			// The worker killed all tasks of the earlier session.
			registry.endPlacement(worker, task, EvidenceLaterSession, taskstate.LossVanished)
		case c.tokenAcknowledged && task.Launch.ProvesAbsence(heartbeat.number(), heartbeat.Token):
			launchLost = launchLost || task.Launch.IsUnseen()
			registry.endPlacement(worker, task, EvidenceNotListed, taskstate.LossVanished)
		case task.Launch.IsInDoubt():
			// The launch may still arrive; a new token makes it void.
			registry.log.Info("launch in doubt, renewing the fencing token", "worker", worker.ID, "task", task.Name())
			registry.lease.RenewToken()
		}
	}
	if launchLost {
		worker.LostLaunches++
	}
}

// appendHalts appends halts for the listed tasks that are cancelled or have to be halted.
func (c *reconciliation) appendHalts(listed taskSet) {
	for task := range c.worker.Tasks {
		if !listed[task] {
			continue
		}
		switch {
		case task.Job.Cancelled:
			c.commands = append(c.commands, haltCommand(task.Name(), task.WireAttempt(), 0))
		case task.Halt.Decided:
			c.commands = append(c.commands, haltCommand(task.Name(), task.WireAttempt(), task.Halt.WindDownSeconds))
		}
	}
}
