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
	runtime                eventloop.Runtime
	lease                  Lease
	tasks                  TaskStore
	scheduler              Scheduler
	settings               *settings.Settings
	log                    *slog.Logger
	workers                map[string]*Worker
	sortedWorkers          []*Worker     // in the order of their names
	termBeganAt            time.Duration // this term
	listeningSince         time.Duration // when reports began to be taken in, this time
	commandsDue            map[*Worker]bool
	awaitingVerification   map[*Worker]bool // have launches that wait for a proof, see Lease.Fresh
	newestAwaitingPlacedAt time.Duration    // the newest placement of those
	announceQueue          []*Worker        // to be told of the token
	announcementsInFlight  int              // being told
	released               map[string]bool  // returned machines
	zones                  map[string]*zoneState
}

// zoneState is what the table knows of a zone as a whole: one that is cut off falls
// silent at once, long before each of its machines is late.
type zoneState struct {
	lastHeartbeatAt  time.Duration // the newest report from it
	reportingWorkers int           // machines there that have reported, as of the last Tick
}

// NewRegistry returns an empty registry.
func NewRegistry(dependencies Dependencies) *Registry {
	return &Registry{
		runtime: dependencies.Runtime, lease: dependencies.Lease, tasks: dependencies.Tasks, scheduler: dependencies.Scheduler, settings: dependencies.Settings, log: dependencies.Log,
		workers: map[string]*Worker{}, commandsDue: map[*Worker]bool{}, awaitingVerification: map[*Worker]bool{}, released: map[string]bool{}, zones: map[string]*zoneState{},
	}
}

// ensureZone finds or makes a zone's entry.
func (r *Registry) ensureZone(name string) *zoneState {
	zone := r.zones[name]
	if zone == nil {
		zone = &zoneState{}
		r.zones[name] = zone
	}
	return zone
}

// ReachableZones lists the zones from which something has been heard of late.
func (r *Registry) ReachableZones() []string {
	var list []string
	for name, zone := range r.zones {
		if zone.lastHeartbeatAt > 0 && r.runtime.Now()-zone.lastHeartbeatAt <= tuning.ZonePartitionAfter {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// isZonePartitioned tells whether a zone seems to be cut off: many machines report from it,
// and none has for a while, though others are heard.
func (r *Registry) isZonePartitioned(name string) bool {
	zone := r.zones[name]
	if zone == nil || !r.settings.IsZonePartitioned(zone.reportingWorkers, r.runtime.Now()-max(zone.lastHeartbeatAt, r.listeningSince)) {
		return false
	}
	for _, other := range r.zones {
		if other.lastHeartbeatAt > zone.lastHeartbeatAt+tuning.ZonePartitionAfter/2 {
			return true
		}
	}
	return false
}

// BeginTerm starts a term: whatever the records place may be on its machine under
// an earlier token, and any earlier owner may have answered reports until now
// plus the hold.
func (r *Registry) BeginTerm() {
	r.termBeganAt = r.runtime.Now()
	r.listeningSince = r.termBeganAt
	for _, worker := range r.workers {
		worker.Load.clear()
		worker.commands.inFlight = false
		// Between two tokens of its own a process knows what it has answered.
		worker.LeaseRenewedAt = max(worker.LeaseRenewedAt, r.lease.PreviousOwnerAnswersUntil())
		worker.LeaseExpired, worker.commands.announcementQueued = false, false
		worker.markHearing()
	}
	clear(r.commandsDue)
	clear(r.awaitingVerification)
	r.announceQueue, r.announcementsInFlight = nil, 0
	// Those heard of late come first: hundreds that are cut off or dead, each of
	// which is waited for, must not keep the others waiting.
	for _, isSilent := range []bool{false, true} {
		for _, worker := range r.sortedWorkers {
			if (r.termBeganAt-worker.LastHeartbeatAt > r.settings.WorkerDeadAfter()) == isSilent {
				r.Announce(worker.ID, worker.Addr)
			}
		}
	}
	token := r.lease.Token()
	r.tasks.EachJob(func(job *taskstate.Job) {
		if job.Gang != nil {
			r.recoverGang(job)
		}
		for _, group := range job.Groups {
			for _, task := range group.Tasks {
				if task.State == taskstate.StatePlaced {
					task.GoneMinToken, task.LaunchSent = token, true
					r.addTask(r.ensureWorker(task.WorkerID), task)
				}
			}
		}
	})
}

// EndTerm forgets what only holds for a term.
func (r *Registry) EndTerm() {
	for _, worker := range r.workers {
		worker.Load.clear()
		worker.commands.inFlight = false
	}
	clear(r.commandsDue)
	clear(r.awaitingVerification)
}

// ensureWorker finds or makes a machine's entry.
func (r *Registry) ensureWorker(id string) *Worker {
	worker := r.workers[id]
	if worker == nil {
		now := r.runtime.Now()
		worker = &Worker{
			ID:           id,
			SessionState: SessionState{LeaseRenewedAt: max(now, r.lease.PreviousOwnerAnswersUntil())},
			Load:         Load{Tasks: map[*taskstate.Task]bool{}, IdleSince: now},
			Health:       Health{FailedJobs: map[string]bool{}},
		}
		r.workers[id] = worker
		i, _ := slices.BinarySearchFunc(r.sortedWorkers, id, func(worker *Worker, id string) int { return strings.Compare(worker.ID, id) })
		r.sortedWorkers = slices.Insert(r.sortedWorkers, i, worker)
	}
	return worker
}

// Worker finds a machine.
func (r *Registry) Worker(id string) *Worker { return r.workers[id] }

// Workers returns the machines in the order of their names. The list is the table's
// own.
func (r *Registry) Workers() []*Worker { return r.sortedWorkers }

// AcceptsTasks tells whether a machine may be given tasks now. One that has left an
// order unanswered gets none before its next report: what is placed on a machine
// that is cut off or dead waits there until its lease has run out.
func (r *Registry) AcceptsTasks(worker *Worker) bool {
	now := r.runtime.Now()
	suspectAfter := time.Duration(float64(r.settings.HeartbeatInterval()) * tuning.SuspectHeartbeats)
	return worker.HasReported && !worker.LeaseExpired && !worker.Deaf && r.accepts(worker) && worker.MachineType != nil && worker.UnknownTasks == 0 &&
		worker.Token >= r.lease.Token() && now-worker.LastHeartbeatAt < suspectAfter && now >= worker.RefusesUntil &&
		worker.commands.unansweredAt <= worker.LastHeartbeatAt && !r.isZonePartitioned(worker.Zone)
}

func (r *Registry) addTask(worker *Worker, task *taskstate.Task) {
	if !task.HasImage {
		worker.FetchingTasks++
	}
	worker.AddTask(task)
}

func (r *Registry) removeTask(worker *Worker, task *taskstate.Task) {
	if !worker.Tasks[task] {
		return
	}
	worker.RemoveTask(task)
	if len(worker.Tasks) == 0 {
		worker.IdleSince = r.runtime.Now()
	}
	if !task.HasImage {
		worker.FetchingTasks--
	}
	task.Running, task.HasImage = false, false
}

// PlaceTask gives a waiting task to a machine. The launch leaves once the
// placement is durable.
func (r *Registry) PlaceTask(task *taskstate.Task, worker *Worker) {
	if gang := task.Job.Gang; gang != nil && !worker.HasImage(task.Job.Spec.Image) {
		gang.UncachedPlacements++
	}
	task.PlaceOn(worker.ID)
	task.PlacedAt = r.runtime.Now()
	r.lease.CancellationsVerifiedSince(task.PlacedAt) // the proof comes while the placement is committed
	task.GoneMinToken, task.GoneSession, task.GoneAfterSequence = r.lease.Token(), 0, 0
	r.addTask(worker, task)
	r.tasks.TaskChanged(task, true)
}

// PlacementDurable notes that a placement is durable.
func (r *Registry) PlacementDurable(task *taskstate.Task) {
	if task.Job.Gang != nil {
		if task.Launchable() { // with the last of a gang, all of it
			r.log.Debug("gang placed", "job", task.Job.Spec.ID, "attempt", task.WireAttempt(), "tasks", len(task.Job.Tasks), "fetching", task.Job.Gang.UncachedPlacements,
				"age_s", float64(r.runtime.WallClock().UnixMilli()-task.Job.SubmittedMS)/1000)
			for _, member := range task.Job.Tasks {
				if worker := r.workers[member.WorkerID]; worker != nil {
					r.commandsDue[worker] = true
				}
			}
		}
		return
	}
	if worker := r.workers[task.WorkerID]; worker != nil {
		r.commandsDue[worker] = true
	}
}

// endPlacement ends a placement: the task is surely not on its machine. how only
// matters for a gang.
func (r *Registry) endPlacement(worker *Worker, task *taskstate.Task, loss taskstate.Loss) {
	r.removeTask(worker, task)
	task.State, task.WorkerID = taskstate.StateWaiting, ""
	task.PlacementDurable, task.LaunchSent, task.LaunchInFlight, task.LaunchInDoubt, task.Reported, task.HaltDecided, task.HaltSent, task.HasRun = false, false, false, false, false, false, false, false
	if task.Job.Cancelled {
		r.tasks.DropTask(task)
		return
	}
	if gang := task.Job.Gang; gang != nil {
		if gang.Done {
			r.tasks.TaskDone(task)
			return
		}
		r.gangTaskLost(task, loss)
	}
	r.tasks.TaskChanged(task, false)
	r.scheduler.TaskWaiting(task)
}

// leaseExpiresAt is when all tasks of a machine that stays silent are surely gone.
func (r *Registry) leaseExpiresAt(worker *Worker) time.Duration {
	lease := r.settings.WorkerLease()
	return worker.LeaseRenewedAt + lease + lease*tuning.DriftPerMille/1000 + tuning.WorkerLeaseMargin
}

// Tick looks for machines whose lease has run out and for placements that can
// no longer be launched.
func (r *Registry) Tick() {
	if !r.tasks.IsLoaded() {
		return
	}
	now := r.runtime.Now()
	if !r.lease.MayAnswer() {
		// In an outage of the state service that outlasts the hold, reports are
		// turned away: that is no silence of the machines.
		r.listeningSince = now
	}
	for _, zone := range r.zones {
		zone.reportingWorkers = 0
	}
	for _, worker := range r.sortedWorkers {
		if worker.HasReported {
			r.ensureZone(worker.Zone).reportingWorkers++
		}
		if worker.Deaf {
			r.probeDeafWorker(worker)
			if len(worker.Tasks) == 0 && worker.DrainReason == "" && now-worker.deafSince > r.settings.WorkerLease() {
				r.StopPlacements(worker.ID, drainReasonDeaf) // settled, and it has not come back
			}
		}
		for task := range worker.Tasks {
			if task.LaunchSent {
				if task.Job.Cancelled && now-task.CancelHaltSentAt >= tuning.HaltRetryInterval {
					r.Announce(worker.ID, worker.Addr) // if it has not seen the token
					r.commandsDue[worker] = true
				}
				r.haltIfMustMove(worker, task, now)
				continue
			}
			// Never launched: free for another machine when this one does
			// not take tasks any more.
			if gang := task.Job.Gang; (gang != nil && (gang.AttemptOver || gang.Done)) || !r.accepts(worker) || worker.Deaf || task.Job.Cancelled || (worker.HasReported && now-worker.LastHeartbeatAt > r.settings.WorkerDeadAfter()/2) || !worker.HasReported {
				r.endPlacement(worker, task, taskstate.LossBeforeWaiting)
			}
		}
		if !worker.LeaseExpired && now > r.leaseExpiresAt(worker) && len(worker.Tasks) > 0 {
			r.log.Info("worker lease has run out", "host", worker.ID, "tasks", len(worker.Tasks))
			worker.LeaseExpired = true
			r.endAllPlacements(worker)
		}
	}
	r.tasks.EachJob(func(job *taskstate.Job) {
		if job.Gang != nil {
			r.checkGang(job, now)
		}
	})
}

// haltIfMustMove stops a running task that has to go on elsewhere: a replica on a machine
// that is drained, or one that can save, in time before the cloud takes its
// machine. The machine is told at once, and with each report until it is gone.
func (r *Registry) haltIfMustMove(worker *Worker, task *taskstate.Task, now time.Duration) {
	spec := task.Job.Spec
	mustSave := spec.CheckpointIntervalSeconds > 0 && worker.TerminationAt > 0 &&
		now > worker.TerminationAt-time.Duration(spec.CheckpointSeconds*float64(time.Second))-tuning.SpotNoticeReserve-tuning.CheckpointMargin
	if worker.DrainReason == "" || task.HaltDecided || !task.Running || task.Job.Gang != nil || (!spec.IsService() && !mustSave) {
		return
	}
	task.Halt(spec.CheckpointSeconds)
	r.commandsDue[worker] = true
	r.log.Info("moving task", "host", worker.ID, "task", task.Name(), "why", worker.DrainReason)
}

// DiscardTask takes a task that was never launched off its machine; its record is
// gone.
func (r *Registry) DiscardTask(task *taskstate.Task) {
	if worker := r.workers[task.WorkerID]; worker != nil {
		r.removeTask(worker, task)
	}
}

// endAllPlacements proves all tasks of a machine gone.
func (r *Registry) endAllPlacements(worker *Worker) {
	for task := range worker.Tasks {
		r.endPlacement(worker, task, taskstate.LossVanished)
	}
}

// ReleaseSilent is why a machine is given back that no longer reports; ReleaseSilentUrgent is
// why one that may have urgent tasks on it: returned, they are surely gone, and
// can run elsewhere before its lease would have run out.
const (
	ReleaseSilent       = "silent"
	ReleaseSilentUrgent = "silent with urgent tasks"
)

const drainReasonDeaf = "does not hear"
