package controller

import (
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
)

// simController is one controller, whose process may be running or down.
type simController struct {
	sim           *simulation
	name          string
	index         int
	withoutDrains bool // runs like a version without drains
	incarnation   int  // changes when a process starts or crashes
	startedAt     time.Duration
	node          *Node // nil while down
}

// simRuntime is the Runtime of one process; after the process has ended it runs nothing more.
type simRuntime struct {
	controller  *simController
	incarnation int
}

// alive reports whether the process still runs.
func (r *simRuntime) alive() bool {
	return r.controller.incarnation == r.incarnation && r.controller.node != nil
}

// runOnLoop runs fn on the process's event loop as a separate batch.
func (r *simRuntime) runOnLoop(fn func()) {
	if r.alive() {
		fn()
		r.controller.node.AfterBatch()
	}
}

// Now returns the time since the process started.
func (r *simRuntime) Now() time.Duration { return r.controller.sim.now - r.controller.startedAt }

// WallClock returns the simulated date and time.
func (r *simRuntime) WallClock() time.Time {
	return time.UnixMilli(1_790_000_000_000).Add(r.controller.sim.now)
}

// Rand returns a random number in [0, 1).
func (r *simRuntime) Rand() float64 { return r.controller.sim.rng.Float64() }

// After runs fn on the event loop after d, if the process still runs then.
func (r *simRuntime) After(d time.Duration, fn func()) {
	r.controller.sim.schedule(d, func() { r.runOnLoop(fn) })
}

// CallHTTP sends a request to the state service, the cloud or a worker.
func (r *simRuntime) CallHTTP(addr string, request http1.ClientRequest, timeout time.Duration, done func(http1.Response, error)) {
	sim, from := r.controller.sim, r.controller.name
	back := func(response http1.Response, err error) { r.runOnLoop(func() { done(response, err) }) }
	switch {
	case addr == "state:1":
		sim.send(from, "state", timeout, func(reply func(http1.Response)) { sim.state.receive(from, request, reply) }, back)
	case addr == "cloud:1":
		sim.send(from, "cloud", timeout, func(reply func(http1.Response)) { reply(sim.cloud.serve(request)) }, back)
	case sim.commandsRefused:
		sim.schedule(time.Millisecond, func() { back(http1.Response{}, eventloop.ErrNotSent) })
	default:
		sentAt, worker := sim.now, sim.workers[addr]
		host := workersPlace
		if worker != nil {
			host = workerHost(worker)
		}
		sim.send(from, host, timeout, func(reply func(http1.Response)) {
			if worker != nil {
				worker.receiveCommands(r.controller, request, sentAt, reply)
			}
		}, back)
	}
}

// CallPeer sends a message to another controller. A message that is refused gets no answer, so
// its call times out.
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

// boot starts a new process.
func (c *simController) boot() {
	c.incarnation++
	c.startedAt = c.sim.now
	set := *c.sim.settings
	if c.withoutDrains {
		set.Operator.Drains = nil
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

// crash ends the process and starts the next one after the down time. It has no effect while
// the controller is down.
func (c *simController) crash(down time.Duration) {
	if c.sim.realProcesses != nil {
		c.sim.realProcesses.crash(c, down)
		return
	}
	if c.node == nil {
		return
	}
	c.node = nil
	c.incarnation++
	c.sim.schedule(down, func() {
		if c.node == nil {
			c.boot()
		}
	})
}

// request sends a user's or worker's HTTP request to the controller.
func (c *simController) request(from, method, path string, body []byte, timeout time.Duration, fn func(http1.Response, error)) {
	if c.sim.realProcesses != nil {
		c.sim.realProcesses.request(from, c, method, path, body, timeout, fn)
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

// leader returns the first controller that holds the leader lease, or nil.
func (s *simulation) leader() *simController {
	if s.realProcesses != nil {
		return s.holderOfLease("lease/lead")
	}
	for _, controller := range s.controllers {
		if controller.node != nil && controller.node.leases.LeaderToken() != 0 {
			return controller
		}
	}
	return nil
}

// ownerOfShard0 returns the first controller that holds the lease of shard 0, or nil.
func (s *simulation) ownerOfShard0() *simController {
	if s.realProcesses != nil {
		return s.holderOfLease("lease/block/0")
	}
	for _, controller := range s.controllers {
		if controller.node != nil && controller.node.leases.ShardToken(0) != 0 {
			return controller
		}
	}
	return nil
}
