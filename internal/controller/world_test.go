package controller

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
)

// world is a simulated deployment on a fake clock: the real controllers, and
// stand-ins, written from the protocol, of the state service, the cloud, the
// workers and the users. It loses, delays and repeats messages, and checks the
// rules at every step.
type world struct {
	now    time.Duration
	seq    int
	events agenda
	rng    *rand.Rand
	broken []string

	set     *settings.Settings
	nodes   []*simNode
	state   *stateService
	cloud   *simCloud
	workers map[string]*worker // by address
	jobs    map[string]*simJob
	log     *slog.Logger

	loss      float64         // of messages, each way
	late      float64         // of requests carried out late, unanswered
	cut       map[string]bool // "a|b": no messages between the two
	slow      time.Duration   // what the state service takes for an answer, now and then 50 times as long
	repeat    float64         // of requests carried out once more, later
	copies    float64         // of reports of which a copy comes late
	outage    bool            // of the state service
	writes    float64         // changes a second that it allows, 0: any number
	ops       int             // changes in a commit that it allows
	value     int             // bytes of a value
	lie       bool            // these limits are not told: breaking them is no fault
	refused   map[string]bool // nodes that the state service refuses alone
	mute      string          // a prefix of keys: the state service answers no watch of it
	lag       float64         // of transactions without an answer, carried out 2 to 12 s later
	unheard   float64         // of transactions carried out at once of which the answer is lost
	keeps     float64         // of reports of which a copy is kept until a lease has changed hands
	kept      []func()        // those copies
	calm      time.Duration   // when all troubles are over, 0 for not known
	pace      int             // how many times slower workers report, 0 for not
	closed    bool            // workers take no direct orders: connections to them fail at once
	atEnd     bool            // jobs are called off at the moment of their end
	looks     bool            // users ask all nodes within milliseconds, and repeat
	swift     bool            // machines are up within two seconds
	prompt    bool            // no order is held up: none starts a task long after its job was called off
	fetch     time.Duration   // what workers take to fetch an image, about
	live      *liveWorld      // not nil: on the real clock, with controllers that are processes
	drains    *drainWatch     // nil on days without drains
	starts    int
	offStarts int // starts after a confirmed cancellation
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, k int) bool {
	return a[i].at < a[k].at || (a[i].at == a[k].at && a[i].seq < a[k].seq)
}

func (a agenda) Swap(i, k int) { a[i], a[k] = a[k], a[i] }

func (a *agenda) Push(e any) { *a = append(*a, e.(event)) }

func (a *agenda) Pop() any {
	e := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return e
}

func (w *world) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + max(d, 0), w.seq, fn})
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	w.now = until
}

// outageFor has the state service down for a while; then every lease has its full
// time again.
func (w *world) outageFor(d time.Duration) {
	w.outage = true
	w.after(d, func() {
		w.outage = false
		for _, g := range w.state.grants {
			g.ends = w.now + g.ttl
		}
		w.state.notify()
	})
}

// refuseFor has the state service refuse one node for a while; its open watches wait.
func (w *world) refuseFor(node string, d time.Duration) {
	w.refused[node] = true
	w.after(d, func() {
		delete(w.refused, node)
		w.state.notify()
	})
}

// changedHands lets go the copies of reports that were kept for the next leader or
// owner: they arrive at all nodes just as it begins, and a little later.
func (w *world) changedHands() {
	kept := w.kept
	w.kept = nil
	for i, fn := range kept {
		w.after(time.Duration(1+i%40)*10*time.Millisecond, fn)
	}
}

// sweep looks at all machines from time to time for tasks that should be gone.
func (w *world) sweep() {
	limit := time.Duration(w.set.Deployment.Workers.CancelS * float64(time.Second))
	for _, k := range w.workers {
		for _, t := range k.tasks {
			id, _, _ := strings.Cut(t.ref, "/")
			if j := w.jobs[id]; t.phase != "ended" && !k.dead && j != nil && j.cancelled > 0 && w.now > j.cancelled+limit {
				w.breaks("ran_cancelled: %s is on %s %v after", t.ref, k.host, w.now-j.cancelled)
			}
		}
	}
	w.neglected()
	w.after(500*time.Millisecond, w.sweep)
}

// neglected looks, once the troubles are over, for jobs that wait for 90 s while a
// machine that fits has room and their team is under its limit.
func (w *world) neglected() {
	if w.calm == 0 || w.now < w.calm+90*time.Second {
		return
	}
	for _, j := range w.jobs {
		if !j.accepted || j.asked || j.told != "" || j.began > 0 {
			continue
		}
		fits := false
		for _, k := range w.workers {
			used := 0.0
			for _, t := range k.tasks {
				if o := w.jobs[t.ref[:len("wk-000000")]]; o != nil && t.phase != "ended" {
					used += o.cpus
				}
			}
			fits = fits || (k.up && !k.dead && !k.deaf && !k.sick && used+j.cpus <= k.cpus && (j.spot || !k.spot) && (j.zone == "" || j.zone == k.zone))
		}
		if fits && w.used(j.team)+j.cpus <= 24 {
			w.breaks("neglected: %s waits for 90 s and more", j.id)
		}
	}
}

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) isCut(a, b string) bool { return w.cut[a+"|"+b] || w.cut[b+"|"+a] }

// send carries a request from one place to another and its answer back, with
// the faults of the day.
func (w *world) send(from, to string, timeout time.Duration, serve func(reply func(http1.Response)), fn func(http1.Response, error)) {
	done := false
	finish := func(a http1.Response, err error) {
		if !done {
			done = true
			fn(a, err)
		}
	}
	delay := func() time.Duration {
		d := time.Duration(1+w.rng.IntN(4)) * time.Millisecond
		if to == "state" && w.slow > 0 {
			d += w.slow / 2
			if w.rng.IntN(12) == 0 {
				d += w.slow * 25
			}
		}
		return d
	}
	if w.isCut(from, to) {
		if w.rng.IntN(2) == 0 {
			// Held back, and delivered when the cut is over.
			w.after(time.Duration(5+w.rng.IntN(40))*time.Second, func() { serve(func(http1.Response) {}) })
			w.after(timeout, func() { finish(http1.Response{}, eventloop.ErrNoAnswer) })
			return
		}
		w.after(min(timeout, time.Second), func() { finish(http1.Response{}, eventloop.ErrNotSent) })
		return
	}
	w.after(timeout, func() { finish(http1.Response{}, eventloop.ErrNoAnswer) })
	roll := w.rng.Float64()
	switch {
	case roll < w.loss:
		return
	case roll < w.loss+w.late:
		w.after(time.Duration(1+w.rng.IntN(60))*time.Second, func() { serve(func(http1.Response) {}) })
		return
	}
	if w.rng.Float64() < w.repeat {
		w.after(time.Duration(w.rng.IntN(30000))*time.Millisecond, func() { serve(func(http1.Response) {}) })
	}
	w.after(delay(), func() {
		serve(func(a http1.Response) {
			if w.rng.Float64() < w.loss || w.isCut(from, to) {
				return
			}
			w.after(delay(), func() { finish(a, nil) })
		})
	})
}

// reboot starts all nodes anew, with changed settings, before the day begins.
func (w *world) reboot() {
	for _, n := range w.nodes {
		n.node = nil
	}
	w.events = nil
	w.after(0, w.sweep)
	w.state = &stateService{w: w, keys: map[string]*entry{}, grants: map[uint64]*grant{}}
	for _, n := range w.nodes {
		n.boot()
	}
}

// newWorld is a deployment of three nodes.
func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*worker{}, jobs: map[string]*simJob{}, cut: map[string]bool{}, refused: map[string]bool{}, ops: 12, value: 8 << 10}
	w.log = slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("LEMONMOOR_SIM_LOG") != "" {
		w.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Duration("t", w.now)
			}
			return a
		}}))
	}
	w.set = &settings.Settings{}
	w.set.External.State, w.set.External.Cloud = "state:1", "cloud:1"
	d := &w.set.Deployment
	d.Teams = []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 24}, {Name: "blue", CPUs: 8, CPUsMax: 24}}
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = 1.2, 12, 45
	d.Workers.GangWaitS, d.Workers.GangPeerS = 15, 3
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 1000, 500, 8, 12
	d.Cloud.RPS = 10
	w.state = &stateService{w: w, keys: map[string]*entry{}, grants: map[uint64]*grant{}}
	w.cloud = &simCloud{w: w, hires: map[string][]string{}, room: 12}
	for i := range 3 {
		w.nodes = append(w.nodes, &simNode{w: w, name: fmt.Sprintf("node-%d", i), index: i})
	}
	for _, n := range w.nodes {
		n.boot()
	}
	w.sweep()
	return w
}
