package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// job is a submission, as its user sends it.
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

	runS float64 // the real run time of a task
}

// team is a team's guarantee and limit.
type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// onMachine is a task on a machine, from when it has its image.
type onMachine struct {
	worker *worker
	try    uint64
}

// world is a small deployment: three controllers and the stand-ins round them. It checks the
// rules that concern tasks on machines.
type world struct {
	record      *recorder
	reportEvery time.Duration
	lease       time.Duration
	cancel      time.Duration
	teams       []team
	controllers []*controller
	state       *stateService
	cloud       *cloud
	dir         string

	mu          sync.Mutex
	jobs        map[string]*job
	done        map[string]bool
	running     map[string][]onMachine // by task
	starts      map[string]int         // by job
	cancelledAt map[string]time.Time
	gangs       map[string]*gangRun
	heldUntil   time.Time // until when direct commands are held back
	release     string    // of the workers' program, sent in a field that the protocol does not know; "": not sent
	copyReports float64   // share of reports of which a late copy arrives
}

// fail notes that the stand-ins failed, so that the case could not run.
func (w *world) fail(format string, args ...any) { w.record.fails(format, args...) }

func (w *world) job(id string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

func (w *world) isTaskDone(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[name]
}

func (w *world) taskDone(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[name] = true
}

// startsOf returns how many tasks of a job have started.
func (w *world) startsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// taskOn notes that a task has started, and checks the rules on that.
func (w *world) taskOn(k *worker, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.note("task %s try %d starts on %s", t.name, t.try, k.id)
	w.starts[t.job.ID]++
	for _, other := range w.running[t.name] {
		w.record.breaks("ran_twice", "%s starts on %s while it is on %s", t.name, k.id, other.worker.id)
	}
	w.running[t.name] = append(w.running[t.name], onMachine{k, t.try})
	if at, cancelled := w.cancelledAt[t.job.ID]; cancelled && time.Since(at) > w.cancel {
		w.record.breaks("ran_cancelled", "%s starts %v after its user was told", t.name, time.Since(at))
	}
	if !t.job.Loaners && k.place.loaners || t.job.Yard != nil && *t.job.Yard != k.place.yard {
		w.record.breaks("wrong_place", "%s starts on %s", t.name, k.id)
	}
	inZone, used := 0, 0.0
	for name, list := range w.running {
		id, _, _ := strings.Cut(name, "/")
		for _, on := range list {
			if w.jobs[id].Crew == t.job.Crew {
				used += w.jobs[id].CPUs
			}
			if id != t.job.ID {
				continue
			}
			if on.worker.place.yard == k.place.yard {
				inZone++
			} else if t.job.SamePlace {
				w.record.breaks("wrong_place", "%s starts in %s while %s is in %s", t.name, k.place.yard, name, on.worker.place.yard)
			}
		}
	}
	if t.job.Spread && inZone > (t.job.Pieces+1)/2 {
		w.record.breaks("wrong_place", "%s: %d of %d in %s", t.name, inZone, t.job.Pieces, k.place.yard)
	}
	for _, tm := range w.teams {
		if tm.Name == t.job.Crew && used > tm.CPUsMax+1e-6 {
			w.record.breaks("quota", "%s uses %g of %g processors", tm.Name, used, tm.CPUsMax)
		}
	}
}

func (w *world) taskOff(k *worker, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.note("task %s try %d leaves %s", t.name, t.try, k.id)
	list := w.running[t.name]
	for i, on := range list {
		if on.worker == k && on.try == t.try {
			w.running[t.name] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(w.running[t.name]) == 0 {
		delete(w.running, t.name)
	}
}

// controller is one process of the project's own program.
type controller struct {
	name, area, serveOn, peerBind string
	state                         string
	settings                      string
	command                       []string
	log                           string
	process                       *exec.Cmd
	starting                      sync.Mutex
	ended                         chan struct{}
	reserved                      []net.Listener // of its ports, until it is started
	expected                      bool           // it was ended by this program
}

// reservePort listens on a free port, so that nobody else gets it until the controller is started. It is
// below the ports that the system gives to outgoing connections.
func reservePort() (net.Listener, error) {
	const first, count, tries = 15000, 15000, 100
	for range tries {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("no free port")
}

// deployment is what differs between cases.
type deployment struct {
	zones      []string
	areas      []string // of the controllers
	teams      []team
	report     float64
	lease      float64
	cancelS    float64
	state      stateLimits
	valueKB    float64
	cloudRPS   float64
	listLag    float64
	share, mem float64
	sockets    int
	types      []machineType
	capacity   map[place]int
	boot       time.Duration
	objectives []map[string]any
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// newWorld prepares a deployment; start starts its controllers.
func newWorld(record *recorder, d deployment, logLevel string) (*world, error) {
	dir, err := os.MkdirTemp("", "lemonmoor-case-")
	if err != nil {
		return nil, err
	}
	d.state.valueBytes = int(d.valueKB * 1024)
	w := &world{
		record: record, reportEvery: secondsOf(d.report), lease: secondsOf(d.lease), cancel: secondsOf(d.cancelS), teams: d.teams, dir: dir,
		jobs: map[string]*job{}, done: map[string]bool{}, running: map[string][]onMachine{}, starts: map[string]int{},
		cancelledAt: map[string]time.Time{}, gangs: map[string]*gangRun{}, state: newStateService(d.state),
	}
	for i := range 3 {
		c := &controller{name: fmt.Sprintf("worker-%d", i), area: d.areas[i%len(d.areas)]}
		for _, addr := range []*string{&c.serveOn, &c.peerBind} {
			listener, err := reservePort()
			if err != nil {
				return nil, err
			}
			*addr = listener.Addr().String()
			c.reserved = append(c.reserved, listener)
		}
		if c.state, err = w.state.serve(c.name); err != nil {
			return nil, err
		}
		w.controllers = append(w.controllers, c)
	}
	if w.cloud, err = newCloud(w, d.types, d.capacity, d.boot, secondsOf(d.listLag), d.cloudRPS); err != nil {
		return nil, err
	}
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	for _, c := range w.controllers {
		seeds := []map[string]any{}
		for _, other := range w.controllers {
			if other != c {
				seeds = append(seeds, map[string]any{"node": other.name, "area": other.area, "endpoint": other.peerBind})
			}
		}
		objectives := d.objectives
		if objectives == nil {
			objectives = []map[string]any{}
		}
		raw, err := json.MarshalIndent(map[string]any{
			"node": c.name, "area": c.area, "serve_on": c.serveOn, "peer_bind": c.peerBind, "seeds": seeds,
			"external": map[string]any{"cloud": w.cloud.addr, "state": c.state},
			"deployment": map[string]any{
				"initial_size": 3, "zones": d.zones, "teams": d.teams, "objectives": objectives,
				"workers": map[string]any{"report_s": d.report, "lease_s": d.lease, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": d.cancelS},
				"state":   map[string]any{"rps": d.state.rps, "write_rps": d.state.writeRPS, "value_kb": d.valueKB, "txn_ops": d.state.txnOps},
				"cloud":   map[string]any{"rps": d.cloudRPS, "list_lag_s": d.listLag},
				"quota":   map[string]any{"core_share": d.share, "mem_mb": d.mem, "sockets": d.sockets},
				"skew_ms": 250.0,
			},
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		c.settings = filepath.Join(dir, c.name+".json")
		c.log = filepath.Join(dir, c.name+".log")
		if err := os.WriteFile(c.settings, raw, 0o600); err != nil {
			return nil, err
		}
		c.command = command
	}
	for _, c := range w.controllers {
		if err := w.start(c, logLevel); err != nil {
			return nil, err
		}
	}
	return w, nil
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// runCommand returns the command of the deploy file that starts the service.
func runCommand() ([]string, error) {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(raw)
	if match == nil {
		return nil, fmt.Errorf("no run command in deploy/service.toml")
	}
	return strings.Fields(string(match[1])), nil
}

// start starts a controller, unless it runs.
func (w *world) start(c *controller, logLevel string) error {
	c.starting.Lock()
	defer c.starting.Unlock()
	if c.ended != nil {
		select {
		case <-c.ended:
		default:
			return nil
		}
	}
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	for _, listener := range c.reserved {
		_ = listener.Close()
	}
	c.reserved = nil
	process := exec.Command(c.command[0], append(append([]string{}, c.command[1:]...), c.settings)...)
	process.Stderr, process.Env = log, append(os.Environ(), "LOG_LEVEL="+logLevel)
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	c.process, c.ended, c.expected = process, ended, false
	w.record.note("controller %s started", c.name)
	go func() {
		_ = process.Wait()
		_ = log.Close()
		if !c.expected {
			w.record.note("controller %s ended by itself", c.name)
		}
		close(ended)
	}()
	return nil
}

// kill ends a controller without a signal that it could handle.
func (w *world) kill(c *controller) {
	c.expected = true
	w.record.note("controller %s killed", c.name)
	_ = c.process.Process.Kill()
	<-c.ended
}

func (w *world) signal(c *controller, s syscall.Signal) {
	w.record.note("controller %s gets %v", c.name, s)
	_ = c.process.Process.Signal(s)
}

// stop ends all processes that this program started.
func (w *world) stop() {
	for _, c := range w.controllers {
		if c.process != nil {
			c.expected = true
			_ = c.process.Process.Kill()
			<-c.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// sleepUntil waits until a time after the start of the run.
func (w *world) sleepUntil(s float64) {
	time.Sleep(time.Until(w.record.started.Add(secondsOf(s))))
}

// dieWith stops the machine that a task is on, with all that is on it.
func (w *world) dieWith(name string) {
	w.mu.Lock()
	list := append([]onMachine{}, w.running[name]...)
	w.mu.Unlock()
	for _, on := range list {
		w.cloud.stopMachine(on.worker.id)
	}
}

// isOn reports whether a task is on a machine.
func (w *world) isOn(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running[name]) > 0
}
