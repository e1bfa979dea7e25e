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

// NewRegistry returns an empty registry.
func NewRegistry(dependencies Dependencies) *Registry {
	return &Registry{
		runtime: dependencies.Runtime, lease: dependencies.Lease, tasks: dependencies.Tasks, scheduler: dependencies.Scheduler, settings: dependencies.Settings, log: dependencies.Log,
		workers: map[string]*Worker{}, commandsDue: map[*Worker]bool{}, awaitingVerification: map[*Worker]bool{}, released: map[string]bool{}, zones: map[string]*zoneState{},
	}
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
