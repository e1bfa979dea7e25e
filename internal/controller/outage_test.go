package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/tuning"
)

// outlived is the longest outage of the state service that surely ends no task: owners
// answer workers until their lease and the hold after it run out, or their knowledge of
// cancellations is too old; a worker's lease then runs from its last answered report,
// and after the outage an owner needs a moment until it answers again.
func (s *simulation) longestHarmlessOutage() time.Duration {
	const recovery = 3500 * ms // a proof, a renewal, and the next reports
	byLease := tuning.LeaseTTL - tuning.LeaseRenewInterval - tuning.LeaseMargin + s.settings.AnswerGracePeriod()
	byProof := s.settings.MaxKnowledgeAge() - tuning.KnowledgeVerifyInterval
	return min(byLease, byProof) + s.settings.WorkerLease() - s.settings.HeartbeatInterval()*5/4 - recovery
}

// TestOutageEndsNoReplica: an outage just below that length ends no replica, whatever
// the moment at which it begins. One that is longer than any answer and lease may end
// all of them, and breaks no rule even when services are called off meanwhile.
func TestOutageEndsNoReplica(t *testing.T) {
	for name, c := range map[string]struct {
		longer  time.Duration
		survive bool
	}{"just below": {0, true}, "above": {tuning.LeaseRenewInterval + 12*second, false}} {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				sim := newSimulation(seed)
				for i := range 6 {
					job := newJob(jobSpec{id: fmt.Sprintf("wk-%06d", i), team: []string{"red", "blue"}[i%2], tasks: 2, cpus: 1, service: true, urgent: true})
					sim.after(time.Duration(i)*second, func() { sim.submitAndPoll(job, 0) })
				}
				at := 25*second + time.Duration(seed)*500*ms
				outage := sim.longestHarmlessOutage() + c.longer
				sim.after(at, func() { sim.outageFor(outage) })
				sim.after(at+outage-5*second, func() {
					if !c.survive {
						sim.cancelRunningJobs(2)
					}
				})
				replicas := 0
				sim.after(at, func() {
					for _, worker := range sim.workers {
						replicas += len(worker.tasks)
					}
				})
				sim.after(at+outage+20*second, func() {
					sim.checker.faultsOverAt = sim.now
					sim.expectAnswersWithin(75 * second)
				})
				sim.run(at + outage + 15*second)
				ended := 0
				for _, worker := range sim.workers {
					if worker.session > 1 && !worker.dead {
						ended++
					}
				}
				if replicas != 12 {
					t.Errorf("%d replicas run when the outage begins, not 12", replicas)
				}
				if c.survive && ended > 0 {
					t.Errorf("an outage of %v ends the session of %d workers", outage, ended)
				}
				if !c.survive && ended == 0 {
					t.Errorf("an outage of %v ends no session: the formula is too short", outage)
				}
				sim.cancelServicesAt(10 * second)
				sim.run(at + outage + 150*second)
				sim.checkRulesAndCompletion(t)
			})
		}
	}
}

// TestHealthInAnOutage: in an outage of the state service the nodes stay
// healthy, since none is better than another; a node that is refused alone does
// not.
func TestHealthInAnOutage(t *testing.T) {
	sim := newSimulation(4)
	sim.run(20 * time.Second)
	sim.stateFaults.outage = true
	sim.run(32 * time.Second)
	for _, controller := range sim.controllers {
		if !controller.node.healthy() {
			t.Errorf("%s is unhealthy in an outage that all share", controller.name)
		}
	}
	sim.stateFaults.outage = false
	sim.run(40 * time.Second)
	sim.network.partitions["node-1|state"] = true
	sim.run(55 * time.Second)
	for _, controller := range sim.controllers {
		if got, want := controller.node.healthy(), controller.name != "node-1"; got != want {
			t.Errorf("%s healthy: %v", controller.name, got)
		}
	}
}
