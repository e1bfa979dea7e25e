package controller

import (
	"fmt"
	"slices"
	"time"

	"lemonmoor/internal/tuning"
)

// rule is the name of a kind of violation. The first group is from PROTOCOL, section "Rules";
// the second applies only to simulated days.
type rule string

const (
	ruleRanTwice     rule = "ran_twice"     // a task starts on one machine while it is on another
	ruleQuota        rule = "quota"         // a team's tasks use more processors than its limit
	ruleWrongPlace   rule = "wrong_place"   // a task starts where its job does not allow it
	ruleRanCancelled rule = "ran_cancelled" // a task of a cancelled job starts, or stays on a machine too long
	ruleForgotten    rule = "forgotten"     // an accepted job is refused or unknown, or a controller does not answer for it
	ruleInvented     rule = "invented"      // a job that nobody submitted gets an answer other than 404
	ruleNotDone      rule = "not_done"      // a job is reported as done before all its tasks have completed
	ruleWentBack     rule = "went_back"     // a final phase changes, or a job is cancelled without a request
	ruleStartedAgain rule = "started_again" // an attempt starts on a machine where it was before

	ruleInvariant        rule = "invariant"         // a controller has found one of its invariants violated
	ruleNeglected        rule = "neglected"         // a job that could run still waits long after the last fault
	ruleLeftWaiting      rule = "left_waiting"      // a task waits for too long while a machine has room, after the last fault
	ruleInvalidAccepted  rule = "invalid_accepted"  // an invalid or impossible submission does not get the refusal of PROTOCOL
	ruleValidRefused     rule = "valid_refused"     // a valid submission gets 400 or 422
	ruleBudget           rule = "budget"            // drains disturb more tasks than the budgets allow
	ruleStateLimit       rule = "state_limit"       // a request exceeds the limits of the state service
	ruleMalformedRecord  rule = "malformed_record"  // a stored record does not parse
	ruleDrainNotAccepted rule = "drain_not_started" // an operator's valid request to start a drain is refused
)

const (
	teamLimitCPUs  = 24               // of each team, unless a day sets simulation.teamLimit
	neglectLimit   = 90 * time.Second // time after the last fault from which a job that could run must not wait
	answerLimit    = 75 * time.Second // time after the last fault by which every controller must have answered about a job
	promptCommands = 3 * time.Second  // maximum age of a command if no fault delays commands
	// launchKnowledgeLimit is the time after a job's cancellation within which a command to launch
	// a task of it may still reach a machine: the age of the owner's knowledge, and the way.
	launchKnowledgeLimit = tuning.MaxLaunchKnowledgeAge + 500*time.Millisecond
	checkInterval        = 500 * time.Millisecond
)

// violation is a violation of a rule at a time of a simulated day.
type violation struct {
	at     time.Duration
	rule   rule
	detail string
}

func (v violation) String() string {
	return fmt.Sprintf("%8.3f %s: %s", v.at.Seconds(), v.rule, v.detail)
}

// ruleChecker checks the rules of PROTOCOL against the workers' actions and the answers to
// users, never against the controllers' own state. The simulated users check their answers and
// report violations to it. The budgets of drains are checked by budgetChecker.
type ruleChecker struct {
	sim        *simulation
	violations []violation
	starts     int // tasks started
	// startsCancelled counts the tasks started after their job's cancellation.
	startsCancelled int

	// roomSince is since when, without a gap, a machine has had room for a waiting task of a job.
	roomSince map[*simJob]time.Duration

	faultsOverAt   time.Duration // end of the faults, from which no job may be neglected; 0: not known
	commandsPrompt bool          // no fault delays commands: no task may start more than promptCommands after its job's cancellation
}

// recordViolation records a violation of a rule at the current time.
func (c *ruleChecker) recordViolation(violatedRule rule, format string, args ...any) {
	c.violations = append(c.violations, violation{c.sim.now, violatedRule, fmt.Sprintf(format, args...)})
}

// reporter is the part of testing.TB that the checks of a day use.
type reporter interface {
	Helper()
	Error(args ...any)
	Errorf(format string, args ...any)
}

// checkRules reports every violation as a test error.
func (s *simulation) checkRules(t reporter) {
	t.Helper()
	for _, broken := range s.checker.violations {
		t.Error(broken)
	}
}

// checkRulesAndCompletion reports every violation and every job that has not ended. It is called
// at the end of a day, long after the last fault.
func (s *simulation) checkRulesAndCompletion(t reporter) {
	t.Helper()
	s.checkRules(t)
	for _, job := range s.jobs {
		if !job.ended() {
			s.dump()
			t.Errorf("%s has not ended: accepted %v, %d of %d tasks completed, %d starts of the gang", job.id, job.accepted, len(job.completed), job.tasks, job.gangStarts)
		}
	}
}

// checkAllDone reports every job that was not reported as done.
func (s *simulation) checkAllDone(t reporter) {
	t.Helper()
	for _, job := range s.jobs {
		if job.reportedPhase != "done" {
			t.Errorf("%s was last reported as %q, want \"done\"", job.id, job.reportedPhase)
		}
	}
}

// stateAtStart is the state of all machines that matters for the rules at a task's start.
type stateAtStart struct {
	otherWorkers []*simWorker   // other machines that have the task
	teamCPUs     float64        // processors that the job's team uses, including the new task
	tasksByZone  map[string]int // tasks of the job, including the new one
}

// collectStateAtStart collects the stateAtStart of a task from all machines.
func (c *ruleChecker) collectStateAtStart(task *simTask, job *simJob) stateAtStart {
	found := stateAtStart{tasksByZone: map[string]int{}}
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
				found.otherWorkers = append(found.otherWorkers, other)
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
	found := c.collectStateAtStart(task, job)
	c.checkRanTwice(worker, task, found)
	c.checkQuota(worker, task, job, found)
	c.checkWrongPlace(worker, task, job, found)
	c.checkStartsCancelled(worker, task, job)
}

// checkLaunchedOnce checks that an attempt has not been on the machine before.
func (c *ruleChecker) checkLaunchedOnce(worker *simWorker, task *simTask) {
	attempt := taskAttempt{task.name, task.attempt}
	if worker.launched[attempt] {
		c.recordViolation(ruleStartedAgain, "%s, attempt %d, starts on %s, where it was before", task.name, task.attempt, worker.id)
	}
	if worker.launched == nil {
		worker.launched = map[taskAttempt]bool{}
	}
	worker.launched[attempt] = true
}

// checkRanTwice checks that the task is on no other machine.
func (c *ruleChecker) checkRanTwice(worker *simWorker, task *simTask, found stateAtStart) {
	for _, other := range found.otherWorkers {
		c.recordViolation(ruleRanTwice, "%s starts on %s while on %s", task.name, worker.id, other.id)
	}
}

// checkQuota checks that the job's team is within its processor limit.
func (c *ruleChecker) checkQuota(worker *simWorker, task *simTask, job *simJob, found stateAtStart) {
	if limit := c.sim.teamLimit; found.teamCPUs > limit+1e-9 {
		c.recordViolation(ruleQuota, "team %s uses %g processors, limit %g, as %s starts on %s", job.team, found.teamCPUs, limit, task.name, worker.id)
	}
}

// checkWrongPlace checks that the job allows the machine, and the zones of all its tasks.
func (c *ruleChecker) checkWrongPlace(worker *simWorker, task *simTask, job *simJob, found stateAtStart) {
	if !job.allows(worker) {
		c.recordViolation(ruleWrongPlace, "%s starts on %s, which its job does not allow", task.name, worker.id)
	}
	if job.sameZone && len(found.tasksByZone) > 1 {
		c.recordViolation(ruleWrongPlace, "%s has tasks in %d zones, must be in one", job.id, len(found.tasksByZone))
	}
	for _, tasks := range found.tasksByZone {
		if job.spread && tasks > (job.tasks+1)/2 {
			c.recordViolation(ruleWrongPlace, "%s has %d of %d tasks in one zone, at most half may be", job.id, tasks, job.tasks)
		}
	}
}

// allows reports whether a job's tasks may start on a machine, regardless of other tasks.
func (j *simJob) allows(worker *simWorker) bool {
	return (j.spot || !worker.spot) && (j.zone == "" || j.zone == worker.zone) &&
		(j.machineTypes == nil || slices.Contains(j.machineTypes, worker.machineType))
}

// cancelLimit returns the time for which a cancelled job's tasks may stay on machines.
func (c *ruleChecker) cancelLimit() time.Duration {
	return time.Duration(c.sim.settings.Deployment.Workers.CancelS * float64(time.Second))
}

// checkStartsCancelled checks that no task of a cancelled job starts after cancelLimit or, if
// commandsPrompt is set, after promptCommands, and that the command to start it was not sent after
// launchKnowledgeLimit.
func (c *ruleChecker) checkStartsCancelled(worker *simWorker, task *simTask, job *simJob) {
	if job.cancelledAt == 0 {
		return
	}
	c.startsCancelled++
	if late := c.sim.now - job.cancelledAt; late > c.cancelLimit() || (c.commandsPrompt && late > promptCommands) {
		c.recordViolation(ruleRanCancelled, "%s starts on %s %v after the cancellation of its job", task.name, worker.id, late)
	}
	if late := task.commandedAt - job.cancelledAt; late > launchKnowledgeLimit {
		c.recordViolation(ruleRanCancelled, "the command to start %s on %s was sent %v after the cancellation of its job", task.name, worker.id, late)
	}
}

// checkPeriodically checks all machines and jobs every checkInterval.
func (c *ruleChecker) checkPeriodically() {
	c.checkStaysCancelled()
	c.checkNeglected()
	c.checkLeftWaiting()
	c.sim.schedule(checkInterval, c.checkPeriodically)
}

// checkStaysCancelled checks that no task of a cancelled job stays on a machine for longer than
// cancelLimit.
func (c *ruleChecker) checkStaysCancelled() {
	limit := c.cancelLimit()
	for _, worker := range c.sim.workers {
		for _, task := range worker.tasks {
			job := c.sim.jobs[task.jobID()]
			if task.phase != phaseEnded && !worker.dead && job != nil && job.cancelledAt > 0 && c.sim.now > job.cancelledAt+limit {
				c.recordViolation(ruleRanCancelled, "%s is still on %s %v after the cancellation of its job", task.name, worker.id, c.sim.now-job.cancelledAt)
			}
		}
	}
}
