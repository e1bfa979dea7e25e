package controller

import (
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

// operatorSettings are the operators' settings of the real processes: the budgets of drains and
// the trace file.
const operatorSettings = `
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

// budgetSample is the use of the budgets at one moment after the start of a drain.
type budgetSample struct {
	AtMS      int64          `json:"atMs"`
	Disturbed map[string]int `json:"disturbed"`
	Gone      int            `json:"machinesGone"`
}

// drainReport is the measurement of TestDrainOfRealProcesses.
type drainReport struct {
	Machines       int            `json:"machines"`
	LeaderKilledMS int64          `json:"leaderKilledAtMs"`
	EndedMS        int64          `json:"endedAtMs"`
	Changes        int            `json:"stateChangesOfDrains"`
	Halts          int            `json:"halts"`
	Limits         map[string]int `json:"limits"`
	Samples        []budgetSample `json:"samples"`
}

// TestDrainOfRealProcesses drains and replaces all machines of a deployment of real processes on
// loopback while tasks of two teams run, and kills the leader when at least half of the
// machines are gone. With LEMONMOOR_LIVE_DRAIN=DIR it uses twenty machines and writes the use of
// the budgets over time to DIR.
func TestDrainOfRealProcesses(t *testing.T) {
	report := os.Getenv("LEMONMOOR_LIVE_DRAIN")
	tasks := 2
	if report != "" {
		tasks = 10
	}
	deployment := newProcessDeployment(t, func(sim *simulation) {
		sim.cloud.available = 2 * tasks
		sim.imageFetchTime = 2 * time.Second
		sim.drainChecker = newBudgetChecker(sim, map[string]settings.DrainLimits{"red": teamBudget(2, 5, 1), "blue": teamBudget(1, 100, 0)})
	})
	program := buildProgram(t, deployment.dir)
	trace := filepath.Join(deployment.dir, "trace.json")
	deployment.start(t, program, fmt.Sprintf(operatorSettings, trace))
	deployment.submit(tasks)
	deployment.waitFor(t, "all tasks run", 30*time.Second, func() bool { return deployment.running() == 2*tasks })
	var names []string
	deployment.withLock(func() { names = deployment.workerIDs(hasTasks) })
	deployment.nameMachines(names)
	deployment.withLock(func() { deployment.cloud.available += 4 * tasks }) // for the replacements

	result := drainReport{Machines: len(names), Limits: map[string]int{"red": 2, "blue": 1}}
	began := time.Now()
	deployment.drainCLI(t, program, 0, "start", "--id", "rack", "--replace", "--machine", strings.Join(names, ","))
	var killed *controllerProcess
	deployment.waitFor(t, "all machines are gone", 120*time.Second, func() bool {
		gone := deployment.countGone(names)
		result.Samples = append(result.Samples, budgetSample{time.Since(began).Milliseconds(), deployment.drainChecker.disturbedNow(), gone})
		if killed == nil && gone*2 >= len(names) {
			killed = deployment.killLeader()
			result.LeaderKilledMS = time.Since(began).Milliseconds()
		}
		return gone == len(names)
	})
	deployment.waitFor(t, "all tasks run again", 30*time.Second, func() bool { return deployment.running() == 2*tasks })
	result.EndedMS = time.Since(began).Milliseconds()
	deployment.withLock(func() {
		result.Halts, result.Changes = deployment.drainChecker.halts, deployment.countDrainChanges()
		deployment.checkRules(t)
	})
	if killed == nil || result.Halts < len(names) {
		t.Errorf("leader killed: %v, want true; %d halts, want at least %d", killed != nil, result.Halts, len(names))
	}
	deployment.checkCommands(t, program, killed)
	if report != "" {
		result.write(t, report)
	}
}

// submit submits an array of long tasks for each team; the tasks are so large that each runs on a
// machine of its own.
func (d *processDeployment) submit(tasks int) {
	d.withLock(func() {
		for i, team := range []string{"red", "blue"} {
			job := newJob(jobSpec{
				id: jobID(i + 1), team: team, tasks: tasks, cpus: 2.3, runTime: time.Hour, estimateSeconds: 3600,
				spot: true, urgent: true, machineTypes: []string{"small"},
			})
			d.submitAndPoll(job, 0)
		}
	})
}

// running returns the number of running tasks. It must be called inside withLock.
func (d *processDeployment) running() int {
	n := 0
	for _, worker := range d.cloud.workers {
		for _, task := range worker.tasks {
			if task.phase == phaseRunning && !worker.dead {
				n++
			}
		}
	}
	return n
}

// nameMachines records in the drain checker the machines that operators name.
func (d *processDeployment) nameMachines(names []string) {
	d.withLock(func() {
		for _, name := range names {
			d.drainChecker.namedMachines[name] = true
		}
	})
}

// killLeader kills the leader's process and returns it, or nil if there is no leader. It must be
// called inside withLock.
func (d *processDeployment) killLeader() *controllerProcess {
	leader := d.leader()
	if leader == nil {
		return nil
	}
	process := d.processes[leader.index]
	process.kill()
	return process
}

// drainCLI runs `lemonmoor drain` as an operator does and returns its output. It fails the test if
// the exit status is not the expected one.
func (d *processDeployment) drainCLI(t *testing.T, program string, status int, args ...string) string {
	t.Helper()
	args = append([]string{"drain", "--config", d.processes[0].config, "--timeout", "20s"}, args...)
	out, err := exec.Command(program, args...).CombinedOutput()
	exitStatus := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		exitStatus = exit.ExitCode()
	}
	if exitStatus != status {
		d.dumpLogs(t)
		t.Fatalf("%v: exit status %d, want %d: %s", args, exitStatus, status, out)
	}
	return string(out)
}

// checkCommands checks the output and exit status of drain commands while one controller, killed,
// is down, and then, after killing the others, while no controller answers.
func (d *processDeployment) checkCommands(t *testing.T, program string, killed *controllerProcess) {
	t.Helper()
	for _, test := range []struct {
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
		out := d.drainCLI(t, program, test.status, test.args...)
		if !strings.Contains(out, test.words) || (test.status != 0 && strings.Count(out, "\n") != 1) {
			t.Errorf("%v prints %q, want a text with %q, in one line if the exit status is not 0", test.args, out, test.words)
		}
	}
	for _, process := range d.processes {
		if process != killed {
			process.kill()
		}
	}
	out := d.drainCLI(t, program, 3, "status", "--timeout", "3s")
	for _, process := range d.processes {
		if !strings.Contains(out, process.peerBind) {
			t.Errorf("status with all controllers down does not name %s at %s: %s", process.name, process.peerBind, out)
		}
	}
}
