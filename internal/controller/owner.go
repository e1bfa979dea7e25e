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

// owner is what a node keeps for a block that it owns.
type owner struct {
	node    *Node
	block   int
	token   uint64
	tasks   *shard.TaskStore
	workers *workers.Registry
	planner *placement.Planner

	lastRound time.Duration
	rounding  bool
	wanted    bool // a placement round is due

	seq    uint64 // of the digests
	told   map[string]fleet.MachineStatus
	drains *drain.Executor // nil if they are off
	unsent bool            // a status message may not have arrived
}

// Token, Valid, Answering and Renew are the block's lease, as the table sees it.
func (o *owner) Token() uint64 { return o.token }

// LeaseValid tells whether the lease surely holds now.
func (o *owner) LeaseValid() bool { return o.token != 0 && o.node.leases.LeaseValid() }

// MayAnswer tells whether reports are taken in.
func (o *owner) MayAnswer() bool { return o.node.answering(o) }

// CancellationsVerifiedSince tells whether a job not known to be cancelled is proven not to have been at
// or after a moment, and lately; if not, a proof is asked for.
func (o *owner) CancellationsVerifiedSince(since time.Duration) bool { return o.node.fresh(since) }

// PreviousOwnerAnswersUntil is when the last earlier owner stops answering, at the latest.
func (o *owner) PreviousOwnerAnswersUntil() time.Duration {
	return o.node.leases.PreviousOwnerAnswersUntil(o.block)
}

// RenewToken asks for a new token.
func (o *owner) RenewToken() { o.node.leases.RenewToken(o.block) }

func newOwner(n *Node, number int) *owner {
	o := &owner{node: n, block: number, told: map[string]fleet.MachineStatus{}}
	o.tasks = shard.NewTaskStore(number, shard.Dependencies{
		Runtime: n.rt, State: n.state, Leases: n.leases, Catalog: n.cat, Records: n.store, Settings: n.set, Handler: o, Log: n.log,
	})
	o.workers = workers.NewRegistry(workers.Dependencies{Runtime: n.rt, Lease: o, Tasks: o.tasks, Scheduler: o, Settings: n.set, Log: n.log})
	o.planner = placement.New(o.workers, o, n.set.WaitBound())
	return o
}

// TaskWaiting has a task placed that has become free for another machine.
func (o *owner) TaskWaiting(t *taskstate.Task) { o.arrive(t) }

// PlacementDurable has a task launched whose placement is durable.
func (o *owner) PlacementDurable(t *taskstate.Task) { o.workers.PlacementDurable(t) }

// RecordsLoaded begins the workers' term when the records have been read.
func (o *owner) RecordsLoaded() { o.workers.BeginTerm() }

// GangDone ends a gang that is done, as another shard has found.
func (o *owner) GangDone(j *taskstate.Job) { o.workers.GangDone(j) }

// DiscardTask takes a task off its worker whose record is gone.
func (o *owner) DiscardTask(t *taskstate.Task) { o.workers.DiscardTask(t) }

// CancelJob ends the tasks of a cancelled job.
func (o *owner) CancelJob(j *taskstate.Job) { o.workers.CancelJob(j) }

// MachineType finds a machine type by its name, nil if it is not known.
func (o *owner) MachineType(name string) *jobs.MachineType { return o.node.fleet.MachineType(name) }

// IsClosedByDrain tells whether operators' drains keep new tasks off a machine.
func (o *owner) IsClosedByDrain(workerID string) bool {
	return o.node.drains != nil && o.node.drains.book.IsClosed(workerID)
}

// UpdateRank brings a job's rank up to a time of day in milliseconds and tells whether it
// changed.
func (o *owner) UpdateRank(j *taskstate.Job, wallMS int64) bool {
	return j.Rank.Update(j.Spec, o.node.set, wallMS, j.OpenTasks())
}

// StartsPromptly tells whether gangs of a class should find room at once.
func (o *owner) StartsPromptly(class string) bool { return o.node.set.StartsPromptly(class) }

func (o *owner) arrive(t *taskstate.Task) {
	if t.Job.Gang != nil && t.Job.ChosenAttemptOver() {
		o.tasks.RecallTasks(t.Job.Spec.ID, len(t.Job.Tasks)) // the leader divides it anew
		return
	}
	o.planner.AddTask(t, o.node.rt.Now())
	o.wanted = true
}

// begin starts to act under a new token.
func (o *owner) begin(token uint64) {
	o.token, o.unsent = token, true
	o.planner.Reset()
	o.workers.EndTerm()
	if o.drains != nil {
		o.drains.BeginTerm()
	}
	o.tasks.BeginTerm(token)
}

func (o *owner) end() {
	o.token = 0
	o.tasks.EndTerm()
	o.planner.Reset()
	o.workers.EndTerm()
}

// pause is the time between two placement rounds.
func (o *owner) pause() time.Duration {
	return tuning.MinRoundInterval + time.Duration(len(o.workers.Workers()))*tuning.RoundIntervalPerMachine
}

// settle takes the decisions that a batch of commands has made necessary.
func (o *owner) settle() {
	if o.token == 0 || !o.tasks.IsLoaded() {
		return
	}
	if o.wanted && o.LeaseValid() && !o.rounding {
		now := o.node.rt.Now()
		if wait := o.lastRound + o.pause() - now; wait > 0 && o.lastRound > 0 {
			o.rounding = true
			o.node.rt.After(wait, func() { o.rounding = false })
		} else {
			o.wanted, o.lastRound = false, now
			o.planner.RunRound(o.workers.Workers(), now, o.node.rt.WallClock())
		}
	}
	o.tasks.Flush()
	o.workers.AfterBatch()
}

// status is the owner's word to the leader: of all machines when the word
// before may not have arrived, else of those of which something has changed.
func (o *owner) status() *statusMessage {
	now := o.node.rt.Now()
	hosts := o.workers.Workers()
	o.seq++
	d := &fleet.ShardStatus{Node: o.node.set.Node, Shard: o.block, Token: o.token, Seq: o.seq, Full: o.unsent, ReachableZones: o.workers.ReachableZones()}
	if o.unsent {
		clear(o.told)
	}
	up, quiet := 0, 0
	for _, h := range hosts {
		if h.HasReported {
			up++
		}
		if o.workers.IsSuspect(h) {
			quiet++
		}
	}
	for _, h := range hosts {
		s := fleet.MachineStatus{
			ID: h.ID, Addr: h.Addr, MachineType: h.MachineTypeName, Zone: h.Zone, Spot: h.Spot, HasReported: h.HasReported,
			AcceptsTasks: o.workers.AcceptsTasks(h), Busy: len(h.Tasks)+h.UnknownTasks > 0, ReleaseReason: o.workers.ReleaseReason(h, quiet, up),
		}
		if o.told[h.ID] == s {
			continue
		}
		o.told[h.ID] = s
		if !s.Busy {
			s.IdleMS = (now - h.IdleSince).Milliseconds()
		}
		d.Hosts = append(d.Hosts, s)
	}
	o.unsent = true // until its answer is in
	message := &statusMessage{ShardStatus: d}
	if o.drains != nil {
		message.Drains = o.drains.Report()
	}
	return message
}

// obey carries out the leader's answer to a status message.
func (o *owner) obey(r *fleet.StatusReply) {
	o.unsent = r.Full
	for _, id := range r.Released {
		o.workers.MachineReleased(id)
		delete(o.told, id)
	}
	for _, m := range r.Machines {
		o.workers.Announce(m.ID, m.Addr)
	}
	for _, id := range r.Drain {
		o.workers.StopPlacements(id, "idle")
	}
	for _, c := range r.Recall {
		o.tasks.RecallTasks(c.Job, c.Tasks)
	}
	o.wanted = true
}
