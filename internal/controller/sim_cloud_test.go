package controller

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"time"

	"lemonmoor/internal/http1"
)

// simCloud rents machines, by the words of PROTOCOL, section "Controller nodes -> cloud".
type simCloud struct {
	sim         *simulation
	lastMachine int                 // number of the machine added last
	rentals     map[string][]string // machines by the name of their rental
	workers     []*simWorker        // all machines ever rented

	available        int    // machines that can still be had
	soldOutType      string // a machine type of which there is none
	availablePerKind int    // if not 0, what there is of each type, zone and price instead of available
	bootsFast        bool   // machines are up within two seconds
}

// remaining tells how many machines of a kind can still be had.
func (c *simCloud) remaining(machineType, zone string, spot bool) int {
	if machineType == c.soldOutType {
		return 0
	}
	if c.availablePerKind == 0 {
		return c.available
	}
	left := c.availablePerKind
	for _, worker := range c.workers {
		if worker.machineType == machineType && worker.zone == zone && worker.spot == spot && !worker.released && !worker.dead {
			left--
		}
	}
	return left
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

// release takes machines back.
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

// takeBack ends a rental of one machine.
func (c *simCloud) endRental(worker *simWorker) {
	worker.released = true
	worker.die()
	c.available++
}

// list lists the machines. It lags: machines are missing for two seconds.
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

// rent rents machines; a repeated request gets the machines of the first one.
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
	number := min(body.Number, c.remaining(body.MachineType, body.Zone, body.Spot))
	if number == 0 {
		return jsonResponse(503, map[string]string{"error": "no capacity"})
	}
	var machines []string
	for range number {
		c.lastMachine++
		c.available--
		worker := c.addMachine(body.MachineType, body.Zone, body.Spot)
		machines = append(machines, worker.id)
		c.sim.schedule(c.bootTime(), worker.boot)
	}
	c.rentals[body.Name] = machines
	return jsonResponse(200, map[string]any{"hosts": machines})
}

// bootTime draws what a machine takes to boot.
func (c *simCloud) bootTime() time.Duration {
	boot := time.Duration(1+c.sim.rng.IntN(4)) * time.Second
	if c.bootsFast {
		boot = time.Duration(50+c.sim.rng.IntN(1900)) * time.Millisecond
	}
	return boot
}

// addMachine adds the machine of the number lastMachine, not up yet.
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
