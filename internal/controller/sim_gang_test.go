package controller

import (
	"time"
)

// simGang is one attempt of a gang. As in the operators' description, its tasks find each
// other by the attempt's number, start and complete together, detect the loss of a member
// within gang_peer_s and save together.
type simGang struct {
	sim          *simulation
	job          *simJob
	members      map[int]*gangMember
	startedAt    time.Duration // 0: not started
	haltedAt     time.Duration // first halt of a member while the gang ran, 0: none
	broken       bool          // a member was lost
	ended        bool
	checkpointed bool // the halted attempt saved its progress
}

// gangMember is one task of an attempt, on its machine.
type gangMember struct {
	worker *simWorker
	task   *simTask
}

// joinGang runs a task of a gang on its machine: the task fetches its image, waits for the
// other members and runs with them.
func (w *simWorker) joinGang(task *simTask, job *simJob) {
	if job.attempts == nil {
		job.attempts = map[uint64]*simGang{}
	}
	gang := job.attempts[task.attempt]
	if gang == nil {
		gang = &simGang{sim: w.sim, job: job, members: map[int]*gangMember{}}
		job.attempts[task.attempt] = gang
	}
	task.gang, task.phase = gang, phaseFetching
	index := task.index()
	generation := task.generation
	live := func() bool { return task.generation == generation && !w.dead }
	w.sim.schedule(time.Duration(50+w.sim.rng.IntN(1500))*time.Millisecond, func() {
		if !live() {
			return
		}
		w.whenResponsive(func() {
			if !live() {
				return
			}
			if job.completed[index] {
				task.end("done")
				return
			}
			task.phase = phaseWaiting
			gang.members[index] = &gangMember{w, task}
			gang.startIfComplete()
			w.sim.schedule(w.sim.settings.GangWaitTimeout(), func() {
				if live() && task.phase == phaseWaiting {
					task.end("alone")
				}
			})
		})
	})
}

// respondsIn reports whether a member is on its machine and in a phase, and its machine is
// alive and does not hang.
func (m *gangMember) respondsIn(phase taskPhase) bool {
	return !m.worker.dead && m.worker.sim.now >= m.worker.faults.unresponsiveUntil && m.task.phase == phase && m.worker.hasTask(m.task)
}

// hasTask reports whether a task is still on the machine.
func (w *simWorker) hasTask(task *simTask) bool {
	for _, existing := range w.tasks {
		if existing == task {
			return true
		}
	}
	return false
}

// startIfComplete starts the gang once all its members wait.
func (g *simGang) startIfComplete() {
	if g.startedAt > 0 || len(g.members) < g.job.tasks {
		return
	}
	for _, member := range g.members {
		if !member.respondsIn(phaseWaiting) {
			return
		}
	}
	g.startedAt = g.sim.now
	g.job.gangStarts++
	g.sim.drainChecker.taskStarted(g.job.id)
	for _, member := range g.members {
		member.task.phase = phaseRunning
	}
	g.checkMembers()
}

// progress returns the job's progress, from its last checkpoint on.
func (g *simGang) progress() time.Duration { return g.job.checkpoint + g.sim.now - g.startedAt }

// checkMembers checks the running gang every 100 ms for lost members and for completion.
func (g *simGang) checkMembers() {
	if g.ended {
		return
	}
	for _, member := range g.members {
		if !member.respondsIn(phaseRunning) && !member.respondsIn(phaseSaving) {
			g.loseMember()
			return
		}
	}
	if g.haltedAt == 0 && g.progress() >= g.job.runTime {
		g.ended = true
		for i, member := range g.members {
			member.task.end("done")
			g.job.completed[i] = true
		}
		return
	}
	g.sim.schedule(100*time.Millisecond, g.checkMembers)
}

// loseMember breaks the gang after the loss of a member: progress falls back to the last
// checkpoint, and the other members detect the loss within gang_peer_s and end.
func (g *simGang) loseMember() {
	if g.broken || g.ended {
		return
	}
	g.broken = true
	if interval := time.Duration(g.job.checkpointSeconds * float64(time.Second)); interval > 0 && !g.checkpointed {
		stoppedAt := g.sim.now
		if g.haltedAt > 0 {
			stoppedAt = g.haltedAt
		}
		g.job.checkpoint = max(g.job.checkpoint, (g.job.checkpoint+stoppedAt-g.startedAt)/interval*interval)
	}
	for _, member := range g.members {
		generation := member.task.generation
		g.sim.schedule(time.Duration(g.sim.rng.IntN(int(g.sim.settings.GangPeerTimeout()))), func() {
			member.worker.whenResponsive(func() {
				if member.task.generation == generation && !member.worker.dead && member.worker.hasTask(member.task) {
					member.task.end("mates_gone")
				}
			})
		})
	}
}

// halt stops a member. It reports whether the member saves first; otherwise the member exits
// immediately.
func (g *simGang) halt(task *simTask, windDown float64) bool {
	if task.phase == phaseSaving && windDown >= 1 {
		return true // a repeated command
	}
	if g.startedAt == 0 || g.ended || task.phase != phaseRunning {
		return false
	}
	if windDown < 1 || g.job.checkpointSeconds == 0 || g.broken {
		g.sim.schedule(0, g.loseMember)
		return false
	}
	if g.haltedAt == 0 {
		g.haltedAt = g.sim.now
		g.sim.schedule(g.sim.settings.GangPeerTimeout(), func() {
			// Members that were not halted in time detect the loss of the others, and the
			// save fails.
			for _, member := range g.members {
				if !g.checkpointed && (member.task.saveCommandAt == 0 || !member.respondsIn(phaseSaving)) {
					g.loseMember()
					return
				}
			}
		})
	}
	task.phase, task.saveCommandAt = phaseSaving, g.sim.now
	g.sim.schedule(time.Second, func() {
		for _, member := range g.members {
			if g.broken || !member.respondsIn(phaseSaving) || g.sim.now < member.task.saveCommandAt+time.Second {
				return
			}
		}
		g.ended, g.checkpointed = true, true
		g.job.checkpoint += g.haltedAt - g.startedAt
		for _, member := range g.members {
			member.task.end("halted")
			member.task.saved = true
		}
	})
	return true
}

// newGang returns a gang job of short tasks.
func newGang(i, tasks int, cpus float64) *simJob {
	return newJob(jobSpec{
		id: jobID(i), team: teamOf(i), tasks: tasks, cpus: cpus,
		runTime: 4 * time.Second, spot: true, gang: true,
	})
}
