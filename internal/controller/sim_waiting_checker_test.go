package controller

// checkNeglected reports, from neglectLimit after the end of the faults on, every accepted job
// of which no task has started while a suitable machine has room and the team is within its
// limit.
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
		if fits && c.sim.usedCPUs(job.team)+job.cpus <= c.sim.teamLimit {
			c.recordViolation(ruleNeglected, "%s still waits %v after the end of the faults, though a machine has room", job.id, c.sim.now-c.faultsOverAt)
		}
	}
}

// checkLeftWaiting reports every job of which a task waits for longer than neglectLimit after the
// end of the faults, while without a gap a machine that the job allows has had room for it and the
// team has been within its limit. Jobs whose place depends on their other tasks are left out, and
// jobs that fail everywhere.
func (c *ruleChecker) checkLeftWaiting() {
	for _, job := range c.sim.jobs {
		if c.faultsOverAt == 0 || job.gang || job.spread || job.sameZone || job.failsEverywhere || !c.waitsBesideRoom(job) {
			delete(c.roomSince, job)
			continue
		}
		since, known := c.roomSince[job]
		if !known {
			c.roomSince[job] = c.sim.now
		} else if c.sim.now-since > neglectLimit {
			c.recordViolation(ruleLeftWaiting, "a task of %s has waited for %v though a machine had room for it", job.id, c.sim.now-since)
			delete(c.roomSince, job)
		}
	}
}

// waitsBesideRoom reports whether a task of a job is on no machine and has not completed, although
// a machine has room for it and the team is within its limit.
func (c *ruleChecker) waitsBesideRoom(job *simJob) bool {
	if !job.accepted || job.cancelRequested || job.reportedPhase != "" {
		return false
	}
	present := 0 // tasks on machines that have not completed
	fits := false
	for _, worker := range c.sim.workers {
		fits = fits || c.couldStart(worker, job)
		for _, task := range worker.tasks {
			if task.jobID() == job.id && task.phase != phaseEnded && !worker.dead && !job.completed[task.index()] {
				present++
			}
		}
	}
	return fits && len(job.completed)+present < job.tasks && c.sim.usedCPUs(job.team)+job.cpus <= c.sim.teamLimit
}

// couldStart reports whether a machine without faults has room for a task of a job, and the job
// allows its zone and price.
func (c *ruleChecker) couldStart(worker *simWorker, job *simJob) bool {
	used := 0.0
	for _, task := range worker.tasks {
		if owner := c.sim.jobs[task.jobID()]; owner != nil && task.phase != phaseEnded {
			used += owner.cpus
		}
	}
	return worker.up && !worker.dead && !worker.faults.inboundBlocked && !worker.faults.failsTasks && used+job.cpus <= worker.cpus &&
		job.allows(worker)
}
