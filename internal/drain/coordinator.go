package drain

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// LeaderLease is what the Coordinator asks of the leader's lease.
type LeaderLease interface {
	LeaseValid() bool
}

// Coordinator runs the drains while this process leads. Each of its rounds starts from
// a book that is proven to hold all of its own commits, and makes at most one; so what
// is in use of a budget is known exactly, also when an answer is lost.
type Coordinator struct {
	rt            eventloop.Runtime
	state         *statestore.Client
	lease         LeaderLease
	records       *Records
	cluster       Cluster
	settings      *settings.Settings
	drainSettings *settings.Drains
	budgets       Budgets
	tracer        *Tracer
	log           *slog.Logger
	node          string

	term           int    // grows with each lead won; late answers of old ones are dropped
	token          uint64 // of the lead, 0 if not held
	isCurrent      bool
	commitInFlight bool // a commit is under way, or its outcome is being read
	reports        []receivedReport
	ranAttempts    map[TaskName]uint64      // highest attempt that a report showed running
	waitReasons    map[string][]string      // by drain: what it waits for
	stuckSince     map[string]time.Duration // by machine: since when nothing of it could be granted
	pendingAnswer  func(Response)           // the request that is being committed, nil for none
	writeTokens    float64                  // state changes that may be made now
	refilledAt     time.Duration            // when that was last looked at
}

// NewCoordinator returns a coordinator without the lead. set.Operator.Drains must not
// be nil.
func NewCoordinator(rt eventloop.Runtime, state *statestore.Client, lease LeaderLease, book *Records, cluster Cluster,
	set *settings.Settings, trace *Tracer, log *slog.Logger,
) *Coordinator {
	c := &Coordinator{
		rt: rt, state: state, lease: lease, records: book, cluster: cluster, settings: set,
		drainSettings: set.Operator.Drains, budgets: NewBudgets(set.Operator.Drains), tracer: trace, log: log, node: set.Node,
	}
	c.EndTerm()
	return c
}

// BeginTerm starts a term: earlier leaders' commits fail from now on, so the records
// proven to be current hold all that was ever granted.
func (c *Coordinator) BeginTerm(token uint64) {
	c.EndTerm()
	c.token = token
	c.awaitCurrent(c.term, 0)
}

// EndTerm forgets everything: the lead is lost.
func (c *Coordinator) EndTerm() {
	c.term++
	c.token, c.isCurrent, c.commitInFlight = 0, false, false
	c.reports = make([]receivedReport, c.cluster.ShardCount())
	c.ranAttempts, c.waitReasons, c.stuckSince = map[TaskName]uint64{}, map[string][]string{}, map[string]time.Duration{}
	c.tracer.End()
	c.reply(c.unavailable("the leader has changed"))
}

func (c *Coordinator) awaitCurrent(term, attempt int) {
	c.records.Verify(func(err error) {
		if term != c.term {
			return
		}
		if err != nil {
			c.rt.After(c.state.Backoff(attempt), func() {
				if term == c.term {
					c.awaitCurrent(term, attempt+1)
				}
			})
			return
		}
		c.isCurrent = true
	})
}

// Tick takes the next step; once a second.
func (c *Coordinator) Tick() {
	if c.token == 0 || !c.isCurrent || c.commitInFlight || !c.lease.LeaseValid() || !c.cluster.IsKnown() {
		return
	}
	c.keepReplacements()
	if c.records.IsEmptyOfWork() {
		return
	}
	if c.state.WritesThrottled() {
		return // decisions of the daemon come first
	}
	c.refillWrites()
	if c.writeTokens < 1 {
		return
	}
	r := c.newRound()
	for _, drain := range c.records.Drains() {
		r.advance(drain)
	}
	r.collectGarbage()
	c.logWaitReasons(r.waitReasons)
	if len(r.operations) > 0 {
		c.writeTokens -= float64(len(r.operations))
		c.commit(r.conditions, r.operations, func(bool) { r.logSteps() })
	}
}

// refillWrites lets the drains have their part of the changes a second.
func (c *Coordinator) refillWrites() {
	rate := c.settings.Deployment.State.WriteRPS * tuning.DrainWriteShare
	now := c.rt.Now()
	c.writeTokens = min(max(1, rate), c.writeTokens+rate*(now-c.refilledAt).Seconds())
	c.refilledAt = now
}

// keepReplacements has the replacements kept while they wait for the work.
func (c *Coordinator) keepReplacements() {
	replacements := map[string]bool{}
	for _, drain := range c.records.Drains() {
		if !drain.Head.Phase.Active() {
			continue
		}
		drain.EachMachine(func(_, _ int, machine *Machine) {
			if machine.Replacement != "" && machine.State != MachineReleased {
				replacements[machine.Replacement] = true
			}
		})
	}
	c.cluster.KeepIdle(replacements)
}

// logWaitReasons says what the drains wait for, when that changes.
func (c *Coordinator) logWaitReasons(reasons map[string][]string) {
	for drainID, current := range reasons {
		if !slices.Equal(current, c.waitReasons[drainID]) {
			for _, reason := range current {
				c.log.Info("drain waits", "drain", drainID, "why", reason)
			}
			c.tracer.Waits(drainID, current)
		}
	}
	c.waitReasons = reasons
}

// commit carries changes out under the lead, and calls done when the book shows what
// came of them; ok is false if a guard failed. A commit without an answer is repeated:
// carried out twice, it fails the second time.
func (c *Coordinator) commit(conditions []statestore.Condition, operations []statestore.Operation, done func(ok bool)) {
	c.commitInFlight = true
	conditions = append([]statestore.Condition{{Key: statestore.LeaderKey, Revision: c.token}}, conditions...)
	c.attemptCommit(c.term, 0, conditions, operations, done)
}

func (c *Coordinator) attemptCommit(term, attempt int, conditions []statestore.Condition, operations []statestore.Operation, done func(bool)) {
	if term != c.term {
		return
	}
	c.state.Commit(conditions, operations, func(result statestore.CommitResult) {
		switch {
		case term != c.term:
		case result.Outcome == statestore.OutcomeOK || result.Outcome == statestore.OutcomeConflict:
			c.awaitCommitted(term, 0, func() { done(result.Outcome == statestore.OutcomeOK) })
		default:
			c.rt.After(c.state.Backoff(attempt), func() { c.attemptCommit(term, attempt+1, conditions, operations, done) })
		}
	})
}

// awaitCommitted waits until the book is proven to hold what was committed.
func (c *Coordinator) awaitCommitted(term, attempt int, done func()) {
	c.records.Verify(func(err error) {
		switch {
		case term != c.term:
		case err != nil:
			c.rt.After(c.state.Backoff(attempt), func() {
				if term == c.term {
					c.awaitCommitted(term, attempt+1, done)
				}
			})
		default:
			c.commitInFlight = false
			done()
		}
	})
}

// round is one look at all drains, and the one commit that comes of it.
type round struct {
	coordinator    *Coordinator
	usage          *usage
	unknownShard   int // a block of which too little is known to grant anything, -1 for none
	conditions     []statestore.Condition
	operations     []statestore.Operation
	operationsLeft int                  // changes that the commit may still take
	pageEdits      map[string]*pageEdit // by key
	grantedNow     map[TaskRef]bool     // granted in this round
	// withoutRoom are the machines for tasks of which there is no room elsewhere.
	withoutRoom map[string]bool
	waitReasons map[string][]string
	steps       []step // to be logged when they are durable
}

// pageEdit is a page that is being changed.
type pageEdit struct {
	page           Page
	operationIndex int // its place in apply
}

// step is something to be logged and traced once it is committed.
type step struct {
	drainID, machineID, name string
	grant                    *Grant
}

func (c *Coordinator) newRound() *round {
	r := &round{
		coordinator: c, usage: c.currentUsage(), unknownShard: c.shardWithoutReport(), operationsLeft: min(c.state.MaxOperations(), int(c.writeTokens)), pageEdits: map[string]*pageEdit{},
		grantedNow: map[TaskRef]bool{}, withoutRoom: map[string]bool{}, waitReasons: map[string][]string{},
	}
	if c.records.HasUnreadable() {
		r.unknownShard = len(c.reports)
	}
	return r
}

// addWaitReason notes what a drain waits for.
func (r *round) addWaitReason(drain *Drain, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	if reasons := r.waitReasons[drain.ID]; !slices.Contains(reasons, reason) && len(reasons) < tuning.MaxDrainWaitReasons {
		r.waitReasons[drain.ID] = append(reasons, reason)
	}
}

// put adds a change of a key that must still have the stamp.
func (r *round) put(key string, revision uint64, value any) bool {
	raw, err := encode(value)
	if err != nil || r.operationsLeft <= 0 {
		return false
	}
	r.operationsLeft--
	r.conditions = append(r.conditions, statestore.Condition{Key: key, Revision: revision})
	r.operations = append(r.operations, statestore.Operation{PutKey: key, Value: raw})
	return true
}

func (r *round) delete(key string, revision uint64) bool {
	if r.operationsLeft <= 0 {
		return false
	}
	r.operationsLeft--
	r.conditions = append(r.conditions, statestore.Condition{Key: key, Revision: revision})
	r.operations = append(r.operations, statestore.Operation{DeleteKey: key})
	return true
}

// editMachine changes a machine's entry; false if the commit has no room for it.
func (r *round) editMachine(drain *Drain, page, position int, stepName string, change func(*Machine)) bool {
	key := PageKey(drain.ID, page)
	edit := r.pageEdits[key]
	if edit == nil {
		stored := drain.Pages[page]
		edit = &pageEdit{page: Page{slices.Clone(stored.Machines)}, operationIndex: len(r.operations)}
		if !r.put(key, stored.Revision, edit.page) {
			return false
		}
		r.pageEdits[key] = edit
	}
	change(&edit.page.Machines[position])
	raw, err := encode(edit.page)
	if err != nil {
		return false
	}
	r.operations[edit.operationIndex].Value = raw
	r.steps = append(r.steps, step{drainID: drain.ID, machineID: edit.page.Machines[position].ID, name: stepName})
	return true
}

// logSteps logs and traces what the round has done.
func (r *round) logSteps() {
	for _, step := range r.steps {
		if step.grant == nil {
			r.coordinator.log.Info("drain step", "drain", step.drainID, "machine", step.machineID, "step", step.name)
		} else {
			r.logGrant(step)
		}
		r.coordinator.tracer.Step(step, r.usage)
	}
}

// logGrant says how the budgets of the teams concerned stand after a grant.
func (r *round) logGrant(granted step) {
	teams := map[string]bool{}
	for _, ref := range granted.grant.Tasks {
		if spec, open := r.coordinator.cluster.Job(ref.Job); open {
			teams[spec.Team] = true
		}
	}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		usage, budget := r.usage.team(team), r.coordinator.budgets.ForTeam(team)
		r.coordinator.log.Info("drain granted", "drain", granted.drainID, "machine", granted.machineID, "tasks", len(granted.grant.Tasks), "team", team,
			"chosen", usage.Chosen.Tasks, "unchosen", usage.Unchosen.Tasks, "cpus", usage.Disturbed().CPUs, "budget", budget.String())
	}
}
