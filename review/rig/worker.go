package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxRequest is the limit of a request's body.
const maxRequest = 64 << 10

// keepLimit makes the workers send no report above maxRequest, for a comparison. By default they
// send it, since a report has to list all tasks.
var keepLimit = flag.Bool("keep-limit", false, "workers send no report of more than 64 KiB")

// piece is a task on a worker.
type piece struct {
	name    string
	try     uint64
	job     *job
	phase   string
	cause   string
	stored  bool
	onHost  bool // has its image and has not exited
	endsAt  time.Time
	readyAt time.Time // when its image is there
	waitsAt time.Time // since when it waits for its gang
}

// worker is the stand-in of the worker of one machine.
type worker struct {
	world   *world
	machine *machine
	addr    string
	client  *http.Client

	mu        sync.Mutex
	up, gone  bool
	shift     uint64
	tick      uint64
	baton     uint64
	leaseFrom time.Time
	pieces    []*piece
	images    map[string]bool
	target    int
	changedAt chan struct{}
	deaf      bool // answers and direct commands are lost
	mute      bool // its reports reach no controller
	hung      bool // does nothing, may go on later
	sick      bool // fails every task that it starts
	failed    int
	largest   int // bytes of its largest report
	tooLarge  int // reports answered with 413
	batonTold time.Time
	// delayOrders is for how long a direct command is held up on its way.
	delayOrders time.Duration
}

func newWorker(w *world, m *machine) *worker {
	wk := &worker{
		world: w, machine: m, shift: 1, images: map[string]bool{}, changedAt: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
		target: rand.IntN(len(w.nodes)),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	wk.addr = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(wk.serve)}
	go func() { _ = server.Serve(listener) }()
	return wk
}

func (wk *worker) id() string { return wk.machine.id }

// startUp begins the worker's reports.
func (wk *worker) startUp() {
	wk.mu.Lock()
	wk.up = true
	wk.leaseFrom = time.Now()
	wk.mu.Unlock()
	wk.world.rec.log("worker %s: up (%s in %s)", wk.id(), wk.machine.kind.Label, wk.machine.yard)
	go wk.reportLoop()
	go wk.runLoop()
}

// end ends the worker with its machine.
func (wk *worker) end(why string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.gone = true
	for _, p := range wk.pieces {
		wk.leave(p, why)
	}
	wk.pieces = nil
	wk.world.rec.log("worker %s: machine %s", wk.id(), why)
}

// leave notes that a task is no longer on the machine. The lock is held.
func (wk *worker) leave(p *piece, why string) {
	if p.onHost {
		p.onHost = false
		wk.world.left(wk, p, why)
	}
}

func (wk *worker) notify() {
	select {
	case wk.changedAt <- struct{}{}:
	default:
	}
}

// runLoop moves the tasks on and ends the session with its lease.
func (wk *worker) runLoop() {
	for range time.Tick(20 * time.Millisecond) {
		wk.mu.Lock()
		if wk.gone {
			wk.mu.Unlock()
			return
		}
		if !wk.hung || time.Since(wk.leaseFrom) > wk.world.leaseTime() {
			wk.advance() // a hanging machine goes on within its lease or not at all
		}
		wk.mu.Unlock()
	}
}

// advance is called regularly with the lock held.
func (wk *worker) advance() {
	now := time.Now()
	if now.Sub(wk.leaseFrom) > wk.world.leaseTime() {
		if len(wk.pieces) > 0 {
			wk.world.rec.log("worker %s: lease of session %d expired, %d tasks killed", wk.id(), wk.shift, len(wk.pieces))
		}
		for _, p := range wk.pieces {
			wk.leave(p, "lease expired")
		}
		wk.pieces = nil
		wk.shift++
		wk.leaseFrom = now
		wk.notify()
		return
	}
	for _, p := range wk.pieces {
		switch {
		case p.phase == "fetching" && now.After(p.readyAt):
			wk.images[p.job.Kit] = true
			p.phase, p.onHost = "running", true
			if p.job.Shape == "gang" {
				p.phase, p.waitsAt = "waiting", now
				if wk.world.isDone(p.name) {
					p.phase, p.endsAt = "running", now
				}
				wk.world.entered(wk, p)
				wk.notify()
				continue
			}
			run := p.job.runTime
			if wk.world.isDone(p.name) {
				run = 0
			}
			p.endsAt = now.Add(run)
			if p.job.Shape == "daemon" {
				p.endsAt = now.Add(time.Hour)
			}
			wk.world.entered(wk, p)
			if wk.sick {
				wk.failed++
				p.phase, p.cause = "ended", "error"
				wk.leave(p, "error")
			}
			wk.notify()
		case p.phase == "waiting":
			if at, started := wk.world.gangStarted(p); started {
				p.phase, p.endsAt = "running", at.Add(p.job.runTime)
				wk.notify()
			} else if now.Sub(p.waitsAt) > 45*time.Second {
				p.phase, p.cause = "ended", "alone"
				wk.leave(p, "alone")
				wk.notify()
			}
		case p.phase == "running" && p.job.Shape == "gang" && !wk.world.isDone(p.name) && wk.world.gangBroken(p):
			p.phase, p.cause = "ended", "mates_gone"
			wk.leave(p, "mates_gone")
			wk.notify()
		case p.phase == "running" && now.After(p.endsAt):
			p.phase, p.cause = "ended", "done"
			wk.world.completed(wk, p)
			wk.leave(p, "done")
			wk.notify()
		}
	}
}

type wireReport struct {
	Host     string      `json:"host"`
	Addr     string      `json:"addr"`
	Build    string      `json:"build"`
	Yard     string      `json:"yard"`
	Loaners  bool        `json:"loaners"`
	Shift    uint64      `json:"shift"`
	Tick     uint64      `json:"tick"`
	Baton    uint64      `json:"baton"`
	WarningS *float64    `json:"warningS"`
	Pieces   []wirePiece `json:"pieces"`
}

type wirePiece struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`
}

type wireOrder struct {
	Verb      string  `json:"verb"`
	Piece     string  `json:"piece"`
	Try       uint64  `json:"try"`
	WindDownS float64 `json:"windDownS"`
}

type wireOrders struct {
	Baton  *uint64     `json:"baton"`
	Shift  *uint64     `json:"shift"`
	Orders []wireOrder `json:"orders"`
}

// report returns the worker's next report. The lock is held.
func (wk *worker) report() wireReport {
	wk.tick++
	r := wireReport{
		Host: wk.id(), Addr: wk.addr, Build: wk.machine.kind.Label, Yard: wk.machine.yard,
		Shift: wk.shift, Tick: wk.tick, Baton: wk.baton, Pieces: []wirePiece{},
	}
	for _, p := range wk.pieces {
		r.Pieces = append(r.Pieces, wirePiece{p.name, p.try, p.phase, p.cause, p.stored})
	}
	return r
}

// reportLoop sends the reports, one at a time.
func (wk *worker) reportLoop() {
	for {
		wk.mu.Lock()
		if wk.gone {
			wk.mu.Unlock()
			return
		}
		hung, mute := wk.hung, wk.mute
		wk.mu.Unlock()
		if hung {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		pause := time.Duration(float64(wk.world.reportTime()) * (0.75 + 0.5*rand.Float64()))
		if mute {
			wk.tryNext()
			time.Sleep(time.Second)
			continue
		}
		if again := wk.sendReport(); again >= 0 {
			time.Sleep(again)
			continue
		}
		time.Sleep(500 * time.Millisecond)
		select {
		case <-time.After(max(0, pause-500*time.Millisecond)):
		case <-wk.changedAt:
		}
	}
}

func (wk *worker) tryNext() {
	wk.mu.Lock()
	wk.target = (wk.target + 1) % len(wk.world.nodes)
	wk.mu.Unlock()
}

// sendReport sends one report. It returns the pause before the next one, or -1 for the usual
// pause.
func (wk *worker) sendReport() time.Duration {
	wk.mu.Lock()
	r := wk.report()
	target := wk.target
	shift := wk.shift
	wk.mu.Unlock()
	body, _ := json.Marshal(r)
	if *keepLimit && len(body) > maxRequest {
		wk.mu.Lock()
		wk.largest = max(wk.largest, len(body))
		wk.mu.Unlock()
		return -1
	}
	sentAt := time.Now()
	node := wk.world.nodes[target]
	client := *wk.client
	client.Timeout = 4 * time.Second
	response, err := client.Post("http://"+node.serveOn+"/agent/beat", "application/json", bytes.NewReader(body))
	if err != nil {
		wk.tryNext()
		return time.Second
	}
	raw, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if err != nil || wk.deaf || wk.mute || wk.hung || wk.gone || time.Since(sentAt) > 4*time.Second {
		wk.target = (wk.target + 1) % len(wk.world.nodes)
		return time.Second
	}
	wk.largest = max(wk.largest, len(body))
	switch response.StatusCode {
	case 413:
		wk.tooLarge++
	case 200:
		var orders wireOrders
		if json.Unmarshal(raw, &orders) != nil || orders.Baton == nil || *orders.Baton < wk.baton || shift != wk.shift {
			return -1 // dropped
		}
		wk.setBaton(*orders.Baton)
		wk.leaseFrom = sentAt
		wk.execute(orders.Orders, "answer of "+node.name)
		return -1
	case 421:
		var redirect struct {
			Upstream string `json:"upstream"`
		}
		_ = json.Unmarshal(raw, &redirect)
		for i, other := range wk.world.nodes {
			if other.name == redirect.Upstream && i != target {
				wk.target = i
				return time.Duration(rand.Float64() * 0.5 * float64(time.Second))
			}
		}
	}
	wk.target = (wk.target + 1) % len(wk.world.nodes)
	return time.Second
}

// setBaton notes a token. The lock is held.
func (wk *worker) setBaton(baton uint64) {
	if baton <= wk.baton {
		return
	}
	wk.baton = baton
	if time.Since(wk.batonTold) > wk.world.leaseTime()/2 {
		wk.batonTold = time.Now()
		wk.notify()
	}
}

// serve serves the direct commands.
func (wk *worker) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	wk.mu.Lock()
	silent := wk.gone || !wk.up || wk.deaf
	delay := wk.delayOrders
	wk.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if delay > 0 {
		time.Sleep(delay) // held up on its way; carried out even if the sender has given up
	}
	for { // a hanging machine reads the request when it goes on
		wk.mu.Lock()
		if !wk.hung {
			break
		}
		wk.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	if wk.gone {
		wk.mu.Unlock()
		return
	}
	if time.Since(wk.leaseFrom) > wk.world.leaseTime() {
		wk.advance() // the lease has expired meanwhile
	}
	status := 200
	if r.URL.Path == "/orders" {
		var orders wireOrders
		switch {
		case json.Unmarshal(body, &orders) != nil || orders.Baton == nil || orders.Shift == nil:
			status = 400
		case *orders.Baton < wk.baton || *orders.Shift != wk.shift:
			status = 409
			wk.world.rec.log("worker %s: /orders refused with 409: %s", wk.id(), body)
		default:
			wk.setBaton(*orders.Baton)
			wk.execute(orders.Orders, "/orders")
		}
	}
	answer := wk.report()
	wk.mu.Unlock()
	reply(w, status, answer)
}

// execute carries out commands in order. The lock is held.
func (wk *worker) execute(orders []wireOrder, from string) {
	for _, order := range orders {
		raw, _ := json.Marshal(order)
		wk.world.rec.log("worker %s: baton %d %s from %s", wk.id(), wk.baton, raw, from)
		switch order.Verb {
		case "launch":
			wk.launch(order)
		case "halt":
			if p := wk.find(order); p != nil && p.phase != "ended" {
				p.phase, p.cause = "ended", "halted"
				wk.leave(p, "halted")
				wk.notify()
			}
		case "forget":
			if p := wk.find(order); p != nil && p.phase == "ended" {
				for i := range wk.pieces {
					if wk.pieces[i] == p {
						wk.pieces = append(wk.pieces[:i:i], wk.pieces[i+1:]...)
						break
					}
				}
			}
		}
	}
}

func (wk *worker) find(order wireOrder) *piece {
	for _, p := range wk.pieces {
		if p.name == order.Piece && p.try == order.Try {
			return p
		}
	}
	return nil
}

func (wk *worker) launch(order wireOrder) {
	if wk.find(order) != nil {
		return
	}
	p := &piece{name: order.Piece, try: order.Try, phase: "ended"}
	wk.pieces = append(wk.pieces, p)
	wk.notify()
	id, _, _ := strings.Cut(order.Piece, "/")
	p.job = wk.world.job(id)
	if p.job == nil {
		p.cause = "unknown"
		return
	}
	cpus, memory := wk.machine.kind.CPUs, wk.machine.kind.MemoryGB
	for _, other := range wk.pieces {
		if other == p || other.phase == "ended" {
			continue
		}
		if other.name == p.name {
			p.cause = "busy"
			return
		}
		cpus -= other.job.CPUs
		memory -= other.job.MemoryGB
	}
	if cpus < p.job.CPUs-1e-6 || memory < p.job.MemoryGB-1e-6 {
		p.cause = "full"
		return
	}
	p.phase = "fetching"
	p.readyAt = time.Now()
	if !wk.images[p.job.Kit] {
		p.readyAt = p.readyAt.Add(time.Duration(p.job.PullGB / wk.machine.kind.PullGBPerS * float64(time.Second)))
	}
}

// room returns whether a task of the job would fit now.
func (wk *worker) room(j *job) bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.up || wk.gone || wk.hung || wk.deaf || wk.mute {
		return false
	}
	cpus, memory := wk.machine.kind.CPUs, wk.machine.kind.MemoryGB
	for _, p := range wk.pieces {
		if p.phase != "ended" && p.job != nil {
			cpus -= p.job.CPUs
			memory -= p.job.MemoryGB
		}
	}
	return cpus >= j.CPUs && memory >= j.MemoryGB
}

func (wk *worker) setSick(sick bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.sick = sick
}

// failures returns how many tasks have failed on the machine.
func (wk *worker) failures() int {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.failed
}
