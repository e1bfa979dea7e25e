package controller

import (
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/placement"
	"lemonmoor/internal/shard"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// shardOwner holds a node's components for one shard, which are active while the node owns the
// shard. It implements workers.Lease and workers.Scheduler for the shard's worker registry,
// shard.TaskHandler for its task store and placement.Policy for its planner.
type shardOwner struct {
	node          *Node
	shardIndex    int
	token         uint64 // the fencing token of the shard's lease, 0 while it is not owned
	newestToken   uint64 // the highest token for messages to workers, see NewestToken
	tasks         *shard.TaskStore
	workers       *workers.Registry
	planner       *placement.Planner
	drainExecutor *drain.Executor // nil if drains are disabled
	rounds        roundSchedule
	// passedOverCheckedAt is when logPassedOver last looked for tasks that wait beside room.
	passedOverCheckedAt time.Duration
	statuses            statusSender
}

// roundSchedule paces the placement rounds.
type roundSchedule struct {
	needed    bool // something has changed since the last round
	scheduled bool // the next round waits for the end of the interval after the last one
	lastAt    time.Duration
}

func newShardOwner(node *Node, shardIndex int) *shardOwner {
	owner := &shardOwner{node: node, shardIndex: shardIndex, statuses: statusSender{lastSent: map[string]fleet.MachineStatus{}}}
	owner.tasks = shard.NewTaskStore(shardIndex, shard.Dependencies{
		Runtime: node.runtime, State: node.stateClient, Leases: node.leases, Catalog: node.catalog, Records: node.taskStates,
		Settings: node.settings, Handler: owner, Metrics: node.metrics, Log: node.log,
	})
	owner.workers = workers.NewRegistry(workers.Dependencies{
		Shard: shardIndex, Runtime: node.runtime, Lease: owner, Tasks: owner.tasks, Scheduler: owner, Settings: node.settings, Metrics: node.metrics,
		Log: node.log.With("shard", shardIndex),
	})
	owner.planner = placement.New(owner.workers, owner, node.settings.WaitBound())
	return owner
}

// Token returns the fencing token under which the shard is owned, 0 while it is not owned.
func (s *shardOwner) Token() uint64 { return s.token }

// NewestToken returns the highest fencing token for messages to workers: the revision of the newest
// commit that had the shard's token as a condition. Later owners, whose tokens are the revisions of
// later commits, have higher ones.
func (s *shardOwner) NewestToken() uint64 { return s.newestToken }

// RequestNewerToken requests a commit whose only purpose is its revision.
func (s *shardOwner) RequestNewerToken() {
	s.node.leases.CommitUnderToken(s.shardIndex, s.CommittedUnderToken)
}

// CommittedUnderToken records the revision of a commit that had the shard's token as a condition.
func (s *shardOwner) CommittedUnderToken(revision uint64) {
	s.newestToken = max(s.newestToken, revision)
}

// LeaseValid reports whether the shard's lease is certain to be valid now.
func (s *shardOwner) LeaseValid() bool { return s.token != 0 && s.node.leases.LeaseValid() }

// KnowledgeAge returns the age of the newest verification that all cancellations are known.
func (s *shardOwner) KnowledgeAge() time.Duration { return s.node.knowledgeAge() }

// MayAnswer reports whether workers' heartbeats may be answered.
func (s *shardOwner) MayAnswer() bool { return s.node.mayAnswer(s) }

// CancellationsVerifiedSince reports whether a recent verification has shown that all
// cancellations up to since or later are known. If not, it requests a verification.
func (s *shardOwner) CancellationsVerifiedSince(since time.Duration) bool {
	return s.node.cancellationsVerifiedSince(since)
}

// PreviousOwnerAnswersUntil returns the time after which no earlier owner answers workers.
func (s *shardOwner) PreviousOwnerAnswersUntil() time.Duration {
	return s.node.leases.PreviousOwnerAnswersUntil(s.shardIndex)
}

// RenewToken requests a new fencing token.
func (s *shardOwner) RenewToken() { s.node.leases.RenewToken(s.shardIndex) }

// MachineType returns a machine type by its name, nil if it is unknown.
func (s *shardOwner) MachineType(name string) *jobs.MachineType {
	return s.node.fleet.MachineType(name)
}

// IsClosedByDrain reports whether an operator's drain excludes a machine from new tasks.
func (s *shardOwner) IsClosedByDrain(workerID string) bool {
	return s.node.drains != nil && s.node.drains.records.IsClosed(workerID)
}

// UpdateRank updates a job's rank to a time of day, in milliseconds since the epoch, and reports
// whether the rank changed.
func (s *shardOwner) UpdateRank(job *taskstate.Job, wallMS int64) bool {
	return job.Rank.Update(job.Spec, s.node.settings, wallMS, job.OpenTasks())
}

// StartsPromptly reports whether gangs of a class should find capacity without waiting for a
// machine to be rented.
func (s *shardOwner) StartsPromptly(class string) bool { return s.node.settings.StartsPromptly(class) }

// TaskWaiting queues a task that is on no machine for placement. If the task belongs to a part
// of a divided gang whose attempt has ended, the part is returned to the leader instead, which
// divides the gang again.
func (s *shardOwner) TaskWaiting(task *taskstate.Task) {
	if task.Job.Gang != nil && task.Job.ChosenAttemptOver() {
		s.tasks.RecallTasks(task.Job.Spec.ID, len(task.Job.Tasks))
		return
	}
	s.planner.AddTask(task, s.node.runtime.Now())
	s.rounds.needed = true
}

// PlacementDurable launches a task whose placement has been committed.
func (s *shardOwner) PlacementDurable(task *taskstate.Task) { s.workers.PlacementDurable(task) }

// RecordsLoaded begins the worker registry's term when the task records have been read.
func (s *shardOwner) RecordsLoaded() { s.workers.BeginTerm() }

// GangDone completes the tasks of a gang that another shard has found to be done.
func (s *shardOwner) GangDone(job *taskstate.Job) { s.workers.GangDone(job) }

// DiscardTask removes a task from its worker, because the task's record has been deleted.
func (s *shardOwner) DiscardTask(task *taskstate.Task) { s.workers.DiscardTask(task) }

// CancelJob ends the tasks of a cancelled job.
func (s *shardOwner) CancelJob(job *taskstate.Job) { s.workers.CancelJob(job) }

// beginTerm starts a term of ownership under a new fencing token.
func (s *shardOwner) beginTerm(token uint64) {
	s.token, s.newestToken, s.statuses.fullNeeded = token, token, true
	s.planner.Reset()
	s.workers.EndTerm()
	if s.drainExecutor != nil {
		s.drainExecutor.BeginTerm()
	}
	s.tasks.BeginTerm(token)
}

// endTerm ends the term of ownership.
func (s *shardOwner) endTerm() {
	s.token, s.newestToken = 0, 0
	s.tasks.EndTerm()
	s.planner.Reset()
	s.workers.EndTerm()
}

// handleHeartbeat processes a worker's heartbeat and returns the HTTP status and the body of the
// answer.
func (s *shardOwner) handleHeartbeat(heartbeat *workers.Heartbeat) (status int, reply []byte) {
	status, reply = s.workers.HandleHeartbeat(heartbeat)
	s.rounds.needed = true
	return status, reply
}

// afterBatch runs the placement round and the commits that became due in a batch of event loop
// commands.
func (s *shardOwner) afterBatch() {
	if s.token == 0 || !s.tasks.IsLoaded() {
		return
	}
	if s.rounds.needed && s.LeaseValid() && !s.rounds.scheduled {
		s.runOrScheduleRound()
	}
	s.tasks.Flush()
	s.workers.AfterBatch()
}

// runOrScheduleRound runs a placement round, or delays it until roundInterval has passed since
// the last one.
func (s *shardOwner) runOrScheduleRound() {
	now := s.node.runtime.Now()
	if wait := s.rounds.lastAt + s.roundInterval() - now; wait > 0 && s.rounds.lastAt > 0 {
		s.rounds.scheduled = true
		s.node.runtime.After(wait, func() { s.rounds.scheduled = false })
		return
	}
	s.rounds.needed, s.rounds.lastAt = false, now
	s.planner.RunRound(s.workers.Workers(), now, s.node.runtime.WallClock())
}

// logPassedOver logs which tasks wait although a machine has room for them, and why, every
// tuning.PassedOverCheckInterval.
func (s *shardOwner) logPassedOver() {
	now := s.node.runtime.Now()
	if !s.tasks.IsLoaded() || now-s.passedOverCheckedAt < tuning.PassedOverCheckInterval {
		return
	}
	s.passedOverCheckedAt = now
	for _, passed := range s.planner.PassedOver(s.workers.Workers(), now) {
		reason := passed.Reason.String()
		s.node.metrics.AddPassedOver(reason)
		s.node.log.Info("task waits beside a machine with room", "shard", s.shardIndex, "task", passed.Task.Name(), "worker", passed.WorkerID,
			"reason", reason, "waited_s", passed.Waited.Seconds(), "attempt", passed.Task.Attempt)
	}
}

// roundInterval returns the minimum time between two placement rounds. It grows with the number
// of machines, since a round over more machines takes longer.
func (s *shardOwner) roundInterval() time.Duration {
	return tuning.MinRoundInterval + time.Duration(len(s.workers.Workers()))*tuning.RoundIntervalPerMachine
}
