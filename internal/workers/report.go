package workers

import (
	"encoding/json"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// NotOwnerBody answers for a node that may not act for the controllers.
var NotOwnerBody = http1.ErrorBody("not the owner of this machine")

// HandleHeartbeat takes a worker's report and gives its answer.
func (r *Registry) HandleHeartbeat(heartbeat *Heartbeat) (status int, body []byte) {
	token := r.lease.Token()
	if token == 0 || heartbeat.Token > token || r.released[heartbeat.WorkerID] {
		return 503, NotOwnerBody
	}
	now := r.runtime.Now()
	worker := r.ensureWorker(heartbeat.WorkerID)
	if heartbeat.Session < worker.Session || (heartbeat.Session == worker.Session && heartbeat.Sequence <= worker.Sequence && worker.HasReported) {
		// A report that was held back: its list is old, and nobody waits
		// for its answer.
		return 503, NotOwnerBody
	}
	worker.LastHeartbeatAt = now
	r.ensureZone(heartbeat.Zone).lastHeartbeatAt = now
	if !worker.HasReported || worker.MachineTypeName != heartbeat.MachineType || worker.Addr != heartbeat.Addr {
		worker.HasReported, worker.Addr, worker.MachineTypeName, worker.Zone, worker.Spot = true, heartbeat.Addr, heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot
		worker.MachineType = r.scheduler.MachineType(heartbeat.MachineType)
	}
	if worker.MachineType == nil {
		worker.MachineType = r.scheduler.MachineType(heartbeat.MachineType)
	}
	if heartbeat.Token >= token || heartbeat.Token > worker.Token {
		worker.UnacknowledgedHeartbeats = 0
	} else {
		worker.UnacknowledgedHeartbeats++
	}
	if !r.tasks.IsLoaded() {
		worker.Session, worker.Sequence, worker.Token = heartbeat.Session, heartbeat.Sequence, heartbeat.Token
		if r.mayOutliveCancellation(worker, heartbeat) {
			return 503, NotOwnerBody
		}
		r.renewLease(worker, heartbeat)
		return r.encodeAnswer(token, r.haltsOfCancelledTasks(heartbeat))
	}
	commands := r.reconcile(worker, heartbeat, true)
	r.detectDeafness(worker)
	worker.commands.pendingHalts = nil
	outlivesCancellation := r.mayOutliveCancellation(worker, heartbeat)
	if outlivesCancellation {
		worker.commands.pendingHalts = r.haltsOfCancelledTasks(heartbeat) // they go directly, tasks that the records do not have too
		r.commandsDue[worker] = true
	}
	if worker.Deaf || outlivesCancellation {
		// Not answered, so that its lease surely runs from the last answer
		// that it can have heard, and its tasks are settled by that.
		return 503, NotOwnerBody
	}
	r.renewLease(worker, heartbeat)
	return r.encodeAnswer(token, commands)
}

// renewLease notes that a report is answered, so that the worker's lease may run from now.
// Until the worker shows our token an earlier owner may renew it as well, as late as that
// one answers at all: a copy of an old report, kept back until this owner began, moved
// the time back to now, and tasks were taken for gone that ran on for seconds.
func (r *Registry) renewLease(worker *Worker, heartbeat *Heartbeat) {
	worker.LeaseExpired = false
	if now := r.runtime.Now(); heartbeat.Token >= r.lease.Token() {
		worker.LeaseRenewedAt = now
	} else {
		worker.LeaseRenewedAt = max(worker.LeaseRenewedAt, now)
	}
}

func (r *Registry) encodeAnswer(token uint64, commands []Command) (int, []byte) {
	if commands == nil {
		commands = []Command{}
	}
	body, err := json.Marshal(CommandMessage{Token: token, Commands: commands})
	if err != nil {
		return 503, NotOwnerBody
	}
	return 200, body
}

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

func haltCommand(taskName string, attempt uint64, windDown float64) Command {
	return Command{Verb: "halt", TaskName: taskName, Attempt: attempt, WindDownSeconds: &windDown}
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

func forgetCommand(reported *ReportedTask) Command {
	return Command{Verb: "forget", TaskName: reported.Name, Attempt: reported.Attempt}
}

// handleEnded takes a task that has exited.
func (r *Registry) handleEnded(worker *Worker, task *taskstate.Task, reported *ReportedTask, tokenShown bool, commands []Command) []Command {
	loss := taskstate.LossExited
	switch reported.Cause {
	case "done":
		return r.handleCompleted(worker, task, reported, commands)
	case "error":
		// Whether the others had started shows in their reports.
		loss = taskstate.LossVanished
		r.recordFailure(worker, task)
	case "full":
		loss = taskstate.LossBeforeWaiting
		worker.RefusesUntil = r.runtime.Now() + tuning.RefusedTaskPause
		task.NotBefore = r.runtime.Now() + tuning.RefusedTaskPause/4
	case "busy", "unknown":
		loss = taskstate.LossBeforeWaiting
		task.NotBefore = r.runtime.Now() + tuning.RefusedTaskPause
	case "halted":
		if gang := task.Job.Gang; gang != nil && !gang.AttemptOver && task.HaltDecided {
			loss = taskstate.LossVanished // one that waited was told to leave its machine
		}
	case "alone", "mates_gone":
		// Nothing against the machine or the job.
		if task.Job.Gang != nil && reported.Cause == "mates_gone" {
			task.Job.Gang.Started = true
		}
	default:
		// A reason not known here proves nothing gone. Forgotten by the worker,
		// it is off the list, and that does.
		if !tokenShown {
			return commands
		}
		return append(commands, forgetCommand(reported))
	}
	r.endPlacement(worker, task, loss)
	if !tokenShown {
		return commands
	}
	return append(commands, forgetCommand(reported))
}

// handleCompleted takes a task that is done.
func (r *Registry) handleCompleted(worker *Worker, task *taskstate.Task, reported *ReportedTask, commands []Command) []Command {
	worker.ConsecutiveFailures = 0
	clear(worker.FailedJobs)
	task.Job.ConsecutiveFailures = 0
	if task.Job.Gang != nil && !task.Job.Cancelled {
		r.removeTask(worker, task)
		r.tasks.TaskDone(task)
		r.GangDone(task.Job)
		return commands
	}
	if task.Job.Spec.IsService() {
		r.endPlacement(worker, task, taskstate.LossExited)
		return append(commands, forgetCommand(reported))
	}
	r.removeTask(worker, task)
	if task.Job.Cancelled {
		task.State, task.WorkerID = taskstate.StateWaiting, ""
		r.tasks.DropTask(task)
		return append(commands, forgetCommand(reported))
	}
	r.tasks.TaskDone(task)
	return commands
}

// recordFailure takes note of a failure: machines that fail whatever they start get
// no more tasks, and jobs that fail everywhere are slowed down.
func (r *Registry) recordFailure(worker *Worker, task *taskstate.Task) {
	worker.ConsecutiveFailures++
	worker.FailedJobs[task.Job.Spec.ID] = true
	task.AvoidWorker = worker.ID
	r.log.Info("task failed", "host", worker.ID, "task", task.Name(), "in a row", worker.ConsecutiveFailures)
	task.Job.ConsecutiveFailures++
	if task.Job.ConsecutiveFailures >= 3 {
		pause := min(tuning.MinFailurePause<<min(task.Job.ConsecutiveFailures-3, 6), tuning.MaxFailurePause)
		task.Job.NotBefore = r.runtime.Now() + pause
	}
	if worker.ConsecutiveFailures >= tuning.FaultyWorkerFailures && (len(worker.FailedJobs) > 1 || task.Job.ConsecutiveFailures < 2*worker.ConsecutiveFailures) && worker.DrainReason == "" {
		worker.DrainReason = "fails its tasks"
		r.log.Warn("machine quarantined", "host", worker.ID, "failures", worker.ConsecutiveFailures)
	}
}
