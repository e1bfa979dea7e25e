package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/tuning"
)

// longestHarmlessOutage is the longest outage of the state service that surely ends no
// task: owners answer workers until their lease and the answer grace period after it run
// out, or their knowledge of cancellations is too old; a worker's lease then runs from its
// last answered heartbeat, and after the outage an owner needs a moment until it answers
// again.
func (s *simulation) longestHarmlessOutage() time.Duration {
	const recovery = 3500 * millisecond // a verification, a renewal, and the next heartbeats
	byLease := tuning.LeaseTTL - tuning.LeaseRenewInterval - tuning.LeaseMargin + s.settings.AnswerGracePeriod()
	byKnowledge := s.settings.MaxKnowledgeAge() - tuning.KnowledgeVerifyInterval
	return min(byLease, byKnowledge) + s.settings.WorkerLease() - s.settings.HeartbeatInterval()*5/4 - recovery
}

// TestOutageEndsNoReplica: an outage just below longestHarmlessOutage ends no replica,
// whatever the moment at which it begins. One that is longer than any answer and lease may
// end all of them, and breaks no rule even when services are cancelled meanwhile.
func TestOutageEndsNoReplica(t *testing.T) {
	for _, test := range []struct {
		name    string
		longer  time.Duration
		survive bool
	}{
		{"just below", 0, true},
		{"above", tuning.LeaseRenewInterval + 12*second, false},
	} {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprint(test.name, " seed ", seed), func(t *testing.T) {
				sim := newSimulation(seed)
				begin := 25*second + time.Duration(seed)*500*millisecond
				end := begin + sim.longestHarmlessOutage() + test.longer
				replicas, ended := sim.playOutageOfServices(begin, end, !test.survive)
				if replicas != 12 {
					t.Errorf("%d replicas run when the outage begins, not 12", replicas)
				}
				if test.survive && ended > 0 {
					t.Errorf("an outage of %v ends the session of %d workers", end-begin, ended)
				}
				if !test.survive && ended == 0 {
					t.Errorf("an outage of %v ends no session: the formula is too short", end-begin)
				}
				sim.cancelServicesAt(10 * second)
				sim.runUntil(end + 150*second)
				sim.checkRulesAndCompletion(t)
			})
		}
	}
}

// playOutageOfServices plays six services and an outage, until 15 s after it. It returns
// how many replicas ran when the outage began, and how many workers' sessions have ended.
func (s *simulation) playOutageOfServices(begin, end time.Duration, cancel bool) (replicas, ended int) {
	for i := range 6 {
		job := newJob(jobSpec{id: jobID(i), team: teamOf(i), tasks: 2, cpus: 1, service: true, urgent: true})
		s.schedule(time.Duration(i)*second, func() { s.submitAndPoll(job, 0) })
	}
	s.schedule(begin, func() { s.outageFor(end - begin) })
	s.schedule(end-5*second, func() {
		if cancel {
			s.cancelRunningJobs(2)
		}
	})
	s.schedule(begin, func() {
		for _, worker := range s.workers {
			replicas += len(worker.tasks)
		}
	})
	s.schedule(end+20*second, func() { s.startRecoveryChecks(75 * second) })
	s.runUntil(end + 15*second)
	for _, worker := range s.workers {
		if worker.session > 1 && !worker.dead {
			ended++
		}
	}
	return replicas, ended
}

// TestSharedOutageKeepsNodesHealthy: in an outage of the state service the nodes stay
// healthy, since none is better than another; a node that is refused alone does
// not.
func TestSharedOutageKeepsNodesHealthy(t *testing.T) {
	sim := newSimulation(4)
	sim.runUntil(20 * time.Second)
	sim.stateFaults.outage = true
	sim.runUntil(32 * time.Second)
	for _, controller := range sim.controllers {
		if !controller.node.isHealthy() {
			t.Errorf("%s is unhealthy in an outage that all share", controller.name)
		}
	}
	sim.stateFaults.outage = false
	sim.runUntil(40 * time.Second)
	sim.network.partitions["node-1|state"] = true
	sim.runUntil(55 * time.Second)
	for _, controller := range sim.controllers {
		if got, want := controller.node.isHealthy(), controller.name != "node-1"; got != want {
			t.Errorf("%s healthy: %v", controller.name, got)
		}
	}
}
