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
	w       *world
	next    int
	hires   map[string][]string
	room    int
	none    string // a machine type of which there is none
	each    int    // if not 0, what there is of each kind of machine instead
	workers []*worker
}

// left tells how many machines of a kind can still be had.
func (c *simCloud) left(build, zone string, spot bool) int {
	if build == c.none {
		return 0
	}
	if c.each == 0 {
		return c.room
	}
	n := c.each
	for _, k := range c.workers {
		if k.build == build && k.zone == zone && k.spot == spot && !k.released && !k.dead {
			n--
		}
	}
	return n
}

func (c *simCloud) serve(call http1.ClientRequest) http1.Response {
	u, _ := url.Parse(call.Target)
	switch u.Path {
	case "/machine_types":
		return answer(200, map[string]any{"builds": []map[string]any{
			{"label": "small", "cpus": 4, "cards": 0, "memoryGb": 16, "cacheGb": 5, "pullGbPerS": 1, "price": 1, "spotPrice": 0.3, "startupS": 2, "yards": []string{"a", "b"}},
			{"label": "big", "cpus": 16, "cards": 0, "memoryGb": 64, "cacheGb": 9, "pullGbPerS": 1, "price": 4, "spotPrice": 1.3, "startupS": 3, "yards": []string{"a"}},
		}})
	case "/rentals/release":
		var body struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(call.Body, &body) != nil {
			return answer(400, nil)
		}
		for _, k := range c.workers {
			if slices.Contains(body.Hosts, k.host) && !k.released {
				k.released = true
				k.die()
				c.room++
			}
		}
		return answer(200, nil)
	}
	if call.Method == "GET" {
		list := []map[string]any{}
		for _, k := range c.workers {
			if k.released || k.rented+2*time.Second > c.w.now {
				continue
			}
			phase := "running"
			if !k.up {
				phase = "booting"
			}
			list = append(list, map[string]any{
				"id": k.host, "addr": k.addr, "build": k.build, "yard": k.zone,
				"loaners": k.spot, "phase": phase, "ageS": (c.w.now - k.rented).Seconds(),
			})
		}
		return answer(200, map[string]any{"hosts": list, "hasNext": false})
	}
	var h struct {
		Hire   string `json:"hire"`
		Build  string `json:"build"`
		Zone   string `json:"yard"`
		Spot   bool   `json:"loaners"`
		Number int    `json:"number"`
	}
	if json.Unmarshal(call.Body, &h) != nil || h.Number < 1 {
		return answer(400, nil)
	}
	if old, ok := c.hires[h.Hire]; ok {
		return answer(200, map[string]any{"hosts": old})
	}
	n := min(h.Number, c.left(h.Build, h.Zone, h.Spot))
	if n == 0 {
		return answer(503, map[string]string{"error": "no capacity"})
	}
	var names []string
	for range n {
		c.next++
		c.room--
		k := c.machine(h.Build, h.Zone, h.Spot)
		names = append(names, k.host)
		boot := time.Duration(1+c.w.rng.IntN(4)) * time.Second
		if c.w.swift {
			boot = time.Duration(50+c.w.rng.IntN(1900)) * time.Millisecond
		}
		c.w.after(boot, k.boot)
	}
	c.hires[h.Hire] = names
	return answer(200, map[string]any{"hosts": names})
}

// machine is a new one, not up yet.
func (c *simCloud) machine(build, zone string, spot bool) *worker {
	k := &worker{w: c.w, host: fmt.Sprintf("vm-%06d", c.next), build: build, zone: zone, spot: spot, rented: c.w.now, shift: 1}
	k.addr = fmt.Sprintf("w%d:1", c.next)
	if c.w.live != nil {
		k.addr = c.w.live.machineAddr(k)
	}
	k.cpus = map[string]float64{"small": 4, "big": 16}[build]
	c.workers = append(c.workers, k)
	c.w.workers[k.addr] = k
	return k
}
