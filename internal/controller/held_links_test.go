package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// linkSeedsVariable is the environment variable with the seeds of a long search: FIRST-LAST.
	linkSeedsVariable = "LEMONMOOR_LINK_SEEDS"
	// heldLinksUntil is the time at which the faults of a run end.
	heldLinksUntil = 60 * time.Second
)

// linkSeedsInCI are the seeds of every run of the tests.
const linkSeedsInCI = 60

// TestSearchOverHeldLinks plays small deployments in simulated time whose links hold messages back
// and deliver them in order, while the owner and the leader end and come back within seconds. It
// checks every rule and invariant. A long search, by hand:
//
//	LEMONMOOR_LINK_SEEDS=1000-1999 go test ./internal/controller -run TestSearchOverHeldLinks -v
func TestSearchOverHeldLinks(t *testing.T) {
	first, last := linkSeeds(t)
	broken := map[rule][]uint64{}
	starts := 0
	for seed := first; seed <= last; seed++ {
		sim := runHeldLinks(seed)
		starts += sim.checker.starts
		var lines []string
		for _, violated := range sim.checker.violations {
			if !slices.Contains(broken[violated.rule], seed) {
				broken[violated.rule] = append(broken[violated.rule], seed)
			}
			lines = append(lines, violated.String())
		}
		if len(lines) > 0 {
			t.Errorf("seed %d:\n%s", seed, strings.Join(lines, "\n"))
		}
	}
	t.Logf("%d seeds, %d tasks started, seeds by broken rule: %v", last-first+1, starts, broken)
	if starts < int(last-first+1)*20 {
		t.Errorf("not run: %d tasks started in %d seeds", starts, last-first+1)
	}
}

// linkSeeds returns the first and the last seed to run.
func linkSeeds(t *testing.T) (first, last uint64) {
	t.Helper()
	text := os.Getenv(linkSeedsVariable)
	if text == "" {
		return 1, linkSeedsInCI
	}
	if _, err := fmt.Sscanf(text, "%d-%d", &first, &last); err != nil {
		if first, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatalf("%s is %q, want FIRST-LAST", linkSeedsVariable, text)
		}
		last = first
	}
	return first, last
}

// runHeldLinks plays the day of a seed.
func runHeldLinks(seed uint64) *simulation {
	sim := newSimulation(seed)
	drawn := rand.New(rand.NewPCG(seed, 50))
	sim.cloud.available = 2 + drawn.IntN(3)
	sim.heartbeats.onChange, sim.heartbeats.slowdown = true, 1+drawn.IntN(5)
	sim.settings.Deployment.Workers.ReportS = 1.2 * float64(sim.heartbeats.slowdown)
	if drawn.IntN(2) == 0 {
		sim.settings.Deployment.Workers.LeaseS, sim.settings.Deployment.Workers.CancelS = 36, 66
	}
	sim.restart()
	sim.schedule(4*second, func() { sim.useLinks([]float64{0, 0.02, 0.1}[drawn.IntN(3)]) })
	for i := range 40 {
		job := newJob(jobSpec{
			id: jobID(i), team: teamOf(i), tasks: 1 + drawn.IntN(6), cpus: 1, spot: true, urgent: drawn.IntN(2) == 0, estimateSeconds: 60,
			runTime: time.Duration(500+drawn.IntN(7000)) * millisecond, gang: drawn.IntN(8) == 0,
		})
		sim.schedule(time.Duration(1000+i*1200)*millisecond, func() { sim.submitAndPoll(job, 0) })
	}
	var trouble func()
	trouble = func() {
		if sim.now > heldLinksUntil {
			return
		}
		switch drawn.IntN(12) {
		case 0:
			sim.inject(leaderCrashes, 0, time.Duration(800+drawn.IntN(24000))*millisecond)
		case 1:
			sim.inject(ownerCrashes, 0, time.Duration(800+drawn.IntN(24000))*millisecond)
		case 2:
			name := []faultName{machinesFailTasks, machinesHang, commitsLate, commitAnswersLost, stateSlow}[drawn.IntN(5)]
			sim.inject(name, drawn.IntN(4), time.Duration(500+drawn.IntN(9000))*millisecond)
		case 3, 4:
			sim.inject(jobsCancelled, 0, 0)
		default:
			sim.holdRandomLink()
		}
		sim.schedule(time.Duration(100+drawn.IntN(2000))*millisecond, trouble)
	}
	sim.schedule(8*second, trouble)
	sim.runUntil(heldLinksUntil + 30*second)
	return sim
}
