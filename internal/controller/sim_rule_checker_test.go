package controller

import (
	"fmt"
	"slices"
	"time"
)

// rule is the name of something that must not happen. The first ones are those of
// PROTOCOL, section "Rules"; the others hold on simulated days besides.
type rule string

const (
	ruleRanTwice     rule = "ran_twice"     // a task starts on one machine while it is on another
	ruleQuota        rule = "quota"         // a team's tasks use more than its limit
	ruleWrongPlace   rule = "wrong_place"   // a task starts where its job does not allow it
	ruleRanCancelled rule = "ran_cancelled" // a task of a cancelled job starts, or stays too long
	ruleForgotten    rule = "forgotten"     // an accepted job is refused or unknown, or nobody answers for it
	ruleInvented     rule = "invented"      // an answer is given for a job that nobody submitted
	ruleNotDone      rule = "not_done"      // a job is called done too early
	ruleWentBack     rule = "went_back"     // a final phase changes, or is cancelled unasked

	ruleNeglected        rule = "neglected"         // a job waits though it could run, long after the last fault
	ruleInvalidAccepted  rule = "invalid_accepted"  // a request that can't be met does not get the refusal of PROTOCOL
	ruleValidRefused     rule = "valid_refused"     // a submission that can be met gets 400 or 422
	ruleBudget           rule = "budget"            // a drain disturbs more than its budgets allow
	ruleStateLimit       rule = "state_limit"       // the state service is sent more than it takes
	ruleMalformedRecord  rule = "malformed_record"  // a stored record does not parse
	ruleDrainNotAccepted rule = "drain_not_started" // an operator's start of a drain is refused without need
)

const (
	teamLimitCPUs  = 24               // of each team, in the settings of all days
	neglectLimit   = 90 * time.Second // that a job may wait without a reason after the last fault
	promptCommands = 3 * time.Second  // that a command takes at most where none is held up
	checkInterval  = 500 * time.Millisecond
)

// violation is one rule broken at one moment of a simulated day.
type violation struct {
	at     time.Duration
	rule   rule
	detail string
}

func (v violation) String() string {
	return fmt.Sprintf("%8.3f %s: %s", v.at.Seconds(), v.rule, v.detail)
}

// ruleChecker checks the rules of PROTOCOL on what workers do and users are told, never on
// what controllers say of themselves. What users are told is reported to it by the
// simulated users; budgets of drains have a checker of their own, budgetChecker.
type ruleChecker struct {
	sim        *simulation
	violations []violation
	starts     int // tasks started

	faultsOverAt   time.Duration // 0: not known; from then on nobody may be neglected
	commandsPrompt bool          // no command is held up: none starts a task long after its job was cancelled
}

// violated notes that a rule is broken now.
func (c *ruleChecker) violated(broken rule, format string, args ...any) {
	c.violations = append(c.violations, violation{c.sim.now, broken, fmt.Sprintf(format, args...)})
}

// reporter is what the checks of a day need of a test.
type reporter interface {
	Helper()
	Error(args ...any)
	Errorf(format string, args ...any)
}

// checkRules fails a test on whose day a rule was broken.
func (s *simulation) checkRules(t reporter) {
	t.Helper()
	for _, broken := range s.checker.violations {
		t.Error(broken)
	}
}

// checkRulesAndCompletion reports broken rules, and jobs that are not over though all
// faults are.
func (s *simulation) checkRulesAndCompletion(t reporter) {
	t.Helper()
	s.checkRules(t)
	for _, job := range s.jobs {
		if !job.ended() {
			s.dump()
			t.Errorf("%s is not over: accepted %v, %d of %d tasks done, %d starts", job.id, job.accepted, len(job.completed), job.tasks, job.gangStarts)
		}
	}
}

// checkAllDone fails a test on whose day any job is not done.
func (s *simulation) checkAllDone(t reporter) {
	t.Helper()
	for _, job := range s.jobs {
		if job.reportedPhase != "done" {
			t.Errorf("%s is %q", job.id, job.reportedPhase)
		}
	}
}

// startSituation is what the machines show at the start of a task.
type startSituation struct {
	elsewhere   []*simWorker   // other machines that have the task
	teamCPUs    float64        // that the job's team uses, with the new task
	tasksByZone map[string]int // tasks of the job, with the new one
}

// situationOf looks at all machines for what bears on a task that starts.
func (c *ruleChecker) situationOf(task *simTask, job *simJob) startSituation {
	found := startSituation{tasksByZone: map[string]int{}}
	for _, other := range c.sim.workers {
		if other.dead {
			continue
		}
		for _, existing := range other.tasks {
			if existing.phase == phaseEnded {
				continue
			}
			id := existing.jobID()
			if c.sim.jobs[id].team == job.team {
				found.teamCPUs += c.sim.jobs[id].cpus
			}
			if id == job.id {
				found.tasksByZone[other.zone]++
			}
			if existing.name == task.name && existing != task {
				found.elsewhere = append(found.elsewhere, other)
			}
		}
	}
	return found
}

// checkStart checks the rules at the start of a task.
func (c *ruleChecker) checkStart(worker *simWorker, task *simTask, job *simJob) {
	c.starts++
	if job.startedAt == 0 {
		job.startedAt = c.sim.now
	}
	found := c.situationOf(task, job)
	c.checkRanTwice(worker, task, found)
	c.checkQuota(job, found)
	c.checkWrongPlace(worker, task, job, found)
	c.checkStartsCancelled(worker, task, job)
}

// checkRanTwice checks that the task is on no other machine.
func (c *ruleChecker) checkRanTwice(worker *simWorker, task *simTask, found startSituation) {
	for _, other := range found.elsewhere {
		c.violated(ruleRanTwice, "%s starts on %s while on %s", task.name, worker.id, other.id)
	}
}

// checkQuota checks that the job's team is within its limit.
func (c *ruleChecker) checkQuota(job *simJob, found startSituation) {
	if found.teamCPUs > teamLimitCPUs+1e-9 {
		c.violated(ruleQuota, "team %s uses %g of %g", job.team, found.teamCPUs, float64(teamLimitCPUs))
	}
}

// checkWrongPlace checks the machine by itself, and the zones of all tasks of the job.
func (c *ruleChecker) checkWrongPlace(worker *simWorker, task *simTask, job *simJob, found startSituation) {
	if !job.allows(worker) {
		c.violated(ruleWrongPlace, "%s on %s", task.name, worker.id)
	}
	if job.sameZone && len(found.tasksByZone) > 1 {
		c.violated(ruleWrongPlace, "%s in two zones", job.id)
	}
	for _, tasks := range found.tasksByZone {
		if job.spread && tasks > (job.tasks+1)/2 {
			c.violated(ruleWrongPlace, "%s has %d of %d tasks in one zone", job.id, tasks, job.tasks)
		}
	}
}

// allows tells whether a job's tasks may start on a machine, other tasks aside.
func (j *simJob) allows(worker *simWorker) bool {
	return (j.spot || !worker.spot) && (j.zone == "" || j.zone == worker.zone) &&
		(j.machineTypes == nil || slices.Contains(j.machineTypes, worker.machineType))
}

// cancelLimit is how long a cancelled job's tasks may stay.
func (c *ruleChecker) cancelLimit() time.Duration {
	return time.Duration(c.sim.settings.Deployment.Workers.CancelS * float64(time.Second))
}

// checkStartsCancelled checks that no task of a cancelled job starts.
func (c *ruleChecker) checkStartsCancelled(worker *simWorker, task *simTask, job *simJob) {
	if job.cancelledAt == 0 {
		return
	}
	if late := c.sim.now - job.cancelledAt; late > c.cancelLimit() || (c.commandsPrompt && late > promptCommands) {
		c.violated(ruleRanCancelled, "%s starts on %s %v after", task.name, worker.id, late)
	}
}

// checkPeriodically looks at all machines and jobs from time to time.
func (c *ruleChecker) checkPeriodically() {
	c.checkStaysCancelled()
	c.checkNeglected()
	c.sim.schedule(checkInterval, c.checkPeriodically)
}

// checkStaysCancelled checks that no task of a cancelled job is on a machine for too long.
func (c *ruleChecker) checkStaysCancelled() {
	limit := c.cancelLimit()
	for _, worker := range c.sim.workers {
		for _, task := range worker.tasks {
			job := c.sim.jobs[task.jobID()]
			if task.phase != phaseEnded && !worker.dead && job != nil && job.cancelledAt > 0 && c.sim.now > job.cancelledAt+limit {
				c.violated(ruleRanCancelled, "%s is on %s %v after", task.name, worker.id, c.sim.now-job.cancelledAt)
			}
		}
	}
}

// checkNeglected looks, once the faults are over, for jobs that wait for 90 s while a
// machine that fits has room and their team is under its limit.
func (c *ruleChecker) checkNeglected() {
	if c.faultsOverAt == 0 || c.sim.now < c.faultsOverAt+neglectLimit {
		return
	}
	for _, job := range c.sim.jobs {
		if !job.accepted || job.cancelRequested || job.reportedPhase != "" || job.startedAt > 0 {
			continue
		}
		fits := false
		for _, worker := range c.sim.workers {
			fits = fits || c.couldStart(worker, job)
		}
		if fits && c.sim.usedCPUs(job.team)+job.cpus <= teamLimitCPUs {
			c.violated(ruleNeglected, "%s waits for 90 s and more", job.id)
		}
	}
}

// couldStart tells whether a machine in order has room for a task of a job, in a zone and
// of a kind that the job allows.
func (c *ruleChecker) couldStart(worker *simWorker, job *simJob) bool {
	used := 0.0
	for _, task := range worker.tasks {
		if owner := c.sim.jobs[task.jobID()]; owner != nil && task.phase != phaseEnded {
			used += owner.cpus
		}
	}
	return worker.up && !worker.dead && !worker.faults.inboundBlocked && !worker.faults.failsTasks && used+job.cpus <= worker.cpus &&
		(job.spot || !worker.spot) && (job.zone == "" || job.zone == worker.zone)
}
