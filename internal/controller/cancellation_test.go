package controller

import "testing"

// TestCancellationThatTheOwnerDoesNotHearStartsNothing guards against launches on old knowledge:
// the owner and the leader go on while their watches of the jobs report nothing, and tasks that
// wait for room belong to jobs that users cancel through other controllers.
func TestCancellationThatTheOwnerDoesNotHearStartsNothing(t *testing.T) {
	cancelled := 0
	for seed := range uint64(6) {
		sim := newSimulation(seed + 1)
		sim.cloud.available = 3
		for i := range 14 {
			job := newJob(jobSpec{
				id: jobID(i), team: teamOf(i), tasks: 4, cpus: 1, spot: true, urgent: true,
				runTime: 3 * second, runTimeStep: 900 * millisecond,
			})
			sim.schedule(second, func() { sim.submitAndPoll(job, 0) })
		}
		sim.runUntil(9 * second)
		sim.inject(cancelledUnheard, 0, 8*second)
		sim.runUntil(16 * second)
		cancelled += sim.cancelledBetween(9*second, 16*second)
		sim.runUntil(150 * second)
		sim.checkRulesAndCompletion(t)
		if sim.checker.startsCancelled > 0 {
			t.Errorf("seed %d: %d tasks started after the cancellation of their job, want 0", seed+1, sim.checker.startsCancelled)
		}
	}
	if cancelled == 0 {
		t.Error("no cancellation was confirmed while the owner did not hear of it")
	}
}
