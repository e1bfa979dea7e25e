package controller

import (
	"time"
)

// refusalThenOutage is the meeting that broke most rules when it was first simulated: the
// state service refuses one controller alone, others confirm cancellations, then it is down
// for all, while workers keep reporting to the old owner.
func refusalThenOutage(refused func(*simulation) *simController, before, outage time.Duration, with ...faultName) func(*simulation, int) func() bool {
	return func(sim *simulation, seed int) func() bool {
		sim.checker.commandsPrompt = true
		sim.submitMixedJobs(14, 70*second)
		const refusedAt = 20 * second
		sim.schedule(refusedAt-second, func() { sim.cancelRunningJobs(2) })
		sim.schedule(refusedAt, func() {
			sim.refuseControllerFor(refused(sim).name, 14*second)
			for i, name := range with {
				sim.inject(name, seed+i, 25*second)
			}
		})
		sim.schedule(refusedAt+before/4, func() { sim.cancelRunningJobs(8) })
		sim.schedule(refusedAt+before, func() { sim.outageFor(outage) })
		sim.schedule(refusedAt+before+100*millisecond, func() { sim.cancelRunningJobs(1) })
		sim.schedule(refusedAt+before+outage+100*millisecond, func() { sim.cancelRunningJobs(1) })
		sim.cancelServicesAt(refusedAt + before + outage + 40*second)
		return func() bool { return sim.cancelledBetween(refusedAt, refusedAt+before) >= 2 }
	}
}

// refusalScenarios are those of refusalThenOutage.
var refusalScenarios = []scenario{
	{"state service refuses the leader, then is down for longer than cancel_s", refusalThenOutage((*simulation).leader, 2*second, 77*second)},
	{"state service refuses the owner, then is down for longer than cancel_s", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 77*second)},
	{"state service refuses the owner, then is down for a bit less than a lease", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 11*second)},
	{"state service refuses the owner, then is down for a bit more than a lease", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 13*second)},
	{"state service refuses the owner, then is down for a bit less than cancel_s", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 43*second)},
	{"state service refuses the owner, then is down for a bit more than cancel_s", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 47*second)},
	{"state service refuses the owner, and is down until the refusal ends", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 12*second)},
	{"state service refuses the owner, and is down for a while within that time", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 8*second)},
	{"state service refuses the owner, and is down from just before the refusal ends", refusalThenOutage((*simulation).ownerOfShard0, 13*second, 50*second)},
	{"state service refuses the owner while machines hang, then is down", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 50*second, machinesHang)},
	{"state service refuses the owner while workers are deaf, then is down", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 50*second, workersReceiveNothing)},
	{"state service refuses the owner while workers reach no controller, then is down", refusalThenOutage((*simulation).ownerOfShard0, 2*second, 50*second, workersReachNoController)},
	{"state service refuses the owner during cancellations, then is down a second later", refusalThenOutage((*simulation).ownerOfShard0, second, 50*second)},
}
