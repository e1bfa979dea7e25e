package workers

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// Lease is the part of the shard's lease that the registry depends on.
type Lease interface {
	// Token returns the fencing token under which the shard is owned, or 0 if it is not owned.
	Token() uint64
	// NewestToken returns the highest fencing token that messages may carry in this term. It is
	// at least Token and never decreases; the token of any later term is higher.
	NewestToken() uint64
	// RequestNewerToken requests an increase of NewestToken.
	RequestNewerToken()
	// LeaseValid reports whether the lease is certain to be valid now.
	LeaseValid() bool
	// MayAnswer reports whether heartbeats are processed and answered, which requires that
	// the knowledge of cancellations is recent enough.
	MayAnswer() bool
	// RenewToken requests a new token, which invalidates all messages sent under this one.
	RenewToken()
	// KnowledgeAge returns the age of the newest verification that all cancellations are known.
	KnowledgeAge() time.Duration
	// CancellationsVerifiedSince reports whether it was recently verified that all
	// cancellations up to a time at or after since are known. If not, it requests a
	// verification.
	CancellationsVerifiedSince(since time.Duration) bool
	// PreviousOwnerAnswersUntil returns the latest time at which any earlier owner may
	// still answer heartbeats.
	PreviousOwnerAnswersUntil() time.Duration
}

// TaskStore is the part of the shard's task records that the registry depends on.
type TaskStore interface {
	// IsLoaded reports whether the records have been read in this term.
	IsLoaded() bool
	// Job returns the job with the given ID, or nil if no record names it.
	Job(id string) *taskstate.Job
	// CancellationAge returns the longest time for which a job's user may have known that
	// the job is cancelled, and whether it is cancelled.
	CancellationAge(id string) (time.Duration, bool)
	// EachJob calls a function for every job with records.
	EachJob(func(*taskstate.Job))
	// TaskChanged has a task's new state recorded, with the next commit if urgent.
	TaskChanged(task *taskstate.Task, urgent bool)
	// TaskDone has the completion of a task recorded.
	TaskDone(task *taskstate.Task)
	// DropTask drops a task of a cancelled job.
	DropTask(task *taskstate.Task)
}

// Scheduler is the part of the shard owner that the registry depends on.
type Scheduler interface {
	// TaskWaiting is called for a task that can be placed on another machine again.
	TaskWaiting(task *taskstate.Task)
	// MachineType returns the machine type with the given name, or nil if it is not known.
	MachineType(name string) *jobs.MachineType
	// IsClosedByDrain reports whether operators' drains keep new tasks off a machine.
	IsClosedByDrain(workerID string) bool
}

// Dependencies are the collaborators of a Registry.
type Dependencies struct {
	Shard     int // index of the shard
	Runtime   eventloop.Runtime
	Lease     Lease
	Tasks     TaskStore
	Scheduler Scheduler
	Settings  *settings.Settings
	Metrics   *metrics.Metrics
	Log       *slog.Logger
}

// Registry holds the workers of a shard and the tasks that are or may be on each.
type Registry struct {
	shard     int
	runtime   eventloop.Runtime
	lease     Lease
	tasks     TaskStore
	scheduler Scheduler
	settings  *settings.Settings
	metrics   *metrics.Metrics
	log       *slog.Logger

	workers       map[string]*Worker    // by ID
	sortedWorkers []*Worker             // by ID, ascending
	released      map[string]bool       // IDs of machines that the cloud has taken back
	zones         map[string]*zoneState // by name

	termBeganAt time.Duration
	termToken   uint64 // of the newest term
	// proofToken is the lowest token that a heartbeat must show to prove that a task launched in an
	// earlier term is gone.
	proofToken uint64
	// listeningSince is the time since which heartbeats have been processed without
	// interruption. A worker's silence before that time is no evidence against it.
	listeningSince time.Duration

	// commandsDue are the workers to which AfterBatch may have to send a direct message.
	commandsDue map[*Worker]bool
	// awaitingVerification are the workers with launches that wait until it is verified
	// that their jobs are not cancelled; newestAwaitingPlacedAt is the time of the newest
	// of those placements. See Lease.CancellationsVerifiedSince.
	awaitingVerification   map[*Worker]bool
	newestAwaitingPlacedAt time.Duration

	strays                map[string]*strayAttempt // by the task's name
	announceQueue         []*Worker                // to which the token has to be announced, see Announce
	announcementsInFlight int
	tokenDemand           tokenDemand
}

// NewRegistry returns a registry without workers.
func NewRegistry(d Dependencies) *Registry {
	return &Registry{
		shard: d.Shard, runtime: d.Runtime, lease: d.Lease, tasks: d.Tasks, scheduler: d.Scheduler, settings: d.Settings, metrics: d.Metrics, log: d.Log,
		workers:              map[string]*Worker{},
		released:             map[string]bool{},
		zones:                map[string]*zoneState{},
		commandsDue:          map[*Worker]bool{},
		awaitingVerification: map[*Worker]bool{},
		strays:               map[string]*strayAttempt{},
	}
}

// Worker returns the worker with the given ID, or nil if it is not known.
func (r *Registry) Worker(id string) *Worker { return r.workers[id] }

// Workers returns the workers in the order of their IDs. Callers must not modify the slice.
func (r *Registry) Workers() []*Worker { return r.sortedWorkers }

// ensureWorker returns the entry of a worker, creating it if there is none.
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
	worker.extendLease(r.lease.PreviousOwnerAnswersUntil())
	r.workers[id] = worker
	i, _ := slices.BinarySearchFunc(r.sortedWorkers, id, func(worker *Worker, id string) int { return strings.Compare(worker.ID, id) })
	r.sortedWorkers = slices.Insert(r.sortedWorkers, i, worker)
	return worker
}

// BeginTerm starts a term, after the task records have been read under a new token. Tasks
// that the records place may be on their machines under an earlier token, and any earlier
// owner may answer heartbeats until the answer grace period from now has passed.
func (r *Registry) BeginTerm() {
	r.termBeganAt = r.runtime.Now()
	r.listeningSince = r.termBeganAt
	r.forgetTasks()
	for _, worker := range r.workers {
		// A process knows what it answered under an earlier token of its own, so such a
		// token does not move PreviousOwnerAnswersUntil.
		worker.extendLease(r.lease.PreviousOwnerAnswersUntil())
		worker.LeaseExpired, worker.delivery.announcementQueued = false, false
		worker.markReachable()
	}
	r.checkTokenGrows()
	r.announceQueue, r.announcementsInFlight = nil, 0
	r.tokenDemand = tokenDemand{requestedAt: r.termBeganAt}
	r.announceToAll()
	r.tasks.EachJob(r.recoverPlacements)
	r.recoverStrays(r.proofToken)
}

// recoverPlacements adds the recorded placements of a job to its workers. They were made by an
// earlier owner, or by this one under an earlier token, and count as launched.
func (r *Registry) recoverPlacements(job *taskstate.Job) {
	if job.Gang != nil {
		r.recoverGang(job)
	}
	for _, group := range job.Groups {
		for _, task := range group.Tasks {
			if task.State == taskstate.StatePlaced {
				task.Launch.Recover(r.proofToken)
				worker := r.ensureWorker(task.WorkerID)
				r.addTask(worker, task)
				r.addStep(worker, task, taskstate.StepRecovered)
			}
		}
	}
}

// checkTokenGrows asserts that a term has a higher token than the last one of this process: only then
// are the messages of the last one void for workers that show it. Otherwise no message proves the
// tasks of the last term gone, and a new token is requested.
func (r *Registry) checkTokenGrows() {
	token := r.lease.Token()
	r.proofToken = max(token, r.termToken+1)
	if token < r.proofToken {
		r.metrics.ReportViolation(r.log, metrics.InvariantTokenGrows, "token", token, "earlier", r.termToken)
		r.lease.RenewToken()
	}
	r.termToken = max(r.termToken, token)
}

// EndTerm discards the state that is only valid within a term.
func (r *Registry) EndTerm() {
	r.forgetTasks()
	r.metrics.SetAttemptsToForget(r.shard, 0)
}

func (r *Registry) forgetTasks() {
	for _, worker := range r.workers {
		worker.forgetTasks()
		worker.gone, worker.ended = nil, endedAttempts{}
		worker.delivery.inFlight = false
	}
	clear(r.commandsDue)
	clear(r.awaitingVerification)
}

// Tick is called once a second. It ends the placements on workers whose lease has expired and
// those that can no longer be launched, and halts tasks that have to leave their machines.
func (r *Registry) Tick() {
	if !r.tasks.IsLoaded() {
		return
	}
	now := r.runtime.Now()
	if !r.lease.MayAnswer() {
		// During an outage of the state service that outlasts the answer grace period,
		// heartbeats are rejected, so workers must not count as silent for that time.
		r.listeningSince = now
	}
	for _, zone := range r.zones {
		zone.reportingWorkers = 0
	}
	for _, worker := range r.sortedWorkers {
		r.checkWorker(worker, now)
	}
	r.requestNewerTokenIfDue(now)
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
		r.checkUnreachableWorker(worker, now)
	}
	for task := range worker.Tasks {
		if task.Launch.IsSent() {
			r.checkLaunchedTask(worker, task, now)
		} else if r.cannotLaunch(worker, task, now) {
			r.endPlacement(worker, task, EvidenceNeverLaunched, taskstate.LossBeforeWaiting)
		}
	}
	if now > r.leaseExpiresAt(worker) {
		r.dropStraysOf(worker)
	}
	if len(worker.Tasks) > 0 && !worker.LeaseExpired && now > r.leaseExpiresAt(worker) {
		r.log.Info("worker lease expired", "worker", worker.ID, "count", len(worker.Tasks))
		worker.LeaseExpired = true
		r.endAllPlacements(worker, EvidenceLeaseExpired)
	}
}

// checkLaunchedTask repeats the halt of a cancelled task, and halts a task that has to leave
// its machine.
func (r *Registry) checkLaunchedTask(worker *Worker, task *taskstate.Task, now time.Duration) {
	if task.Job.Cancelled && now-task.Halt.CancelSentAt >= tuning.HaltRetryInterval {
		r.Announce(worker.ID, worker.Addr) // no effect if the worker has shown the current token
		r.commandsDue[worker] = true
	}
	r.haltIfMustMove(worker, task, now)
}

// cannotLaunch reports whether the placement of a task that was never launched should end,
// because the worker no longer accepts tasks or because the task need not run.
func (r *Registry) cannotLaunch(worker *Worker, task *taskstate.Task, now time.Duration) bool {
	gang := task.Job.Gang
	return (gang != nil && (gang.AttemptOver || gang.Done)) || r.isDraining(worker) || worker.Unreachable || task.Job.Cancelled ||
		!worker.HasReported || now-worker.LastHeartbeatAt > r.settings.WorkerDeadAfter()/2
}
