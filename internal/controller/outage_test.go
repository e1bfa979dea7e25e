package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/tuning"
)

// longestHarmlessOutage returns the longest outage of the state service that is guaranteed to
// end no task. Owners answer workers until the end of the answer grace period, which follows
// their lease, or until their knowledge of cancellations is too old, whichever is earlier. A
// worker's lease then runs from its last answered heartbeat. After the outage an owner needs up
// to recovery until it answers again.
func (s *simulation) longestHarmlessOutage() time.Duration {
	const recovery = 3500 * millisecond // a verification, a renewal, and the next heartbeats
	byLease := tuning.LeaseTTL - tuning.LeaseRenewInterval - tuning.LeaseMargin + s.settings.AnswerGracePeriod()
	byKnowledge := s.settings.MaxKnowledgeAge() - tuning.KnowledgeVerifyInterval
	return min(byLease, byKnowledge) + s.settings.WorkerLease() - s.settings.HeartbeatInterval()*5/4 - recovery
}

// TestOutageEndsNoReplica checks that an outage just below longestHarmlessOutage ends no
// replica, at any of several moments at which it begins. An outage that exceeds all leases and
// grace periods ends the session of at least one worker and may end all replicas, but breaks no
// rule, also when services are cancelled during it.
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
				replicas, endedSessions := sim.runServicesThroughOutage(begin, end, !test.survive)
				if replicas != 12 {
					t.Errorf("%d replicas run when the outage begins, want 12", replicas)
				}
				if test.survive && endedSessions > 0 {
					t.Errorf("an outage of %v ends the sessions of %d workers, want 0", end-begin, endedSessions)
				}
				if !test.survive && endedSessions == 0 {
					t.Errorf("an outage of %v ends no session: longestHarmlessOutage is too short", end-begin)
				}
				sim.cancelServicesAt(10 * second)
				sim.runUntil(end + 150*second)
				sim.checkRulesAndCompletion(t)
			})
		}
	}
}

// runServicesThroughOutage runs six services and an outage until 15 s after its end. It returns
// the number of replicas that ran when the outage began, and the number of live workers whose first
// session has ended. If cancel is set, two running services are cancelled 5 s before the end of
// the outage.
func (s *simulation) runServicesThroughOutage(begin, end time.Duration, cancel bool) (replicas, endedSessions int) {
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
	s.schedule(end+20*second, func() { s.startRecoveryChecks() })
	s.runUntil(end + 15*second)
	for _, worker := range s.workers {
		if worker.session > 1 && !worker.dead {
			endedSessions++
		}
	}
	return replicas, endedSessions
}

// TestSharedOutageKeepsNodesHealthy checks that all nodes stay healthy in an outage of the state
// service, since no node is better placed than another, and that a node that is the only one
// without access to the state service becomes unhealthy.
func TestSharedOutageKeepsNodesHealthy(t *testing.T) {
	sim := newSimulation(4)
	sim.runUntil(20 * time.Second)
	sim.stateFaults.outage = true
	sim.runUntil(32 * time.Second)
	for _, controller := range sim.controllers {
		if !controller.node.isHealthy() {
			t.Errorf("%s is unhealthy in an outage of the state service that affects all nodes", controller.name)
		}
	}
	sim.stateFaults.outage = false
	sim.runUntil(40 * time.Second)
	sim.network.partitions["node-1|state"] = true
	sim.runUntil(55 * time.Second)
	for _, controller := range sim.controllers {
		if got, want := controller.node.isHealthy(), controller.name != "node-1"; got != want {
			t.Errorf("%s healthy: %v, want %v, while only node-1 cannot reach the state service", controller.name, got, want)
		}
	}
}
