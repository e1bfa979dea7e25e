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
	rt      eventloop.Runtime
	state   *statestore.Client
	lease   LeaderLease
	book    *Records
	cluster Cluster
	set     *settings.Settings
	conf    *settings.Drains
	budgets Budgets
	trace   *Tracer
	log     *slog.Logger
	node    string

	term    int    // grows with each lead won; late answers of old ones are dropped
	token   uint64 // of the lead, 0 if not held
	loaded  bool
	flying  bool // a commit is under way, or its outcome is being read
	reports []blockHeard
	ran     map[TaskName]uint64      // highest attempt that a report showed running
	waits   map[string][]string      // by drain: what it waits for
	stuck   map[string]time.Duration // by machine: since when nothing of it could be granted
	serving func(Response)           // the request that is being committed, nil for none
	spare   float64                  // state changes that may be made now
	filled  time.Duration            // when that was last looked at
}

// NewCoordinator returns a coordinator without the lead. set.Operator.Drains must not
// be nil.
func NewCoordinator(rt eventloop.Runtime, state *statestore.Client, lease LeaderLease, book *Records, cluster Cluster,
	set *settings.Settings, trace *Tracer, log *slog.Logger,
) *Coordinator {
	c := &Coordinator{
		rt: rt, state: state, lease: lease, book: book, cluster: cluster, set: set,
		conf: set.Operator.Drains, budgets: NewBudgets(set.Operator.Drains), trace: trace, log: log, node: set.Node,
	}
	c.EndTerm()
	return c
}

// BeginTerm starts a term: earlier leaders' commits fail from now on, so the records
// proven to be current hold all that was ever granted.
func (c *Coordinator) BeginTerm(token uint64) {
	c.EndTerm()
	c.token = token
	c.read(c.term, 0)
}

// EndTerm forgets everything: the lead is lost.
func (c *Coordinator) EndTerm() {
	c.term++
	c.token, c.loaded, c.flying = 0, false, false
	c.reports = make([]blockHeard, c.cluster.ShardCount())
	c.ran, c.waits, c.stuck = map[TaskName]uint64{}, map[string][]string{}, map[string]time.Duration{}
	c.trace.End()
	c.reply(c.unavailable("the leader has changed"))
}

func (c *Coordinator) read(term, try int) {
	c.book.Verify(func(err error) {
		if term != c.term {
			return
		}
		if err != nil {
			c.rt.After(c.state.Backoff(try), func() {
				if term == c.term {
					c.read(term, try+1)
				}
			})
			return
		}
		c.loaded = true
	})
}

// Tick takes the next step; once a second.
func (c *Coordinator) Tick() {
	if c.token == 0 || !c.loaded || c.flying || !c.lease.LeaseValid() || !c.cluster.IsKnown() {
		return
	}
	c.keep()
	if c.book.IsQuiet() {
		return
	}
	if c.state.WritesThrottled() {
		return // decisions of the daemon come first
	}
	c.refill()
	if c.spare < 1 {
		return
	}
	r := c.newRound()
	for _, d := range c.book.Drains() {
		r.advance(d)
	}
	r.sweep()
	c.logWaits(r.waits)
	if len(r.apply) > 0 {
		c.spare -= float64(len(r.apply))
		c.commit(r.guards, r.apply, func(bool) { r.committed() })
	}
}

// refill lets the drains have their part of the changes a second.
func (c *Coordinator) refill() {
	rate := c.set.Deployment.State.WriteRPS * tuning.DrainWriteShare
	now := c.rt.Now()
	c.spare = min(max(1, rate), c.spare+rate*(now-c.filled).Seconds())
	c.filled = now
}

// keep has the replacements kept while they wait for the work.
func (c *Coordinator) keep() {
	kept := map[string]bool{}
	for _, d := range c.book.Drains() {
		if !d.Head.Phase.Active() {
			continue
		}
		d.Each(func(_, _ int, m *Machine) {
			if m.Replacement != "" && m.State != MachineReleased {
				kept[m.Replacement] = true
			}
		})
	}
	c.cluster.KeepIdle(kept)
}

// logWaits says what the drains wait for, when that changes.
func (c *Coordinator) logWaits(waits map[string][]string) {
	for id, list := range waits {
		if !slices.Equal(list, c.waits[id]) {
			for _, why := range list {
				c.log.Info("drain waits", "drain", id, "why", why)
			}
			c.trace.Waits(id, list)
		}
	}
	c.waits = waits
}

// commit carries changes out under the lead, and calls done when the book shows what
// came of them; ok is false if a guard failed. A commit without an answer is repeated:
// carried out twice, it fails the second time.
func (c *Coordinator) commit(guards []statestore.Condition, apply []statestore.Operation, done func(ok bool)) {
	c.flying = true
	guards = append([]statestore.Condition{{Key: statestore.LeaderKey, Revision: c.token}}, guards...)
	c.try(c.term, 0, guards, apply, done)
}

func (c *Coordinator) try(term, try int, guards []statestore.Condition, apply []statestore.Operation, done func(bool)) {
	if term != c.term {
		return
	}
	c.state.Commit(guards, apply, func(r statestore.CommitResult) {
		switch {
		case term != c.term:
		case r.Outcome == statestore.OutcomeOK || r.Outcome == statestore.OutcomeConflict:
			c.learn(term, 0, func() { done(r.Outcome == statestore.OutcomeOK) })
		default:
			c.rt.After(c.state.Backoff(try), func() { c.try(term, try+1, guards, apply, done) })
		}
	})
}

// learn waits until the book is proven to hold what was committed.
func (c *Coordinator) learn(term, try int, done func()) {
	c.book.Verify(func(err error) {
		switch {
		case term != c.term:
		case err != nil:
			c.rt.After(c.state.Backoff(try), func() {
				if term == c.term {
					c.learn(term, try+1, done)
				}
			})
		default:
			c.flying = false
			done()
		}
	})
}

// round is one look at all drains, and the one commit that comes of it.
type round struct {
	c      *Coordinator
	use    *usage
	blind  int // a block of which too little is known to grant anything, -1 for none
	guards []statestore.Condition
	apply  []statestore.Operation
	most   int                  // changes that the commit may still take
	pages  map[string]*pageEdit // by key
	asked  map[TaskRef]bool     // granted in this round
	// roomless are the machines for tasks of which there is no room elsewhere.
	roomless map[string]bool
	waits    map[string][]string
	steps    []step // to be logged when they are durable
}

// pageEdit is a page that is being changed.
type pageEdit struct {
	page   Page
	change int // its place in apply
}

// step is something to be logged and traced once it is committed.
type step struct {
	drain, machine, what string
	grant                *Grant
}

func (c *Coordinator) newRound() *round {
	r := &round{
		c: c, use: c.usage(), blind: c.unheard(), most: min(c.state.MaxOperations(), int(c.spare)), pages: map[string]*pageEdit{},
		asked: map[TaskRef]bool{}, roomless: map[string]bool{}, waits: map[string][]string{},
	}
	if c.book.HasUnreadable() {
		r.blind = len(c.reports)
	}
	return r
}

// wait notes what a drain waits for.
func (r *round) wait(d *Drain, format string, args ...any) {
	why := fmt.Sprintf(format, args...)
	if list := r.waits[d.ID]; !slices.Contains(list, why) && len(list) < tuning.MaxDrainWaitReasons {
		r.waits[d.ID] = append(list, why)
	}
}

// set adds a change of a key that must still have the stamp.
func (r *round) set(key string, stamp uint64, value any) bool {
	raw, err := encode(value)
	if err != nil || r.most <= 0 {
		return false
	}
	r.most--
	r.guards = append(r.guards, statestore.Condition{Key: key, Revision: stamp})
	r.apply = append(r.apply, statestore.Operation{PutKey: key, Value: raw})
	return true
}

func (r *round) remove(key string, stamp uint64) bool {
	if r.most <= 0 {
		return false
	}
	r.most--
	r.guards = append(r.guards, statestore.Condition{Key: key, Revision: stamp})
	r.apply = append(r.apply, statestore.Operation{DeleteKey: key})
	return true
}

// edit changes a machine's entry; false if the commit has no room for it.
func (r *round) edit(d *Drain, page, position int, what string, change func(*Machine)) bool {
	key := PageKey(d.ID, page)
	e := r.pages[key]
	if e == nil {
		stored := d.Pages[page]
		e = &pageEdit{page: Page{slices.Clone(stored.Machines)}, change: len(r.apply)}
		if !r.set(key, stored.Revision, e.page) {
			return false
		}
		r.pages[key] = e
	}
	change(&e.page.Machines[position])
	raw, err := encode(e.page)
	if err != nil {
		return false
	}
	r.apply[e.change].Value = raw
	r.steps = append(r.steps, step{drain: d.ID, machine: e.page.Machines[position].ID, what: what})
	return true
}

// committed logs and traces what the round has done.
func (r *round) committed() {
	for _, s := range r.steps {
		if s.grant == nil {
			r.c.log.Info("drain step", "drain", s.drain, "machine", s.machine, "step", s.what)
		} else {
			r.logGrant(s)
		}
		r.c.trace.Step(s, r.use)
	}
}

// logGrant says how the budgets of the teams concerned stand after a grant.
func (r *round) logGrant(s step) {
	teams := map[string]bool{}
	for _, ref := range s.grant.Tasks {
		if d, open := r.c.cluster.Job(ref.Job); open {
			teams[d.Team] = true
		}
	}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		use, budget := r.use.team(team), r.c.budgets.Of(team)
		r.c.log.Info("drain granted", "drain", s.drain, "machine", s.machine, "tasks", len(s.grant.Tasks), "team", team,
			"chosen", use.Chosen.Tasks, "unchosen", use.Unchosen.Tasks, "cpus", use.Disturbed().CPUs, "budget", budget.String())
	}
}
