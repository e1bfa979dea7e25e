package controller

// The tests of this package run a simulated deployment for a simulated day: three real
// controllers on a fake clock, with simulations of everything they talk to, written from
// PROTOCOL.
//
// # Where to look
//
//	simulation_test.go          the deployment and its initial state
//	sim_clock, sim_network      the clock; the network and its faults
//	sim_controller              a controller's processes, which crash and restart
//	sim_state_service, _faults  the key-value store, its limits and faults
//	sim_cloud                   rents out machines and reclaims them
//	sim_worker, _heartbeat      a machine's worker: commands, tasks, leases, heartbeats
//	sim_gang                    tasks of a gang, which run together
//	sim_job, _user, _workload   jobs, the users' requests, mixes of jobs
//	sim_operator                operators' requests for drains
//	sim_rule_checker            the rules of PROTOCOL, one function for each
//	sim_waiting_checker         jobs that wait although a machine has room
//	sim_budget_checker          the budgets of drains
//	fault_injection             the table of faults by name
//	two_faults                  scenarios that combine two faults
//	random_faults, gang_random_faults, drain_random_faults
//	                            days whose faults and jobs are drawn at random
//	scenarios, incidents, ...   days with fixed faults and jobs
//	processes                   the same simulations around real controller processes on loopback
//
// # Running one scenario with one seed
//
// Each scenario is a subtest, and each of its seeds a subtest of that:
//
//	go test ./internal/controller -run 'TestTwoFaults/all_controllers_are_down/seed_3$' -v
//
// Random days take their seed from the command line; a failed one prints the flags that
// repeat it:
//
//	go test ./internal/controller -run TestRandomFaultsTogether -rapid.seed 7 -rapid.checks 300
//
// A seed determines the load, the faults and every random draw of the simulation. The
// controllers and some loops of the simulation iterate over Go maps, whose order differs from
// run to run, so the same seed does not give exactly the same events: repeat a failed day with
// -count=20.
//
// # Reading its log
//
// With LEMONMOOR_SIM_LOG=1 the controllers log to standard error at debug level, and if a job
// does not end, the state of the controllers and workers is dumped after the day
// (sim_dump_test.go):
//
//	LEMONMOOR_SIM_LOG=1 go test ./internal/controller -run ... -v 2>day.log
//
// In each line "t" is the simulated time since the start of the day and "node" the
// controller. A failed day prints each violation with its time in seconds and its rule:
//
//	  27.350 ran_twice: wk-000004/1 starts on vm-000007 while on vm-000003
//
// The rules are described in sim_rule_checker_test.go. To find the cause, read the log
// backwards from that time: first the lines about the task or the worker, then those about
// leases ("shard", "token") of the controllers that sent the two commands.

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// simulation is a simulated deployment on a fake clock: real controllers and a simulated
// state service, cloud, workers and users. It loses, delays and repeats messages, and checks
// the rules at every step.
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

	network       networkFaults
	links         *simLinks // nil: no links hold messages back
	stateFaults   stateFaults
	stateLimits   stateLimits
	heartbeats    heartbeatFaults
	commandCopies commandCopies
	users         userBehavior

	commandsRefused bool          // connections for direct commands to workers fail at once
	imageFetchTime  time.Duration // average time to fetch an image; 0: no fetching
	teamLimit       float64       // processors that each team may use; the settings of the controllers must say the same
	faultScale      int           // factor on the number of machines that a fault affects
	unanswered      int           // queries of expectAnswers that no answer has come to yet

	checker       *ruleChecker
	drainChecker  *budgetChecker     // nil on days without drains
	realProcesses *processDeployment // if set, controllers are real processes on the real clock
}

// restart restarts all controllers with the current settings and an empty state service. It
// drops all scheduled events, so it must be called before anything else is scheduled.
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

// useTwoShards raises the first team's processors so that the machines are divided into two
// shards, and restarts the deployment.
func (s *simulation) useTwoShards() {
	s.settings.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard
	s.restart()
}

// limitWrites limits the puts and deletes that the state service accepts per second, and
// declares the limit in the settings of controllers that start from now on.
func (s *simulation) limitWrites(perSecond float64) {
	s.stateLimits.writesPerSecond = perSecond
	s.settings.Deployment.State.WriteRPS = perSecond
}

// startRecoveryChecks marks the end of the faults: from now on no job may be neglected, and
// every controller must answer requests about every accepted job within answerLimit.
func (s *simulation) startRecoveryChecks() {
	s.checker.faultsOverAt = s.now
	s.expectAnswersWithin(answerLimit)
}

// newSimulation returns a deployment of three running controllers. All random draws derive
// from the seed.
func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		settings:    simSettings(),
		workers:     map[string]*simWorker{},
		jobs:        map[string]*simJob{},
		network:     networkFaults{partitions: map[string]bool{}},
		stateFaults: stateFaults{refusedControllers: map[string]bool{}},
		stateLimits: stateLimits{operations: 12, valueBytes: 8 << 10},
		faultScale:  1,
		teamLimit:   teamLimitCPUs,
	}
	sim.log = sim.newLog()
	sim.checker = &ruleChecker{sim: sim, roomSince: map[*simJob]time.Duration{}}
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

// simSettings returns the settings of a day unless a test changes them.
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

// newLog returns the logger of all controllers. With LEMONMOOR_SIM_LOG set it writes to
// standard error, each line with its simulated time "t"; otherwise it discards everything. A
// violated invariant breaks a rule of the day in either case.
func (s *simulation) newLog() *slog.Logger {
	if os.Getenv("LEMONMOOR_SIM_LOG") == "" {
		return slog.New(&invariantHandler{slog.DiscardHandler, s})
	}
	simulatedTime := func(_ []string, attribute slog.Attr) slog.Attr {
		if attribute.Key == slog.TimeKey {
			return slog.Duration("t", s.now)
		}
		return attribute
	}
	text := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: simulatedTime})
	return slog.New(&invariantHandler{text, s})
}

// invariantHandler records the violations of invariants that controllers log.
type invariantHandler struct {
	slog.Handler
	sim *simulation
}

// Enabled reports whether records of a level are handled: errors always are.
func (h *invariantHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelError || h.Handler.Enabled(ctx, level)
}

// Handle records a violated invariant and passes the record on.
func (h *invariantHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Message == "invariant violated" {
		var details []string
		record.Attrs(func(attribute slog.Attr) bool {
			details = append(details, attribute.String())
			return true
		})
		h.sim.checker.recordViolation(ruleInvariant, "%s", strings.Join(details, " "))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler that adds attributes.
func (h *invariantHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &invariantHandler{h.Handler.WithAttrs(attributes), h.sim}
}

// WithGroup returns a handler that adds a group.
func (h *invariantHandler) WithGroup(name string) slog.Handler {
	return &invariantHandler{h.Handler.WithGroup(name), h.sim}
}
