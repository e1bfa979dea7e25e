package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is a type of machine that the cloud rents.
type machineType struct {
	Label       string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	Cards       float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"cacheGb"`
	PullGBPerS  float64  `json:"pullGbPerS"`
	Price       float64  `json:"price"`
	SpotPrice   float64  `json:"spotPrice"`
	StartupS    float64  `json:"startupS"`
	Yards       []string `json:"yards"`
	maxOrdinary int      // of a zone
}

// machine is a rented machine with its worker.
type machine struct {
	id       string
	kind     *machineType
	yard     string
	rentedAt time.Time
	running  bool
	worker   *worker
}

// cloud is the stand-in of the cloud. It rents no spot machines.
type cloud struct {
	rec   *record
	world *world
	rps   float64
	lag   time.Duration

	mu       sync.Mutex
	types    []*machineType
	machines map[string]*machine
	next     int
	hires    map[string][]string
	requests bucket
	noRoom   bool
	history  []cloudView // newest last
}

type cloudView struct {
	at    time.Time
	hosts []anyMap
}

func newCloud(w *world, types []*machineType, rps float64, lag time.Duration) *cloud {
	c := &cloud{
		rec: w.rec, world: w, rps: rps, lag: lag, types: types, machines: map[string]*machine{}, hires: map[string][]string{},
		requests: newBucket(rps, 2),
	}
	go func() {
		for range time.Tick(500 * time.Millisecond) {
			c.mu.Lock()
			c.remember()
			c.mu.Unlock()
		}
	}()
	return c
}

// remember keeps the machine list of this moment, since lists lag. The lock is held.
func (c *cloud) remember() {
	now := time.Now()
	view := cloudView{at: now}
	for _, m := range c.machines {
		phase := "booting"
		if m.running {
			phase = "running"
		}
		view.hosts = append(view.hosts, anyMap{
			"id": m.id, "addr": m.worker.addr, "build": m.kind.Label, "yard": m.yard, "loaners": false,
			"phase": phase, "ageS": now.Sub(m.rentedAt).Seconds(),
		})
	}
	sort.Slice(view.hosts, func(i, j int) bool { return view.hosts[i]["id"].(string) < view.hosts[j]["id"].(string) })
	c.history = append(c.history, view)
	if len(c.history) > 200 {
		c.history = c.history[1:]
	}
}

// add creates a machine that boots for the given time. The lock is held.
func (c *cloud) add(kind *machineType, yard string, boot time.Duration) *machine {
	id := fmt.Sprintf("vm-%06d", c.next)
	c.next++
	m := &machine{id: id, kind: kind, yard: yard, rentedAt: time.Now()}
	m.worker = newWorker(c.world, m)
	c.machines[id] = m
	if boot == 0 {
		m.running = true
		m.worker.startUp()
		return m
	}
	time.AfterFunc(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[id] == m {
			m.running = true
			m.worker.startUp()
		}
	})
	return m
}

// addRunning creates machines that are up at the start.
func (c *cloud) addRunning(kind *machineType, yard string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		m := c.add(kind, yard, 0)
		m.rentedAt = time.Now().Add(-5 * time.Minute)
	}
	c.remember()
	for i := range c.history {
		c.history[i] = c.history[len(c.history)-1]
		c.history[i].at = time.Time{}
	}
}

func (c *cloud) listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(c.serve)}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	if !c.requests.take(1) {
		c.mu.Unlock()
		reply(w, 429, anyMap{"error": "too many requests"})
		return
	}
	status, answer := c.handle(r, body)
	c.mu.Unlock()
	if r.Method == http.MethodPost {
		raw, _ := json.Marshal(answer)
		c.rec.log("cloud: %s %s -> %d %s", r.URL.Path, body, status, raw)
	}
	reply(w, status, answer)
}

func (c *cloud) handle(r *http.Request, body []byte) (int, any) {
	switch {
	case r.URL.Path == "/machine_types":
		return 200, anyMap{"builds": c.types}
	case r.URL.Path == "/rentals" && r.Method == http.MethodGet:
		return 200, c.list(r)
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		return c.rent(body)
	case r.URL.Path == "/rentals/release" && r.Method == http.MethodPost:
		var asked struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(body, &asked) != nil || len(asked.Hosts) > 100 {
			return 400, anyMap{"error": "malformed"}
		}
		for _, id := range asked.Hosts {
			if m := c.machines[id]; m != nil {
				delete(c.machines, id)
				m.worker.end("released")
			}
		}
		return 200, anyMap{}
	}
	return 400, anyMap{"error": "malformed"}
}

func (c *cloud) list(r *http.Request) any {
	since := r.URL.Query().Get("since")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	view := cloudView{}
	for _, candidate := range c.history {
		if time.Since(candidate.at) >= c.lag {
			view = candidate
		}
	}
	hosts, hasNext := []anyMap{}, false
	for _, host := range view.hosts {
		if host["id"].(string) <= since {
			continue
		}
		if len(hosts) == limit {
			hasNext = true
			break
		}
		hosts = append(hosts, host)
	}
	return anyMap{"hosts": hosts, "hasNext": hasNext}
}

func (c *cloud) rent(body []byte) (int, any) {
	var asked struct {
		Hire    string `json:"hire"`
		Build   string `json:"build"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Number  int    `json:"number"`
	}
	if json.Unmarshal(body, &asked) != nil || asked.Hire == "" || asked.Number < 1 || asked.Number > 50 {
		return 400, anyMap{"error": "malformed"}
	}
	if ids, known := c.hires[asked.Hire]; known {
		return 200, anyMap{"hosts": ids}
	}
	var kind *machineType
	for _, t := range c.types {
		if t.Label == asked.Build {
			kind = t
		}
	}
	if kind == nil {
		return 400, anyMap{"error": "unknown type"}
	}
	inUse := 0
	for _, m := range c.machines {
		if m.kind == kind && m.yard == asked.Yard {
			inUse++
		}
	}
	count := min(asked.Number, kind.maxOrdinary-inUse)
	if asked.Loaners || count <= 0 || c.noRoom {
		return 503, anyMap{"error": "no capacity"}
	}
	ids := []string{}
	for range count {
		ids = append(ids, c.add(kind, asked.Yard, time.Duration(kind.StartupS*float64(time.Second))).id)
	}
	c.hires[asked.Hire] = ids
	return 200, anyMap{"hosts": ids}
}

// workers returns the workers of all machines.
func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*worker
	for _, m := range c.machines {
		list = append(list, m.worker)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].machine.id < list[j].machine.id })
	return list
}
