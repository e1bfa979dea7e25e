package drain

import (
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// disturbances tells, from the records and the shard owners' reports, which tasks are
// disturbed now.
type disturbances struct {
	cluster Cluster
	records *Records
	reports *shardReports
}

// isSettled reports whether a granted task is disturbed no more: it runs again, has ended,
// or its job is over.
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

// eachUnsettled calls fn for each task that is granted and disturbed.
func (d *disturbances) eachUnsettled(fn func(spec *jobs.Spec, ref TaskRef)) {
	counted := map[TaskRef]bool{} // two drains may name the same machine
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

// unsettledTasks counts the tasks that a drain has disturbed.
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

// usage counts what is disturbed now.
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

// budgetUsage is how the teams' budgets stand.
type budgetUsage struct {
	teams map[string]*TeamUsage
	// movingCPUs is the processors of granted tasks that have no new place yet.
	movingCPUs float64
	// replicasDown is, by service, the replicas that are granted or were lost. It is
	// incomplete with replicasUnknown, and then no replica counts as up.
	replicasDown    map[string]int
	replicasUnknown bool
}

// team returns a team's part, which is made if need be.
func (u *budgetUsage) team(name string) *TeamUsage {
	team := u.teams[name]
	if team == nil {
		team = &TeamUsage{}
		u.teams[name] = team
	}
	return team
}

// addReport counts what a shard owner reports.
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

// disturbanceOf is what the disturbance of a task or gang takes of its team's budget.
func disturbanceOf(spec *jobs.Spec, ref TaskRef) Amount {
	tasks := max(1, ref.Gang)
	return Amount{tasks, float64(tasks) * spec.CPUs}
}
