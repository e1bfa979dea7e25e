package controller

// The tests of this package play days of a simulated deployment: three real controllers
// on a fake clock, and stand-ins for all that surrounds them, written from PROTOCOL.
//
// # Where to look
//
//	simulation_test.go          the deployment, and how it begins
//	sim_clock, sim_network      the time, and the way of requests with its faults
//	sim_controller              a controller's processes: they crash and start again
//	sim_state_service, _faults  the key-value store, its limits and faults
//	sim_cloud                   rents and takes back machines
//	sim_worker, _heartbeat      a machine's worker: commands, tasks, leases, heartbeats
//	sim_gang                    tasks of a gang, which run together
//	sim_job, _user, _workload   what users submit, ask and cancel
//	sim_operator                operators' requests for drains
//	sim_rule_checker            the rules of PROTOCOL, one function for each
//	sim_budget_checker          the budgets of drains
//	fault_injection             the table of faults by name
//	two_faults                  scenarios in which two faults meet
//	random_faults, gang_random_faults, drain_random_faults
//	                            days whose faults and jobs are drawn
//	scenarios, incidents, ...   days that are written out
//	processes                   the same stand-ins around real processes on loopback
//
// # Running one scenario with one seed
//
// The scenarios' names and seeds are names of subtests:
//
//	go test ./internal/controller -run 'TestTwoFaults/all_controllers_are_down/seed_3$' -v
//
// Drawn days take their seed from the command line; a failed one prints the flags that
// play it again:
//
//	go test ./internal/controller -run TestRandomFaultsTogether -rapid.seed 7 -rapid.checks 300
//
// A seed fixes the load, the faults and every draw of the stand-ins. The controllers, and
// some loops of the stand-ins, go through Go's maps, whose order differs from run to run, so a
// seed does not fix a day to the last event: repeat a day that failed with -count=20.
//
// # Reading its log
//
// With LEMONMOOR_SIM_LOG=1 the controllers log to standard error, at debug level, and a day
// on which a job does not end is followed by a dump of what the controllers and workers
// hold (sim_dump_test.go):
//
//	LEMONMOOR_SIM_LOG=1 go test ./internal/controller -run ... -v 2>day.log
//
// In each line "t" is the simulated time since the day began and "node" the controller.
// A failed day names broken rules with their time in seconds, as in
//
//	  27.350 ran_twice: wk-000004/1 starts on vm-000007 while on vm-000003
//
// The rules are explained in sim_rule_checker_test.go. To find the cause, read the log
// backwards from that time: first the lines with the task or the worker, then those about
// leases ("shard", "token") of the controllers that sent the two commands.

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// simulation is a simulated deployment on a fake clock: the controllers and the stand-ins
// for the state service, the cloud, the workers and the users. It loses, delays and
// repeats messages, and checks the rules at every step.
type simulation struct {
	clock
	rng      *rand.Rand
	settings *settings.Settings
	log      *slog.Logger

	controllers []*simController
	state       *simStateService
	cloud       *simCloud
	workers     map[string]*simWorker // by address
	jobs        map[string]*simJob

	network     networkFaults
	stateFaults stateFaults
	stateLimits stateLimits
	heartbeats  heartbeatFaults
	users       userBehavior

	commandsRefused bool          // workers take no direct commands: connections to them fail at once
	imageFetchTime  time.Duration // that workers take to fetch an image, about; 0: none

	checker       *ruleChecker
	drainChecker  *budgetChecker     // nil on days without drains
	realProcesses *processDeployment // not nil: on the real clock, with controllers that are processes
}

// restart starts all controllers anew, with changed settings and an empty state service,
// before the day begins.
func (s *simulation) restart() {
	for _, controller := range s.controllers {
		controller.node = nil
	}
	s.events = nil
	s.schedule(0, s.checker.checkPeriodically)
	s.state = newSimStateService(s)
	for _, controller := range s.controllers {
		controller.boot()
	}
}

// divideIntoShards has the machines divided into two shards.
func (s *simulation) useTwoShards() {
	s.settings.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard
	s.restart()
}

// limitWrites has the state service take so many puts and deletes a second, as the settings
// of controllers that start from now on tell.
func (s *simulation) limitWrites(perSecond float64) {
	s.stateLimits.writesPerSecond = perSecond
	s.settings.Deployment.State.WriteRPS = perSecond
}

// faultsAreOver has it checked that nobody is neglected from now on, and that every
// controller answers about every job within a time.
func (s *simulation) startRecoveryChecks(answersWithin time.Duration) {
	s.checker.faultsOverAt = s.now
	s.expectAnswersWithin(answersWithin)
}

// newSimulation is a deployment of three controllers. All random draws come from the seed.
func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		settings:    simSettings(),
		workers:     map[string]*simWorker{},
		jobs:        map[string]*simJob{},
		network:     networkFaults{partitions: map[string]bool{}},
		stateFaults: stateFaults{refusedControllers: map[string]bool{}},
		stateLimits: stateLimits{operations: 12, valueBytes: 8 << 10},
	}
	sim.log = sim.newLog()
	sim.checker = &ruleChecker{sim: sim}
	sim.state = newSimStateService(sim)
	sim.cloud = &simCloud{sim: sim, rentals: map[string][]string{}, available: 12}
	for i := range 3 {
		sim.controllers = append(sim.controllers, &simController{sim: sim, name: fmt.Sprintf("node-%d", i), index: i})
	}
	for _, controller := range sim.controllers {
		controller.boot()
	}
	sim.checker.checkPeriodically()
	return sim
}

// simSettings are the settings of a day on which a test changes nothing.
func simSettings() *settings.Settings {
	set := &settings.Settings{}
	set.External.State, set.External.Cloud = "state:1", "cloud:1"
	deployment := &set.Deployment
	deployment.Teams = []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 24}, {Name: "blue", CPUs: 8, CPUsMax: 24}}
	deployment.Workers.ReportS, deployment.Workers.LeaseS, deployment.Workers.CancelS = 1.2, 12, 45
	deployment.Workers.GangWaitS, deployment.Workers.GangPeerS = 15, 3
	deployment.State.RPS, deployment.State.WriteRPS, deployment.State.ValueKB, deployment.State.TxnOps = 1000, 500, 8, 12
	deployment.Cloud.RPS = 10
	return set
}

// newLog is the log of all controllers: on standard error with LEMONMOOR_SIM_LOG set,
// each line at its simulated time "t", else nowhere.
func (s *simulation) newLog() *slog.Logger {
	if os.Getenv("LEMONMOOR_SIM_LOG") == "" {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	simulatedTime := func(_ []string, attribute slog.Attr) slog.Attr {
		if attribute.Key == slog.TimeKey {
			return slog.Duration("t", s.now)
		}
		return attribute
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: simulatedTime}))
}
