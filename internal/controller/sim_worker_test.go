package controller

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// worker is one machine's worker, by the protocol's words.
type simWorker struct {
	sim                         *simulation
	id, addr, machineType, zone string
	spot, up, dead, released    bool
	rentedAt                    time.Duration
	cpus                        float64
	session, sequence, token    uint64
	leaseFrom                   time.Duration // lease runs from here
	tasks                       []*simTask
	controllerIndex             int
	heartbeatNumber             int // number of the report in flight; answers to others are dropped
	hungUntil                   time.Duration
	failsTasks                  bool
	deaf                        bool          // its reports arrive, answers and orders do not
	takenAt                     time.Duration // when the cloud takes it, 0: no notice
	partitionedUntil            time.Duration // until then its zone is cut off
	onlyController              int           // the number, from 1, of the one controller that it can speak with; 0: any
	commandsHeldUntil           time.Duration // until then direct orders are held up, and carried out then
	muteUntil                   time.Duration // until then it reaches no controller, while orders reach it
}

type simTask struct {
	name          string
	attempt       uint64
	phase         string
	cause         string
	saved         bool
	ending        int // guards the timer
	gang          *simGang
	saveCommandAt time.Duration // a running task of a gang: when it was told to save
}

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

func (w *simWorker) die() {
	w.dead = true
	for _, task := range w.tasks {
		task.ending++
	}
	w.tasks = nil
}

// whenAwake runs fn now, or when a hanging machine resumes.
func (w *simWorker) whenAwake(fn func()) {
	if w.sim.now >= w.hungUntil {
		fn()
		return
	}
	w.sim.after(w.hungUntil-w.sim.now, func() {
		if !w.dead {
			w.expireLease()
			fn()
		}
	})
}

func (w *simWorker) checkLease() {
	if w.dead {
		return
	}
	w.expireLease()
	w.sim.after(200*time.Millisecond, w.checkLease)
}

func (w *simWorker) expireLease() {
	if w.sim.now-w.leaseFrom > w.sim.settings.WorkerLease() {
		for _, task := range w.tasks {
			task.ending++
		}
		w.tasks = nil
		w.session++
		w.leaseFrom = w.sim.now
	}
}

func (w *simWorker) heartbeatBody() []byte {
	list := []map[string]any{}
	for _, task := range w.tasks {
		list = append(list, map[string]any{"piece": task.name, "try": task.attempt, "phase": task.phase, "cause": task.cause, "stored": task.saved})
	}
	var notice any
	if w.takenAt > 0 {
		notice = (w.takenAt - w.sim.now).Seconds()
	}
	w.sequence++
	raw, err := json.Marshal(map[string]any{
		"host": w.id, "addr": w.addr, "build": w.machineType, "yard": w.zone, "loaners": w.spot,
		"shift": w.session, "tick": w.sequence, "baton": w.token, "warningS": notice, "pieces": list,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// beat sends a report and, after its answer, plans the next.
func (w *simWorker) sendHeartbeat() {
	if w.dead {
		return
	}
	if w.sim.now < w.hungUntil {
		w.sim.after(w.hungUntil-w.sim.now, w.sendHeartbeat)
		return
	}
	w.expireLease()
	if w.sim.now < w.partitionedUntil {
		w.controllerIndex = (w.controllerIndex + 1) % len(w.sim.controllers)
		w.sim.after(min(4*time.Second, w.partitionedUntil-w.sim.now), w.sendHeartbeat)
		return
	}
	if w.sim.now < w.muteUntil {
		w.controllerIndex = (w.controllerIndex + 1) % len(w.sim.controllers)
		w.sim.after(time.Second, w.sendHeartbeat)
		return
	}
	if w.onlyController > 0 && w.controllerIndex != w.onlyController-1 {
		w.controllerIndex = w.onlyController - 1
		w.sim.after(time.Second, w.sendHeartbeat)
		return
	}
	w.heartbeatNumber++
	number, shift, sent := w.heartbeatNumber, w.session, w.sim.now
	controller := w.sim.controllers[w.controllerIndex]
	next := func(d time.Duration) { w.sim.after(d, w.sendHeartbeat) }
	body := w.heartbeatBody()
	if w.sim.rng.Float64() < w.sim.lateCopyShare {
		// A copy comes seconds to well over a lease late, to any node.
		w.sim.after(time.Duration(1+w.sim.rng.IntN(60))*time.Second, func() {
			w.sim.controllers[w.sim.rng.IntN(len(w.sim.controllers))].request("workers", "POST", "/agent/beat", body, time.Second, func(http1.Response, error) {})
		})
	}
	if w.sim.retainedShare > 0 && w.sim.rng.Float64() < w.sim.retainedShare && len(w.sim.retained) < 60 {
		for _, other := range w.sim.controllers {
			w.sim.retained = append(w.sim.retained, func() {
				other.request("workers", "POST", "/agent/beat", body, time.Second, func(http1.Response, error) {})
			})
		}
	}
	controller.request("workers", "POST", "/agent/beat", body, 4*time.Second, func(response http1.Response, err error) {
		if w.dead || number != w.heartbeatNumber {
			return
		}
		if w.deaf || w.sim.now < w.partitionedUntil {
			response, err = http1.Response{}, eventloop.ErrNoAnswer
		}
		if w.sim.now < w.hungUntil {
			response, err = http1.Response{}, eventloop.ErrNoAnswer
		}
		w.expireLease()
		if err == nil && response.Status == 200 {
			var o struct {
				Token  uint64    `json:"baton"`
				Orders []command `json:"orders"`
			}
			if json.Unmarshal(response.Body, &o) == nil && o.Token >= w.token && shift == w.session {
				w.token = o.Token
				w.leaseFrom = max(w.leaseFrom, sent)
				w.execute(o.Orders)
			}
			next(time.Duration(500+w.sim.rng.IntN(1000)) * time.Millisecond * time.Duration(max(1, w.sim.slowdown)))
			return
		}
		if err == nil && response.Status == 421 {
			var to struct {
				Upstream string `json:"upstream"`
			}
			_ = json.Unmarshal(response.Body, &to)
			for i, other := range w.sim.controllers {
				if other.name == to.Upstream && i != w.controllerIndex {
					w.controllerIndex = i
					next(time.Duration(w.sim.rng.IntN(500)) * time.Millisecond)
					return
				}
			}
		}
		w.controllerIndex = (w.controllerIndex + 1) % len(w.sim.controllers)
		next(time.Second)
	})
}

type command struct {
	Verb     string  `json:"verb"`
	Ref      string  `json:"piece"`
	Attempt  uint64  `json:"try"`
	WindDown float64 `json:"windDownS"`
}

func (w *simWorker) handleCommands(request http1.ClientRequest) http1.Response {
	w.expireLease()
	var o struct {
		Token  uint64    `json:"baton"`
		Shift  uint64    `json:"shift"`
		Orders []command `json:"orders"`
	}
	if json.Unmarshal(request.Body, &o) != nil || o.Shift == 0 {
		return jsonResponse(400, nil)
	}
	if o.Token < w.token || o.Shift != w.session {
		return http1.Response{Status: 409, Body: w.heartbeatBody()}
	}
	w.token = o.Token
	w.execute(o.Orders)
	return http1.Response{Status: 200, Body: w.heartbeatBody()}
}

func (w *simWorker) execute(orders []command) {
	for _, o := range orders {
		i := slices.IndexFunc(w.tasks, func(task *simTask) bool { return task.name == o.Ref && task.attempt == o.Attempt })
		switch o.Verb {
		case "launch":
			if i < 0 {
				w.launch(o)
			}
		case "halt":
			if i >= 0 && w.tasks[i].phase != "ended" {
				w.sim.drainChecker.taskHalted(w, w.tasks[i])
				if task := w.tasks[i]; task.gang != nil && task.gang.halt(w, task, o.WindDown) {
					continue
				}
				w.tasks[i].ending++
				w.tasks[i].phase, w.tasks[i].cause = "ended", "halted"
			}
		case "forget":
			if i >= 0 && w.tasks[i].phase == "ended" {
				w.tasks = slices.Delete(w.tasks, i, i+1)
			}
		}
	}
}

func (w *simWorker) launch(o command) {
	task := &simTask{name: o.Ref, attempt: o.Attempt, phase: "running"}
	w.tasks = append(w.tasks, task)
	id, index, _ := strings.Cut(o.Ref, "/")
	job := w.sim.jobs[id]
	used := 0.0
	for _, existing := range w.tasks {
		if existing.phase == "ended" || existing == task {
			continue
		}
		if existing.name == o.Ref {
			task.phase, task.cause = "ended", "busy"
			return
		}
		xid, _, _ := strings.Cut(existing.name, "/")
		used += w.sim.jobs[xid].cpus
	}
	switch {
	case job == nil:
		task.phase, task.cause = "ended", "unknown"
		return
	case used+job.cpus > w.cpus:
		task.phase, task.cause = "ended", "full"
		return
	case w.failsTasks:
		task.phase, task.cause = "ended", "error"
		return
	}
	w.sim.checkStart(w, task, job)
	if job.gang {
		w.joinGang(task, job)
		return
	}
	if w.sim.imageFetchTime == 0 {
		w.run(task, job, index)
		return
	}
	task.phase = "fetching"
	ends := task.ending
	w.sim.after(w.sim.imageFetchTime/2+time.Duration(w.sim.rng.Int64N(int64(w.sim.imageFetchTime))), func() {
		if task.ending == ends && !w.dead {
			task.phase = "running"
			w.run(task, job, index)
		}
	})
}

// run runs a task that has its image until it completes.
func (w *simWorker) run(task *simTask, job *simJob, index string) {
	w.sim.drainChecker.taskRuns(task.name)
	if job.service {
		return
	}
	ends := task.ending
	i, _ := strconv.Atoi(index)
	length := job.runTime + time.Duration(i)*job.runTimeStep
	if job.completed[i] {
		length = 10 * time.Millisecond
	}
	var finish func()
	finish = func() {
		if task.ending != ends || w.dead {
			return
		}
		if w.sim.now < w.hungUntil {
			w.sim.after(w.hungUntil-w.sim.now, finish)
			return
		}
		if w.expireLease(); task.ending != ends {
			return
		}
		task.phase, task.cause = "ended", "done"
		job.completed[i] = true
		if w.sim.cancelAtCompletion && len(job.completed) == job.tasks && job.cancel != nil {
			job.cancel()
		}
	}
	w.sim.after(length, finish)
}
