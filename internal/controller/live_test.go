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
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// liveWorld runs the stand-ins of the simulated deployment on the real clock and on
// loopback, with controllers that are real processes.
type liveWorld struct {
	*world
	mu    sync.Mutex
	began time.Time
	dir   string
	procs []*liveNode
	state string // addresses
	cloud string
	done  chan struct{}
}

// liveNode is a controller's process.
type liveNode struct {
	name, serveOn, peerBind, config string
	command                         *exec.Cmd
}

// tick is how often the stand-ins look at the clock.
const liveTick = 5 * time.Millisecond

// freePort is a port of loopback that nobody listens on.
func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// buildProgram builds the program as CI does, without the deploy file's linking.
func buildProgram(t *testing.T, dir string) string {
	t.Helper()
	program := filepath.Join(dir, "lemonmoor")
	if out, err := exec.Command("go", "build", "-o", program, "lemonmoor/cmd/lemonmoor").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// newLiveWorld starts stand-ins; the controllers are started by start.
func newLiveWorld(t *testing.T, change func(*world)) *liveWorld {
	w := newWorld(1)
	for _, n := range w.nodes {
		n.node = nil
	}
	w.events = nil
	w.state = &stateService{w: w, keys: map[string]*entry{}, grants: map[uint64]*grant{}}
	change(w)
	l := &liveWorld{world: w, began: time.Now(), dir: t.TempDir(), done: make(chan struct{})}
	w.live = l
	l.state = l.listen(t, func(c http1.ClientRequest, reply func(http1.Response)) { w.state.serve("node", c, reply) })
	l.cloud = l.listen(t, func(c http1.ClientRequest, reply func(http1.Response)) { reply(w.cloud.serve(c)) })
	go l.loop()
	t.Cleanup(func() { close(l.done) })
	return l
}

// loop lets what is due happen.
func (l *liveWorld) loop() {
	for {
		select {
		case <-l.done:
			return
		case <-time.After(liveTick):
			l.do(func() {})
		}
	}
}

// do runs fn with the stand-ins at the present time.
func (l *liveWorld) do(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run(time.Since(l.began))
	fn()
}

// listen serves a stand-in on a port of its own.
func (l *liveWorld) listen(t interface{ Fatal(...any) }, serve func(http1.ClientRequest, func(http1.Response))) string {
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
		l.do(func() {
			serve(http1.ClientRequest{Method: r.Method, Target: r.URL.RequestURI(), Body: body}, func(a http1.Response) {
				select {
				case answered <- a:
				default:
				}
			})
		})
		select {
		case a := <-answered:
			out.Header().Set("Content-Type", "application/json")
			out.WriteHeader(a.Status)
			_, _ = out.Write(a.Body)
		case <-r.Context().Done():
		case <-l.done:
		}
	})
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// machineAddr gives a new machine's worker a port.
func (l *liveWorld) machineAddr(k *worker) string {
	return l.listen(fatal{}, func(c http1.ClientRequest, reply func(http1.Response)) {
		if !k.dead && k.up {
			reply(k.direct(c))
		}
	})
}

// fatal ends the test process: there is no other way inside the stand-ins.
type fatal struct{}

func (fatal) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// request sends a stand-in's request to a controller's process.
func (l *liveWorld) request(index int, method, path string, body []byte, timeout time.Duration, fn func(http1.Response, error)) {
	address := l.procs[index].serveOn
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		answer, err := post(ctx, method, "http://"+address+path, body)
		l.do(func() { fn(answer, err) })
	}()
}

func post(ctx context.Context, method, url string, body []byte) (http1.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return http1.Response{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return http1.Response{}, eventloop.ErrNoAnswer
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return http1.Response{Status: resp.StatusCode, Body: raw}, err
}

// start starts the controllers' processes.
func (l *liveWorld) start(t *testing.T, program, hcl string) {
	t.Helper()
	operator := filepath.Join(l.dir, "operator.hcl")
	if err := os.WriteFile(operator, []byte(hcl), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, n := range l.nodes {
		l.procs = append(l.procs, &liveNode{name: n.name, serveOn: freePort(t), peerBind: freePort(t)})
	}
	for _, p := range l.procs {
		l.writeSettings(t, p)
		l.launch(t, program, operator, p)
	}
	t.Cleanup(func() {
		for _, p := range l.procs {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		}
	})
}

func (l *liveWorld) writeSettings(t *testing.T, p *liveNode) {
	t.Helper()
	var seeds []map[string]string
	for _, o := range l.procs {
		if o != p {
			seeds = append(seeds, map[string]string{"node": o.name, "area": "a", "endpoint": o.peerBind})
		}
	}
	d := l.set.Deployment
	raw, err := json.Marshal(map[string]any{
		"node": p.name, "area": "a", "serve_on": p.serveOn, "peer_bind": p.peerBind, "seeds": seeds,
		"external": map[string]string{"cloud": l.cloud, "state": l.state},
		"deployment": map[string]any{
			"initial_size": 3, "zones": []string{"a", "b"}, "teams": d.Teams, "workers": d.Workers,
			"state": d.State, "cloud": d.Cloud, "quota": map[string]any{"core_share": 0.5, "mem_mb": 200, "sockets": 2000}, "skew_ms": 50,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	p.config = filepath.Join(l.dir, p.name+".json")
	if err := os.WriteFile(p.config, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (l *liveWorld) launch(t *testing.T, program, operator string, p *liveNode) {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(l.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(program, "--config", p.config, "--operator", operator)
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
}

// until waits for something to hold, and fails the test if it does not in time.
func (l *liveWorld) until(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		held := false
		l.do(func() { held = holds() })
		if held {
			return
		}
	}
	l.dumpLogs(t)
	t.Fatalf("not in %v: %s", limit, what)
}

// dumpLogs prints the last lines of the controllers' logs.
func (l *liveWorld) dumpLogs(t *testing.T) {
	for _, p := range l.procs {
		raw, _ := os.ReadFile(filepath.Join(l.dir, p.name+".log"))
		lines := strings.Split(string(raw), "\n")
		t.Logf("%s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-30):], "\n"))
	}
}
