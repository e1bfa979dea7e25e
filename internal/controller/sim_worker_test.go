package controller

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"lemonmoor/internal/http1"
)

// simWorker is one machine and its worker, by the words of PROTOCOL.
type simWorker struct {
	sim                *simulation
	id, addr           string
	machineType, zone  string
	spot               bool
	cpus               float64
	up, dead, released bool
	rentedAt           time.Duration
	reclaimAt          time.Duration // when the cloud takes the machine, 0: no notice
	session            uint64
	sequence, token    uint64        // of its last message; the highest it has seen
	leaseFrom          time.Duration // its lease runs from here
	controllerIndex    int           // the controller that it reports to
	heartbeatNumber    int           // of the heartbeat in flight; answers to others are dropped
	tasks              []*simTask
	faults             workerFaults
}

// workerFaults is what is wrong with one machine or with the way to it.
type workerFaults struct {
	failsTasks           bool          // every task that it starts ends with an error
	unresponsiveUntil    time.Duration // nothing runs on it until then
	inboundBlocked       bool          // its heartbeats arrive, answers and commands do not
	outboundBlockedUntil time.Duration // until then it reaches no controller, while commands reach it
	partitionedUntil     time.Duration // until then its zone is cut off
	onlyController       int           // the number, from 1, of the one controller that it can speak with; 0: any
	commandsDelayedUntil time.Duration // until then direct commands are held up, and executed then
}

// taskPhase is the state of a task as its worker reports it.
type taskPhase string

const (
	phaseFetching taskPhase = "fetching" // waits for its image
	phaseWaiting  taskPhase = "waiting"  // of a gang: waits for the other members
	phaseRunning  taskPhase = "running"
	phaseSaving   taskPhase = "saving" // was told to stop and saves
	phaseEnded    taskPhase = "ended"
)

// simTask is one attempt of a task on a machine.
type simTask struct {
	name          string // job/index
	attempt       uint64
	phase         taskPhase
	cause         string        // with which it ended
	saved         bool          // its progress, when it was stopped
	generation    int           // counts ends and kills: a timer of before counts for nothing
	gang          *simGang      // nil: of an array or a service
	saveCommandAt time.Duration // when a running task of a gang was told to stop and save
}

// boot starts the worker on a machine that is up.
func (w *simWorker) boot() {
	if w.dead {
		return
	}
	w.up = true
	w.leaseFrom = w.sim.now
	w.controllerIndex = w.sim.rng.IntN(len(w.sim.controllers))
	w.sendHeartbeat()
	w.checkLease()
}

// die ends the machine.
func (w *simWorker) die() {
	w.dead = true
	for _, task := range w.tasks {
		task.generation++
	}
	w.tasks = nil
}

// whenAwake runs fn now, or when a hanging machine resumes.
func (w *simWorker) whenResponsive(fn func()) {
	if w.sim.now >= w.faults.unresponsiveUntil {
		fn()
		return
	}
	w.sim.schedule(w.faults.unresponsiveUntil-w.sim.now, func() {
		if !w.dead {
			w.expireLease()
			fn()
		}
	})
}

// checkLease ends the session, from time to time, when its lease has run out.
func (w *simWorker) checkLease() {
	if w.dead {
		return
	}
	w.expireLease()
	w.sim.schedule(200*time.Millisecond, w.checkLease)
}

// expireLease ends the session if its lease has run out: all tasks are killed and
// forgotten.
func (w *simWorker) expireLease() {
	if w.sim.now-w.leaseFrom > w.sim.settings.WorkerLease() {
		for _, task := range w.tasks {
			task.generation++
		}
		w.tasks = nil
		w.session++
		w.leaseFrom = w.sim.now
	}
}

// command is one of a controller's commands to a worker.
type command struct {
	Verb     string  `json:"verb"`
	Task     string  `json:"piece"`
	Attempt  uint64  `json:"try"`
	WindDown float64 `json:"windDownS"`
}

// receiveCommands takes direct commands of a controller, unless a fault holds them up or
// loses them.
func (w *simWorker) receiveCommands(from *simController, request http1.ClientRequest, reply func(http1.Response)) {
	handleUnanswered := func() {
		if !w.dead {
			w.handleCommands(request)
		}
	}
	faults := &w.faults
	switch {
	case w.sim.now < faults.commandsDelayedUntil:
		w.sim.schedule(faults.commandsDelayedUntil-w.sim.now, handleUnanswered)
	case w.dead || faults.inboundBlocked || (faults.onlyController > 0 && w.sim.controllers[faults.onlyController-1] != from):
		// lost
	case w.sim.now < faults.partitionedUntil:
		if w.sim.rng.IntN(2) == 0 { // held back, and delivered when the partition is over
			w.sim.schedule(faults.partitionedUntil-w.sim.now, handleUnanswered)
		}
	default:
		w.whenResponsive(func() { reply(w.handleCommands(request)) })
	}
}

// handleCommands serves POST /orders.
func (w *simWorker) handleCommands(request http1.ClientRequest) http1.Response {
	w.expireLease()
	var body struct {
		Token    uint64    `json:"baton"`
		Session  uint64    `json:"shift"`
		Commands []command `json:"orders"`
	}
	if json.Unmarshal(request.Body, &body) != nil || body.Session == 0 {
		return jsonResponse(400, nil)
	}
	if body.Token < w.token || body.Session != w.session {
		return http1.Response{Status: 409, Body: w.heartbeatBody()}
	}
	w.token = body.Token
	w.execute(body.Commands)
	return http1.Response{Status: 200, Body: w.heartbeatBody()}
}

// execute carries commands out in order.
func (w *simWorker) execute(commands []command) {
	for _, command := range commands {
		i := slices.IndexFunc(w.tasks, func(task *simTask) bool {
			return task.name == command.Task && task.attempt == command.Attempt
		})
		switch command.Verb {
		case "launch":
			if i < 0 {
				w.launch(command)
			}
		case "halt":
			if i >= 0 && w.tasks[i].phase != phaseEnded {
				w.halt(w.tasks[i], command.WindDown)
			}
		case "forget":
			if i >= 0 && w.tasks[i].phase == phaseEnded {
				w.tasks = slices.Delete(w.tasks, i, i+1)
			}
		}
	}
}

// halt ends a task, at once unless its gang saves first.
func (w *simWorker) halt(task *simTask, windDown float64) {
	w.sim.drainChecker.taskHalted(w, task)
	if task.gang != nil && task.gang.halt(task, windDown) {
		return
	}
	task.end("halted")
}

// launch starts a task, or refuses it.
func (w *simWorker) launch(command command) {
	task := &simTask{name: command.Task, attempt: command.Attempt, phase: phaseRunning}
	w.tasks = append(w.tasks, task)
	job := w.sim.jobs[task.jobID()]
	if cause := w.refusal(task, job); cause != "" {
		task.phase, task.cause = phaseEnded, cause
		return
	}
	w.sim.checker.checkStart(w, task, job)
	if job.gang {
		w.joinGang(task, job)
		return
	}
	if w.sim.imageFetchTime == 0 {
		w.runTask(task, job)
		return
	}
	task.phase = phaseFetching
	ending := task.generation
	w.sim.schedule(w.sim.imageFetchTime/2+time.Duration(w.sim.rng.Int64N(int64(w.sim.imageFetchTime))), func() {
		if task.generation == ending && !w.dead {
			task.phase = phaseRunning
			w.runTask(task, job)
		}
	})
}

// refusal is the cause with which a new task ends at once, or "".
func (w *simWorker) refusal(task *simTask, job *simJob) string {
	used := 0.0
	for _, existing := range w.tasks {
		if existing.phase == phaseEnded || existing == task {
			continue
		}
		if existing.name == task.name {
			return "busy"
		}
		used += w.sim.jobs[existing.jobID()].cpus
	}
	switch {
	case job == nil:
		return "unknown"
	case used+job.cpus > w.cpus:
		return "full"
	case w.faults.failsTasks:
		return "error"
	}
	return ""
}

// runTask runs a task that has its image until it completes.
func (w *simWorker) runTask(task *simTask, job *simJob) {
	w.sim.drainChecker.taskStarted(task.name)
	if job.service {
		return
	}
	index, ending := task.index(), task.generation
	runTime := job.runTime + time.Duration(index)*job.runTimeStep
	if job.completed[index] {
		runTime = 10 * time.Millisecond
	}
	var complete func()
	complete = func() {
		if task.generation != ending || w.dead {
			return
		}
		if w.sim.now < w.faults.unresponsiveUntil {
			w.sim.schedule(w.faults.unresponsiveUntil-w.sim.now, complete)
			return
		}
		if w.expireLease(); task.generation != ending {
			return
		}
		task.phase, task.cause = phaseEnded, "done"
		job.completed[index] = true
		if w.sim.users.cancelAtCompletion && len(job.completed) == job.tasks && job.cancel != nil {
			job.cancel()
		}
	}
	w.sim.schedule(runTime, complete)
}

// takeAfterNotice tells a machine that the cloud takes it after a while, and takes it then.
func (w *simWorker) reclaimAfterNotice(in time.Duration) {
	if w.dead || w.reclaimAt > 0 {
		return
	}
	w.reclaimAt = w.sim.now + in
	w.sim.schedule(in, func() {
		if !w.dead {
			w.sim.cloud.endRental(w)
		}
	})
}

// jobID is the job that a task belongs to.
func (t *simTask) jobID() string {
	id, _, _ := strings.Cut(t.name, "/")
	return id
}

// index is the task's number in its job.
func (t *simTask) index() int {
	_, text, _ := strings.Cut(t.name, "/")
	index, _ := strconv.Atoi(text)
	return index
}

// end ends a task that has not been killed.
func (t *simTask) end(cause string) {
	t.generation++
	t.phase, t.cause = phaseEnded, cause
}
