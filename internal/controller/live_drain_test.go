package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/settings"
)

// liveBudgets are the budgets of the drains on loopback.
const liveBudgets = `
drains {
  machines_at_once = 4
  wait_s           = 0
  trace_file       = "%s"
  default {
    tasks = 1
  }
  team "red" {
    tasks       = 2
    cpus        = 5
    replicas_up = 1
  }
}
`

// budgetSample is how the budgets stood at a moment.
type budgetSample struct {
	AtMS      int64          `json:"atMs"`
	Disturbed map[string]int `json:"disturbed"`
	Gone      int            `json:"machinesGone"`
}

// liveDrain is what TestLiveDrain has measured.
type liveDrain struct {
	Machines     int            `json:"machines"`
	LeaderKilled int64          `json:"leaderKilledAtMs"`
	EndedMS      int64          `json:"endedAtMs"`
	Changes      int            `json:"stateChangesOfDrains"`
	Moves        int            `json:"halts"`
	Limits       map[string]int `json:"limits"`
	Samples      []budgetSample `json:"samples"`
}

// TestLiveDrain drains and replaces all machines of a deployment of real processes on
// loopback, while two teams' work runs, with the leader killed midway. With
// LEMONMOOR_LIVE_DRAIN=DIR there are twenty machines, and DIR gets the log of budgets.
func TestLiveDrain(t *testing.T) {
	report := os.Getenv("LEMONMOOR_LIVE_DRAIN")
	tasks := 2
	if report != "" {
		tasks = 10
	}
	l := newLiveWorld(t, func(w *world) {
		w.cloud.room = 2 * tasks
		w.fetch = 2 * time.Second
		w.drains = &drainWatch{
			w: w, limits: map[string]settings.DrainLimits{"red": limits(2, 5, 1), "blue": limits(1, 100, 0)},
			named: map[string]bool{}, disturbed: map[string]disturbance{}, most: map[string]int{},
		}
	})
	program := buildProgram(t, l.dir)
	trace := filepath.Join(l.dir, "trace.json")
	l.start(t, program, fmt.Sprintf(liveBudgets, trace))
	l.submit(tasks)
	l.until(t, "all tasks run", 30*time.Second, func() bool { return l.running() == 2*tasks })
	var names []string
	l.do(func() { names = l.hosts(func(k *worker) bool { return len(k.tasks) > 0 }) })
	l.named(names)
	l.do(func() { l.world.cloud.room += 4 * tasks }) // for the replacements

	result := liveDrain{Machines: len(names), Limits: map[string]int{"red": 2, "blue": 1}}
	began := time.Now()
	l.drainCLI(t, program, 0, "start", "--id", "rack", "--replace", "--machine", strings.Join(names, ","))
	var killed *liveNode
	l.until(t, "all machines are gone", 120*time.Second, func() bool {
		gone := l.emptied(names)
		result.Samples = append(result.Samples, budgetSample{time.Since(began).Milliseconds(), l.drains.now(), gone})
		if killed == nil && gone*2 >= len(names) {
			killed = l.kill()
			result.LeaderKilled = time.Since(began).Milliseconds()
		}
		return gone == len(names)
	})
	l.until(t, "all tasks run again", 30*time.Second, func() bool { return l.running() == 2*tasks })
	result.EndedMS = time.Since(began).Milliseconds()
	l.do(func() {
		result.Moves, result.Changes = l.drains.halts, l.drainChanges()
		l.verify(t)
	})
	if killed == nil || result.Moves < len(names) {
		t.Errorf("leader killed: %v, %d halts", killed != nil, result.Moves)
	}
	l.lookAtTools(t, program, killed)
	if report != "" {
		result.write(t, report)
	}
}

// submit has one array of long tasks for each team, one task to a machine.
func (l *liveWorld) submit(tasks int) {
	l.do(func() {
		for i, team := range []string{"red", "blue"} {
			j := &simJob{
				id: fmt.Sprintf("wk-%06d", i+1), team: team, tasks: tasks, cpus: 2.3, length: time.Hour, expect: 3600,
				spot: true, urgent: true, builds: []string{"small"}, done: map[int]bool{},
			}
			l.user(j, 0)
		}
	})
}

func (l *liveWorld) running() int {
	n := 0
	for _, k := range l.world.cloud.workers {
		for _, t := range k.tasks {
			if t.phase == "running" && !k.dead {
				n++
			}
		}
	}
	return n
}

func (l *liveWorld) named(names []string) {
	l.do(func() {
		for _, name := range names {
			l.drains.named[name] = true
		}
	})
}

// now is how many tasks are disturbed, by team.
func (d *drainWatch) now() map[string]int {
	sums := map[string]int{"red": 0, "blue": 0}
	for name, x := range d.disturbed {
		if !d.over(name, x) {
			sums[x.job.team] += x.tasks
		}
	}
	return sums
}

// kill ends the leader's process, inside do.
func (l *liveWorld) kill() *liveNode {
	var h struct {
		Node string `json:"node"`
	}
	e := l.world.state.keys["lease/lead"]
	if e == nil || json.Unmarshal(e.value, &h) != nil {
		return nil
	}
	for _, p := range l.procs {
		if p.name == h.Node {
			_ = p.command.Process.Kill()
			return p
		}
	}
	return nil
}

// drainCLI runs `lemonmoor drain` as an operator does, and returns what it prints.
func (l *liveWorld) drainCLI(t *testing.T, program string, status int, args ...string) string {
	t.Helper()
	args = append([]string{"drain", "--config", l.procs[0].config, "--timeout", "20s"}, args...)
	out, err := exec.Command(program, args...).CombinedOutput()
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	if code != status {
		l.dumpLogs(t)
		t.Fatalf("%v: status %d, not %d: %s", args, code, status, out)
	}
	return string(out)
}

// lookAtTools tries the commands on the deployment, one of whose controllers is dead.
func (l *liveWorld) lookAtTools(t *testing.T, program string, killed *liveNode) {
	t.Helper()
	for _, c := range []struct {
		status int
		args   []string
		words  string
	}{
		{0, []string{"status"}, "drain rack: "},
		{0, []string{"status", "--json"}, `"id": "rack"`},
		{0, []string{"plan", "--type", "small"}, "team"},
		{2, []string{"plan", "--prefix", "127.0.0.1"}, "prefix: "},
		{2, []string{"plan", "--machine", "vm-999999"}, "machine: "},
		{2, []string{"start"}, "selection: "},
		{2, []string{"cancel"}, "id: "},
		{2, []string{"pause", "--id", "rack-2"}, "id: "},
	} {
		out := l.drainCLI(t, program, c.status, c.args...)
		if !strings.Contains(out, c.words) || (c.status != 0 && strings.Count(out, "\n") != 1) {
			t.Errorf("%v prints %q, without %q", c.args, out, c.words)
		}
	}
	for _, p := range l.procs {
		if p != killed {
			_ = p.command.Process.Kill()
		}
	}
	out := l.drainCLI(t, program, 3, "status", "--timeout", "3s")
	for _, p := range l.procs {
		if !strings.Contains(out, p.peerBind) {
			t.Errorf("%s is not named: %s", p.name, out)
		}
	}
}
