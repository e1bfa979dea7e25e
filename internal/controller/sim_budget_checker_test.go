package controller

import (
	"encoding/json"
	"strings"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/settings"
)

// budgetChecker checks the budgets of drains from what the workers do alone: a task that is
// told to end on a machine which operators want drained is disturbed by choice until it
// runs somewhere, has ended, or its user has cancelled its job.
type budgetChecker struct {
	sim            *simulation
	limits         map[string]settings.DrainLimits // by team
	namedMachines  map[string]bool                 // machines that operators have named
	disturbed      map[string]disturbance          // by task, or by job for a gang
	halts          int
	downTime       time.Duration   // from halts until the tasks ran again, in all
	maxDisturbed   map[string]int  // tasks disturbed at once, by team
	closedMachines map[string]bool // machines that the records have closed at some time
	changesRead    int             // changes of the state service that this is from
}

// disturbedNow is how many tasks are disturbed, by team.
func (c *budgetChecker) disturbedNow() map[string]int {
	sums := map[string]int{"red": 0, "blue": 0}
	for name, disturbed := range c.disturbed {
		if !c.restored(name, disturbed) {
			sums[disturbed.job.team] += disturbed.tasks
		}
	}
	return sums
}

// restored tells whether a task, or a gang, is no longer disturbed although it does not run
// again: it has completed, or its job is cancelled or over.
func (c *budgetChecker) restored(name string, disturbed disturbance) bool {
	if disturbed.job.cancelRequested || disturbed.job.ended() {
		return true
	}
	_, index, single := strings.Cut(name, "/")
	return single && disturbed.job.completed[atoi(index)]
}

// taskRuns notes that a task, or a gang, runs again.
func (c *budgetChecker) taskStarted(name string) {
	if c == nil {
		return
	}
	if disturbed, there := c.disturbed[name]; there {
		c.downTime += c.sim.now - disturbed.since
		delete(c.disturbed, name)
	}
}

// wasClosed tells whether a drain has ever closed a machine, by the state service.
func (c *budgetChecker) wasClosed(host string) bool {
	if c.closedMachines == nil {
		c.closedMachines = map[string]bool{}
	}
	for ; c.changesRead < len(c.sim.state.log); c.changesRead++ {
		change := c.sim.state.log[c.changesRead]
		if change.value == nil || !strings.HasPrefix(change.key, drain.KeyPrefix) || !strings.Contains(change.key, "/page/") {
			continue
		}
		var page drain.Page
		if err := json.Unmarshal(change.value, &page); err != nil {
			c.sim.checker.violated(ruleMalformedRecord, "a page does not parse: %s", change.value)
		}
		for _, m := range page.Machines {
			if m.State == drain.MachineClosed {
				c.closedMachines[m.ID] = true
			}
		}
	}
	return c.closedMachines[host]
}

// taskHalted notes that a worker is told to end a task.
func (c *budgetChecker) taskHalted(worker *simWorker, task *simTask) {
	if c == nil || task.phase != phaseRunning {
		return
	}
	id, _, _ := strings.Cut(task.name, "/")
	job := c.sim.jobs[id]
	if job.cancelRequested {
		return
	}
	name, tasks, chosen := task.name, 1, c.namedMachines[worker.id] && worker.reclaimAt == 0 && !worker.faults.failsTasks
	if gang := task.gang; gang != nil {
		if gang.broken || gang.ended || gang.haltedAt > 0 {
			return // what follows the loss of a member, or the first halt
		}
		name, tasks, chosen = id, job.tasks, false
		for _, member := range gang.members {
			if member.worker.reclaimAt > 0 {
				return
			}
			chosen = chosen || c.namedMachines[member.worker.id]
		}
	}
	// The daemon itself moves replicas off a machine that it returns as idle, which may
	// be one that operators have named and no drain has touched yet. Nothing else is
	// stopped where no drain has closed the machine.
	if chosen && task.gang == nil && !c.wasClosed(worker.id) {
		if !job.service {
			c.sim.checker.violated(ruleBudget, "%s is stopped on %s, which no drain has closed", task.name, worker.id)
		}
		return
	}
	if !chosen {
		return
	}
	c.halts++
	c.disturbed[name] = disturbance{job, tasks, c.sim.now}
	c.checkBudget(job)
}

// checkBudget checks whether the budget of a job's team is kept.
func (c *budgetChecker) checkBudget(job *simJob) {
	limits := c.limits[job.team]
	tasks, cpus, replicas := 0, 0.0, 0
	for name, disturbed := range c.disturbed {
		if c.restored(name, disturbed) {
			delete(c.disturbed, name)
			continue
		}
		if disturbed.job == job {
			replicas++
		}
		if disturbed.job.team == job.team {
			tasks += disturbed.tasks
			cpus += float64(disturbed.tasks) * disturbed.job.cpus
		}
	}
	c.maxDisturbed[job.team] = max(c.maxDisturbed[job.team], tasks)
	if limits.Tasks != nil && tasks > *limits.Tasks {
		c.sim.checker.violated(ruleBudget, "%d tasks of %s are disturbed, %d may be; last of %s", tasks, job.team, *limits.Tasks, job.id)
	}
	if limits.CPUs != nil && cpus > *limits.CPUs {
		c.sim.checker.violated(ruleBudget, "%g processors of %s are disturbed, %g may be", cpus, job.team, *limits.CPUs)
	}
	if limits.ReplicasUp != nil && job.service && job.tasks-replicas < *limits.ReplicasUp {
		c.sim.checker.violated(ruleBudget, "%d of %d replicas of %s are disturbed, %d must be up", replicas, job.tasks, job.id, *limits.ReplicasUp)
	}
}

// disturbance is a task, or a gang, that was halted by choice and does not run again yet.
type disturbance struct {
	job   *simJob
	tasks int
	since time.Duration
}

// atoi reads a task's index.
func atoi(s string) int {
	n := 0
	for _, c := range s {
		n = n*10 + int(c-'0')
	}
	return n
}

// teamBudget is the budget of a team.
func teamBudget(tasks int, cpus float64, replicas int) settings.DrainLimits {
	return settings.DrainLimits{Tasks: &tasks, CPUs: &cpus, ReplicasUp: &replicas}
}

// newBudgetChecker checks the budgets of the teams.
func newBudgetChecker(sim *simulation, limits map[string]settings.DrainLimits) *budgetChecker {
	return &budgetChecker{
		sim: sim, limits: limits,
		namedMachines: map[string]bool{}, disturbed: map[string]disturbance{}, maxDisturbed: map[string]int{},
	}
}

// withDrains turns drains on, with budgets for red and blue, and starts the controllers
// anew.
func (s *simulation) enableDrains(limits map[string]settings.DrainLimits, atOnce int, wait float64) {
	d := &settings.Drains{MachinesAtOnce: &atOnce, WaitS: &wait}
	for _, team := range []string{"red", "blue"} {
		d.Teams = append(d.Teams, settings.TeamBudget{Name: team, Limits: limits[team]})
	}
	s.settings.Operator.Drains = d
	s.drainChecker = newBudgetChecker(s, limits)
	s.restart()
}

// grantedTwice finds an attempt that more than one grant names. A commit that was carried
// out once more, late, makes the same grant again; that one is over and goes at once.
func (s *simulation) grantedTwice() (drain.TaskRef, bool) {
	seen := map[drain.TaskRef]string{}
	for _, change := range s.state.log {
		if change.value == nil || !strings.HasPrefix(change.key, drain.KeyPrefix) || !strings.Contains(change.key, "/grant/") {
			continue
		}
		var grant drain.Grant
		if err := json.Unmarshal(change.value, &grant); err != nil {
			s.checker.violated(ruleMalformedRecord, "a grant does not parse: %s", change.value)
		}
		for _, ref := range grant.Tasks {
			grant := change.key + string(change.value)
			if seen[ref] != "" && seen[ref] != grant {
				return ref, true
			}
			seen[ref] = grant
		}
	}
	return drain.TaskRef{}, false
}

// countDrainChanges counts the changes of drains' records in the state service.
func (s *simulation) countDrainChanges() int {
	n := 0
	for _, change := range s.state.log {
		if strings.HasPrefix(change.key, drain.KeyPrefix) {
			n++
		}
	}
	return n
}
