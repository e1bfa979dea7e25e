package controller

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
)

// simNode is one controller process, or the pause between two.
type simController struct {
	sim           *simulation
	name          string
	index         int
	withoutDrains bool // a version that knows no drains
	incarnation   int  // of the process
	startedAt     time.Duration
	node          *Node // nil while down
}

// simRuntime is a process's Runtime; it falls silent with the process.
type simRuntime struct {
	controller  *simController
	incarnation int
}

func (r *simRuntime) alive() bool {
	return r.controller.incarnation == r.incarnation && r.controller.node != nil
}

func (r *simRuntime) runOnLoop(fn func()) {
	if r.alive() {
		fn()
		r.controller.node.AfterBatch()
	}
}

func (r *simRuntime) Now() time.Duration { return r.controller.sim.now - r.controller.startedAt }

func (r *simRuntime) WallClock() time.Time {
	return time.UnixMilli(1_790_000_000_000).Add(r.controller.sim.now)
}

func (r *simRuntime) Rand() float64 { return r.controller.sim.rng.Float64() }

func (r *simRuntime) After(d time.Duration, fn func()) {
	r.controller.sim.after(d, func() { r.runOnLoop(fn) })
}

func (r *simRuntime) CallHTTP(addr string, request http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error)) {
	sim := r.controller.sim
	back := func(response http1.Response, err error) { r.runOnLoop(func() { fn(response, err) }) }
	switch addr {
	case "state:1":
		sim.send(r.controller.name, "state", timeout, func(reply func(http1.Response)) {
			if sim.lateCommitShare+sim.lostAnswerShare > 0 && request.Target == "/commit" && !sim.outage && !sim.refusedControllers[r.controller.name] {
				switch roll := sim.rng.Float64(); {
				case roll < sim.lateCommitShare:
					sim.after(time.Duration(2000+sim.rng.IntN(10000))*time.Millisecond, func() { sim.state.serve(r.controller.name, request, func(http1.Response) {}) })
					return
				case roll < sim.lateCommitShare+sim.lostAnswerShare:
					sim.state.serve(r.controller.name, request, func(http1.Response) {})
					return
				}
			}
			sim.state.serve(r.controller.name, request, reply)
		}, back)
	case "cloud:1":
		sim.send(r.controller.name, "cloud", timeout, func(reply func(http1.Response)) { reply(sim.cloud.serve(request)) }, back)
	default:
		if sim.commandsRefused {
			sim.after(time.Millisecond, func() { back(http1.Response{}, eventloop.ErrNotSent) })
			return
		}
		sim.send(r.controller.name, "workers", timeout, func(reply func(http1.Response)) {
			worker := sim.workers[addr]
			if worker != nil && sim.now < worker.commandsHeldUntil {
				sim.after(worker.commandsHeldUntil-sim.now, func() {
					if !worker.dead {
						worker.handleCommands(request)
					}
				})
				return
			}
			if worker != nil && !worker.dead && !worker.deaf && (worker.onlyController == 0 || sim.controllers[worker.onlyController-1] == r.controller) {
				if sim.now < worker.partitionedUntil {
					if sim.rng.IntN(2) == 0 { // held back, and delivered when the cut is over
						sim.after(worker.partitionedUntil-sim.now, func() {
							if !worker.dead {
								worker.handleCommands(request)
							}
						})
					}
					return
				}
				worker.whenAwake(func() { reply(worker.handleCommands(request)) })
			}
		}, back)
	}
}

func (r *simRuntime) CallPeer(endpoint, path string, body []byte, timeout time.Duration, fn func([]byte, error)) {
	sim := r.controller.sim
	for _, other := range sim.controllers {
		if other.name+":1" != endpoint {
			continue
		}
		sim.send(r.controller.name, other.name, timeout, func(reply func(http1.Response)) {
			if other.node == nil {
				return
			}
			(&simRuntime{other, other.incarnation}).runOnLoop(func() {
				other.node.HandlePeer(path, body, func(b []byte, ok bool) {
					if ok {
						reply(http1.Response{Status: 200, Body: b})
					}
				})
			})
		}, func(response http1.Response, err error) { r.runOnLoop(func() { fn(response.Body, err) }) })
	}
}

func (c *simController) boot() {
	c.incarnation++
	c.startedAt = c.sim.now
	set := *c.sim.settings
	if c.withoutDrains {
		set.Operator.Drains = nil // as a version that knows none
	}
	set.Node = c.name
	set.Seeds = nil
	for _, other := range c.sim.controllers {
		if other != c {
			set.Seeds = append(set.Seeds, settings.Peer{Node: other.name, Endpoint: other.name + ":1"})
		}
	}
	rt := &simRuntime{c, c.incarnation}
	c.node = New(rt, &set, c.sim.rng.Uint64()>>14, c.sim.log.With("node", c.name))
	rt.runOnLoop(c.node.Start)
}

func (c *simController) crash(down time.Duration) {
	if c.node == nil {
		return
	}
	c.node = nil
	c.incarnation++
	c.sim.after(down, func() {
		if c.node == nil {
			c.boot()
		}
	})
}

// request sends a user's or worker's request to a node.
func (c *simController) request(from, method, path string, body []byte, timeout time.Duration, fn func(http1.Response, error)) {
	if c.sim.realProcesses != nil {
		c.sim.realProcesses.request(c.index, method, path, body, timeout, fn)
		return
	}
	c.sim.send(from, c.name, timeout, func(reply func(http1.Response)) {
		if c.node == nil {
			return
		}
		(&simRuntime{c, c.incarnation}).runOnLoop(func() {
			c.node.Handle(&http1.Request{Method: method, Path: path, Body: body}, func(status int, body []byte, _ int) {
				reply(http1.Response{Status: status, Body: body})
			})
		})
	}, fn)
}
