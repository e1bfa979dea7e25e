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
type worker struct {
	w                        *world
	host, addr, build, zone  string
	spot, up, dead, released bool
	rented                   time.Duration
	cpus                     float64
	shift, tick, token       uint64
	leased                   time.Duration // lease runs from here
	tasks                    []*simTask
	node                     int
	report                   int // number of the report in flight; answers to others are dropped
	hung                     time.Duration
	sick                     bool
	deaf                     bool          // its reports arrive, answers and orders do not
	taken                    time.Duration // when the cloud takes it, 0: no notice
	dark                     time.Duration // until then its zone is cut off
	only                     int           // the number, from 1, of the one controller that it can speak with; 0: any
	orders                   time.Duration // until then direct orders are held up, and carried out then
	mute                     time.Duration // until then it reaches no controller, while orders reach it
}

type simTask struct {
	ref     string
	attempt uint64
	phase   string
	cause   string
	saved   bool
	ends    int // guards the timer
	mates   *simGang
	told    time.Duration // a running task of a gang: when it was told to save
}

func (k *worker) boot() {
	if k.dead {
		return
	}
	k.up = true
	k.leased = k.w.now
	k.node = k.w.rng.IntN(len(k.w.nodes))
	k.beat()
	k.checkLease()
}

func (k *worker) die() {
	k.dead = true
	for _, t := range k.tasks {
		t.ends++
	}
	k.tasks = nil
}

// whenAwake runs fn now, or when a hanging machine resumes.
func (k *worker) whenAwake(fn func()) {
	if k.w.now >= k.hung {
		fn()
		return
	}
	k.w.after(k.hung-k.w.now, func() {
		if !k.dead {
			k.expire()
			fn()
		}
	})
}

func (k *worker) checkLease() {
	if k.dead {
		return
	}
	k.expire()
	k.w.after(200*time.Millisecond, k.checkLease)
}

func (k *worker) expire() {
	if k.w.now-k.leased > k.w.set.WorkerLease() {
		for _, t := range k.tasks {
			t.ends++
		}
		k.tasks = nil
		k.shift++
		k.leased = k.w.now
	}
}

func (k *worker) body() []byte {
	list := []map[string]any{}
	for _, t := range k.tasks {
		list = append(list, map[string]any{"piece": t.ref, "try": t.attempt, "phase": t.phase, "cause": t.cause, "stored": t.saved})
	}
	var notice any
	if k.taken > 0 {
		notice = (k.taken - k.w.now).Seconds()
	}
	k.tick++
	raw, err := json.Marshal(map[string]any{
		"host": k.host, "addr": k.addr, "build": k.build, "yard": k.zone, "loaners": k.spot,
		"shift": k.shift, "tick": k.tick, "baton": k.token, "warningS": notice, "pieces": list,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// beat sends a report and, after its answer, plans the next.
func (k *worker) beat() {
	if k.dead {
		return
	}
	if k.w.now < k.hung {
		k.w.after(k.hung-k.w.now, k.beat)
		return
	}
	k.expire()
	if k.w.now < k.dark {
		k.node = (k.node + 1) % len(k.w.nodes)
		k.w.after(min(4*time.Second, k.dark-k.w.now), k.beat)
		return
	}
	if k.w.now < k.mute {
		k.node = (k.node + 1) % len(k.w.nodes)
		k.w.after(time.Second, k.beat)
		return
	}
	if k.only > 0 && k.node != k.only-1 {
		k.node = k.only - 1
		k.w.after(time.Second, k.beat)
		return
	}
	k.report++
	number, shift, sent := k.report, k.shift, k.w.now
	n := k.w.nodes[k.node]
	next := func(d time.Duration) { k.w.after(d, k.beat) }
	body := k.body()
	if k.w.rng.Float64() < k.w.copies {
		// A copy comes seconds to well over a lease late, to any node.
		k.w.after(time.Duration(1+k.w.rng.IntN(60))*time.Second, func() {
			k.w.nodes[k.w.rng.IntN(len(k.w.nodes))].request("workers", "POST", "/agent/beat", body, time.Second, func(http1.Response, error) {})
		})
	}
	if k.w.keeps > 0 && k.w.rng.Float64() < k.w.keeps && len(k.w.kept) < 60 {
		for _, o := range k.w.nodes {
			k.w.kept = append(k.w.kept, func() {
				o.request("workers", "POST", "/agent/beat", body, time.Second, func(http1.Response, error) {})
			})
		}
	}
	n.request("workers", "POST", "/agent/beat", body, 4*time.Second, func(a http1.Response, err error) {
		if k.dead || number != k.report {
			return
		}
		if k.deaf || k.w.now < k.dark {
			a, err = http1.Response{}, eventloop.ErrNoAnswer
		}
		if k.w.now < k.hung {
			a, err = http1.Response{}, eventloop.ErrNoAnswer
		}
		k.expire()
		if err == nil && a.Status == 200 {
			var o struct {
				Token  uint64  `json:"baton"`
				Orders []order `json:"orders"`
			}
			if json.Unmarshal(a.Body, &o) == nil && o.Token >= k.token && shift == k.shift {
				k.token = o.Token
				k.leased = max(k.leased, sent)
				k.obey(o.Orders)
			}
			next(time.Duration(500+k.w.rng.IntN(1000)) * time.Millisecond * time.Duration(max(1, k.w.pace)))
			return
		}
		if err == nil && a.Status == 421 {
			var to struct {
				Upstream string `json:"upstream"`
			}
			_ = json.Unmarshal(a.Body, &to)
			for i, o := range k.w.nodes {
				if o.name == to.Upstream && i != k.node {
					k.node = i
					next(time.Duration(k.w.rng.IntN(500)) * time.Millisecond)
					return
				}
			}
		}
		k.node = (k.node + 1) % len(k.w.nodes)
		next(time.Second)
	})
}

type order struct {
	Verb     string  `json:"verb"`
	Ref      string  `json:"piece"`
	Attempt  uint64  `json:"try"`
	WindDown float64 `json:"windDownS"`
}

func (k *worker) direct(c http1.ClientRequest) http1.Response {
	k.expire()
	var o struct {
		Token  uint64  `json:"baton"`
		Shift  uint64  `json:"shift"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(c.Body, &o) != nil || o.Shift == 0 {
		return answer(400, nil)
	}
	if o.Token < k.token || o.Shift != k.shift {
		return http1.Response{Status: 409, Body: k.body()}
	}
	k.token = o.Token
	k.obey(o.Orders)
	return http1.Response{Status: 200, Body: k.body()}
}

func (k *worker) obey(orders []order) {
	for _, o := range orders {
		i := slices.IndexFunc(k.tasks, func(t *simTask) bool { return t.ref == o.Ref && t.attempt == o.Attempt })
		switch o.Verb {
		case "launch":
			if i < 0 {
				k.launch(o)
			}
		case "halt":
			if i >= 0 && k.tasks[i].phase != "ended" {
				k.w.drains.halted(k, k.tasks[i])
				if t := k.tasks[i]; t.mates != nil && t.mates.halt(k, t, o.WindDown) {
					continue
				}
				k.tasks[i].ends++
				k.tasks[i].phase, k.tasks[i].cause = "ended", "halted"
			}
		case "forget":
			if i >= 0 && k.tasks[i].phase == "ended" {
				k.tasks = slices.Delete(k.tasks, i, i+1)
			}
		}
	}
}

func (k *worker) launch(o order) {
	t := &simTask{ref: o.Ref, attempt: o.Attempt, phase: "running"}
	k.tasks = append(k.tasks, t)
	id, index, _ := strings.Cut(o.Ref, "/")
	j := k.w.jobs[id]
	used := 0.0
	for _, x := range k.tasks {
		if x.phase == "ended" || x == t {
			continue
		}
		if x.ref == o.Ref {
			t.phase, t.cause = "ended", "busy"
			return
		}
		xid, _, _ := strings.Cut(x.ref, "/")
		used += k.w.jobs[xid].cpus
	}
	switch {
	case j == nil:
		t.phase, t.cause = "ended", "unknown"
		return
	case used+j.cpus > k.cpus:
		t.phase, t.cause = "ended", "full"
		return
	case k.sick:
		t.phase, t.cause = "ended", "error"
		return
	}
	k.w.started(k, t, j)
	if j.gang {
		k.join(t, j)
		return
	}
	if k.w.fetch == 0 {
		k.run(t, j, index)
		return
	}
	t.phase = "fetching"
	ends := t.ends
	k.w.after(k.w.fetch/2+time.Duration(k.w.rng.Int64N(int64(k.w.fetch))), func() {
		if t.ends == ends && !k.dead {
			t.phase = "running"
			k.run(t, j, index)
		}
	})
}

// run runs a task that has its image until it completes.
func (k *worker) run(t *simTask, j *simJob, index string) {
	k.w.drains.runs(t.ref)
	if j.service {
		return
	}
	ends := t.ends
	i, _ := strconv.Atoi(index)
	length := j.length + time.Duration(i)*j.apart
	if j.done[i] {
		length = 10 * time.Millisecond
	}
	var finish func()
	finish = func() {
		if t.ends != ends || k.dead {
			return
		}
		if k.w.now < k.hung {
			k.w.after(k.hung-k.w.now, finish)
			return
		}
		if k.expire(); t.ends != ends {
			return
		}
		t.phase, t.cause = "ended", "done"
		j.done[i] = true
		if k.w.atEnd && len(j.done) == j.tasks && j.callOff != nil {
			j.callOff()
		}
	}
	k.w.after(length, finish)
}
