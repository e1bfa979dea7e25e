package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machineType is a type of machine that the cloud rents.
type machineType struct {
	Label     string   `json:"label"`
	CPUs      float64  `json:"cpus"`
	Cards     float64  `json:"cards"`
	MemoryGB  float64  `json:"memoryGb"`
	CacheGB   float64  `json:"cacheGb"`
	PullRate  float64  `json:"pullGbPerS"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"spotPrice"`
	StartupS  float64  `json:"startupS"`
	Yards     []string `json:"yards"`
}

// place is what capacity is counted by.
type place struct {
	build, yard string
	loaners     bool
}

// cloud is a stand-in of the cloud. Its machines run the workers of this process.
type cloud struct {
	mu       sync.Mutex
	world    *world
	types    []machineType
	capacity map[place]int // machines left
	machines map[string]*rented
	hires    map[string][]string
	next     int
	boot     time.Duration
	lag      time.Duration
	calls    bucket
	addr     string
}

// stoppedListed is how long a machine that has stopped on its own is listed as running.
const stoppedListed = 30 * time.Second

type rented struct {
	place
	id       string
	worker   *worker
	rentedAt time.Time
	upAt     time.Time
	goneAt   time.Time // zero while it exists
	stopAt   time.Time // when it stopped on its own, zero if it did not
}

func newCloud(w *world, types []machineType, capacity map[place]int, boot, lag time.Duration, rps float64) (*cloud, error) {
	c := &cloud{
		world: w, types: types, capacity: capacity, machines: map[string]*rented{}, hires: map[string][]string{}, boot: boot, lag: lag,
		calls: bucket{rps, 2 * rps, time.Now()},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.addr = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(c.handle)) }()
	return c, nil
}

func (c *cloud) typeOf(label string) *machineType {
	for i := range c.types {
		if c.types[i].Label == label {
			return &c.types[i]
		}
	}
	return nil
}

func (c *cloud) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		reply(w, 400, fields{"error": "body"})
		return
	}
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.calls.take(1) {
		reply(w, 429, fields{"error": "too many requests"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		reply(w, 200, fields{"builds": c.types})
	case "POST /rentals":
		c.rent(w, body)
	case "POST /rentals/release":
		c.release(w, body)
	case "GET /rentals":
		c.list(w, r)
	default:
		reply(w, 400, fields{"error": "no such path"})
	}
}

func (c *cloud) rent(w http.ResponseWriter, body []byte) {
	var request struct {
		Hire    string `json:"hire"`
		Build   string `json:"build"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Number  int    `json:"number"`
	}
	if json.Unmarshal(body, &request) != nil || request.Number < 1 || request.Number > 50 || c.typeOf(request.Build) == nil {
		reply(w, 400, fields{"error": "malformed"})
		return
	}
	if hosts, known := c.hires[request.Hire]; known {
		reply(w, 200, fields{"hosts": hosts})
		return
	}
	where := place{request.Build, request.Yard, request.Loaners}
	number := min(request.Number, c.capacity[where])
	c.world.record.note("cloud: rental %s of %d x %s in %s, spot %v: %d", request.Hire, request.Number, request.Build, request.Yard, request.Loaners, number)
	if number == 0 {
		reply(w, 503, fields{"error": "no capacity"})
		return
	}
	c.capacity[where] -= number
	hosts := []string{}
	for range number {
		hosts = append(hosts, c.start(where))
	}
	c.hires[request.Hire] = hosts
	reply(w, 200, fields{"hosts": hosts})
}

// start rents one machine, which is up after the boot time.
func (c *cloud) start(where place) string {
	c.next++
	id := fmt.Sprintf("vm-%06d", c.next)
	m := &rented{place: where, id: id, rentedAt: time.Now(), upAt: time.Now().Add(c.boot)}
	m.worker = newWorker(c.world, id, where, *c.typeOf(where.build))
	c.machines[id] = m
	go func() {
		time.Sleep(c.boot)
		c.mu.Lock()
		exists := m.goneAt.IsZero()
		c.mu.Unlock()
		if exists {
			m.worker.run()
		}
	}()
	return id
}

func (c *cloud) release(w http.ResponseWriter, body []byte) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if json.Unmarshal(body, &request) != nil || len(request.Hosts) > 100 {
		reply(w, 400, fields{"error": "malformed"})
		return
	}
	for _, id := range request.Hosts {
		if m := c.machines[id]; m != nil && m.goneAt.IsZero() {
			m.goneAt = time.Now()
			c.capacity[m.place]++
			m.worker.die("released")
		}
	}
	reply(w, 200, fields{})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	asOf := time.Now().Add(-c.lag)
	var ids []string
	for id, m := range c.machines {
		listed := m.rentedAt.Before(asOf) && (m.goneAt.IsZero() || m.goneAt.After(asOf))
		if strings.Compare(id, since) > 0 && listed {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	hosts := []fields{}
	for _, id := range ids[:min(limit, len(ids))] {
		m := c.machines[id]
		phase := "running"
		switch {
		case m.upAt.After(asOf):
			phase = "booting"
		case !m.stopAt.IsZero() && m.stopAt.Add(stoppedListed).Before(time.Now()):
			phase = "failed"
		}
		hosts = append(hosts, fields{
			"id": id, "addr": m.worker.addr, "build": m.build, "yard": m.yard, "loaners": m.loaners, "phase": phase,
			"ageS": asOf.Sub(m.rentedAt).Seconds(),
		})
	}
	reply(w, 200, fields{"hosts": hosts, "hasNext": len(ids) > limit})
}

// stopMachine stops a machine with all that is on it.
func (c *cloud) stopMachine(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[id]; m != nil && m.stopAt.IsZero() {
		m.stopAt = time.Now()
		go m.worker.die("stopped on its own")
	}
}

// takeSpot takes all spot machines back, with no notice.
func (c *cloud) takeSpot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.loaners && m.goneAt.IsZero() {
			m.goneAt = time.Now()
			c.capacity[m.place]++
			go m.worker.die("taken by the cloud")
		}
	}
}

// present returns the machines that exist.
func (c *cloud) present() []*rented {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*rented
	for _, m := range c.machines {
		if m.goneAt.IsZero() && m.stopAt.IsZero() {
			list = append(list, m)
		}
	}
	return list
}

// take takes a machine back.
func (c *cloud) take(m *rented) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.goneAt.IsZero() {
		m.goneAt = time.Now()
		c.capacity[m.place]++
		go m.worker.die("taken by the cloud")
	}
}
