package controller

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"time"

	"lemonmoor/internal/http1"
)

// simCloud rents machines.
type simCloud struct {
	sim         *simulation
	lastMachine int
	rentals     map[string][]string
	available   int
	soldOutType string // a machine type of which there is none
	perKind     int    // if not 0, what there is of each kind of machine instead
	workers     []*simWorker
}

// left tells how many machines of a kind can still be had.
func (c *simCloud) remaining(build, zone string, spot bool) int {
	if build == c.soldOutType {
		return 0
	}
	if c.perKind == 0 {
		return c.available
	}
	n := c.perKind
	for _, worker := range c.workers {
		if worker.machineType == build && worker.zone == zone && worker.spot == spot && !worker.released && !worker.dead {
			n--
		}
	}
	return n
}

func (c *simCloud) serve(request http1.ClientRequest) http1.Response {
	target, _ := url.Parse(request.Target)
	switch target.Path {
	case "/machine_types":
		return jsonResponse(200, map[string]any{"builds": []map[string]any{
			{"label": "small", "cpus": 4, "cards": 0, "memoryGb": 16, "cacheGb": 5, "pullGbPerS": 1, "price": 1, "spotPrice": 0.3, "startupS": 2, "yards": []string{"a", "b"}},
			{"label": "big", "cpus": 16, "cards": 0, "memoryGb": 64, "cacheGb": 9, "pullGbPerS": 1, "price": 4, "spotPrice": 1.3, "startupS": 3, "yards": []string{"a"}},
		}})
	case "/rentals/release":
		var body struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(request.Body, &body) != nil {
			return jsonResponse(400, nil)
		}
		for _, worker := range c.workers {
			if slices.Contains(body.Hosts, worker.id) && !worker.released {
				worker.released = true
				worker.die()
				c.available++
			}
		}
		return jsonResponse(200, nil)
	}
	if request.Method == "GET" {
		list := []map[string]any{}
		for _, worker := range c.workers {
			if worker.released || worker.rentedAt+2*time.Second > c.sim.now {
				continue
			}
			phase := "running"
			if !worker.up {
				phase = "booting"
			}
			list = append(list, map[string]any{
				"id": worker.id, "addr": worker.addr, "build": worker.machineType, "yard": worker.zone,
				"loaners": worker.spot, "phase": phase, "ageS": (c.sim.now - worker.rentedAt).Seconds(),
			})
		}
		return jsonResponse(200, map[string]any{"hosts": list, "hasNext": false})
	}
	var h struct {
		Hire   string `json:"hire"`
		Build  string `json:"build"`
		Zone   string `json:"yard"`
		Spot   bool   `json:"loaners"`
		Number int    `json:"number"`
	}
	if json.Unmarshal(request.Body, &h) != nil || h.Number < 1 {
		return jsonResponse(400, nil)
	}
	if old, ok := c.rentals[h.Hire]; ok {
		return jsonResponse(200, map[string]any{"hosts": old})
	}
	n := min(h.Number, c.remaining(h.Build, h.Zone, h.Spot))
	if n == 0 {
		return jsonResponse(503, map[string]string{"error": "no capacity"})
	}
	var names []string
	for range n {
		c.lastMachine++
		c.available--
		worker := c.addMachine(h.Build, h.Zone, h.Spot)
		names = append(names, worker.id)
		boot := time.Duration(1+c.sim.rng.IntN(4)) * time.Second
		if c.sim.bootsFast {
			boot = time.Duration(50+c.sim.rng.IntN(1900)) * time.Millisecond
		}
		c.sim.after(boot, worker.boot)
	}
	c.rentals[h.Hire] = names
	return jsonResponse(200, map[string]any{"hosts": names})
}

// machine is a new one, not up yet.
func (c *simCloud) addMachine(build, zone string, spot bool) *simWorker {
	worker := &simWorker{sim: c.sim, id: fmt.Sprintf("vm-%06d", c.lastMachine), machineType: build, zone: zone, spot: spot, rentedAt: c.sim.now, session: 1}
	worker.addr = fmt.Sprintf("w%d:1", c.lastMachine)
	if c.sim.realProcesses != nil {
		worker.addr = c.sim.realProcesses.machineAddr(worker)
	}
	worker.cpus = map[string]float64{"small": 4, "big": 16}[build]
	c.workers = append(c.workers, worker)
	c.sim.workers[worker.addr] = worker
	return worker
}
