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

// LeaderLease is what the Coordinator asks of the leader's lease.
type LeaderLease interface {
	// LeaseValid reports whether this process surely leads now.
	LeaseValid() bool
}

// Dependencies is what a Coordinator is built from. All but Tracer must be set.
type Dependencies struct {
	Runtime eventloop.Runtime
	State   *statestore.Client
	Lease   LeaderLease
	Records *Records
	Cluster Cluster
	// Settings are the node's; Operator.Drains must not be nil.
	Settings *settings.Settings
	Tracer   *Tracer // nil: nothing is traced
	Log      *slog.Logger
}

// Coordinator runs the drains while this process leads. Each of its rounds starts from
// records that are verified to hold all of its own commits, and makes at most one commit;
// so what is in use of a budget is known exactly, also when an answer is lost.
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

// NewCoordinator returns a coordinator that does not lead.
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

// BeginTerm starts a term of leadership under a fencing token: earlier leaders' commits
// fail from now on, so the records, once verified, hold all that was ever granted.
func (c *Coordinator) BeginTerm(token uint64) {
	c.EndTerm()
	c.committer.begin(token)
}

// EndTerm forgets everything: the leadership is lost.
func (c *Coordinator) EndTerm() {
	c.committer.end()
	c.reports.reset(c.cluster.ShardCount())
	c.stuck.reset()
	c.progress.reset()
	c.requests.abandon()
}

// canAct reports whether this process leads and knows all that decisions rest on.
func (c *Coordinator) canAct() bool {
	return c.committer.isReady() && c.lease.LeaseValid() && c.cluster.IsKnown()
}

// Handle answers an operator's request; answer is called once. Changes are confirmed
// when they are durable.
func (c *Coordinator) Handle(request *Request, answer func(Response)) {
	if refusal := request.Validate(); refusal != nil {
		answer(c.requests.refused(refusal))
		return
	}
	if !c.canAct() {
		answer(c.requests.unavailable("this node does not lead, or does not know all machines and work yet"))
		return
	}
	c.requests.handle(request, answer)
}

// HandleShardReport takes what a shard owner reports under its fencing token. The report
// is nil from an owner that knows no drains, or as long as it knows of none. Reports that
// are older than one already taken are dropped.
func (c *Coordinator) HandleShardReport(shardIndex int, token, sequence uint64, report *ShardReport) {
	if !c.committer.hasTerm() {
		return
	}
	if c.reports.accept(shardIndex, token, sequence, report) {
		c.Tick() // tasks run again: a budget has become free
	}
}

// Tick takes the next step. It is to be called once a second.
func (c *Coordinator) Tick() {
	if c.committer.inFlight || !c.canAct() {
		return
	}
	c.cluster.KeepIdle(c.records.replacements())
	if c.records.HasNoWork() {
		return
	}
	if c.state.WritesThrottled() {
		return // the scheduler's own decisions come first
	}
	c.writes.refill(c.rt.Now())
	if c.writes.available() == 0 {
		return
	}
	next := c.newRound()
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

// writeBudget is the part of the state service's changes a second that the drains take.
type writeBudget struct {
	bucket tokenbucket.Bucket
	rate   float64 // changes a second
}

func (b *writeBudget) refill(now time.Duration) { b.bucket.Refill(now, b.rate, max(1, b.rate)) }

// available returns how many changes may be made now.
func (b *writeBudget) available() int { return max(0, int(b.bucket.Tokens())) }

func (b *writeBudget) spend(changes int) { b.bucket.Spend(float64(changes)) }

// stuckMachines remembers since when nothing could be granted of a machine that has tasks
// to move.
type stuckMachines struct {
	rt    eventloop.Runtime
	since map[string]time.Duration // by machine
}

func (s *stuckMachines) reset() { s.since = map[string]time.Duration{} }

// note records whether a machine is stuck now.
func (s *stuckMachines) note(machineID string, isStuck bool) {
	if !isStuck {
		delete(s.since, machineID)
	} else if _, isNoted := s.since[machineID]; !isNoted {
		s.since[machineID] = s.rt.Now()
	}
}

// stuckFor returns how long nothing of a machine could be granted, 0 if something could.
func (s *stuckMachines) stuckFor(machineID string) time.Duration {
	if since, isStuck := s.since[machineID]; isStuck {
		return s.rt.Now() - since
	}
	return 0
}

// isStuck reports whether nothing of a machine could be granted for so long that other
// machines are taken in hand meanwhile.
func (s *stuckMachines) isStuck(machineID string) bool {
	return s.stuckFor(machineID) > tuning.DrainStuckAfter
}
