package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of the worker of one machine.
type worker struct {
	mu      sync.Mutex
	world   *world
	id      string
	addr    string
	place   place
	kind    machineType
	server  *http.Server
	client  *http.Client
	up      bool
	dead    bool
	session uint64
	tick    uint64
	token   uint64
	base    time.Time // when the last answered report was sent, or the session began
	tasks   []*task
	cached  map[string]bool
	fetches map[string]time.Time // images on their way, with the time of their arrival
	node    int                  // index of the controller that is reported to
	wake    chan struct{}

	hangUntil time.Time  // until when the machine hangs
	takenAt   *time.Time // when the cloud takes the machine, once that is known
}

type task struct {
	name    string
	try     uint64
	phase   string
	cause   string
	saved   bool
	job     *job
	index   int
	ranTime time.Duration
}

type reportedTask struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`
}

type report struct {
	Host     string         `json:"host"`
	Addr     string         `json:"addr"`
	Build    string         `json:"build"`
	Yard     string         `json:"yard"`
	Loaners  bool           `json:"loaners"`
	Shift    uint64         `json:"shift"`
	Tick     uint64         `json:"tick"`
	Baton    uint64         `json:"baton"`
	WarningS *float64       `json:"warningS"`
	Pieces   []reportedTask `json:"pieces"`
	// Release is a field that the protocol does not know: the version of the worker's own program.
	Release string `json:"Build,omitempty"`
}

type order struct {
	Verb      string  `json:"verb"`
	Piece     string  `json:"piece"`
	Try       uint64  `json:"try"`
	WindDownS float64 `json:"windDownS"`
}

type orders struct {
	Baton  *uint64 `json:"baton"`
	Shift  *uint64 `json:"shift"`
	Orders []order `json:"orders"`
}

func newWorker(w *world, id string, where place, kind machineType) *worker {
	k := &worker{
		world: w, id: id, place: where, kind: kind, session: 1, cached: map[string]bool{}, fetches: map[string]time.Time{},
		wake: make(chan struct{}, 1), node: rand.IntN(len(w.controllers)),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("worker cannot listen: %v", err)
		return k
	}
	k.addr = listener.Addr().String()
	k.server = &http.Server{Handler: http.HandlerFunc(k.handle)}
	go func() { _ = k.server.Serve(listener) }()
	return k
}

// run reports until the machine is gone.
func (k *worker) run() {
	k.mu.Lock()
	k.up, k.base = true, time.Now()
	k.mu.Unlock()
	k.world.record.note("machine %s up: %s in %s, spot %v", k.id, k.place.build, k.place.yard, k.place.loaners)
	go k.watchLease()
	for !k.isDead() {
		k.waitWhileHanging()
		sentAt := time.Now()
		pause := k.report()
		if pause < 0 { // answered: the next report is due at the interval, or on a change
			interval := k.world.reportEvery.Seconds() * (0.75 + rand.Float64()/2)
			pause = time.Duration(interval * float64(time.Second))
			select {
			case <-k.wake:
				pause = 500*time.Millisecond - time.Since(sentAt)
			case <-time.After(pause):
				continue
			}
		}
		time.Sleep(max(0, pause))
	}
}

func (k *worker) waitWhileHanging() {
	k.mu.Lock()
	wait := time.Until(k.hangUntil)
	k.mu.Unlock()
	time.Sleep(max(0, wait))
}

func (k *worker) isDead() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dead
}

// die ends the machine with all that is on it.
func (k *worker) die(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead {
		return
	}
	k.dead = true
	k.world.record.note("machine %s gone: %s", k.id, why)
	for _, t := range k.tasks {
		k.off(t)
	}
	k.tasks = nil
	go func() { _ = k.server.Close() }()
}

func (k *worker) changed() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// watchLease kills all tasks when the lease expires.
func (k *worker) watchLease() {
	for !k.isDead() {
		time.Sleep(50 * time.Millisecond)
		k.mu.Lock()
		if time.Since(k.base) > k.world.lease && !k.dead {
			for _, t := range k.tasks {
				k.off(t)
			}
			k.tasks = nil
			k.session++
			k.base = time.Now()
			k.world.record.note("machine %s: lease expired, session %d", k.id, k.session)
			k.changed()
		}
		k.mu.Unlock()
	}
}

// makeReport is called with the lock held.
func (k *worker) makeReport() report {
	k.tick++
	r := report{
		Host: k.id, Addr: k.addr, Build: k.place.build, Yard: k.place.yard, Loaners: k.place.loaners,
		Shift: k.session, Tick: k.tick, Baton: k.token, Pieces: []reportedTask{}, Release: k.world.release,
	}
	if k.takenAt != nil {
		seconds := time.Until(*k.takenAt).Seconds()
		r.WarningS = &seconds
	}
	for _, t := range k.tasks {
		r.Pieces = append(r.Pieces, reportedTask{t.name, t.try, t.phase, t.cause, t.saved})
	}
	return r
}

// report sends one report and returns the pause before the next try, below 0 if it was answered.
func (k *worker) report() time.Duration {
	k.mu.Lock()
	message := k.makeReport()
	node := k.node
	k.mu.Unlock()
	raw, err := json.Marshal(message)
	if err != nil {
		return time.Second
	}
	sentAt := time.Now()
	k.world.copyReport(node, raw)
	response, err := k.client.Post("http://"+k.world.controllers[node].serveOn+"/agent/beat", "application/json", bytes.NewReader(raw))
	if err != nil {
		return k.nextNode(node)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		return k.nextNode(node)
	case response.StatusCode == 200:
		k.answered(message.Shift, sentAt, body)
		return -1
	case response.StatusCode == 421:
		var redirect struct {
			Upstream string `json:"upstream"`
		}
		_ = json.Unmarshal(body, &redirect)
		for i, c := range k.world.controllers {
			if c.name == redirect.Upstream && i != node {
				k.mu.Lock()
				k.node = i
				k.mu.Unlock()
				return time.Duration(rand.IntN(500)) * time.Millisecond
			}
		}
	}
	return k.nextNode(node)
}

func (k *worker) nextNode(node int) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.node = (node + 1) % len(k.world.controllers)
	return time.Second
}

// answered takes in the answer to a report.
func (k *worker) answered(session uint64, sentAt time.Time, body []byte) {
	var answer orders
	if json.Unmarshal(body, &answer) != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead || session != k.session || answer.Baton == nil || *answer.Baton < k.token {
		return
	}
	if *answer.Baton > k.token {
		k.token = *answer.Baton
		k.changed()
	}
	k.base = sentAt
	k.execute(answer.Orders)
}

// handle serves direct commands.
func (k *worker) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
	k.waitWhileHanging()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil || k.dead || !k.up {
		panic(http.ErrAbortHandler)
	}
	if r.Method == "GET" && r.URL.Path == "/status" {
		reply(w, 200, k.makeReport())
		return
	}
	if hold := k.world.holdOrders(); hold > 0 {
		k.mu.Unlock()
		time.Sleep(hold) // packets held back, and delivered late
		k.mu.Lock()
	}
	var message orders
	if json.Unmarshal(body, &message) != nil || message.Baton == nil || message.Shift == nil {
		reply(w, 400, fields{"error": "baton or shift is missing"})
		return
	}
	if *message.Baton > k.token {
		k.token = *message.Baton
		k.changed()
	}
	if *message.Baton < k.token || *message.Shift != k.session {
		reply(w, 409, k.makeReport())
		return
	}
	k.execute(message.Orders)
	reply(w, 200, k.makeReport())
}

// execute carries out commands, with the lock held.
func (k *worker) execute(list []order) {
	for _, o := range list {
		var known *task
		for _, t := range k.tasks {
			if t.name == o.Piece && t.try == o.Try {
				known = t
			}
		}
		switch o.Verb {
		case "launch":
			if known == nil {
				k.launch(o)
			}
		case "halt":
			if known != nil {
				k.halt(known, o.WindDownS)
			}
		case "forget":
			if known != nil && known.phase == "ended" {
				for i, t := range k.tasks {
					if t == known {
						k.tasks = append(k.tasks[:i:i], k.tasks[i+1:]...)
						break
					}
				}
			}
		}
	}
}

func (k *worker) launch(o order) {
	t := &task{name: o.Piece, try: o.Try, phase: "ended"}
	k.tasks = append(k.tasks, t)
	k.changed()
	id, number, _ := strings.Cut(o.Piece, "/")
	t.job = k.world.job(id)
	index, err := strconv.Atoi(number)
	t.index = index
	if t.job == nil || err != nil || index >= t.job.Pieces {
		t.cause = "unknown"
		return
	}
	cpus, memory := 0.0, 0.0
	for _, other := range k.tasks {
		if other.phase == "ended" {
			continue
		}
		if other.name == t.name {
			t.cause = "busy"
			return
		}
		cpus += other.job.CPUs
		memory += other.job.MemoryGB
	}
	if cpus+t.job.CPUs > k.kind.CPUs+1e-6 || memory+t.job.MemoryGB > k.kind.MemoryGB+1e-6 {
		t.cause = "full"
		return
	}
	t.phase = "fetching"
	wait := time.Duration(0)
	if !k.cached[t.job.Kit] {
		arrives, fetching := k.fetches[t.job.Kit]
		if !fetching {
			arrives = time.Now().Add(time.Duration(t.job.PullGB / k.kind.PullRate * float64(time.Second)))
			k.fetches[t.job.Kit] = arrives
		}
		wait = time.Until(arrives)
	}
	k.after(max(wait, time.Millisecond), t, "fetching", func() {
		k.cached[t.job.Kit] = true
		delete(k.fetches, t.job.Kit)
		k.start(t)
	})
}

// after runs fn with the lock held after a while, if the task is in the given phase by then.
func (k *worker) after(wait time.Duration, t *task, phase string, fn func()) {
	time.AfterFunc(wait, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.dead || t.phase != phase {
			return
		}
		if wait := time.Until(k.hangUntil); wait > 0 {
			k.after(wait, t, phase, fn)
			return
		}
		for _, present := range k.tasks {
			if present == t {
				fn()
				k.changed()
				return
			}
		}
	})
}

func (k *worker) start(t *task) {
	if k.world.isTaskDone(t.name) {
		t.phase, t.cause = "ended", "done"
		return
	}
	if t.job.Shape == "gang" {
		t.phase = "waiting"
		k.world.taskOn(k, t)
		go k.world.gangArrived(k, t)
		return
	}
	t.phase = "running"
	k.world.taskOn(k, t)
	if t.job.Shape == "daemon" {
		return
	}
	k.after(time.Duration(t.job.runS*float64(time.Second)), t, "running", func() {
		k.world.taskDone(t.name)
		k.off(t)
		t.phase, t.cause = "ended", "done"
	})
}

func (k *worker) halt(t *task, windDownS float64) {
	if t.phase == "running" && t.job.SnapshotS > 0 && windDownS >= t.job.FlushS {
		t.phase = "saving"
		k.after(time.Duration(t.job.FlushS*float64(time.Second)), t, "saving", func() {
			k.off(t)
			t.phase, t.cause, t.saved = "ended", "halted", true
		})
		return
	}
	if t.phase != "ended" {
		k.off(t)
		t.phase, t.cause = "ended", "halted"
		k.changed()
	}
}

// off notes that a task has left the machine, if it was on it.
func (k *worker) off(t *task) {
	if t.phase == "running" || t.phase == "saving" || t.phase == "waiting" {
		k.world.taskOff(k, t)
		if t.job.Shape == "gang" {
			go k.world.gangLeft(t)
		}
	}
}
