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

// shardOwner is what a node keeps for a block that it owns.
type shardOwner struct {
	node       *Node
	shardIndex int
	token      uint64
	tasks      *shard.TaskStore
	workers    *workers.Registry
	planner    *placement.Planner

	lastRoundAt    time.Duration
	roundScheduled bool
	roundNeeded    bool // a placement round is due

	statusSequence   uint64 // of the digests
	lastSent         map[string]fleet.MachineStatus
	drainExecutor    *drain.Executor // nil if they are off
	fullStatusNeeded bool            // a status message may not have arrived
}

// Token, Valid, Answering and Renew are the block's lease, as the table sees it.
func (s *shardOwner) Token() uint64 { return s.token }

// LeaseValid tells whether the lease surely holds now.
func (s *shardOwner) LeaseValid() bool { return s.token != 0 && s.node.leases.LeaseValid() }

// MayAnswer tells whether reports are taken in.
func (s *shardOwner) MayAnswer() bool { return s.node.mayAnswer(s) }

// CancellationsVerifiedSince tells whether a job not known to be cancelled is proven not to have been at
// or after a moment, and lately; if not, a proof is asked for.
func (s *shardOwner) CancellationsVerifiedSince(since time.Duration) bool {
	return s.node.cancellationsVerifiedSince(since)
}

// PreviousOwnerAnswersUntil is when the last earlier owner stops answering, at the latest.
func (s *shardOwner) PreviousOwnerAnswersUntil() time.Duration {
	return s.node.leases.PreviousOwnerAnswersUntil(s.shardIndex)
}

// RenewToken asks for a new token.
func (s *shardOwner) RenewToken() { s.node.leases.RenewToken(s.shardIndex) }

func newShardOwner(node *Node, shardIndex int) *shardOwner {
	owner := &shardOwner{node: node, shardIndex: shardIndex, lastSent: map[string]fleet.MachineStatus{}}
	owner.tasks = shard.NewTaskStore(node.runtime, node.stateClient, node.leases, node.catalog, node.taskStates, node.settings, node.log, shardIndex)
	owner.workers = workers.NewRegistry(workers.Dependencies{Runtime: node.runtime, Lease: owner, Tasks: owner.tasks, Scheduler: owner, Settings: node.settings, Log: node.log})
	owner.planner = placement.New(owner.workers, owner, node.settings.WaitBound())
	owner.tasks.TaskWaiting = owner.enqueueTask
	owner.tasks.PlacementDurable = owner.workers.PlacementDurable
	owner.tasks.DiscardTask = owner.workers.DiscardTask
	owner.tasks.GangDone = owner.workers.GangDone
	owner.tasks.CancelJob = owner.workers.CancelJob
	owner.tasks.RecordsLoaded = owner.workers.BeginTerm
	return owner
}

// TaskWaiting has a task placed that has become free for another machine.
func (s *shardOwner) TaskWaiting(task *taskstate.Task) { s.enqueueTask(task) }

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

// StartsPromptly tells whether gangs of a class should find room at once.
func (s *shardOwner) StartsPromptly(class string) bool { return s.node.settings.StartsPromptly(class) }

func (s *shardOwner) enqueueTask(task *taskstate.Task) {
	if task.Job.Gang != nil && task.Job.ChosenAttemptOver() {
		s.tasks.RecallTasks(task.Job.Spec.ID, len(task.Job.Tasks)) // the leader divides it anew
		return
	}
	s.planner.AddTask(task, s.node.runtime.Now())
	s.roundNeeded = true
}

// beginTerm starts to act under a new token.
func (s *shardOwner) beginTerm(token uint64) {
	s.token, s.fullStatusNeeded = token, true
	s.planner.Reset()
	s.workers.EndTerm()
	if s.drainExecutor != nil {
		s.drainExecutor.BeginTerm()
	}
	s.tasks.BeginTerm(token)
}

func (s *shardOwner) endTerm() {
	s.token = 0
	s.tasks.EndTerm()
	s.planner.Reset()
	s.workers.EndTerm()
}

// roundInterval is the time between two placement rounds.
func (s *shardOwner) roundInterval() time.Duration {
	return tuning.MinRoundInterval + time.Duration(len(s.workers.Workers()))*tuning.RoundIntervalPerMachine
}

// afterBatch takes the decisions that a batch of commands has made necessary.
func (s *shardOwner) afterBatch() {
	if s.token == 0 || !s.tasks.IsLoaded() {
		return
	}
	if s.roundNeeded && s.LeaseValid() && !s.roundScheduled {
		now := s.node.runtime.Now()
		if wait := s.lastRoundAt + s.roundInterval() - now; wait > 0 && s.lastRoundAt > 0 {
			s.roundScheduled = true
			s.node.runtime.After(wait, func() { s.roundScheduled = false })
		} else {
			s.roundNeeded, s.lastRoundAt = false, now
			s.planner.RunRound(s.workers.Workers(), now, s.node.runtime.WallClock())
		}
	}
	s.tasks.Flush()
	s.workers.AfterBatch()
}

// nextStatus is the owner's word to the leader: of all machines when the word
// before may not have arrived, else of those of which something has changed.
func (s *shardOwner) nextStatus() *statusMessage {
	now := s.node.runtime.Now()
	machines := s.workers.Workers()
	s.statusSequence++
	status := &fleet.ShardStatus{Node: s.node.settings.Node, Shard: s.shardIndex, Token: s.token, Seq: s.statusSequence, Full: s.fullStatusNeeded, ReachableZones: s.workers.ReachableZones()}
	if s.fullStatusNeeded {
		clear(s.lastSent)
	}
	reporting, suspects := 0, 0
	for _, worker := range machines {
		if worker.HasReported {
			reporting++
		}
		if s.workers.IsSuspect(worker) {
			suspects++
		}
	}
	for _, worker := range machines {
		machine := fleet.MachineStatus{
			ID: worker.ID, Addr: worker.Addr, MachineType: worker.MachineTypeName, Zone: worker.Zone, Spot: worker.Spot, HasReported: worker.HasReported,
			AcceptsTasks: s.workers.AcceptsTasks(worker), Busy: len(worker.Tasks)+worker.UnknownTasks > 0, ReleaseReason: s.workers.ReleaseReason(worker, suspects, reporting),
		}
		if s.lastSent[worker.ID] == machine {
			continue
		}
		s.lastSent[worker.ID] = machine
		if !machine.Busy {
			machine.IdleMS = (now - worker.IdleSince).Milliseconds()
		}
		status.Hosts = append(status.Hosts, machine)
	}
	s.fullStatusNeeded = true // until its answer is in
	message := &statusMessage{ShardStatus: status}
	if s.drainExecutor != nil {
		message.Drains = s.drainExecutor.Report()
	}
	return message
}

// applyStatusReply carries out the leader's answer to a status message.
func (s *shardOwner) applyStatusReply(reply *fleet.StatusReply) {
	s.fullStatusNeeded = reply.Full
	for _, id := range reply.Released {
		s.workers.MachineReleased(id)
		delete(s.lastSent, id)
	}
	for _, machine := range reply.Machines {
		s.workers.Announce(machine.ID, machine.Addr)
	}
	for _, id := range reply.Drain {
		s.workers.StopPlacements(id, "idle")
	}
	for _, recall := range reply.Recall {
		s.tasks.RecallTasks(recall.Job, recall.Tasks)
	}
	s.roundNeeded = true
}
