package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// processDeployment is a deployment of controllers that are real processes. The stand-ins of the
// simulation serve them on loopback and run on the real clock.
type processDeployment struct {
	*simulation
	mu        sync.Mutex
	startedAt time.Time
	dir       string
	program   string // path of the controllers' program
	operator  string // path of the operators' settings file
	// partitionsPeers puts a proxy between each two controllers, so that they can be partitioned.
	partitionsPeers bool
	processes       []*controllerProcess
	cloudAddress    string // listening address of the cloud's stand-in
	client          *http.Client
	tokenHolders    tokenHolders
	done            chan struct{}
}

// controllerProcess is the process of a controller, with its addresses and its settings file.
type controllerProcess struct {
	name, serveOn, peerBind, config string
	stateAddress                    string            // listening address of its connection to the state service
	peerProxies                     map[string]string // listening addresses of its connections to the others, by name
	command                         *exec.Cmd
	ended                           chan struct{} // closed when the process has ended
	killed                          bool          // the test has ended the process
}

// processCopyShare is the share of the executed direct commands of which copies arrive later.
const processCopyShare = 0.5

// processTick is the interval at which the stand-ins run the events that are due.
const processTick = 5 * time.Millisecond

// Ports of controllers. They are below those that the system gives to outgoing connections, one of
// which could otherwise take the port of a controller while it is down.
const (
	firstPort = 12000
	portCount = 18000
)

// lastPort numbers the ports that this test process has tried. It begins at another number in
// each process.
var lastPort atomic.Uint32

func init() { lastPort.Store(uint32(os.Getpid()) * 499) }

// freeAddress returns a loopback address with a port on which nothing listens, and which is not
// returned again.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort.Add(1)%portCount)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// buildProgram builds the lemonmoor binary as CI does, without the linker flags of the deploy
// file, and returns its path.
func buildProgram(t *testing.T, dir string) string {
	t.Helper()
	program := filepath.Join(dir, "lemonmoor")
	if out, err := exec.Command("go", "build", "-o", program, "lemonmoor/cmd/lemonmoor").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	return program
}

// newProcessDeployment starts the stand-ins of a simulation after configure has adapted it; start
// starts the controllers.
func newProcessDeployment(t *testing.T, configure func(*simulation)) *processDeployment {
	sim := newSimulation(1)
	for _, controller := range sim.controllers {
		controller.node = nil
	}
	sim.events = nil
	sim.state = newSimStateService(sim)
	sim.commandCopies.share = processCopyShare
	configure(sim)
	deployment := &processDeployment{
		simulation: sim, startedAt: time.Now(), dir: t.TempDir(), done: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnectionsPerController}},
	}
	sim.realProcesses = deployment
	deployment.cloudAddress = deployment.listen(t, func(request http1.ClientRequest, reply func(http1.Response)) { reply(sim.cloud.serve(request)) })
	go deployment.runEvents()
	t.Cleanup(func() { close(deployment.done) })
	return deployment
}

// runEvents runs the events that are due, every processTick, until the deployment ends.
func (d *processDeployment) runEvents() {
	for {
		select {
		case <-d.done:
			return
		case <-time.After(processTick):
			d.withLock(func() {})
		}
	}
}

// withLock advances the stand-ins to the present time and then runs fn, under the lock of the
// deployment.
func (d *processDeployment) withLock(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runUntil(time.Since(d.startedAt))
	fn()
}

// fataler is the part of testing.TB that starting a stand-in uses.
type fataler interface{ Fatal(args ...any) }

// listen serves a stand-in on a free port of loopback and returns its address.
func (d *processDeployment) listen(t fataler, serve func(http1.ClientRequest, func(http1.Response))) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answered := make(chan http1.Response, 1)
		d.withLock(func() {
			serve(http1.ClientRequest{Method: r.Method, Target: r.URL.RequestURI(), Body: body}, func(response http1.Response) {
				select {
				case answered <- response:
				default:
				}
			})
		})
		select {
		case response := <-answered:
			out.Header().Set("Content-Type", "application/json")
			out.WriteHeader(response.Status)
			_, _ = out.Write(response.Body)
		case <-r.Context().Done():
		case <-d.done:
		}
	})
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// machineAddr serves the worker of a new machine on a free port and returns its address.
func (d *processDeployment) machineAddr(worker *simWorker) string {
	return d.listen(panicOnFatal{}, func(request http1.ClientRequest, reply func(http1.Response)) {
		if worker.up {
			d.deliverCommands(worker, request, reply)
		}
	})
}

// panicOnFatal panics on failures inside the stand-ins, where no testing.T is available.
type panicOnFatal struct{}

// Fatal panics with the arguments.
func (panicOnFatal) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// request sends a request of the users or workers to the process of a controller and passes the
// answer to fn. A partition between the two holds the request up or loses it, and loses answers.
func (d *processDeployment) request(from string, controller *simController, method, path string, body []byte, timeout time.Duration, fn func(http1.Response, error)) {
	address := d.processes[controller.index].serveOn
	if d.partitioned(from, controller.name) {
		if d.rng.IntN(2) == 0 {
			d.schedule(d.holdUp(), func() { go d.send(method, address, path, body, timeout, func(http1.Response, error) {}) })
		}
		d.schedule(timeout, func() { fn(http1.Response{}, eventloop.ErrNoAnswer) })
		return
	}
	go d.send(method, address, path, body, timeout, func(answer http1.Response, err error) {
		if d.partitioned(from, controller.name) {
			answer, err = http1.Response{}, eventloop.ErrNoAnswer
		}
		fn(answer, err)
	})
}

// send sends a request to a controller's process and passes the answer to fn, under the lock of
// the deployment.
func (d *processDeployment) send(method, address, path string, body []byte, timeout time.Duration, fn func(http1.Response, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	answer, err := d.post(ctx, method, "http://"+address+path, body)
	d.withLock(func() { fn(answer, err) })
}

// post sends a request and returns the whole answer.
func (d *processDeployment) post(ctx context.Context, method, url string, body []byte) (http1.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return http1.Response{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return http1.Response{}, eventloop.ErrNoAnswer
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return http1.Response{Status: resp.StatusCode, Body: raw}, err
}

// start starts the controllers' processes with the given operators' settings, and kills them at
// the end of the test.
func (d *processDeployment) start(t *testing.T, program, hcl string) {
	t.Helper()
	d.program, d.operator = program, filepath.Join(d.dir, "operator.hcl")
	if err := os.WriteFile(d.operator, []byte(hcl), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, controller := range d.controllers {
		d.processes = append(d.processes, &controllerProcess{name: controller.name, serveOn: freeAddress(t), peerBind: freeAddress(t)})
	}
	for _, process := range d.processes {
		d.connect(t, process)
		d.writeSettings(t, process)
		if err := d.launch(process); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		d.withLock(func() {
			for _, process := range d.processes {
				process.kill()
			}
		})
		for _, process := range d.processes {
			<-process.ended
		}
	})
}

// writeSettings writes the settings file of a controller's process.
func (d *processDeployment) writeSettings(t *testing.T, process *controllerProcess) {
	t.Helper()
	var seeds []map[string]string
	for _, other := range d.processes {
		if other != process {
			seeds = append(seeds, map[string]string{"node": other.name, "area": "a", "endpoint": process.peerProxies[other.name]})
		}
	}
	declared := d.settings.Deployment
	raw, err := json.Marshal(map[string]any{
		"node": process.name, "area": "a", "serve_on": process.serveOn, "peer_bind": process.peerBind, "seeds": seeds,
		"external": map[string]string{"cloud": d.cloudAddress, "state": process.stateAddress},
		"deployment": map[string]any{
			"initial_size": 3, "zones": []string{"a", "b"}, "teams": declared.Teams, "workers": declared.Workers,
			"state": declared.State, "cloud": declared.Cloud, "quota": map[string]any{"core_share": 0.5, "mem_mb": 200, "sockets": 2000}, "skew_ms": 50,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	process.config = filepath.Join(d.dir, process.name+".json")
	if err := os.WriteFile(process.config, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// logPath returns the path of the file to which a controller's processes append their logs.
func (d *processDeployment) logPath(process *controllerProcess) string {
	return filepath.Join(d.dir, process.name+".log")
}

// launch starts a process of a controller.
func (d *processDeployment) launch(process *controllerProcess) error {
	log, err := os.OpenFile(d.logPath(process), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(d.program, "--config", process.config, "--operator", d.operator)
	command.Stderr = log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	process.command, process.ended, process.killed = command, ended, false
	go func() {
		_ = command.Wait() // the exit status of a killed process is an error
		close(ended)
	}()
	return nil
}

// kill ends the process of a controller without a signal that it could handle.
func (p *controllerProcess) kill() {
	p.killed = true
	_ = p.command.Process.Kill()
}

// waitFor waits until condition returns true, and fails the test if that takes longer than limit.
func (d *processDeployment) waitFor(t *testing.T, description string, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		satisfied := false
		d.withLock(func() { satisfied = condition() })
		if satisfied {
			return
		}
	}
	d.dumpLogs(t)
	t.Fatalf("condition not met within %v: %s", limit, description)
}

// dumpLogs prints the last 30 lines of each controller's log.
func (d *processDeployment) dumpLogs(t *testing.T) {
	for _, process := range d.processes {
		raw, _ := os.ReadFile(d.logPath(process))
		lines := strings.Split(string(raw), "\n")
		t.Logf("%s:\n%s", process.name, strings.Join(lines[max(0, len(lines)-30):], "\n"))
	}
}
