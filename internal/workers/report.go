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
func (t *Registry) HandleHeartbeat(r *Heartbeat) (status int, body []byte) {
	token := t.lease.Token()
	if token == 0 || r.Token > token || t.gone[r.WorkerID] {
		return 503, NotOwnerBody
	}
	now := t.rt.Now()
	h := t.host(r.WorkerID)
	if r.Session < h.Session || (r.Session == h.Session && r.Sequence <= h.Sequence && h.HasReported) {
		// A report that was held back: its list is old, and nobody waits
		// for its answer.
		return 503, NotOwnerBody
	}
	h.LastHeartbeatAt = now
	t.zone(r.Zone).heard = now
	if !h.HasReported || h.MachineTypeName != r.MachineType || h.Addr != r.Addr {
		h.HasReported, h.Addr, h.MachineTypeName, h.Zone, h.Spot = true, r.Addr, r.MachineType, r.Zone, r.Spot
		h.MachineType = t.scheduler.MachineType(r.MachineType)
	}
	if h.MachineType == nil {
		h.MachineType = t.scheduler.MachineType(r.MachineType)
	}
	if r.Token >= token || r.Token > h.Token {
		h.UnacknowledgedHeartbeats = 0
	} else {
		h.UnacknowledgedHeartbeats++
	}
	if !t.tasks.IsLoaded() {
		h.Session, h.Sequence, h.Token = r.Session, r.Sequence, r.Token
		if t.outlives(h, r) {
			return 503, NotOwnerBody
		}
		t.leaseRuns(h, r)
		return t.answer(token, t.cancelled(r))
	}
	orders := t.read(h, r, true)
	t.listen(h)
	h.commands.pendingHalts = nil
	outlives := t.outlives(h, r)
	if outlives {
		h.commands.pendingHalts = t.cancelled(r) // they go directly, tasks that the records do not have too
		t.ready[h] = true
	}
	if h.Deaf || outlives {
		// Not answered, so that its lease surely runs from the last answer
		// that it can have heard, and its tasks are settled by that.
		return 503, NotOwnerBody
	}
	t.leaseRuns(h, r)
	return t.answer(token, orders)
}

// leaseRuns notes that a report is answered, so that the worker's lease may run from now.
// Until the worker shows our token an earlier owner may renew it as well, as late as that
// one answers at all: a copy of an old report, kept back until this owner began, moved
// the time back to now, and tasks were taken for gone that ran on for seconds.
func (t *Registry) leaseRuns(h *Worker, r *Heartbeat) {
	h.LeaseExpired = false
	if now := t.rt.Now(); r.Token >= t.lease.Token() {
		h.LeaseRenewedAt = now
	} else {
		h.LeaseRenewedAt = max(h.LeaseRenewedAt, now)
	}
}

func (t *Registry) answer(token uint64, orders []Command) (int, []byte) {
	if orders == nil {
		orders = []Command{}
	}
	body, err := json.Marshal(CommandMessage{Token: token, Commands: orders})
	if err != nil {
		return 503, NotOwnerBody
	}
	return 200, body
}

// read compares a report with the records and returns the orders that follow.
// beat: it is a report of the worker's own, not the answer to an order; only
// those prove tasks gone and carry launches, since an order's answer may be
// older than the worker's reading of our last answer.
func (t *Registry) read(h *Worker, r *Heartbeat, beat bool) []Command {
	later := r.Session > h.Session && h.HasReported && h.Session > 0
	h.Token = max(h.Token, r.Token)
	if beat {
		// Answers to orders do not count here: a report that left before
		// such an answer may arrive after it, and is not a late one.
		h.Session, h.Sequence = r.Session, r.Sequence
	}
	if r.SpotNoticeSeconds != nil {
		h.TerminationAt = t.rt.Now() + time.Duration(*r.SpotNoticeSeconds*float64(time.Second))
		if h.DrainReason == "" {
			h.DrainReason = "spot notice"
			t.log.Info("spot notice", "host", h.ID, "seconds", *r.SpotNoticeSeconds)
		}
	}
	acked := r.Token >= t.lease.Token()
	listed := make(map[*taskstate.Task]bool, len(r.Tasks))
	var orders []Command
	h.UnknownTasks = 0
	for i := range r.Tasks {
		orders = t.reported(h, &r.Tasks[i], listed, acked, orders)
	}
	if beat {
		t.unlisted(h, r, listed, later, acked)
	}
	if !acked {
		// The worker has not seen the token yet, so its list decides little; what
		// is cancelled ends all the same.
		return t.cancelled(r)
	}
	for k := range h.Tasks {
		if !listed[k] {
			continue
		}
		switch {
		case k.Job.Cancelled:
			orders = append(orders, halt(k.Name(), k.WireAttempt(), 0))
		case k.HaltDecided:
			orders = append(orders, halt(k.Name(), k.WireAttempt(), k.WindDownSeconds))
		}
	}
	if beat && t.lease.LeaseValid() && t.accepts(h) && !h.Deaf {
		for k := range h.Tasks {
			if len(orders) < tuning.MaxCommandsPerMessage && k.Launchable() && t.lease.CancellationsVerifiedSince(k.PlacedAt) {
				k.LaunchSent, k.GoneSession, k.GoneAfterSequence = true, r.Session, r.Sequence
				orders = append(orders, Command{Verb: "launch", TaskName: k.Name(), Attempt: k.WireAttempt()})
			}
		}
	}
	if len(orders) > tuning.MaxCommandsPerMessage {
		orders = orders[:tuning.MaxCommandsPerMessage]
	}
	return orders
}

// unlisted looks at the tasks that a report of the worker's own does not list: whether
// that proves them gone.
func (t *Registry) unlisted(h *Worker, r *Heartbeat, listed map[*taskstate.Task]bool, later, acked bool) {
	lost := false
	for k := range h.Tasks {
		if listed[k] || !k.LaunchSent || k.LaunchInFlight {
			continue
		}
		switch {
		case k.GoneSession > 0 && r.Session > k.GoneSession, later && k.Reported:
			// A later session: the worker killed all of the earlier one.
			t.proveGone(h, k, taskstate.LossVanished)
		case r.Token >= k.GoneMinToken && acked && !k.LaunchInDoubt && (k.GoneSession == 0 || (r.Session == k.GoneSession && r.Sequence > k.GoneAfterSequence)):
			lost = lost || (k.GoneSession > 0 && !k.Reported)
			t.proveGone(h, k, taskstate.LossVanished)
		case k.LaunchInDoubt:
			// The order may still be under way; a new token settles it.
			t.log.Info("order in doubt, renewing the token", "host", h.ID, "task", k.Name())
			t.lease.RenewToken()
		}
	}
	if lost {
		h.LostLaunches++
	}
}

func halt(ref string, attempt uint64, windDown float64) Command {
	return Command{Verb: "halt", TaskName: ref, Attempt: attempt, WindDownSeconds: &windDown}
}

// reported takes one task of a report.
func (t *Registry) reported(h *Worker, l *ReportedTask, seen map[*taskstate.Task]bool, acked bool, orders []Command) []Command {
	var k *taskstate.Task
	if id, index, ok := splitRef(l.Name); ok {
		if j := t.tasks.Job(id); j != nil {
			k = j.Tasks[index]
		}
	}
	if k == nil || k.State != taskstate.StatePlaced || k.WorkerID != h.ID || k.WireAttempt() != l.Attempt {
		return t.unrecorded(h, k, l, acked, orders)
	}
	seen[k] = true
	if k.GoneSession > 0 && !k.Reported {
		h.LostLaunches = 0 // it has heard of this one
	}
	k.Reported, k.LaunchSent = true, true
	if k.LaunchInFlight {
		// The order's own answer is still to come and tells the rest.
		return orders
	}
	k.LaunchInDoubt = false
	switch l.Phase {
	case "running", "saving", "waiting":
		if !k.HasImage {
			k.HasImage = true
			h.FetchingTasks--
		}
		if l.Phase == "running" && !k.Running {
			k.Running, k.RunningSince = true, t.rt.Now()
		}
		t.mate(k, l.Phase)
		return orders
	case "ended":
		return t.ended(h, k, l, acked, orders)
	default: // fetching, or a state not known here: it is on the machine
		t.mate(k, l.Phase)
		return orders
	}
}

// unrecorded takes a reported task that the records do not have there: an attempt that is
// over, or never was.
func (t *Registry) unrecorded(h *Worker, k *taskstate.Task, l *ReportedTask, acked bool, orders []Command) []Command {
	if l.Phase != "ended" {
		h.UnknownTasks++
		return append(orders, halt(l.Name, l.Attempt, 0))
	}
	if k != nil && l.Cause == "done" && k.Job.Gang != nil {
		t.GangDone(k.Job) // late, or of an earlier attempt: it is done all the same
	}
	if k != nil && k.State == taskstate.StateDone && !k.DoneDurable {
		return orders // done goes into the record before the worker forgets
	}
	if !acked {
		return orders
	}
	return append(orders, forget(l))
}

func forget(l *ReportedTask) Command {
	return Command{Verb: "forget", TaskName: l.Name, Attempt: l.Attempt}
}

// ended takes a task that has exited.
func (t *Registry) ended(h *Worker, k *taskstate.Task, l *ReportedTask, acked bool, orders []Command) []Command {
	how := taskstate.LossExited
	switch l.Cause {
	case "done":
		return t.completed(h, k, l, orders)
	case "error":
		// Whether the others had started shows in their reports.
		how = taskstate.LossVanished
		t.failed(h, k)
	case "full":
		how = taskstate.LossBeforeWaiting
		h.RefusesUntil = t.rt.Now() + tuning.RefusedTaskPause
		k.NotBefore = t.rt.Now() + tuning.RefusedTaskPause/4
	case "busy", "unknown":
		how = taskstate.LossBeforeWaiting
		k.NotBefore = t.rt.Now() + tuning.RefusedTaskPause
	case "halted":
		if g := k.Job.Gang; g != nil && !g.AttemptOver && k.HaltDecided {
			how = taskstate.LossVanished // one that waited was told to leave its machine
		}
	case "alone", "mates_gone":
		// Nothing against the machine or the job.
		if k.Job.Gang != nil && l.Cause == "mates_gone" {
			k.Job.Gang.Started = true
		}
	default:
		// A reason not known here proves nothing gone. Forgotten by the worker,
		// it is off the list, and that does.
		if !acked {
			return orders
		}
		return append(orders, forget(l))
	}
	t.proveGone(h, k, how)
	if !acked {
		return orders
	}
	return append(orders, forget(l))
}

// completed takes a task that is done.
func (t *Registry) completed(h *Worker, k *taskstate.Task, l *ReportedTask, orders []Command) []Command {
	h.ConsecutiveFailures = 0
	clear(h.FailedJobs)
	k.Job.ConsecutiveFailures = 0
	if k.Job.Gang != nil && !k.Job.Cancelled {
		t.vacate(h, k)
		t.tasks.TaskDone(k)
		t.GangDone(k.Job)
		return orders
	}
	if k.Job.Spec.IsService() {
		t.proveGone(h, k, taskstate.LossExited)
		return append(orders, forget(l))
	}
	t.vacate(h, k)
	if k.Job.Cancelled {
		k.State, k.WorkerID = taskstate.StateWaiting, ""
		t.tasks.DropTask(k)
		return append(orders, forget(l))
	}
	t.tasks.TaskDone(k)
	return orders
}

// failed takes note of a failure: machines that fail whatever they start get
// no more tasks, and jobs that fail everywhere are slowed down.
func (t *Registry) failed(h *Worker, k *taskstate.Task) {
	h.ConsecutiveFailures++
	h.FailedJobs[k.Job.Spec.ID] = true
	k.AvoidWorker = h.ID
	t.log.Info("task failed", "host", h.ID, "task", k.Name(), "in a row", h.ConsecutiveFailures)
	k.Job.ConsecutiveFailures++
	if k.Job.ConsecutiveFailures >= 3 {
		pause := min(tuning.MinFailurePause<<min(k.Job.ConsecutiveFailures-3, 6), tuning.MaxFailurePause)
		k.Job.NotBefore = t.rt.Now() + pause
	}
	if h.ConsecutiveFailures >= tuning.FaultyWorkerFailures && (len(h.FailedJobs) > 1 || k.Job.ConsecutiveFailures < 2*h.ConsecutiveFailures) && h.DrainReason == "" {
		h.DrainReason = "fails its tasks"
		t.log.Warn("machine quarantined", "host", h.ID, "failures", h.ConsecutiveFailures)
	}
}
