package drain

import (
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// disturbances derives from the records and the shard owners' reports which tasks are
// disturbed now.
type disturbances struct {
	cluster Cluster
	records *Records
	reports *shardReports
}

// isSettled reports whether a granted task is no longer disturbed: it runs again, has ended,
// or its job has ended.
func (d *disturbances) isSettled(ref TaskRef) bool {
	if _, isOpen := d.cluster.Job(ref.Job); !isOpen {
		return true
	}
	if d.reports.ranAttempts[ref.Name()] > ref.Attempt {
		return true
	}
	if ref.Gang > 0 {
		return false
	}
	status, isKnown := d.cluster.TaskStatus(ref.Job, ref.Index)
	return isKnown && status.State == taskstate.StateDone
}

// eachUnsettled calls fn once for each granted task or gang that is disturbed.
func (d *disturbances) eachUnsettled(fn func(spec *jobs.Spec, ref TaskRef)) {
	counted := map[TaskRef]bool{} // two drains may include the same machine
	for _, drain := range d.records.Drains() {
		for _, grant := range drain.Grants {
			for _, ref := range grant.Tasks {
				if counted[ref] || d.isSettled(ref) {
					continue
				}
				counted[ref] = true
				if spec, isOpen := d.cluster.Job(ref.Job); isOpen {
					fn(spec, ref)
				}
			}
		}
	}
}

// unsettledTasks returns the number of tasks that a drain disturbs now.
func (d *disturbances) unsettledTasks(drain *Drain) int {
	count := 0
	for _, grant := range drain.Grants {
		for _, ref := range grant.Tasks {
			if !d.isSettled(ref) {
				count += max(1, ref.Gang)
			}
		}
	}
	return count
}

// usage returns the current usage of the teams' budgets.
func (d *disturbances) usage() *budgetUsage {
	total := &budgetUsage{teams: map[string]*TeamUsage{}, replicasDown: map[string]int{}}
	for shardIndex := range d.reports.latest {
		if report := d.reports.latest[shardIndex].report; report != nil {
			total.addReport(report)
		}
	}
	d.cluster.EachInterrupted(func(spec *jobs.Spec, tasks int) {
		team := total.team(spec.Team)
		team.Unchosen = team.Unchosen.Plus(Amount{tasks, float64(tasks) * spec.CPUs})
	})
	d.eachUnsettled(func(spec *jobs.Spec, ref TaskRef) {
		total.addGrant(spec, ref)
		status, isKnown := d.cluster.TaskStatus(ref.Job, ref.Index)
		isPlaced := isKnown && status.State == taskstate.StatePlaced
		if ref.Gang == 0 && isPlaced {
			total.replicasDown[ref.Job]++
		}
		if !isPlaced || status.Attempt <= ref.Attempt || ref.Gang > 0 {
			total.movingCPUs += disturbanceOf(spec, ref).CPUs
		}
	})
	return total
}

// budgetUsage is the usage of the teams' budgets and of the room on open machines.
type budgetUsage struct {
	teams map[string]*TeamUsage
	// movingCPUs is the number of processors of granted tasks that are not placed again yet, and
	// of granted gangs that do not run again yet.
	movingCPUs float64
	// replicasDown is, by service, the number of replicas that are granted or were lost. If
	// replicasUnknown is set it is incomplete, and no replica counts as up.
	replicasDown    map[string]int
	replicasUnknown bool
}

// team returns a team's usage and adds an empty one if there is none.
func (u *budgetUsage) team(name string) *TeamUsage {
	team := u.teams[name]
	if team == nil {
		team = &TeamUsage{}
		u.teams[name] = team
	}
	return team
}

// addReport adds the work and the disturbances that a shard owner reports.
func (u *budgetUsage) addReport(report *ShardReport) {
	u.replicasUnknown = u.replicasUnknown || report.ReplicasDownIsPartial
	for name, work := range report.Teams {
		team := u.team(name)
		team.Running = team.Running.Plus(work.Running)
		team.Unchosen = team.Unchosen.Plus(work.Disturbed)
	}
	for job, replicas := range report.ReplicasDown {
		u.replicasDown[job] += replicas
	}
}

// addGrant counts a granted task or gang against its team's budget.
func (u *budgetUsage) addGrant(spec *jobs.Spec, ref TaskRef) {
	team := u.team(spec.Team)
	team.Chosen = team.Chosen.Plus(disturbanceOf(spec, ref))
}

// disturbanceOf returns the amount by which the disturbance of a task or gang counts against
// its team's budget.
func disturbanceOf(spec *jobs.Spec, ref TaskRef) Amount {
	tasks := max(1, ref.Gang)
	return Amount{tasks, float64(tasks) * spec.CPUs}
}
