package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// reconciliation compares the tasks that a worker lists with the task records.
type reconciliation struct {
	registry   *Registry
	worker     *Worker
	heartbeat  *Heartbeat
	tokenShown bool      // the worker knows the present token
	commands   []Command // that follow
}

// taskSet is the tasks that the records place on a worker's machine and that it lists. It
// is no field of reconciliation, since it would be allocated then.
type taskSet map[*taskstate.Task]bool

// reconcileHeartbeat takes in what a heartbeat of the worker's own says of its tasks, and
// returns the commands for its answer. Only such a heartbeat proves tasks gone and carries
// launches, see reconcileCommandAnswer.
func (r *Registry) reconcileHeartbeat(worker *Worker, heartbeat *Heartbeat) []Command {
	isLaterSession := heartbeat.Session > worker.Session && worker.HasReported && worker.Session > 0
	worker.Session, worker.Sequence = heartbeat.Session, heartbeat.Sequence
	rec := r.beginReconciliation(worker, heartbeat)
	listed := make(taskSet, len(heartbeat.Tasks))
	rec.takeListed(listed)
	rec.takeUnlisted(listed, isLaterSession)
	if !rec.tokenShown {
		// The worker has not seen the token yet, so its list decides little; what
		// is cancelled ends all the same.
		return r.haltsOfCancelledTasks(heartbeat)
	}
	rec.appendHalts(listed)
	rec.appendLaunches()
	return rec.commands[:min(len(rec.commands), tuning.MaxCommandsPerMessage)]
}

// reconcileCommandAnswer takes in the list of tasks in the answer to a direct message. It
// proves no task gone, since it may be older than the worker's reading of our last answer
// to a heartbeat, which may have carried a launch. Nor does it count as the newest
// heartbeat: one that left before it may arrive after it, and is not a late one.
func (r *Registry) reconcileCommandAnswer(worker *Worker, answer *Heartbeat) {
	rec := r.beginReconciliation(worker, answer)
	rec.takeListed(make(taskSet, len(answer.Tasks)))
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
		tokenShown: heartbeat.Token >= r.lease.Token(),
	}
}

// takeListed takes in all tasks that the worker lists, and notes them in listed.
func (c *reconciliation) takeListed(listed taskSet) {
	c.worker.UnknownTasks = 0
	for i := range c.heartbeat.Tasks {
		c.takeReported(&c.heartbeat.Tasks[i], listed)
	}
}

// takeReported takes in one task that the worker lists.
func (c *reconciliation) takeReported(reported *ReportedTask, listed taskSet) {
	registry := c.registry
	task := registry.findTask(reported.Name)
	if task == nil || task.State != taskstate.StatePlaced || task.WorkerID != c.worker.ID || task.WireAttempt() != reported.Attempt {
		c.takeUnrecorded(task, reported)
		return
	}
	listed[task] = true
	if task.Gone.Session > 0 && !task.Observed.Reported {
		c.worker.LostLaunches = 0 // it has heard of this one
	}
	task.Observed.Reported, task.Launch.Sent = true, true
	if task.Launch.InFlight {
		return // the answer to the launch is still to come and tells the rest
	}
	task.Launch.InDoubt = false
	if reported.Phase == PhaseEnded {
		c.takeEnded(task, reported)
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

// findTask finds a task by its name, nil if there is no record of it.
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

// takeUnrecorded takes in a listed task that the records do not have on this machine: an
// attempt that is over, or never was. task is nil if there is no record of it at all.
func (c *reconciliation) takeUnrecorded(task *taskstate.Task, reported *ReportedTask) {
	if reported.Phase != PhaseEnded {
		c.worker.UnknownTasks++
		c.commands = append(c.commands, haltCommand(reported.Name, reported.Attempt, 0))
		return
	}
	if task != nil && reported.Cause == CauseDone && task.Job.Gang != nil {
		c.registry.GangDone(task.Job) // late, or of an earlier attempt: it is done all the same
	}
	if task != nil && task.State == taskstate.StateDone && !task.DoneDurable {
		return // its end goes into the record before the worker forgets it
	}
	c.forgetIfTokenShown(reported)
}

// forgetIfTokenShown has the worker drop an ended task from its list, once it knows the
// token under which that is asked.
func (c *reconciliation) forgetIfTokenShown(reported *ReportedTask) {
	if c.tokenShown {
		c.forget(reported)
	}
}

func (c *reconciliation) forget(reported *ReportedTask) {
	c.commands = append(c.commands, forgetCommand(reported))
}

// takeUnlisted looks at the tasks that a heartbeat does not list though the records place
// them here: whether that proves them gone.
func (c *reconciliation) takeUnlisted(listed taskSet, isLaterSession bool) {
	registry, worker, heartbeat := c.registry, c.worker, c.heartbeat
	launchLost := false
	for task := range worker.Tasks {
		if listed[task] || !task.Launch.Sent || task.Launch.InFlight {
			continue
		}
		switch {
		case task.Gone.Session > 0 && heartbeat.Session > task.Gone.Session, isLaterSession && task.Observed.Reported:
			// The worker killed all of the earlier session.
			registry.endPlacement(worker, task, taskstate.LossVanished)
		case c.tokenShown && !task.Launch.InDoubt && isNewerThanLaunch(heartbeat, task):
			launchLost = launchLost || (task.Gone.Session > 0 && !task.Observed.Reported)
			registry.endPlacement(worker, task, taskstate.LossVanished)
		case task.Launch.InDoubt:
			// The launch may still be under way; a new token settles it.
			registry.log.Info("launch in doubt, renewing the fencing token", "worker", worker.ID, "task", task.Name())
			registry.lease.RenewToken()
		}
	}
	if launchLost {
		worker.LostLaunches++
	}
}

// isNewerThanLaunch tells whether a heartbeat would list a task if its launch had been
// carried out: it shows the token of the placement, and left after the launch was sent.
func isNewerThanLaunch(heartbeat *Heartbeat, task *taskstate.Task) bool {
	return heartbeat.Token >= task.Gone.MinToken &&
		(task.Gone.Session == 0 || (heartbeat.Session == task.Gone.Session && heartbeat.Sequence > task.Gone.AfterSequence))
}

// appendHalts adds the halts of listed tasks that are to end.
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

// appendLaunches adds the launches of tasks that wait for the worker's next heartbeat.
func (c *reconciliation) appendLaunches() {
	registry := c.registry
	if !registry.lease.LeaseValid() || registry.isDraining(c.worker) || c.worker.Unreachable {
		return
	}
	for task := range c.worker.Tasks {
		if len(c.commands) < tuning.MaxCommandsPerMessage && task.Launchable() && registry.lease.CancellationsVerifiedSince(task.PlacedAt) {
			task.Launch.Sent, task.Gone.Session, task.Gone.AfterSequence = true, c.heartbeat.Session, c.heartbeat.Sequence
			c.commands = append(c.commands, launchCommand(task.Name(), task.WireAttempt()))
		}
	}
}
