package drain

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// receivedReport is the newest report of a block's owner.
type receivedReport struct {
	token, sequence uint64
	receivedAt      time.Duration
	report          *ShardReport
}

// HandleShardReport takes what an owner reports; nil from one that knows no drains, or as
// long as it knows of none.
func (c *Coordinator) HandleShardReport(shardIndex int, token, sequence uint64, report *ShardReport) {
	if c.token == 0 || shardIndex < 0 || shardIndex >= len(c.reports) {
		return
	}
	last := &c.reports[shardIndex]
	if token < last.token || (token == last.token && sequence <= last.sequence) {
		return // held back on its way
	}
	*last = receivedReport{token, sequence, c.rt.Now(), report}
	if report == nil {
		return
	}
	budgetFreed := false
	for _, task := range report.Granted {
		if task.Runs && task.Attempt > c.ranAttempts[task.Name()] {
			c.ranAttempts[task.Name()], budgetFreed = task.Attempt, true
		}
	}
	if budgetFreed {
		c.Tick() // a budget has become free
	}
}

// shardWithoutReport is a block of which too little is known to grant anything, -1 if there is
// none.
func (c *Coordinator) shardWithoutReport() int {
	for shardIndex := range c.reports {
		last := &c.reports[shardIndex]
		if last.report == nil || c.rt.Now()-last.receivedAt > tuning.StatusStaleAfter {
			return shardIndex
		}
	}
	return -1
}

// isSettled tells whether a granted task is disturbed no more: it runs again, has ended,
// or its job is over.
func (c *Coordinator) isSettled(ref TaskRef) bool {
	if _, open := c.cluster.Job(ref.Job); !open {
		return true
	}
	if c.ranAttempts[ref.Name()] > ref.Attempt {
		return true
	}
	if ref.Gang > 0 {
		return false
	}
	status, known := c.cluster.TaskStatus(ref.Job, ref.Index)
	return known && status.State == taskstate.StateDone
}

// shardReportingUntouched finds the block whose owner reports that a task was never stopped and will
// not be, with the token under which that was said.
func (c *Coordinator) shardReportingUntouched(ref TaskRef) (shardIndex int, token uint64, found bool) {
	for shardIndex := range c.reports {
		last := &c.reports[shardIndex]
		if last.report == nil {
			continue
		}
		for _, task := range last.report.Granted {
			if task.Void && task.TaskRef == ref {
				return shardIndex, last.token, true
			}
		}
	}
	return 0, 0, false
}

// disturbanceOf is what the disturbance of a granted task takes of its team's budget.
func disturbanceOf(spec *jobs.Spec, ref TaskRef) Amount {
	tasks := max(1, ref.Gang)
	return Amount{tasks, float64(tasks) * spec.CPUs}
}

// usage is how the teams' budgets stand.
type usage struct {
	teams map[string]*TeamUsage
	// movingCPUs is the processors of granted tasks that have no new place yet.
	movingCPUs float64
	// replicasDown is, by service, the replicas that are granted or were lost.
	replicasDown    map[string]int
	replicasUnknown bool
}

func (u *usage) team(name string) *TeamUsage {
	team := u.teams[name]
	if team == nil {
		team = &TeamUsage{}
		u.teams[name] = team
	}
	return team
}

// addGrant counts a grant.
func (u *usage) addGrant(spec *jobs.Spec, ref TaskRef) {
	requested := disturbanceOf(spec, ref)
	team := u.team(spec.Team)
	team.Chosen = team.Chosen.Plus(requested)
}

// currentUsage counts what is disturbed, from the records and the owners' reports.
func (c *Coordinator) currentUsage() *usage {
	total := &usage{teams: map[string]*TeamUsage{}, replicasDown: map[string]int{}}
	for shardIndex := range c.reports {
		report := c.reports[shardIndex].report
		if report == nil {
			continue
		}
		total.replicasUnknown = total.replicasUnknown || report.Partial
		for name, work := range report.Teams {
			team := total.team(name)
			team.Running = team.Running.Plus(work.Running)
			team.Unchosen = team.Unchosen.Plus(work.Disturbed)
		}
		for job, down := range report.Down {
			total.replicasDown[job] += down
		}
	}
	c.cluster.EachInterrupted(func(spec *jobs.Spec, tasks int) {
		team := total.team(spec.Team)
		team.Unchosen = team.Unchosen.Plus(Amount{tasks, float64(tasks) * spec.CPUs})
	})
	c.eachUnsettled(func(spec *jobs.Spec, ref TaskRef) {
		total.addGrant(spec, ref)
		status, known := c.cluster.TaskStatus(ref.Job, ref.Index)
		isPlaced := known && status.State == taskstate.StatePlaced
		if ref.Gang == 0 && isPlaced {
			total.replicasDown[ref.Job]++
		}
		if !isPlaced || status.Attempt <= ref.Attempt || ref.Gang > 0 {
			total.movingCPUs += disturbanceOf(spec, ref).CPUs
		}
	})
	return total
}

// eachUnsettled calls fn for each task that is granted and disturbed.
func (c *Coordinator) eachUnsettled(fn func(drain *jobs.Spec, ref TaskRef)) {
	counted := map[TaskRef]bool{} // two drains may name the same machine
	for _, drain := range c.records.Drains() {
		for _, grant := range drain.Grants {
			for _, ref := range grant.Tasks {
				if counted[ref] || c.isSettled(ref) {
					continue
				}
				counted[ref] = true
				if spec, open := c.cluster.Job(ref.Job); open {
					fn(spec, ref)
				}
			}
		}
	}
}
