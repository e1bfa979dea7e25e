package drain

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// blockHeard is the newest report of a block's owner.
type blockHeard struct {
	token, seq uint64
	heard      time.Duration
	report     *ShardReport
}

// HandleReport takes what an owner reports; nil from one that knows no drains, or as
// long as it knows of none.
func (c *Coordinator) HandleReport(block int, token, seq uint64, r *ShardReport) {
	if c.token == 0 || block < 0 || block >= len(c.reports) {
		return
	}
	old := &c.reports[block]
	if token < old.token || (token == old.token && seq <= old.seq) {
		return // held back on its way
	}
	*old = blockHeard{token, seq, c.rt.Now(), r}
	if r == nil {
		return
	}
	news := false
	for _, g := range r.Granted {
		if g.Runs && g.Attempt > c.ran[g.Name()] {
			c.ran[g.Name()], news = g.Attempt, true
		}
	}
	if news {
		c.Tick() // a budget has become free
	}
}

// unheard is a block of which too little is known to grant anything, -1 if there is
// none.
func (c *Coordinator) unheard() int {
	for block := range c.reports {
		h := &c.reports[block]
		if h.report == nil || c.rt.Now()-h.heard > tuning.StatusStaleAfter {
			return block
		}
	}
	return -1
}

// settled tells whether a granted task is disturbed no more: it runs again, has ended,
// or its job is over.
func (c *Coordinator) settled(ref TaskRef) bool {
	if _, open := c.cluster.Job(ref.Job); !open {
		return true
	}
	if c.ran[ref.Name()] > ref.Attempt {
		return true
	}
	if ref.Gang > 0 {
		return false
	}
	mark, known := c.cluster.TaskStatus(ref.Job, ref.Index)
	return known && mark.State == taskstate.StateDone
}

// voidIn finds the block whose owner reports that a task was never stopped and will
// not be, with the token under which that was said.
func (c *Coordinator) voidIn(ref TaskRef) (block int, token uint64, found bool) {
	for block := range c.reports {
		h := &c.reports[block]
		if h.report == nil {
			continue
		}
		for _, g := range h.report.Granted {
			if g.Void && g.TaskRef == ref {
				return block, h.token, true
			}
		}
	}
	return 0, 0, false
}

// amount is what the disturbance of a granted task takes of its team's budget.
func amount(d *jobs.Spec, ref TaskRef) Amount {
	tasks := max(1, ref.Gang)
	return Amount{tasks, float64(tasks) * d.CPUs}
}

// usage is how the teams' budgets stand.
type usage struct {
	teams map[string]*TeamUse
	// moving is the processors of granted tasks that have no new place yet.
	moving float64
	// down is, by service, the replicas that are granted or were lost.
	down    map[string]int
	partial bool
}

func (u *usage) team(name string) *TeamUse {
	t := u.teams[name]
	if t == nil {
		t = &TeamUse{}
		u.teams[name] = t
	}
	return t
}

// add counts a grant.
func (u *usage) add(d *jobs.Spec, ref TaskRef) {
	more := amount(d, ref)
	team := u.team(d.Team)
	team.Chosen = team.Chosen.Plus(more)
}

// usage counts what is disturbed, from the records and the owners' reports.
func (c *Coordinator) usage() *usage {
	u := &usage{teams: map[string]*TeamUse{}, down: map[string]int{}}
	for block := range c.reports {
		r := c.reports[block].report
		if r == nil {
			continue
		}
		u.partial = u.partial || r.Partial
		for name, work := range r.Teams {
			team := u.team(name)
			team.Running = team.Running.Plus(work.Running)
			team.Unchosen = team.Unchosen.Plus(work.Disturbed)
		}
		for job, down := range r.Down {
			u.down[job] += down
		}
	}
	c.cluster.EachInterrupted(func(d *jobs.Spec, tasks int) {
		team := u.team(d.Team)
		team.Unchosen = team.Unchosen.Plus(Amount{tasks, float64(tasks) * d.CPUs})
	})
	c.eachUnsettled(func(d *jobs.Spec, ref TaskRef) {
		u.add(d, ref)
		mark, known := c.cluster.TaskStatus(ref.Job, ref.Index)
		placed := known && mark.State == taskstate.StatePlaced
		if ref.Gang == 0 && placed {
			u.down[ref.Job]++
		}
		if !placed || mark.Attempt <= ref.Attempt || ref.Gang > 0 {
			u.moving += amount(d, ref).CPUs
		}
	})
	return u
}

// eachUnsettled calls fn for each task that is granted and disturbed.
func (c *Coordinator) eachUnsettled(fn func(d *jobs.Spec, ref TaskRef)) {
	counted := map[TaskRef]bool{} // two drains may name the same machine
	for _, d := range c.book.Drains() {
		for _, g := range d.Grants {
			for _, ref := range g.Tasks {
				if counted[ref] || c.settled(ref) {
					continue
				}
				counted[ref] = true
				if desc, open := c.cluster.Job(ref.Job); open {
					fn(desc, ref)
				}
			}
		}
	}
}
