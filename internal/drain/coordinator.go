package drain

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tokenbucket"
	"lemonmoor/internal/tuning"
)

// LeaderLease is the leader's lease as the Coordinator sees it.
type LeaderLease interface {
	// LeaseValid reports whether this process is certain to hold the lease now.
	LeaseValid() bool
}

// Dependencies contains what NewCoordinator needs. All fields but Tracer must be set.
type Dependencies struct {
	Runtime eventloop.Runtime
	State   *statestore.Client
	Lease   LeaderLease
	Records *Records
	Cluster Cluster
	// Settings are the node's settings; Operator.Drains must not be nil.
	Settings *settings.Settings
	Tracer   *Tracer // nil disables tracing
	Log      *slog.Logger
}

// Coordinator runs the drains while this process leads. Each of its passes starts from
// records that are verified to contain all of its own commits, and makes at most one
// commit. The usage of each budget is therefore known exactly, even if the answer to a
// commit is lost.
type Coordinator struct {
	rt       eventloop.Runtime
	state    *statestore.Client
	lease    LeaderLease
	records  *Records
	cluster  Cluster
	settings *settings.Drains
	budgets  Budgets

	committer    *committer
	reports      *shardReports
	disturbances *disturbances
	writes       writeBudget
	stuck        *stuckMachines
	progress     *progressLog
	requests     *requestHandler
}

// NewCoordinator returns a coordinator outside a term of leadership.
func NewCoordinator(deps Dependencies) *Coordinator {
	coordinator := &Coordinator{
		rt: deps.Runtime, state: deps.State, lease: deps.Lease, records: deps.Records, cluster: deps.Cluster,
		settings: deps.Settings.Operator.Drains, budgets: NewBudgets(deps.Settings.Operator.Drains),
		committer: &committer{rt: deps.Runtime, state: deps.State, records: deps.Records},
		reports:   &shardReports{rt: deps.Runtime},
		writes:    writeBudget{rate: deps.Settings.Deployment.State.WriteRPS * tuning.DrainWriteShare},
		stuck:     &stuckMachines{rt: deps.Runtime},
	}
	coordinator.disturbances = &disturbances{cluster: coordinator.cluster, records: coordinator.records, reports: coordinator.reports}
	coordinator.progress = &progressLog{log: deps.Log, tracer: deps.Tracer, cluster: coordinator.cluster, budgets: coordinator.budgets}
	coordinator.requests = &requestHandler{
		rt: coordinator.rt, state: coordinator.state, cluster: coordinator.cluster, records: coordinator.records, budgets: coordinator.budgets,
		committer: coordinator.committer, disturbances: coordinator.disturbances, progress: coordinator.progress,
		node: deps.Settings.Node, log: deps.Log,
	}
	coordinator.EndTerm()
	return coordinator
}

// BeginTerm starts a term of leadership under a fencing token. Commits of earlier leaders
// fail from now on, so the records contain every grant once they are verified.
func (c *Coordinator) BeginTerm(token uint64) {
	c.EndTerm()
	c.committer.beginTerm(token)
}

// EndTerm ends the term, when the leadership is lost. It discards the reports, stuck machines
// and wait reasons, and answers a request whose commit is in progress as unavailable.
func (c *Coordinator) EndTerm() {
	c.committer.endTerm()
	c.reports.reset(c.cluster.ShardCount())
	c.stuck.reset()
	c.progress.reset()
	c.requests.abandon()
}

// canAct reports whether this process leads and has verified the records and loaded the
// machines and tasks that its decisions depend on.
func (c *Coordinator) canAct() bool {
	return c.committer.isReady() && c.lease.LeaseValid() && c.cluster.IsKnown()
}

// Handle answers an operator's request. It calls answer once; a change is confirmed when it
// is durable.
func (c *Coordinator) Handle(request *Request, answer func(Response)) {
	if refusal := request.Validate(); refusal != nil {
		answer(c.requests.refused(refusal))
		return
	}
	if !c.canAct() {
		answer(c.requests.unavailable("this controller does not lead, or has not loaded all drains, machines and tasks yet"))
		return
	}
	c.requests.handle(request, answer)
}

// HandleShardReport processes the report that a shard owner sent under its fencing token.
// The report is nil if drains are off in the owner's settings, or while its records show no
// active drain and no grant. A report that is older than the newest one received for the shard is dropped.
func (c *Coordinator) HandleShardReport(shardIndex int, token, sequence uint64, report *ShardReport) {
	if !c.committer.hasTerm() {
		return
	}
	if c.reports.accept(shardIndex, token, sequence, report) {
		c.Tick() // tasks run again, so their share of the budget is free
	}
}

// Tick evaluates all drains and commits their next steps. It must be called once a second.
func (c *Coordinator) Tick() {
	if c.committer.inFlight || !c.canAct() {
		return
	}
	c.cluster.KeepIdle(c.records.replacements())
	if c.records.HasNoWork() {
		return
	}
	if c.state.WritesThrottled() {
		return // the scheduler's own decisions have priority
	}
	c.writes.refill(c.rt.Now())
	if c.writes.available() == 0 {
		return
	}
	next := c.newReconcilePass()
	for _, drain := range c.records.Drains() {
		next.advance(drain)
	}
	next.collectGarbage()
	c.progress.setWaitReasons(next.waitReasons)
	if changes := next.changes; !changes.isEmpty() {
		c.writes.spend(len(changes.operations))
		c.committer.commit(changes.conditions, changes.operations, func(bool) { c.progress.stepsCommitted(next.steps, next.usage) })
	}
}

// writeBudget limits the drains to their part of the write operations per second of the
// state service.
type writeBudget struct {
	bucket tokenbucket.Bucket
	rate   float64 // write operations per second
}

func (b *writeBudget) refill(now time.Duration) { b.bucket.Refill(now, b.rate, max(1, b.rate)) }

// available returns how many write operations may be made now.
func (b *writeBudget) available() int { return max(0, int(b.bucket.Tokens())) }

func (b *writeBudget) spend(operations int) { b.bucket.Spend(float64(operations)) }

// stuckMachines records since when no move could be granted on each machine that has tasks
// to move.
type stuckMachines struct {
	rt    eventloop.Runtime
	since map[string]time.Duration // by machine
}

func (s *stuckMachines) reset() { s.since = map[string]time.Duration{} }

// update records whether a machine is stuck now. The start of an unbroken stuck period is
// retained.
func (s *stuckMachines) update(machineID string, isStuck bool) {
	if !isStuck {
		delete(s.since, machineID)
	} else if _, wasStuck := s.since[machineID]; !wasStuck {
		s.since[machineID] = s.rt.Now()
	}
}

// stuckFor returns for how long no move could be granted on a machine, 0 if it is not stuck.
func (s *stuckMachines) stuckFor(machineID string) time.Duration {
	if since, isStuck := s.since[machineID]; isStuck {
		return s.rt.Now() - since
	}
	return 0
}

// isStuck reports whether a machine has been stuck for longer than DrainStuckAfter. Other
// machines are then started in addition.
func (s *stuckMachines) isStuck(machineID string) bool {
	return s.stuckFor(machineID) > tuning.DrainStuckAfter
}
