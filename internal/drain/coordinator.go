package drain

import (
	"log/slog"
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
