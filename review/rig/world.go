package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// job is a job of a user.
type job struct {
	ID        string   `json:"id"`
	Lane      string   `json:"lane"`
	Crew      string   `json:"crew"`
	Shape     string   `json:"shape"`
	Urgency   string   `json:"urgency"`
	Pieces    int      `json:"pieces"`
	CPUs      float64  `json:"cpus"`
	Cards     float64  `json:"cards"`
	MemoryGB  float64  `json:"memoryGb"`
	Kit       string   `json:"kit"`
	PullGB    float64  `json:"pullGb"`
	Builds    []string `json:"builds"`
	Yard      *string  `json:"yard"`
	SamePlace bool     `json:"samePlace"`
	Spread    bool     `json:"spread"`
	Loaners   bool     `json:"loaners"`
	ExpectS   float64  `json:"expectS"`
	SnapshotS float64  `json:"snapshotS"`
	FlushS    float64  `json:"flushS"`
	DueS      *float64 `json:"dueS"`

	runTime time.Duration

	// Under the lock of the world.
	accepted    time.Duration // 0: not yet
	phase       string        // the last one told to the user
	cancelledAt time.Duration // when the user was told
	cancelAsked bool
	rejected    bool
}

// team is a team of the settings.
type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// deployment is the deployment that a case plays.
type deployment struct {
	zones                    []string // of the controllers
	machineZones             []string
	teams                    []team
	objectives               []anyMap
	reportS, leaseS, cancelS float64
	state                    stateLimits
	cloudRPS, listLagS       float64
	coreShare, memMB         float64
	sockets                  int
	skewMS                   float64
}

// node is a controller, a process of its own.
type node struct {
	name, area, serveOn, peerBind, config, logPath string
	command                                        *exec.Cmd
	ended                                          chan struct{}
	running, healthy                               bool
}

// world holds everything of a run.
type world struct {
	rec    *record
	deploy deployment
	dir    string
	root   string
	run    []string
	nodes  []*node
	state  *stateService
	cloud  *cloud
	client *http.Client

	mu      sync.Mutex
	jobs    map[string]*job
	done    map[string]bool            // tasks that have completed
	onHosts map[string]map[string]bool // task -> workers that have it
	starts  map[string]int             // task -> how often it started
	usage   map[string]float64         // team -> CPUs in use
	procMu  sync.Mutex
	gangs   map[string]*gang // by job and attempt
	zoneOf  map[string]string
}

// gang is an attempt of a gang.
type gang struct {
	on      map[string]bool // tasks that wait or run
	started time.Time
	broken  time.Time
}

func gangKey(p *piece) string { return p.job.ID + "@" + strconv.FormatUint(p.try, 10) }

// gangStarted reports whether, and since when, all tasks of a gang run.
func (w *world) gangStarted(p *piece) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(p)]
	if g == nil {
		return time.Time{}, false
	}
	if g.started.IsZero() && len(g.on) == p.job.Pieces {
		g.started = time.Now()
		w.rec.log("gang %s starts", gangKey(p))
	}
	return g.started, !g.started.IsZero()
}

// gangBroken reports whether a task of a gang that has started is gone for some seconds.
func (w *world) gangBroken(p *piece) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(p)]
	return g != nil && !g.broken.IsZero() && time.Since(g.broken) > 4*time.Second
}

func (w *world) reportTime() time.Duration { return seconds(w.deploy.reportS) }
func (w *world) leaseTime() time.Duration  { return seconds(w.deploy.leaseS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// newWorld starts the stand-ins and writes the settings of the controllers.
func newWorld(rec *record, root string, deploy deployment, types []*machineType) (*world, error) {
	dir, err := os.MkdirTemp("", "lemonmoor-review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		rec: rec, deploy: deploy, dir: dir, root: root, jobs: map[string]*job{}, done: map[string]bool{},
		onHosts: map[string]map[string]bool{}, starts: map[string]int{}, usage: map[string]float64{},
		gangs: map[string]*gang{}, zoneOf: map[string]string{},
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	onExit = func() { w.close("") }
	if w.run, err = runCommand(root); err != nil {
		return nil, err
	}
	w.state = newStateService(rec, deploy.state)
	for i := range 3 {
		n := &node{name: fmt.Sprintf("worker-%d", i), area: deploy.zones[i%len(deploy.zones)]}
		if n.serveOn, err = freeAddress(); err != nil {
			return nil, err
		}
		if n.peerBind, err = freeAddress(); err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	w.cloud = newCloud(w, types, deploy.cloudRPS, seconds(deploy.listLagS))
	cloudAddress, err := w.cloud.listen()
	if err != nil {
		return nil, err
	}
	for _, n := range w.nodes {
		stateAddress, err := w.state.listen(n.name)
		if err != nil {
			return nil, err
		}
		if err := w.writeSettings(n, stateAddress, cloudAddress); err != nil {
			return nil, err
		}
	}
	go w.probeNodes()
	return w, nil
}

// runCommand reads the run command of the deploy file.
func runCommand(root string) ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			command, err := strconv.Unquote(rest)
			return strings.Fields(command), err
		}
	}
	return nil, errors.New("deploy/service.toml has no run command")
}

// nodeHost is the loopback address of the controllers. It differs from run to run, so that no
// other program is given the port of a controller while that is down.
var nodeHost = fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))

// freeAddress returns an address of nodeHost with a port on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", nodeHost+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func (w *world) writeSettings(n *node, stateAddress, cloudAddress string) error {
	var seeds []anyMap
	for _, other := range w.nodes {
		if other != n {
			seeds = append(seeds, anyMap{"node": other.name, "area": other.area, "endpoint": other.peerBind})
		}
	}
	d := w.deploy
	raw, err := json.MarshalIndent(anyMap{
		"node": n.name, "area": n.area, "serve_on": n.serveOn, "peer_bind": n.peerBind, "seeds": seeds,
		"external": anyMap{"cloud": cloudAddress, "state": stateAddress},
		"deployment": anyMap{
			"initial_size": 3, "zones": d.machineZones, "teams": d.teams, "objectives": d.objectives,
			"workers": anyMap{"report_s": d.reportS, "lease_s": d.leaseS, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": d.cancelS},
			"state":   anyMap{"rps": d.state.rps, "write_rps": d.state.writeRPS, "value_kb": d.state.valueKB, "txn_ops": d.state.txnOps},
			"cloud":   anyMap{"rps": d.cloudRPS, "list_lag_s": d.listLagS},
			"quota":   anyMap{"core_share": d.coreShare, "mem_mb": d.memMB, "sockets": d.sockets},
			"skew_ms": d.skewMS,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	n.config = filepath.Join(w.dir, n.name+".json")
	n.logPath = filepath.Join(w.dir, n.name+".log")
	return os.WriteFile(n.config, raw, 0o600)
}

// start starts the process of a controller.
func (w *world) start(n *node) error {
	w.procMu.Lock()
	defer w.procMu.Unlock()
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	args := append(append([]string{}, w.run[1:]...), n.config)
	command := exec.Command(filepath.Join(w.root, w.run[0]), args...)
	command.Dir, command.Stderr = w.root, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.running, n.ended = command, true, make(chan struct{})
	w.rec.log("controller %s: started, process %d", n.name, command.Process.Pid)
	ended := n.ended
	go func() {
		err := command.Wait()
		w.rec.log("controller %s: process %d ended: %v", n.name, command.Process.Pid, err)
		w.procMu.Lock()
		if n.command == command {
			n.running = false
		}
		w.procMu.Unlock()
		close(ended)
	}()
	return nil
}

// kill kills the process of a controller and waits for its end.
func (w *world) kill(n *node) {
	w.procMu.Lock()
	command, ended := n.command, n.ended
	w.procMu.Unlock()
	if command == nil {
		return
	}
	w.rec.say("DISRUPTION controller %s is killed", n.name)
	_ = command.Process.Kill()
	<-ended
}

// signal sends a signal to the process of a controller.
func (w *world) signal(n *node, sig syscall.Signal) {
	w.procMu.Lock()
	defer w.procMu.Unlock()
	if n.running {
		w.rec.say("DISRUPTION controller %s gets %v", n.name, sig)
		_ = n.command.Process.Signal(sig)
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close(keepLogs string) {
	for _, n := range w.nodes {
		w.procMu.Lock()
		command, ended, running := n.command, n.ended, n.running
		w.procMu.Unlock()
		if command != nil && running {
			_ = command.Process.Kill()
			<-ended
		}
		if keepLogs != "" {
			if raw, err := os.ReadFile(n.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(keepLogs, n.name+".log"), raw, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// probeNodes probes the nodes as the load balancer does.
func (w *world) probeNodes() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	failures := map[*node]int{}
	for range time.Tick(time.Second) {
		for _, n := range w.nodes {
			response, err := client.Get("http://" + n.serveOn + "/up")
			ok := err == nil && response.StatusCode == 200
			if err == nil {
				_ = response.Body.Close()
			}
			w.mu.Lock()
			if ok {
				failures[n], n.healthy = 0, true
			} else if failures[n]++; failures[n] >= 2 {
				n.healthy = false
			}
			w.mu.Unlock()
		}
	}
}

// healthyNodes returns the healthy nodes in random order.
func (w *world) healthyNodes() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*node
	for _, n := range w.nodes {
		if n.healthy {
			list = append(list, n)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// ask sends a user's request to a node.
func (w *world) ask(n *node, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	client := *w.client
	client.Timeout = timeout
	request, err := http.NewRequest(method, "http://"+n.serveOn+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	raw, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// askAny sends a user's request through the load balancer: to a healthy node, and to another one
// if that refuses the connection.
func (w *world) askAny(method, path string, body []byte, timeout time.Duration) (string, int, []byte) {
	name := "no node"
	for _, n := range w.healthyNodes() {
		status, answer := w.ask(n, method, path, body, timeout)
		name = n.name
		if status != 0 {
			return name, status, answer
		}
	}
	return name, 0, nil
}

// job returns the description that a user has uploaded, nil if there is none.
func (w *world) job(id string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// submit submits a job until it is accepted or refused for good, for up to 60 s.
func (w *world) submit(j *job) bool {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	body, _ := json.Marshal(j)
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second + time.Duration(rand.Float64()*float64(200*time.Millisecond))) {
		name, status, answer := w.askAny("POST", "/work", body, 5*time.Second)
		w.rec.log("user: POST /work %s (%d tasks) to %s -> %d %s", j.ID, j.Pieces, name, status, answer)
		switch status {
		case 200, 201:
			w.mu.Lock()
			j.accepted = w.rec.now()
			w.mu.Unlock()
			return true
		case 400, 422:
			w.mu.Lock()
			j.rejected = true
			w.mu.Unlock()
			return false
		}
	}
	return false
}

// cancel cancels a job until the answer is clear.
func (w *world) cancel(j *job, limit time.Duration) bool {
	w.mu.Lock()
	j.cancelAsked = true
	w.mu.Unlock()
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Second) {
		name, status, answer := w.askAny("POST", "/work/"+j.ID+"/cancel", nil, 5*time.Second)
		w.rec.log("user: cancel %s to %s -> %d %s", j.ID, name, status, answer)
		if status == 200 {
			w.told(j, answer)
			return true
		}
	}
	return false
}

// poll asks for a job's state once and returns the phase, "" if there was no answer.
func (w *world) poll(j *job) string {
	name, status, answer := w.askAny("GET", "/work/"+j.ID, nil, 2*time.Second)
	w.rec.log("user: GET %s to %s -> %d %s", j.ID, name, status, answer)
	if status == 404 && j.accepted > 0 {
		w.rec.breaks("forgotten", "accepted job %s gets 404 from %s", j.ID, name)
	}
	if status != 200 {
		return ""
	}
	return w.told(j, answer)
}

// told notes what a user was told and checks it.
func (w *world) told(j *job, answer []byte) string {
	var state struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(answer, &state)
	w.mu.Lock()
	defer w.mu.Unlock()
	final := j.phase == "done" || j.phase == "cancelled"
	if final && state.Phase != j.phase {
		w.rec.breaks("went_back", "job %s was called %s and is called %s", j.ID, j.phase, state.Phase)
	}
	if state.Phase == "cancelled" && !j.cancelAsked {
		w.rec.breaks("went_back", "job %s is called cancelled and its user did not cancel it", j.ID)
	}
	if state.Phase == "cancelled" && j.cancelledAt == 0 {
		j.cancelledAt = w.rec.now()
	}
	if state.Phase == "done" && j.phase != "done" {
		for i := range j.Pieces {
			if !w.done[j.ID+"/"+strconv.Itoa(i)] {
				w.rec.breaks("not_done", "job %s is called done before its task %d is", j.ID, i)
				break
			}
		}
	}
	j.phase = state.Phase
	return state.Phase
}

// entered notes that a task is on a machine.
func (w *world) entered(wk *worker, p *piece) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.log("worker %s: RUN %s try %d", wk.id(), p.name, p.try)
	hosts := w.onHosts[p.name]
	if hosts == nil {
		hosts = map[string]bool{}
		w.onHosts[p.name] = hosts
	}
	for other := range hosts {
		w.rec.breaks("ran_twice", "task %s starts on %s (try %d) while it is on %s", p.name, wk.id(), p.try, other)
	}
	hosts[wk.id()] = true
	w.zoneOf[wk.id()] = wk.machine.yard
	if p.job.Shape == "gang" {
		g := w.gangs[gangKey(p)]
		if g == nil {
			g = &gang{on: map[string]bool{}}
			w.gangs[gangKey(p)] = g
		}
		g.on[p.name] = true
	}
	if p.job.Yard != nil && *p.job.Yard != wk.machine.yard {
		w.rec.breaks("wrong_place", "task %s in %s", p.name, wk.machine.yard)
	}
	if p.job.SamePlace || p.job.Spread {
		here := 0
		for i := range p.job.Pieces {
			for host := range w.onHosts[p.job.ID+"/"+strconv.Itoa(i)] {
				if w.zoneOf[host] == wk.machine.yard {
					here++
				} else if p.job.SamePlace {
					w.rec.breaks("wrong_place", "task %s starts in %s while task %d is in %s", p.name, wk.machine.yard, i, w.zoneOf[host])
				}
			}
		}
		if p.job.Spread && here > (p.job.Pieces+1)/2 {
			w.rec.breaks("wrong_place", "%d of %d tasks of %s in one zone", here, p.job.Pieces, p.job.ID)
		}
	}
	w.starts[p.name]++
	w.usage[p.job.Crew] += p.job.CPUs
	for _, t := range w.deploy.teams {
		if t.Name == p.job.Crew && w.usage[t.Name] > t.CPUsMax+1e-6 {
			w.rec.breaks("quota", "team %s uses %.1f CPUs of %.1f", t.Name, w.usage[t.Name], t.CPUsMax)
		}
	}
	if p.job.cancelledAt > 0 {
		ago := w.rec.now() - p.job.cancelledAt
		w.rec.log("worker %s: task %s starts %.3f s after its user was told of the cancellation", wk.id(), p.name, ago.Seconds())
		if ago > seconds(w.deploy.cancelS) {
			w.rec.breaks("ran_cancelled", "task %s starts %.1f s after the cancellation was told", p.name, ago.Seconds())
		}
	}
}

// left notes that a task is no longer on a machine.
func (w *world) left(wk *worker, p *piece, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.log("worker %s: END %s try %d: %s", wk.id(), p.name, p.try, why)
	delete(w.onHosts[p.name], wk.id())
	if g := w.gangs[gangKey(p)]; g != nil && p.job.Shape == "gang" {
		delete(g.on, p.name)
		if !g.started.IsZero() && g.broken.IsZero() && !w.done[p.name] {
			g.broken = time.Now()
		}
	}
	w.usage[p.job.Crew] -= p.job.CPUs
}

func (w *world) completed(wk *worker, p *piece) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[p.name] = true
	if p.job.Shape == "gang" {
		for i := range p.job.Pieces {
			w.done[p.job.ID+"/"+strconv.Itoa(i)] = true
		}
	}
}

func (w *world) isDone(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[name]
}

// missingTasks returns the tasks of a job that have not completed, and how many of them have
// never started.
func (w *world) missingTasks(j *job) (missing []int, neverStarted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range j.Pieces {
		name := j.ID + "/" + strconv.Itoa(i)
		if !w.done[name] {
			missing = append(missing, i)
			if w.starts[name] == 0 {
				neverStarted++
			}
		}
	}
	return missing, neverStarted
}

// checkCancelled checks, until the run ends, that tasks of cancelled jobs are gone in time.
func (w *world) checkCancelled(stop <-chan struct{}) {
	seen := map[string]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		w.mu.Lock()
		for name, hosts := range w.onHosts {
			id, _, _ := strings.Cut(name, "/")
			j := w.jobs[id]
			if len(hosts) > 0 && j.cancelledAt > 0 && w.rec.now()-j.cancelledAt > seconds(w.deploy.cancelS) && !seen[name] {
				seen[name] = true
				w.rec.breaks("ran_cancelled", "task %s is on %v %.1f s after the cancellation was told", name, hosts, (w.rec.now() - j.cancelledAt).Seconds())
			}
		}
		w.mu.Unlock()
	}
}

// waitForLeader waits until a controller leads and all shards have owners.
func (w *world) waitForLeader(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if w.state.leader() != "" && w.state.owner(0) != "" {
			return true
		}
	}
	return false
}

// hasRoom reports whether a machine that reaches the controllers has room for a task of a job.
func (w *world) hasRoom(j *job) bool {
	for _, wk := range w.cloud.workers() {
		if wk.room(j) {
			return true
		}
	}
	return false
}

// running returns the number of tasks that are on machines.
func (w *world) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, hosts := range w.onHosts {
		count += len(hosts)
	}
	return count
}

// started returns how often a task has started.
func (w *world) started(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}
