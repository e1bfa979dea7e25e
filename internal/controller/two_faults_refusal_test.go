package controller

import (
	"time"
)

// refusalThenOutage returns the schedule function of a scenario: the state service refuses
// only the target controller, other controllers confirm cancellations, then the state service
// is down for all, while workers still report to the old owner. The outage begins outageDelay
// after the refusal and lasts for outage; otherFaults are injected with the refusal. This
// combination is the one that broke the most rules when it was first simulated.
func refusalThenOutage(target func(*simulation) *simController, outageDelay, outage time.Duration, otherFaults ...faultName) func(*simulation, int) func() bool {
	return func(sim *simulation, seed int) func() bool {
		sim.checker.commandsPrompt = true
		sim.submitMixedJobs(14, 70*second)
		const refusedAt = 20 * second
		sim.schedule(refusedAt-second, func() { sim.cancelRunningJobs(2) })
		sim.schedule(refusedAt, func() {
			sim.refuseControllerFor(target(sim).name, 14*second)
			for i, name := range otherFaults {
				sim.inject(name, seed+i, 25*second)
			}
		})
		sim.schedule(refusedAt+outageDelay/4, func() { sim.cancelRunningJobs(8) })
		sim.schedule(refusedAt+outageDelay, func() { sim.outageFor(outage) })
		sim.schedule(refusedAt+outageDelay+100*millisecond, func() { sim.cancelRunningJobs(1) })
		sim.schedule(refusedAt+outageDelay+outage+100*millisecond, func() { sim.cancelRunningJobs(1) })
		sim.cancelServicesAt(refusedAt + outageDelay + outage + 40*second)
		return func() bool { return sim.cancelledBetween(refusedAt, refusedAt+outageDelay) >= 2 }
	}
}

// refusalScenarios are the scenarios made by refusalThenOutage.
var refusalScenarios = []scenario{
	{"state service refuses the leader, then is down for longer than cancel_s", refusalThenOutage((*simulation).leader, 2*second, 77*second)},
	{"state service refuses the owner, then is down for longer than cancel_s", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 77*second)},
	{"state service refuses the owner, then is down for a bit less than a lease", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 11*second)},
	{"state service refuses the owner, then is down for a bit more than a lease", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 13*second)},
	{"state service refuses the owner, then is down for a bit less than cancel_s", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 43*second)},
	{"state service refuses the owner, then is down for a bit more than cancel_s", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 47*second)},
	{"state service refuses the owner, and is down until the refusal ends", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 12*second)},
	{"state service refuses the owner, and is down for a part of the refusal", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 8*second)},
	{"state service refuses the owner, and is down from just before the refusal ends", refusalThenOutage((*simulation).ownerOfShard0, 13*second, 50*second)},
	{"state service refuses the owner while machines hang, then is down", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 50*second, machinesHang)},
	{"state service refuses the owner while workers are unreachable, then is down", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 50*second, workersReceiveNothing)},
	{"state service refuses the owner while workers reach no controller, then is down", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 50*second, workersReachNoController)},
	{"state service refuses the owner during cancellations, then is down a second later", refusalThenOutage((*simulation).ownerOfShard0, second, 50*second)},
}
