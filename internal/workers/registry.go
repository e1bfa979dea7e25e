package workers

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// Lease is what the table asks of the block's lease.
type Lease interface {
	Token() uint64
	LeaseValid() bool
	// MayAnswer tells whether reports are answered, and so taken in: only on
	// knowledge of cancellations that is young enough.
	MayAnswer() bool
	RenewToken()
	// CancellationsVerifiedSince tells whether the jobs not known to be cancelled are proven not to have
	// been so at or after a moment, lately; if not, a proof is asked for.
	CancellationsVerifiedSince(since time.Duration) bool
	// PreviousOwnerAnswersUntil is when the last earlier owner stops answering, at the latest.
	PreviousOwnerAnswersUntil() time.Duration
}

// TaskStore is what the table asks of the block's records.
type TaskStore interface {
	IsLoaded() bool
	Job(id string) *taskstate.Job
	// CancellationAge is how long ago a job's user can have been told that it is
	// cancelled, at most, if it is.
	CancellationAge(id string) (time.Duration, bool)
	EachJob(func(*taskstate.Job))
	TaskChanged(t *taskstate.Task, urgent bool)
	TaskDone(t *taskstate.Task)
	DropTask(t *taskstate.Task)
}

// Scheduler is what the registry asks of the shard owner that it works for.
type Scheduler interface {
	// TaskWaiting is called for a task that has become free for another machine.
	TaskWaiting(*taskstate.Task)
	// MachineType finds a machine type by its name, nil if it is not known.
	MachineType(name string) *jobs.MachineType
	// IsClosedByDrain tells whether operators' drains keep new tasks off a machine.
	IsClosedByDrain(workerID string) bool
}

// Dependencies is what a Registry works with.
type Dependencies struct {
	Runtime   eventloop.Runtime
	Lease     Lease
	Tasks     TaskStore
	Scheduler Scheduler
	Settings  *settings.Settings
	Log       *slog.Logger
}

// Registry holds all machines.
type Registry struct {
	rt        eventloop.Runtime
	lease     Lease
	tasks     TaskStore
	scheduler Scheduler
	set       *settings.Settings
	log       *slog.Logger
	hosts     map[string]*Worker
	list      []*Worker     // in the order of their names
	begun     time.Duration // this term
	since     time.Duration // when reports began to be taken in, this time
	ready     map[*Worker]bool
	held      map[*Worker]bool // have launches that wait for a proof, see Lease.Fresh
	heldAt    time.Duration    // the newest placement of those
	greets    []*Worker        // to be told of the token
	greeting  int              // being told
	gone      map[string]bool  // returned machines
	zones     map[string]*zone
}

// zone is what the table knows of a zone as a whole: one that is cut off falls
// silent at once, long before each of its machines is late.
type zone struct {
	heard time.Duration // the newest report from it
	up    int           // machines there that have reported, as of the last Tick
}

// NewRegistry returns an empty registry.
func NewRegistry(d Dependencies) *Registry {
	return &Registry{
		rt: d.Runtime, lease: d.Lease, tasks: d.Tasks, scheduler: d.Scheduler, set: d.Settings, log: d.Log,
		hosts: map[string]*Worker{}, ready: map[*Worker]bool{}, held: map[*Worker]bool{}, gone: map[string]bool{}, zones: map[string]*zone{},
	}
}

// zone finds or makes a zone's entry.
func (t *Registry) zone(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{}
		t.zones[name] = z
	}
	return z
}

// ReachableZones lists the zones from which something has been heard of late.
func (t *Registry) ReachableZones() []string {
	var list []string
	for name, z := range t.zones {
		if z.heard > 0 && t.rt.Now()-z.heard <= tuning.ZonePartitionAfter {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// cutOff tells whether a zone seems to be cut off: many machines report from it,
// and none has for a while, though others are heard.
func (t *Registry) cutOff(name string) bool {
	z := t.zones[name]
	if z == nil || !t.set.IsZonePartitioned(z.up, t.rt.Now()-max(z.heard, t.since)) {
		return false
	}
	for _, o := range t.zones {
		if o.heard > z.heard+tuning.ZonePartitionAfter/2 {
			return true
		}
	}
	return false
}

// BeginTerm starts a term: whatever the records place may be on its machine under
// an earlier token, and any earlier owner may have answered reports until now
// plus the hold.
func (t *Registry) BeginTerm() {
	t.begun = t.rt.Now()
	t.since = t.begun
	for _, h := range t.hosts {
		h.Load.clear()
		h.commands.inFlight = false
		// Between two tokens of its own a process knows what it has answered.
		h.LeaseRenewedAt = max(h.LeaseRenewedAt, t.lease.PreviousOwnerAnswersUntil())
		h.LeaseExpired, h.commands.announcePends = false, false
		h.markHearing()
	}
	clear(t.ready)
	clear(t.held)
	t.greets, t.greeting = nil, 0
	// Those heard of late come first: hundreds that are cut off or dead, each of
	// which is waited for, must not keep the others waiting.
	for _, late := range []bool{false, true} {
		for _, h := range t.list {
			if (t.begun-h.LastHeartbeatAt > t.set.WorkerDeadAfter()) == late {
				t.Announce(h.ID, h.Addr)
			}
		}
	}
	token := t.lease.Token()
	t.tasks.EachJob(func(j *taskstate.Job) {
		if j.Gang != nil {
			t.take(j)
		}
		for _, c := range j.Groups {
			for _, k := range c.Tasks {
				if k.State == taskstate.StatePlaced {
					k.GoneMinToken, k.LaunchSent = token, true
					t.occupy(t.host(k.WorkerID), k)
				}
			}
		}
	})
}

// EndTerm forgets what only holds for a term.
func (t *Registry) EndTerm() {
	for _, h := range t.hosts {
		h.Load.clear()
		h.commands.inFlight = false
	}
	clear(t.ready)
	clear(t.held)
}

// host finds or makes a machine's entry.
func (t *Registry) host(id string) *Worker {
	h := t.hosts[id]
	if h == nil {
		now := t.rt.Now()
		h = &Worker{
			ID:           id,
			SessionState: SessionState{LeaseRenewedAt: max(now, t.lease.PreviousOwnerAnswersUntil())},
			Load:         Load{Tasks: map[*taskstate.Task]bool{}, IdleSince: now},
			Health:       Health{FailedJobs: map[string]bool{}},
		}
		t.hosts[id] = h
		i, _ := slices.BinarySearchFunc(t.list, id, func(h *Worker, id string) int { return strings.Compare(h.ID, id) })
		t.list = slices.Insert(t.list, i, h)
	}
	return h
}

// Worker finds a machine.
func (t *Registry) Worker(id string) *Worker { return t.hosts[id] }

// Workers returns the machines in the order of their names. The list is the table's
// own.
func (t *Registry) Workers() []*Worker { return t.list }

// AcceptsTasks tells whether a machine may be given tasks now. One that has left an
// order unanswered gets none before its next report: what is placed on a machine
// that is cut off or dead waits there until its lease has run out.
func (t *Registry) AcceptsTasks(h *Worker) bool {
	now := t.rt.Now()
	suspect := time.Duration(float64(t.set.HeartbeatInterval()) * tuning.SuspectHeartbeats)
	return h.HasReported && !h.LeaseExpired && !h.Deaf && t.accepts(h) && h.MachineType != nil && h.UnknownTasks == 0 &&
		h.Token >= t.lease.Token() && now-h.LastHeartbeatAt < suspect && now >= h.RefusesUntil &&
		h.commands.unansweredAt <= h.LastHeartbeatAt && !t.cutOff(h.Zone)
}

func (t *Registry) occupy(h *Worker, k *taskstate.Task) {
	if !k.HasImage {
		h.FetchingTasks++
	}
	h.AddTask(k)
}

func (t *Registry) vacate(h *Worker, k *taskstate.Task) {
	if !h.Tasks[k] {
		return
	}
	h.RemoveTask(k)
	if len(h.Tasks) == 0 {
		h.IdleSince = t.rt.Now()
	}
	if !k.HasImage {
		h.FetchingTasks--
	}
	k.Running, k.HasImage = false, false
}

// PlaceTask gives a waiting task to a machine. The launch leaves once the
// placement is durable.
func (t *Registry) PlaceTask(k *taskstate.Task, h *Worker) {
	if g := k.Job.Gang; g != nil && !h.HasImage(k.Job.Spec.Image) {
		g.UncachedPlacements++
	}
	k.PlaceOn(h.ID)
	k.PlacedAt = t.rt.Now()
	t.lease.CancellationsVerifiedSince(k.PlacedAt) // the proof comes while the placement is committed
	k.GoneMinToken, k.GoneSession, k.GoneAfterSequence = t.lease.Token(), 0, 0
	t.occupy(h, k)
	t.tasks.TaskChanged(k, true)
}

// PlacementDurable notes that a placement is durable.
func (t *Registry) PlacementDurable(k *taskstate.Task) {
	if k.Job.Gang != nil {
		if k.Launchable() { // with the last of a gang, all of it
			t.log.Debug("gang placed", "job", k.Job.Spec.ID, "attempt", k.WireAttempt(), "tasks", len(k.Job.Tasks), "fetching", k.Job.Gang.UncachedPlacements,
				"age_s", float64(t.rt.WallClock().UnixMilli()-k.Job.SubmittedMS)/1000)
			for _, o := range k.Job.Tasks {
				if h := t.hosts[o.WorkerID]; h != nil {
					t.ready[h] = true
				}
			}
		}
		return
	}
	if h := t.hosts[k.WorkerID]; h != nil {
		t.ready[h] = true
	}
}

// proveGone ends a placement: the task is surely not on its machine. how only
// matters for a gang.
func (t *Registry) proveGone(h *Worker, k *taskstate.Task, how taskstate.Loss) {
	t.vacate(h, k)
	k.State, k.WorkerID = taskstate.StateWaiting, ""
	k.PlacementDurable, k.LaunchSent, k.LaunchInFlight, k.LaunchInDoubt, k.Reported, k.HaltDecided, k.HaltSent, k.HasRun = false, false, false, false, false, false, false, false
	if k.Job.Cancelled {
		t.tasks.DropTask(k)
		return
	}
	if g := k.Job.Gang; g != nil {
		if g.Done {
			t.tasks.TaskDone(k)
			return
		}
		t.lost(k, how)
	}
	t.tasks.TaskChanged(k, false)
	t.scheduler.TaskWaiting(k)
}

// leaseEnd is when all tasks of a machine that stays silent are surely gone.
func (t *Registry) leaseEnd(h *Worker) time.Duration {
	lease := t.set.WorkerLease()
	return h.LeaseRenewedAt + lease + lease*tuning.DriftPerMille/1000 + tuning.WorkerLeaseMargin
}

// Tick looks for machines whose lease has run out and for placements that can
// no longer be launched.
func (t *Registry) Tick() {
	if !t.tasks.IsLoaded() {
		return
	}
	now := t.rt.Now()
	if !t.lease.MayAnswer() {
		// In an outage of the state service that outlasts the hold, reports are
		// turned away: that is no silence of the machines.
		t.since = now
	}
	for _, z := range t.zones {
		z.up = 0
	}
	for _, h := range t.list {
		if h.HasReported {
			t.zone(h.Zone).up++
		}
		if h.Deaf {
			t.probe(h)
			if len(h.Tasks) == 0 && h.DrainReason == "" && now-h.deafSince > t.set.WorkerLease() {
				t.StopPlacements(h.ID, deafDrain) // settled, and it has not come back
			}
		}
		for k := range h.Tasks {
			if k.LaunchSent {
				if k.Job.Cancelled && now-k.CancelHaltSentAt >= tuning.HaltRetryInterval {
					t.Announce(h.ID, h.Addr) // if it has not seen the token
					t.ready[h] = true
				}
				t.move(h, k, now)
				continue
			}
			// Never launched: free for another machine when this one does
			// not take tasks any more.
			if g := k.Job.Gang; (g != nil && (g.AttemptOver || g.Done)) || !t.accepts(h) || h.Deaf || k.Job.Cancelled || (h.HasReported && now-h.LastHeartbeatAt > t.set.WorkerDeadAfter()/2) || !h.HasReported {
				t.proveGone(h, k, taskstate.LossBeforeWaiting)
			}
		}
		if !h.LeaseExpired && now > t.leaseEnd(h) && len(h.Tasks) > 0 {
			t.log.Info("worker lease has run out", "host", h.ID, "tasks", len(h.Tasks))
			h.LeaseExpired = true
			t.clear(h)
		}
	}
	t.tasks.EachJob(func(j *taskstate.Job) {
		if j.Gang != nil {
			t.tend(j, now)
		}
	})
}

// move stops a running task that has to go on elsewhere: a replica on a machine
// that is drained, or one that can save, in time before the cloud takes its
// machine. The machine is told at once, and with each report until it is gone.
func (t *Registry) move(h *Worker, k *taskstate.Task, now time.Duration) {
	d := k.Job.Spec
	saves := d.CheckpointIntervalSeconds > 0 && h.TerminationAt > 0 &&
		now > h.TerminationAt-time.Duration(d.CheckpointSeconds*float64(time.Second))-tuning.SpotNoticeReserve-tuning.CheckpointMargin
	if h.DrainReason == "" || k.HaltDecided || !k.Running || k.Job.Gang != nil || (!d.IsService() && !saves) {
		return
	}
	k.Halt(d.CheckpointSeconds)
	t.ready[h] = true
	t.log.Info("moving task", "host", h.ID, "task", k.Name(), "why", h.DrainReason)
}

// DiscardTask takes a task that was never launched off its machine; its record is
// gone.
func (t *Registry) DiscardTask(k *taskstate.Task) {
	if h := t.hosts[k.WorkerID]; h != nil {
		t.vacate(h, k)
	}
}

// clear proves all tasks of a machine gone.
func (t *Registry) clear(h *Worker) {
	for k := range h.Tasks {
		t.proveGone(h, k, taskstate.LossVanished)
	}
}

// ReleaseSilent is why a machine is given back that no longer reports; ReleaseSilentUrgent is
// why one that may have urgent tasks on it: returned, they are surely gone, and
// can run elsewhere before its lease would have run out.
const (
	ReleaseSilent       = "silent"
	ReleaseSilentUrgent = "silent with urgent tasks"
)

const deafDrain = "does not hear"
