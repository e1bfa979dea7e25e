package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// reconcile compares a report with the records and returns the orders that follow.
// beat: it is a report of the worker's own, not the answer to an order; only
// those prove tasks gone and carry launches, since an order's answer may be
// older than the worker's reading of our last answer.
func (r *Registry) reconcile(worker *Worker, heartbeat *Heartbeat, isHeartbeat bool) []Command {
	laterSession := heartbeat.Session > worker.Session && worker.HasReported && worker.Session > 0
	worker.Token = max(worker.Token, heartbeat.Token)
	if isHeartbeat {
		// Answers to orders do not count here: a report that left before
		// such an answer may arrive after it, and is not a late one.
		worker.Session, worker.Sequence = heartbeat.Session, heartbeat.Sequence
	}
	if heartbeat.SpotNoticeSeconds != nil {
		worker.TerminationAt = r.runtime.Now() + time.Duration(*heartbeat.SpotNoticeSeconds*float64(time.Second))
		if worker.DrainReason == "" {
			worker.DrainReason = "spot notice"
			r.log.Info("spot notice", "host", worker.ID, "seconds", *heartbeat.SpotNoticeSeconds)
		}
	}
	tokenShown := heartbeat.Token >= r.lease.Token()
	listed := make(map[*taskstate.Task]bool, len(heartbeat.Tasks))
	var commands []Command
	worker.UnknownTasks = 0
	for i := range heartbeat.Tasks {
		commands = r.reconcileReported(worker, &heartbeat.Tasks[i], listed, tokenShown, commands)
	}
	if isHeartbeat {
		r.reconcileUnlisted(worker, heartbeat, listed, laterSession, tokenShown)
	}
	if !tokenShown {
		// The worker has not seen the token yet, so its list decides little; what
		// is cancelled ends all the same.
		return r.haltsOfCancelledTasks(heartbeat)
	}
	for task := range worker.Tasks {
		if !listed[task] {
			continue
		}
		switch {
		case task.Job.Cancelled:
			commands = append(commands, haltCommand(task.Name(), task.WireAttempt(), 0))
		case task.HaltDecided:
			commands = append(commands, haltCommand(task.Name(), task.WireAttempt(), task.WindDownSeconds))
		}
	}
	if isHeartbeat && r.lease.LeaseValid() && r.accepts(worker) && !worker.Deaf {
		for task := range worker.Tasks {
			if len(commands) < tuning.MaxCommandsPerMessage && task.Launchable() && r.lease.CancellationsVerifiedSince(task.PlacedAt) {
				task.LaunchSent, task.GoneSession, task.GoneAfterSequence = true, heartbeat.Session, heartbeat.Sequence
				commands = append(commands, Command{Verb: "launch", TaskName: task.Name(), Attempt: task.WireAttempt()})
			}
		}
	}
	if len(commands) > tuning.MaxCommandsPerMessage {
		commands = commands[:tuning.MaxCommandsPerMessage]
	}
	return commands
}

// reconcileUnlisted looks at the tasks that a report of the worker's own does not list: whether
// that proves them gone.
func (r *Registry) reconcileUnlisted(worker *Worker, heartbeat *Heartbeat, listed map[*taskstate.Task]bool, laterSession, tokenShown bool) {
	launchLost := false
	for task := range worker.Tasks {
		if listed[task] || !task.LaunchSent || task.LaunchInFlight {
			continue
		}
		switch {
		case task.GoneSession > 0 && heartbeat.Session > task.GoneSession, laterSession && task.Reported:
			// A later session: the worker killed all of the earlier one.
			r.endPlacement(worker, task, taskstate.LossVanished)
		case heartbeat.Token >= task.GoneMinToken && tokenShown && !task.LaunchInDoubt && (task.GoneSession == 0 || (heartbeat.Session == task.GoneSession && heartbeat.Sequence > task.GoneAfterSequence)):
			launchLost = launchLost || (task.GoneSession > 0 && !task.Reported)
			r.endPlacement(worker, task, taskstate.LossVanished)
		case task.LaunchInDoubt:
			// The order may still be under way; a new token settles it.
			r.log.Info("order in doubt, renewing the token", "host", worker.ID, "task", task.Name())
			r.lease.RenewToken()
		}
	}
	if launchLost {
		worker.LostLaunches++
	}
}

// reconcileReported takes one task of a report.
func (r *Registry) reconcileReported(worker *Worker, reported *ReportedTask, listed map[*taskstate.Task]bool, tokenShown bool, commands []Command) []Command {
	var task *taskstate.Task
	if id, index, ok := parseTaskName(reported.Name); ok {
		if job := r.tasks.Job(id); job != nil {
			task = job.Tasks[index]
		}
	}
	if task == nil || task.State != taskstate.StatePlaced || task.WorkerID != worker.ID || task.WireAttempt() != reported.Attempt {
		return r.handleUnrecorded(worker, task, reported, tokenShown, commands)
	}
	listed[task] = true
	if task.GoneSession > 0 && !task.Reported {
		worker.LostLaunches = 0 // it has heard of this one
	}
	task.Reported, task.LaunchSent = true, true
	if task.LaunchInFlight {
		// The order's own answer is still to come and tells the rest.
		return commands
	}
	task.LaunchInDoubt = false
	switch reported.Phase {
	case "running", "saving", "waiting":
		if !task.HasImage {
			task.HasImage = true
			worker.FetchingTasks--
		}
		if reported.Phase == "running" && !task.Running {
			task.Running, task.RunningSince = true, r.runtime.Now()
		}
		r.gangTaskReported(task, reported.Phase)
		return commands
	case "ended":
		return r.handleEnded(worker, task, reported, tokenShown, commands)
	default: // fetching, or a state not known here: it is on the machine
		r.gangTaskReported(task, reported.Phase)
		return commands
	}
}

// handleUnrecorded takes a reported task that the records do not have there: an attempt that is
// over, or never was.
func (r *Registry) handleUnrecorded(worker *Worker, task *taskstate.Task, reported *ReportedTask, tokenShown bool, commands []Command) []Command {
	if reported.Phase != "ended" {
		worker.UnknownTasks++
		return append(commands, haltCommand(reported.Name, reported.Attempt, 0))
	}
	if task != nil && reported.Cause == "done" && task.Job.Gang != nil {
		r.GangDone(task.Job) // late, or of an earlier attempt: it is done all the same
	}
	if task != nil && task.State == taskstate.StateDone && !task.DoneDurable {
		return commands // done goes into the record before the worker forgets
	}
	if !tokenShown {
		return commands
	}
	return append(commands, forgetCommand(reported))
}
