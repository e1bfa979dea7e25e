package controller

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"time"

	"lemonmoor/internal/http1"
)

// simCloud is the cloud's rental service as PROTOCOL describes it, section "Controller nodes ->
// cloud".
type simCloud struct {
	sim         *simulation
	lastMachine int                 // number of the last machine added
	rentals     map[string][]string // machine IDs by the name of their rental
	workers     []*simWorker        // all machines ever rented

	available        int    // machines left to rent, of all kinds together
	soldOutType      string // a machine type without capacity
	availablePerKind int    // if not 0, capacity for each machine type, zone and price; replaces available
	bootsFast        bool   // machines boot within two seconds
}

// remaining returns the number of machines of a type, zone and price that are left to rent.
func (c *simCloud) remaining(machineType, zone string, spot bool) int {
	if machineType == c.soldOutType {
		return 0
	}
	if c.availablePerKind == 0 {
		return c.available
	}
	remaining := c.availablePerKind
	for _, worker := range c.workers {
		if worker.machineType == machineType && worker.zone == zone && worker.spot == spot && !worker.released && !worker.dead {
			remaining--
		}
	}
	return remaining
}

// serve answers a request to the cloud.
func (c *simCloud) serve(request http1.ClientRequest) http1.Response {
	target, _ := url.Parse(request.Target)
	switch {
	case target.Path == "/machine_types":
		return c.machineTypes()
	case target.Path == "/rentals/release":
		return c.release(request.Body)
	case request.Method == "GET":
		return c.list()
	default:
		return c.rent(request.Body)
	}
}

// machineTypes answers GET /machine_types.
func (c *simCloud) machineTypes() http1.Response {
	return jsonResponse(200, map[string]any{"builds": []map[string]any{
		{"label": "small", "cpus": 4, "cards": 0, "memoryGb": 16, "cacheGb": 5, "pullGbPerS": 1, "price": 1, "spotPrice": 0.3, "startupS": 2, "yards": []string{"a", "b"}},
		{"label": "big", "cpus": 16, "cards": 0, "memoryGb": 64, "cacheGb": 9, "pullGbPerS": 1, "price": 4, "spotPrice": 1.3, "startupS": 3, "yards": []string{"a"}},
	}})
}

// release answers POST /rentals/release.
func (c *simCloud) release(raw []byte) http1.Response {
	var body struct {
		Hosts []string `json:"hosts"`
	}
	if json.Unmarshal(raw, &body) != nil {
		return jsonResponse(400, nil)
	}
	for _, worker := range c.workers {
		if slices.Contains(body.Hosts, worker.id) && !worker.released {
			c.endRental(worker)
		}
	}
	return jsonResponse(200, nil)
}

// endRental ends the rental of one machine, on a controller's request or by the cloud.
func (c *simCloud) endRental(worker *simWorker) {
	worker.released = true
	worker.die()
	c.available++
}

// list answers GET /rentals. It lags: a machine is missing for two seconds after its rental.
func (c *simCloud) list() http1.Response {
	machines := []map[string]any{}
	for _, worker := range c.workers {
		if worker.released || worker.rentedAt+2*time.Second > c.sim.now {
			continue
		}
		phase := "running"
		if !worker.up {
			phase = "booting"
		}
		machines = append(machines, map[string]any{
			"id": worker.id, "addr": worker.addr, "build": worker.machineType, "yard": worker.zone,
			"loaners": worker.spot, "phase": phase, "ageS": (c.sim.now - worker.rentedAt).Seconds(),
		})
	}
	return jsonResponse(200, map[string]any{"hosts": machines, "hasNext": false})
}

// rent answers POST /rentals. A repeated request, one with the same rental name, gets the
// machines of the first one.
func (c *simCloud) rent(raw []byte) http1.Response {
	var body struct {
		Name        string `json:"hire"`
		MachineType string `json:"build"`
		Zone        string `json:"yard"`
		Spot        bool   `json:"loaners"`
		Number      int    `json:"number"`
	}
	if json.Unmarshal(raw, &body) != nil || body.Number < 1 {
		return jsonResponse(400, nil)
	}
	if machines, known := c.rentals[body.Name]; known {
		return jsonResponse(200, map[string]any{"hosts": machines})
	}
	count := min(body.Number, c.remaining(body.MachineType, body.Zone, body.Spot))
	if count == 0 {
		return jsonResponse(503, map[string]string{"error": "no capacity"})
	}
	var machines []string
	for range count {
		c.lastMachine++
		c.available--
		worker := c.addMachine(body.MachineType, body.Zone, body.Spot)
		machines = append(machines, worker.id)
		c.sim.schedule(c.bootTime(), worker.boot)
	}
	c.rentals[body.Name] = machines
	return jsonResponse(200, map[string]any{"hosts": machines})
}

// bootTime draws the time that a machine needs to boot.
func (c *simCloud) bootTime() time.Duration {
	boot := time.Duration(1+c.sim.rng.IntN(4)) * time.Second
	if c.bootsFast {
		boot = time.Duration(50+c.sim.rng.IntN(1900)) * time.Millisecond
	}
	return boot
}

// addMachine adds the machine with the number lastMachine, which has not booted yet.
func (c *simCloud) addMachine(machineType, zone string, spot bool) *simWorker {
	worker := &simWorker{
		sim: c.sim, id: fmt.Sprintf("vm-%06d", c.lastMachine), machineType: machineType, zone: zone, spot: spot,
		rentedAt: c.sim.now, session: 1,
	}
	worker.addr = fmt.Sprintf("w%d:1", c.lastMachine)
	if c.sim.realProcesses != nil {
		worker.addr = c.sim.realProcesses.machineAddr(worker)
	}
	worker.cpus = map[string]float64{"small": 4, "big": 16}[machineType]
	c.workers = append(c.workers, worker)
	c.sim.workers[worker.addr] = worker
	return worker
}
