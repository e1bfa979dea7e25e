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

// shardOwner is what a node keeps for a shard, and acts with while it owns it. It is the
// lease and the scheduler that the shard's worker registry works with.
type shardOwner struct {
	node          *Node
	shardIndex    int
	token         uint64 // the fencing token of the shard's lease, 0 while it is not owned
	tasks         *shard.TaskStore
	workers       *workers.Registry
	planner       *placement.Planner
	drainExecutor *drain.Executor // nil if drains are off
	rounds        roundSchedule
	statuses      statusSender
}

// roundSchedule paces the placement rounds.
type roundSchedule struct {
	needed    bool // something has changed since the last round
	scheduled bool // a round waits for the interval after the last one
	lastAt    time.Duration
}

func newShardOwner(node *Node, shardIndex int) *shardOwner {
	owner := &shardOwner{node: node, shardIndex: shardIndex, statuses: statusSender{lastSent: map[string]fleet.MachineStatus{}}}
	owner.tasks = shard.NewTaskStore(shardIndex, shard.Dependencies{
		Runtime: node.runtime, State: node.stateClient, Leases: node.leases, Catalog: node.catalog, Records: node.taskStates,
		Settings: node.settings, Handler: owner, Log: node.log,
	})
	owner.workers = workers.NewRegistry(workers.Dependencies{
		Runtime: node.runtime, Lease: owner, Tasks: owner.tasks, Scheduler: owner, Settings: node.settings,
		Log: node.log.With("shard", shardIndex),
	})
	owner.planner = placement.New(owner.workers, owner, node.settings.WaitBound())
	return owner
}

// Token is the fencing token under which the shard is owned, 0 while it is not.
func (s *shardOwner) Token() uint64 { return s.token }

// LeaseValid tells whether the shard's lease surely holds now.
func (s *shardOwner) LeaseValid() bool { return s.token != 0 && s.node.leases.LeaseValid() }

// MayAnswer tells whether workers' heartbeats may be answered.
func (s *shardOwner) MayAnswer() bool { return s.node.mayAnswer(s) }

// CancellationsVerifiedSince tells whether a job that is not known to be cancelled is
// verified not to have been at or after a moment, by a recent check; if not, one is asked
// for.
func (s *shardOwner) CancellationsVerifiedSince(since time.Duration) bool {
	return s.node.cancellationsVerifiedSince(since)
}

// PreviousOwnerAnswersUntil is when the last earlier owner stops answering workers, at the
// latest.
func (s *shardOwner) PreviousOwnerAnswersUntil() time.Duration {
	return s.node.leases.PreviousOwnerAnswersUntil(s.shardIndex)
}

// RenewToken asks for a new fencing token.
func (s *shardOwner) RenewToken() { s.node.leases.RenewToken(s.shardIndex) }

// MachineType finds a machine type by its name, nil if it is not known.
func (s *shardOwner) MachineType(name string) *jobs.MachineType {
	return s.node.fleet.MachineType(name)
}

// IsClosedByDrain tells whether operators' drains keep new tasks off a machine.
func (s *shardOwner) IsClosedByDrain(workerID string) bool {
	return s.node.drains != nil && s.node.drains.records.IsClosed(workerID)
}

// UpdateRank brings a job's rank up to a time of day in milliseconds and tells whether it
// changed.
func (s *shardOwner) UpdateRank(job *taskstate.Job, wallMS int64) bool {
	return job.Rank.Update(job.Spec, s.node.settings, wallMS, job.OpenTasks())
}

// StartsPromptly tells whether gangs of a class should find capacity at once.
func (s *shardOwner) StartsPromptly(class string) bool { return s.node.settings.StartsPromptly(class) }

// TaskWaiting has a task placed that is on no machine. A part of a divided gang whose
// attempt is over goes back to the leader instead, which divides the gang anew.
func (s *shardOwner) TaskWaiting(task *taskstate.Task) {
	if task.Job.Gang != nil && task.Job.ChosenAttemptOver() {
		s.tasks.RecallTasks(task.Job.Spec.ID, len(task.Job.Tasks))
		return
	}
	s.planner.AddTask(task, s.node.runtime.Now())
	s.rounds.needed = true
}

// PlacementDurable has a task launched whose placement is durable.
func (s *shardOwner) PlacementDurable(task *taskstate.Task) { s.workers.PlacementDurable(task) }

// RecordsLoaded begins the workers' term when the records have been read.
func (s *shardOwner) RecordsLoaded() { s.workers.BeginTerm() }

// GangDone ends a gang that is done, as another shard has found.
func (s *shardOwner) GangDone(job *taskstate.Job) { s.workers.GangDone(job) }

// DiscardTask takes a task off its worker whose record is gone.
func (s *shardOwner) DiscardTask(task *taskstate.Task) { s.workers.DiscardTask(task) }

// CancelJob ends the tasks of a cancelled job.
func (s *shardOwner) CancelJob(job *taskstate.Job) { s.workers.CancelJob(job) }

// beginTerm starts to act under a new fencing token.
func (s *shardOwner) beginTerm(token uint64) {
	s.token, s.statuses.fullNeeded = token, true
	s.planner.Reset()
	s.workers.EndTerm()
	if s.drainExecutor != nil {
		s.drainExecutor.BeginTerm()
	}
	s.tasks.BeginTerm(token)
}

// endTerm stops acting for the shard.
func (s *shardOwner) endTerm() {
	s.token = 0
	s.tasks.EndTerm()
	s.planner.Reset()
	s.workers.EndTerm()
}

// handleHeartbeat takes in a worker's heartbeat and returns the HTTP status and the body of
// the answer.
func (s *shardOwner) handleHeartbeat(heartbeat *workers.Heartbeat) (status int, reply []byte) {
	status, reply = s.workers.HandleHeartbeat(heartbeat)
	s.rounds.needed = true
	return status, reply
}

// afterBatch takes the decisions that a batch of commands has made necessary.
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

// runOrScheduleRound runs a placement round, or waits for the interval after the last one.
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

// roundInterval is the time between two placement rounds: a round of many machines takes
// longer.
func (s *shardOwner) roundInterval() time.Duration {
	return tuning.MinRoundInterval + time.Duration(len(s.workers.Workers()))*tuning.RoundIntervalPerMachine
}
