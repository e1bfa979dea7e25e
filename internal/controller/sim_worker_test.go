package controller

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"lemonmoor/internal/http1"
)

// simWorker is one machine and its worker, which behaves as PROTOCOL describes.
type simWorker struct {
	sim                *simulation
	id, addr           string
	machineType, zone  string
	spot               bool
	cpus               float64
	up, dead, released bool
	rentedAt           time.Duration
	reclaimAt          time.Duration // when the cloud reclaims the machine, 0: no notice
	session            uint64
	sequence, token    uint64        // number of its last message; highest token seen
	leaseFrom          time.Duration // start of its current lease
	controllerIndex    int           // the controller to which it sends its next heartbeat
	heartbeatNumber    int           // of the heartbeat in flight; answers to others are dropped
	heartbeatTimer     int           // of the next heartbeat; earlier timers are void

	heartbeatAwaitsAnswer bool
	heartbeatSentAt       time.Duration // when the last heartbeat was sent

	tasks    []*simTask
	launched map[taskAttempt]bool // attempts that have been on the machine, or were refused
	faults   workerFaults
	failures int // tasks that have ended with an error on it
}

// taskAttempt names one attempt of a task.
type taskAttempt struct {
	task    string
	attempt uint64
}

// workerFaults are the faults of one machine and of its network connection.
type workerFaults struct {
	failsTasks           bool           // every task started on it ends with an error
	failingStarts        map[string]int // how many more tasks of a job that start on it end with an error, by job
	unresponsiveUntil    time.Duration  // until then the machine hangs: nothing runs on it
	inboundBlocked       bool           // its heartbeats arrive, but their answers and direct commands do not
	outboundBlockedUntil time.Duration  // until then its heartbeats reach no controller, while direct commands reach it
	partitionedUntil     time.Duration  // until then its zone is partitioned from the controllers
	onlyController       int            // index+1 of the only controller with which it can communicate; 0: any
	commandsDelayedUntil time.Duration  // direct commands sent before then are executed then
	link                 heldLink
}

// taskPhase is the state of a task as its worker reports it.
type taskPhase string

const (
	phaseFetching taskPhase = "fetching" // waits for its image
	phaseWaiting  taskPhase = "waiting"  // of a gang: waits for the other members
	phaseRunning  taskPhase = "running"
	phaseSaving   taskPhase = "saving" // has been halted and saves its progress
	phaseEnded    taskPhase = "ended"
)

// simTask is one attempt of a task on a machine.
type simTask struct {
	name          string // job/index
	attempt       uint64
	phase         taskPhase
	cause         string        // why it ended
	commandedAt   time.Duration // when the command to launch it was sent
	saved         bool          // whether its progress was saved when it was halted
	generation    int           // incremented when it ends or is killed, which invalidates earlier timers
	gang          *simGang      // nil for a task of an array or a service
	saveCommandAt time.Duration // when a running task of a gang was commanded to stop and save
}

// boot marks the machine as up and starts its worker.
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

// die ends the machine and kills its tasks.
func (w *simWorker) die() {
	w.dead = true
	for _, task := range w.tasks {
		task.generation++
	}
	w.tasks = nil
}

// whenResponsive runs fn now, or, if the machine hangs, when it resumes.
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

// checkLease ends the session if its lease has expired, every 200 ms.
func (w *simWorker) checkLease() {
	if w.dead {
		return
	}
	w.expireLease()
	w.sim.schedule(200*time.Millisecond, w.checkLease)
}

// expireLease ends the session if its lease has expired: all tasks are killed and forgotten,
// and a new session starts.
func (w *simWorker) expireLease() {
	if w.sim.now-w.leaseFrom > w.sim.settings.WorkerLease() {
		for _, task := range w.tasks {
			task.generation++
		}
		w.tasks = nil
		w.session++
		w.leaseFrom = w.sim.now
		w.reportChange()
	}
}

// command is one command of a controller to a worker.
type command struct {
	Verb     string  `json:"verb"`
	Task     string  `json:"piece"`
	Attempt  uint64  `json:"try"`
	WindDown float64 `json:"windDownS"`
}

// receiveCommands executes a controller's direct commands, unless a fault delays or loses
// them. Delayed commands are not answered, except those of a machine that hangs, which it
// answers when it resumes.
func (w *simWorker) receiveCommands(from *simController, request http1.ClientRequest, sentAt time.Duration, reply func(http1.Response)) {
	w.whenDelivered(w.faults.link.toWorkerUntil, func() {
		w.receiveDelivered(from, request, sentAt, func(response http1.Response) {
			w.whenDelivered(w.faults.link.fromWorkerUntil, func() { reply(response) })
		})
	})
}

// receiveDelivered is receiveCommands for commands that the machine's link has delivered.
func (w *simWorker) receiveDelivered(from *simController, request http1.ClientRequest, sentAt time.Duration, reply func(http1.Response)) {
	handleUnanswered := func() {
		if !w.dead {
			w.handleCommands(request, sentAt)
		}
	}
	faults := &w.faults
	switch {
	case w.sim.now < faults.commandsDelayedUntil:
		w.sim.schedule(faults.commandsDelayedUntil-w.sim.now, handleUnanswered)
	case w.dead || faults.inboundBlocked || (faults.onlyController > 0 && w.sim.controllers[faults.onlyController-1] != from):
		// lost
	case w.sim.now < faults.partitionedUntil:
		if w.sim.rng.IntN(2) == 0 { // delayed until the end of the partition; otherwise lost
			w.sim.schedule(faults.partitionedUntil-w.sim.now, handleUnanswered)
		}
	default:
		w.whenResponsive(func() {
			response := w.handleCommands(request, sentAt)
			if response.Status == 200 {
				w.copyCommands(request)
			}
			reply(response)
		})
	}
}

// handleCommands answers POST /orders for commands that were sent at sentAt.
func (w *simWorker) handleCommands(request http1.ClientRequest, sentAt time.Duration) http1.Response {
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
	w.execute(body.Commands, sentAt)
	if len(body.Commands) > 0 {
		w.reportChange()
	}
	return http1.Response{Status: 200, Body: w.heartbeatBody()}
}

// execute executes commands that were sent at sentAt, in order.
func (w *simWorker) execute(commands []command, sentAt time.Duration) {
	for _, command := range commands {
		i := slices.IndexFunc(w.tasks, func(task *simTask) bool {
			return task.name == command.Task && task.attempt == command.Attempt
		})
		switch command.Verb {
		case "launch":
			if i < 0 {
				w.launch(command, sentAt)
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

// halt ends a task, immediately unless its gang saves its progress first.
func (w *simWorker) halt(task *simTask, windDown float64) {
	w.sim.drainChecker.taskHalted(w, task)
	if task.gang != nil && task.gang.halt(task, windDown) {
		return
	}
	task.end("halted")
}

// launch starts a task, or refuses it: a refused task ends immediately.
func (w *simWorker) launch(command command, sentAt time.Duration) {
	task := &simTask{name: command.Task, attempt: command.Attempt, phase: phaseRunning, commandedAt: sentAt}
	w.sim.checker.checkLaunchedOnce(w, task)
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
	generation := task.generation
	w.sim.schedule(w.sim.imageFetchTime/2+time.Duration(w.sim.rng.Int64N(int64(w.sim.imageFetchTime))), func() {
		if task.generation == generation && !w.dead {
			task.phase = phaseRunning
			w.runTask(task, job)
		}
	})
}

// refusal returns the cause for which a new task is refused, or "".
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
	case w.faults.failsTasks || job.failsEverywhere:
		w.failures++
		return "error"
	case w.faults.failingStarts[job.id] > 0:
		w.faults.failingStarts[job.id]--
		w.failures++
		return "error"
	}
	return ""
}

// runTask runs a task that has its image until it completes; a service task runs until it is
// halted. A task that had completed in an earlier attempt completes after 10 ms.
func (w *simWorker) runTask(task *simTask, job *simJob) {
	w.sim.drainChecker.taskStarted(task.name)
	if job.service {
		return
	}
	index, generation := task.index(), task.generation
	runTime := job.runTime + time.Duration(index)*job.runTimeStep
	if job.completed[index] {
		runTime = 10 * time.Millisecond
	}
	var complete func()
	complete = func() {
		if task.generation != generation || w.dead {
			return
		}
		if w.sim.now < w.faults.unresponsiveUntil {
			w.sim.schedule(w.faults.unresponsiveUntil-w.sim.now, complete)
			return
		}
		if w.expireLease(); task.generation != generation {
			return
		}
		if job.heldRunning {
			w.sim.schedule(runTime, complete)
			return
		}
		task.phase, task.cause = phaseEnded, "done"
		job.completed[index] = true
		w.reportChange()
		if w.sim.users.cancelAtCompletion && len(job.completed) == job.tasks && job.cancel != nil {
			job.cancel()
		}
	}
	w.sim.schedule(runTime, complete)
}

// reclaimAfterNotice notifies a machine's worker that the cloud reclaims the machine after a
// delay, and reclaims it then.
func (w *simWorker) reclaimAfterNotice(delay time.Duration) {
	if w.dead || w.reclaimAt > 0 {
		return
	}
	w.reclaimAt = w.sim.now + delay
	w.sim.schedule(delay, func() {
		if !w.dead {
			w.sim.cloud.endRental(w)
		}
	})
}

// jobID returns the ID of the task's job.
func (t *simTask) jobID() string {
	id, _, _ := strings.Cut(t.name, "/")
	return id
}

// index returns the task's index in its job.
func (t *simTask) index() int {
	_, text, _ := strings.Cut(t.name, "/")
	index, _ := strconv.Atoi(text)
	return index
}

// end ends a task for a cause; the task stays on the machine until it is forgotten.
func (t *simTask) end(cause string) {
	t.generation++
	t.phase, t.cause = phaseEnded, cause
}
