package controller

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
)

// simNode is one controller process, or the pause between two.
type simNode struct {
	w     *world
	name  string
	index int
	old   bool // a version that knows no drains
	life  int  // of the process
	start time.Duration
	node  *Node // nil while down
}

// simRuntime is a process's Runtime; it falls silent with the process.
type simRuntime struct {
	n    *simNode
	life int
}

func (r *simRuntime) alive() bool { return r.n.life == r.life && r.n.node != nil }

func (r *simRuntime) do(fn func()) {
	if r.alive() {
		fn()
		r.n.node.AfterBatch()
	}
}

func (r *simRuntime) Now() time.Duration { return r.n.w.now - r.n.start }

func (r *simRuntime) WallClock() time.Time {
	return time.UnixMilli(1_790_000_000_000).Add(r.n.w.now)
}

func (r *simRuntime) Rand() float64 { return r.n.w.rng.Float64() }

func (r *simRuntime) After(d time.Duration, fn func()) {
	r.n.w.after(d, func() { r.do(fn) })
}

func (r *simRuntime) CallHTTP(addr string, c http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error)) {
	w := r.n.w
	back := func(a http1.Response, err error) { r.do(func() { fn(a, err) }) }
	switch addr {
	case "state:1":
		w.send(r.n.name, "state", timeout, func(reply func(http1.Response)) {
			if w.lag+w.unheard > 0 && c.Target == "/commit" && !w.outage && !w.refused[r.n.name] {
				switch roll := w.rng.Float64(); {
				case roll < w.lag:
					w.after(time.Duration(2000+w.rng.IntN(10000))*time.Millisecond, func() { w.state.serve(r.n.name, c, func(http1.Response) {}) })
					return
				case roll < w.lag+w.unheard:
					w.state.serve(r.n.name, c, func(http1.Response) {})
					return
				}
			}
			w.state.serve(r.n.name, c, reply)
		}, back)
	case "cloud:1":
		w.send(r.n.name, "cloud", timeout, func(reply func(http1.Response)) { reply(w.cloud.serve(c)) }, back)
	default:
		if w.closed {
			w.after(time.Millisecond, func() { back(http1.Response{}, eventloop.ErrNotSent) })
			return
		}
		w.send(r.n.name, "workers", timeout, func(reply func(http1.Response)) {
			k := w.workers[addr]
			if k != nil && w.now < k.orders {
				w.after(k.orders-w.now, func() {
					if !k.dead {
						k.direct(c)
					}
				})
				return
			}
			if k != nil && !k.dead && !k.deaf && (k.only == 0 || w.nodes[k.only-1] == r.n) {
				if w.now < k.dark {
					if w.rng.IntN(2) == 0 { // held back, and delivered when the cut is over
						w.after(k.dark-w.now, func() {
							if !k.dead {
								k.direct(c)
							}
						})
					}
					return
				}
				k.whenAwake(func() { reply(k.direct(c)) })
			}
		}, back)
	}
}

func (r *simRuntime) CallPeer(endpoint, path string, body []byte, timeout time.Duration, fn func([]byte, error)) {
	w := r.n.w
	for _, o := range w.nodes {
		if o.name+":1" != endpoint {
			continue
		}
		w.send(r.n.name, o.name, timeout, func(reply func(http1.Response)) {
			if o.node == nil {
				return
			}
			(&simRuntime{o, o.life}).do(func() {
				o.node.HandlePeer(path, body, func(b []byte, ok bool) {
					if ok {
						reply(http1.Response{Status: 200, Body: b})
					}
				})
			})
		}, func(a http1.Response, err error) { r.do(func() { fn(a.Body, err) }) })
	}
}

func (n *simNode) boot() {
	n.life++
	n.start = n.w.now
	set := *n.w.set
	if n.old {
		set.Operator.Drains = nil // as a version that knows none
	}
	set.Node = n.name
	set.Seeds = nil
	for _, o := range n.w.nodes {
		if o != n {
			set.Seeds = append(set.Seeds, settings.Peer{Node: o.name, Endpoint: o.name + ":1"})
		}
	}
	rt := &simRuntime{n, n.life}
	n.node = New(rt, &set, n.w.rng.Uint64()>>14, n.w.log.With("node", n.name))
	rt.do(n.node.Start)
}

func (n *simNode) crash(down time.Duration) {
	if n.node == nil {
		return
	}
	n.node = nil
	n.life++
	n.w.after(down, func() {
		if n.node == nil {
			n.boot()
		}
	})
}

// request sends a user's or worker's request to a node.
func (n *simNode) request(from, method, path string, body []byte, timeout time.Duration, fn func(http1.Response, error)) {
	if n.w.live != nil {
		n.w.live.request(n.index, method, path, body, timeout, fn)
		return
	}
	n.w.send(from, n.name, timeout, func(reply func(http1.Response)) {
		if n.node == nil {
			return
		}
		(&simRuntime{n, n.life}).do(func() {
			n.node.Handle(&http1.Request{Method: method, Path: path, Body: body}, func(status int, body []byte, _ int) {
				reply(http1.Response{Status: status, Body: body})
			})
		})
	}, fn)
}
