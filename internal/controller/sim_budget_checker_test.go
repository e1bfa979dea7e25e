package controller

import (
	"encoding/json"
	"strings"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/settings"
)

// budgetChecker checks the budgets of drains, from the workers' actions alone: a task that is
// halted on a machine named by operators in a drain is disturbed by choice until it runs
// somewhere, has completed, or its user has cancelled its job.
type budgetChecker struct {
	sim            *simulation
	limits         map[string]settings.DrainLimits // by team
	namedMachines  map[string]bool                 // machines that operators have named in drains
	disturbed      map[string]disturbance          // by task, or by job for a gang
	halts          int                             // of tasks and gangs, by choice
	downTime       time.Duration                   // total time from these halts until the tasks ran again
	maxDisturbed   map[string]int                  // maximum of tasks disturbed at the same time, by team
	closedMachines map[string]bool                 // machines that a drain's records have ever shown as closed
	changesRead    int                             // changes of the state service already read for closedMachines
}

// disturbedNow returns the number of disturbed tasks, by team.
func (c *budgetChecker) disturbedNow() map[string]int {
	sums := map[string]int{"red": 0, "blue": 0}
	for name, disturbed := range c.disturbed {
		if !c.restored(name, disturbed) {
			sums[disturbed.job.team] += disturbed.tasks
		}
	}
	return sums
}

// restored reports whether a task, or a gang, is no longer disturbed although it does not run
// again: it has completed, or its job has ended or its cancellation was requested.
func (c *budgetChecker) restored(name string, disturbed disturbance) bool {
	if disturbed.job.cancelRequested || disturbed.job.ended() {
		return true
	}
	_, index, isSingleTask := strings.Cut(name, "/")
	return isSingleTask && disturbed.job.completed[atoi(index)]
}

// taskStarted records that a task, or a gang, runs again.
func (c *budgetChecker) taskStarted(name string) {
	if c == nil {
		return
	}
	if disturbed, found := c.disturbed[name]; found {
		c.downTime += c.sim.now - disturbed.since
		delete(c.disturbed, name)
	}
}

// wasClosed reports whether a drain has ever closed a machine, according to the drains' records
// in the state service.
func (c *budgetChecker) wasClosed(machineID string) bool {
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
			c.sim.checker.recordViolation(ruleMalformedRecord, "drain page %s does not parse: %s", change.key, change.value)
		}
		for _, m := range page.Machines {
			if m.State == drain.MachineClosed {
				c.closedMachines[m.ID] = true
			}
		}
	}
	return c.closedMachines[machineID]
}

// taskHalted records that a worker halts a task, and checks the budget if that is by choice.
func (c *budgetChecker) taskHalted(worker *simWorker, task *simTask) {
	if c == nil || task.phase != phaseRunning {
		return
	}
	id, _, _ := strings.Cut(task.name, "/")
	job := c.sim.jobs[id]
	if job.cancelRequested {
		return
	}
	name, tasks, byChoice := task.name, 1, c.namedMachines[worker.id] && worker.reclaimAt == 0 && !worker.faults.failsTasks
	if gang := task.gang; gang != nil {
		if gang.broken || gang.ended || gang.haltedAt > 0 {
			return // follows from the loss of a member, or from an earlier halt
		}
		name, tasks, byChoice = id, job.tasks, false
		for _, member := range gang.members {
			if member.worker.reclaimAt > 0 {
				return
			}
			byChoice = byChoice || c.namedMachines[member.worker.id]
		}
	}
	// The daemon itself moves replicas off a machine that it releases as idle, which may be
	// one that operators have named and no drain has closed yet. No other task may be halted
	// on a named machine before a drain has closed it.
	if byChoice && task.gang == nil && !c.wasClosed(worker.id) {
		if !job.service {
			c.sim.checker.recordViolation(ruleBudget, "%s is halted on %s, which no drain has closed", task.name, worker.id)
		}
		return
	}
	if !byChoice {
		return
	}
	c.halts++
	c.disturbed[name] = disturbance{job, tasks, c.sim.now}
	c.checkBudget(job)
}

// checkBudget checks that the disturbed tasks are within the budget of a job's team.
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
		c.sim.checker.recordViolation(ruleBudget, "%d tasks of team %s are disturbed, limit %d; last one of %s", tasks, job.team, *limits.Tasks, job.id)
	}
	if limits.CPUs != nil && cpus > *limits.CPUs {
		c.sim.checker.recordViolation(ruleBudget, "tasks with %g processors of team %s are disturbed, limit %g", cpus, job.team, *limits.CPUs)
	}
	if limits.ReplicasUp != nil && job.service && job.tasks-replicas < *limits.ReplicasUp {
		c.sim.checker.recordViolation(ruleBudget, "%d of %d replicas of %s are disturbed, %d must be up", replicas, job.tasks, job.id, *limits.ReplicasUp)
	}
}

// disturbance is a task, or a gang, that was halted by choice and does not run again yet.
type disturbance struct {
	job   *simJob
	tasks int
	since time.Duration
}

// atoi parses a task's index.
func atoi(s string) int {
	n := 0
	for _, c := range s {
		n = n*10 + int(c-'0')
	}
	return n
}

// teamBudget returns a team's budget: the maximum of disturbed tasks and of their processors,
// and the minimum of a service's replicas that are up.
func teamBudget(tasks int, cpus float64, replicas int) settings.DrainLimits {
	return settings.DrainLimits{Tasks: &tasks, CPUs: &cpus, ReplicasUp: &replicas}
}

// newBudgetChecker returns a checker of the teams' budgets.
func newBudgetChecker(sim *simulation, limits map[string]settings.DrainLimits) *budgetChecker {
	return &budgetChecker{
		sim: sim, limits: limits,
		namedMachines: map[string]bool{}, disturbed: map[string]disturbance{}, maxDisturbed: map[string]int{},
	}
}

// enableDrains enables drains with budgets for the teams red and blue, machinesAtOnce machines
// at the same time and a wait of waitSeconds, and restarts the deployment.
func (s *simulation) enableDrains(limits map[string]settings.DrainLimits, machinesAtOnce int, waitSeconds float64) {
	d := &settings.Drains{MachinesAtOnce: &machinesAtOnce, WaitS: &waitSeconds}
	for _, team := range []string{"red", "blue"} {
		d.Teams = append(d.Teams, settings.TeamBudget{Name: team, Limits: limits[team]})
	}
	s.settings.Operator.Drains = d
	s.drainChecker = newBudgetChecker(s, limits)
	s.restart()
}

// grantedTwice returns a task attempt that two different grants name, and whether there is one.
// A commit that is executed a second time, late, writes an identical grant again. That is
// allowed: its attempts have ended by then, and it is removed immediately.
func (s *simulation) grantedTwice() (drain.TaskRef, bool) {
	seen := map[drain.TaskRef]string{}
	for _, change := range s.state.log {
		if change.value == nil || !strings.HasPrefix(change.key, drain.KeyPrefix) || !strings.Contains(change.key, "/grant/") {
			continue
		}
		var grant drain.Grant
		if err := json.Unmarshal(change.value, &grant); err != nil {
			s.checker.recordViolation(ruleMalformedRecord, "grant %s does not parse: %s", change.key, change.value)
		}
		for _, ref := range grant.Tasks {
			stored := change.key + string(change.value)
			if seen[ref] != "" && seen[ref] != stored {
				return ref, true
			}
			seen[ref] = stored
		}
	}
	return drain.TaskRef{}, false
}

// countDrainChanges returns the number of changes of drains' records in the state service.
func (s *simulation) countDrainChanges() int {
	n := 0
	for _, change := range s.state.log {
		if strings.HasPrefix(change.key, drain.KeyPrefix) {
			n++
		}
	}
	return n
}
