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

// Lease is what the registry asks of the shard's lease.
type Lease interface {
	// Token returns the fencing token under which the shard is owned, 0 if it is not.
	Token() uint64
	// LeaseValid tells whether the lease surely holds now.
	LeaseValid() bool
	// MayAnswer tells whether heartbeats are answered, and so taken in: only while the
	// knowledge of cancellations is young enough.
	MayAnswer() bool
	// RenewToken asks for a new token, which makes void what was sent under this one.
	RenewToken()
	// CancellationsVerifiedSince tells whether it was verified, lately, that no job was
	// cancelled at or after a moment but those known to be; if not, it asks for that.
	CancellationsVerifiedSince(since time.Duration) bool
	// PreviousOwnerAnswersUntil is when the last earlier owner stops answering, at the
	// latest.
	PreviousOwnerAnswersUntil() time.Duration
}

// TaskStore is what the registry asks of the shard's task records.
type TaskStore interface {
	// IsLoaded tells whether the records have been read in this term.
	IsLoaded() bool
	// Job finds a job by its ID, nil if no record names it.
	Job(id string) *taskstate.Job
	// CancellationAge is how long ago a job's user can have been told that it is
	// cancelled, at most, and whether it is.
	CancellationAge(id string) (time.Duration, bool)
	EachJob(func(*taskstate.Job))
	// TaskChanged has a task's new state recorded; urgent: with the next commit.
	TaskChanged(task *taskstate.Task, urgent bool)
	// TaskDone has it recorded that a task is done.
	TaskDone(task *taskstate.Task)
	// DropTask gives up a task of a cancelled job.
	DropTask(task *taskstate.Task)
}

// Scheduler is what the registry asks of the shard owner that it works for.
type Scheduler interface {
	// TaskWaiting is called for a task that has become free for another machine.
	TaskWaiting(task *taskstate.Task)
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

// Registry holds the workers of a shard, and what is or may be on each.
type Registry struct {
	runtime   eventloop.Runtime
	lease     Lease
	tasks     TaskStore
	scheduler Scheduler
	settings  *settings.Settings
	log       *slog.Logger

	workers       map[string]*Worker // by their IDs
	sortedWorkers []*Worker          // in the order of their IDs
	released      map[string]bool    // IDs of machines that the cloud has taken back
	zones         map[string]*zoneState

	termBeganAt time.Duration
	// listeningSince is from when heartbeats have been taken in without a break. Silence
	// before it says nothing of a worker.
	listeningSince time.Duration

	// commandsDue are workers for which AfterBatch has a direct message to consider.
	commandsDue map[*Worker]bool
	// awaitingVerification are workers with launches for which it is not verified yet
	// that their jobs are not cancelled; newestAwaitingPlacedAt is the newest of those
	// placements. See Lease.CancellationsVerifiedSince.
	awaitingVerification   map[*Worker]bool
	newestAwaitingPlacedAt time.Duration

	announceQueue         []*Worker // to be told of the token, see Announce
	announcementsInFlight int
}

// NewRegistry returns a registry without workers.
func NewRegistry(d Dependencies) *Registry {
	return &Registry{
		runtime: d.Runtime, lease: d.Lease, tasks: d.Tasks, scheduler: d.Scheduler, settings: d.Settings, log: d.Log,
		workers:              map[string]*Worker{},
		released:             map[string]bool{},
		zones:                map[string]*zoneState{},
		commandsDue:          map[*Worker]bool{},
		awaitingVerification: map[*Worker]bool{},
	}
}

// Worker finds a worker by its ID, nil if it is not known.
func (r *Registry) Worker(id string) *Worker { return r.workers[id] }

// Workers returns the workers in the order of their IDs. The list is the registry's own.
func (r *Registry) Workers() []*Worker { return r.sortedWorkers }

// ensureWorker finds or makes a worker's entry.
func (r *Registry) ensureWorker(id string) *Worker {
	if worker := r.workers[id]; worker != nil {
		return worker
	}
	now := r.runtime.Now()
	worker := &Worker{
		ID:           id,
		SessionState: SessionState{LeaseRenewedAt: now},
		Load:         Load{Tasks: map[*taskstate.Task]bool{}, IdleSince: now},
		Health:       Health{FailedJobs: map[string]bool{}},
	}
	worker.mayRunFrom(r.lease.PreviousOwnerAnswersUntil())
	r.workers[id] = worker
	i, _ := slices.BinarySearchFunc(r.sortedWorkers, id, func(worker *Worker, id string) int { return strings.Compare(worker.ID, id) })
	r.sortedWorkers = slices.Insert(r.sortedWorkers, i, worker)
	return worker
}

// BeginTerm starts a term, when the task records have been read under a new token: what
// they place may be on its machine under an earlier token, and any earlier owner may have
// answered heartbeats until now plus the answer grace period.
func (r *Registry) BeginTerm() {
	r.termBeganAt = r.runtime.Now()
	r.listeningSince = r.termBeganAt
	r.forgetTasks()
	for _, worker := range r.workers {
		// Between two tokens of its own a process knows what it has answered.
		worker.mayRunFrom(r.lease.PreviousOwnerAnswersUntil())
		worker.LeaseExpired, worker.delivery.announcementQueued = false, false
		worker.markHearing()
	}
	r.announceQueue, r.announcementsInFlight = nil, 0
	r.announceToAll()
	r.tasks.EachJob(r.takeOver)
}

// takeOver takes in what the records say of a job that an earlier owner, or this one under
// an earlier token, has placed.
func (r *Registry) takeOver(job *taskstate.Job) {
	if job.Gang != nil {
		r.recoverGang(job)
	}
	token := r.lease.Token()
	for _, group := range job.Groups {
		for _, task := range group.Tasks {
			if task.State == taskstate.StatePlaced {
				task.Gone.MinToken, task.Launch.Sent = token, true
				r.addTask(r.ensureWorker(task.WorkerID), task)
			}
		}
	}
}

// EndTerm forgets what only holds for a term.
func (r *Registry) EndTerm() { r.forgetTasks() }

func (r *Registry) forgetTasks() {
	for _, worker := range r.workers {
		worker.forgetTasks()
		worker.delivery.inFlight = false
	}
	clear(r.commandsDue)
	clear(r.awaitingVerification)
}

// Tick looks, once a second, for workers whose lease has expired, for tasks that have to
// leave their machines and for placements that can no longer be launched.
func (r *Registry) Tick() {
	if !r.tasks.IsLoaded() {
		return
	}
	now := r.runtime.Now()
	if !r.lease.MayAnswer() {
		// In an outage of the state service that outlasts the answer grace period,
		// heartbeats are turned away: that is no silence of the workers.
		r.listeningSince = now
	}
	for _, zone := range r.zones {
		zone.reportingWorkers = 0
	}
	for _, worker := range r.sortedWorkers {
		r.checkWorker(worker, now)
	}
	r.tasks.EachJob(func(job *taskstate.Job) {
		if job.Gang != nil {
			r.checkGang(job, now)
		}
	})
}

func (r *Registry) checkWorker(worker *Worker, now time.Duration) {
	if worker.HasReported {
		r.ensureZone(worker.Zone).reportingWorkers++
	}
	if worker.Unreachable {
		r.checkDeafWorker(worker, now)
	}
	for task := range worker.Tasks {
		if task.Launch.Sent {
			r.checkLaunchedTask(worker, task, now)
		} else if r.cannotLaunch(worker, task, now) {
			r.endPlacement(worker, task, taskstate.LossBeforeWaiting)
		}
	}
	if len(worker.Tasks) > 0 && !worker.LeaseExpired && now > r.leaseExpiresAt(worker) {
		r.log.Info("worker lease expired", "worker", worker.ID, "count", len(worker.Tasks))
		worker.LeaseExpired = true
		r.endAllPlacements(worker)
	}
}

// checkLaunchedTask repeats the halt of a cancelled task, and halts one that has to leave.
func (r *Registry) checkLaunchedTask(worker *Worker, task *taskstate.Task, now time.Duration) {
	if task.Job.Cancelled && now-task.Halt.CancelSentAt >= tuning.HaltRetryInterval {
		r.Announce(worker.ID, worker.Addr) // if it has not seen the token
		r.commandsDue[worker] = true
	}
	r.haltIfMustMove(worker, task, now)
}

// cannotLaunch tells whether a task that was never launched is better placed on another
// machine, since its worker does not take tasks any more, or need not run at all.
func (r *Registry) cannotLaunch(worker *Worker, task *taskstate.Task, now time.Duration) bool {
	gang := task.Job.Gang
	return (gang != nil && (gang.AttemptOver || gang.Done)) || r.isDraining(worker) || worker.Unreachable || task.Job.Cancelled ||
		!worker.HasReported || now-worker.LastHeartbeatAt > r.settings.WorkerDeadAfter()/2
}
