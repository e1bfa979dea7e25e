package controller

import (
	"fmt"
	"time"

	"lemonmoor/internal/userapi"
)

// The faults that are drawn at random or combined in scenarios. Each lasts for a duration from
// its injection on. Faults of single messages, given as shares of all messages, are in
// networkFaults, stateFaults and heartbeatFaults.

// faultName is the name of a fault in the table faults.
type faultName string

const (
	leaderCrashes             faultName = "leader crashes"
	ownerCrashes              faultName = "owner crashes"
	leaderRestartsAtOnce      faultName = "leader restarts at once"
	allCrashOneRestarts       faultName = "all controllers crash, one is back within a second"
	allControllersDown        faultName = "all controllers are down"
	leaderChangesRepeatedly   faultName = "leader changes five times"
	stateRefusesLeader        faultName = "state service refuses the leader"
	stateRefusesOwner         faultName = "state service refuses the owner"
	stateOutage               faultName = "state service is down"
	leaderIsolated            faultName = "leader is isolated from state service and peers"
	ownerIsolated             faultName = "owner is isolated from state service and peers"
	stateSlow                 faultName = "state service is slow"
	commitsLate               faultName = "transactions are applied late"
	commitAnswersLost         faultName = "answers to transactions are lost"
	heartbeatCopiesLate       faultName = "copies of heartbeats arrive late"
	heartbeatCopiesAtTakeover faultName = "copies of heartbeats arrive when a lease changes hands"
	machinesHang              faultName = "machines hang"
	workersReceiveNothing     faultName = "workers receive nothing"
	workersReachNoController  faultName = "workers reach no controller"
	machinesPartitioned       faultName = "machines are partitioned"
	machinesDie               faultName = "machines die"
	workersCutFromOwner       faultName = "workers are partitioned from the owner"
	jobsCancelled             faultName = "jobs are cancelled"
	jobsCancelledRepeatedly   faultName = "jobs are cancelled one after the other"
	commandsDelayed           faultName = "commands are delayed"
	commandsCopied            faultName = "copies of executed commands arrive later"
	machinesFailTasks         faultName = "machines fail their tasks"
	cancelledUnheard          faultName = "jobs are cancelled while owner and leader do not hear of it"
	linksHeld                 faultName = "links to machines hold messages back"
)

// fault is a fault that can be injected into a simulation.
type fault struct {
	name   faultName
	inject func(sim *simulation, drawn injection)
}

// injection is one occurrence of a fault.
type injection struct {
	variant  int // selects a machine, a count or a duration, depending on the fault
	duration time.Duration
}

// faults are all faults. Random days select them by index, so their order determines what a seed
// draws.
var faults = []fault{
	{leaderCrashes, func(sim *simulation, drawn injection) {
		if controller := sim.leader(); controller != nil {
			controller.crash(drawn.duration / 4)
		}
	}},
	{ownerCrashes, func(sim *simulation, drawn injection) {
		if controller := sim.ownerOfShard0(); controller != nil {
			controller.crash(drawn.duration / 4)
		}
	}},
	{leaderRestartsAtOnce, func(sim *simulation, drawn injection) {
		if controller := sim.leader(); controller != nil {
			controller.crash(time.Duration(100+drawn.variant*50) * millisecond)
		}
	}},
	{allCrashOneRestarts, func(sim *simulation, drawn injection) {
		for i, controller := range sim.controllers {
			controller.crash(time.Duration(300+drawn.variant*40)*millisecond + time.Duration(i)*drawn.duration/2)
		}
	}},
	{allControllersDown, func(sim *simulation, drawn injection) {
		for _, controller := range sim.controllers {
			controller.crash(drawn.duration)
		}
	}},
	{leaderChangesRepeatedly, func(sim *simulation, drawn injection) {
		for i := range 5 {
			sim.schedule(time.Duration(i)*drawn.duration/5, func() {
				if controller := sim.leader(); controller != nil {
					controller.crash(time.Duration(200+drawn.variant*100) * millisecond)
				}
			})
		}
	}},
	{stateRefusesLeader, func(sim *simulation, drawn injection) {
		if controller := sim.leader(); controller != nil {
			sim.refuseControllerFor(controller.name, drawn.duration)
		}
	}},
	{stateRefusesOwner, func(sim *simulation, drawn injection) {
		if controller := sim.ownerOfShard0(); controller != nil {
			sim.refuseControllerFor(controller.name, drawn.duration)
		}
	}},
	{stateOutage, func(sim *simulation, drawn injection) { sim.outageFor(drawn.duration) }},
	{leaderIsolated, func(sim *simulation, drawn injection) {
		if controller := sim.leader(); controller != nil {
			sim.isolate(controller.name, drawn.duration)
		}
	}},
	{ownerIsolated, func(sim *simulation, drawn injection) {
		if controller := sim.ownerOfShard0(); controller != nil {
			sim.isolate(controller.name, drawn.duration)
		}
	}},
	{stateSlow, func(sim *simulation, drawn injection) {
		sim.stateFaults.latency = time.Duration(40+drawn.variant*10) * millisecond
		sim.schedule(drawn.duration, func() { sim.stateFaults.latency = 0 })
	}},
	{commitsLate, func(sim *simulation, drawn injection) {
		sim.stateFaults.lateCommitShare = 0.3
		sim.schedule(drawn.duration, func() { sim.stateFaults.lateCommitShare = 0 })
	}},
	{commitAnswersLost, func(sim *simulation, drawn injection) {
		sim.stateFaults.lostAnswerShare = 0.3
		sim.schedule(drawn.duration, func() { sim.stateFaults.lostAnswerShare = 0 })
	}},
	{heartbeatCopiesLate, func(sim *simulation, drawn injection) {
		sim.heartbeats.lateCopyShare = 0.3
		sim.schedule(drawn.duration, func() { sim.heartbeats.lateCopyShare = 0 })
	}},
	{heartbeatCopiesAtTakeover, func(sim *simulation, drawn injection) {
		sim.heartbeats.retainedShare = 0.3
		sim.schedule(drawn.duration, func() { sim.heartbeats.retainedShare = 0 })
	}},
	{machinesHang, func(sim *simulation, drawn injection) {
		sim.forBusyWorkers(3*sim.faultScale, drawn.variant, func(worker *simWorker) { worker.faults.unresponsiveUntil = sim.now + drawn.duration*2/3 })
	}},
	{workersReceiveNothing, func(sim *simulation, drawn injection) {
		sim.forBusyWorkers(3*sim.faultScale, drawn.variant, func(worker *simWorker) {
			worker.faults.inboundBlocked = true
			sim.schedule(drawn.duration, func() { worker.faults.inboundBlocked = false })
		})
	}},
	{workersReachNoController, func(sim *simulation, drawn injection) {
		sim.forBusyWorkers(3*sim.faultScale, drawn.variant, func(worker *simWorker) { worker.faults.outboundBlockedUntil = sim.now + drawn.duration })
	}},
	{machinesPartitioned, func(sim *simulation, drawn injection) {
		sim.forBusyWorkers(3*sim.faultScale, drawn.variant, func(worker *simWorker) { worker.faults.partitionedUntil = sim.now + drawn.duration })
	}},
	{machinesDie, func(sim *simulation, drawn injection) {
		sim.forBusyWorkers(2*sim.faultScale, drawn.variant, func(worker *simWorker) { worker.die() })
	}},
	{workersCutFromOwner, func(sim *simulation, drawn injection) {
		if controller := sim.ownerOfShard0(); controller != nil {
			sim.network.partitions["workers|"+controller.name] = true
			sim.schedule(drawn.duration, func() { delete(sim.network.partitions, "workers|"+controller.name) })
		}
	}},
	{jobsCancelled, func(sim *simulation, drawn injection) { sim.cancelRunningJobs(1 + drawn.variant) }},
	{jobsCancelledRepeatedly, func(sim *simulation, drawn injection) {
		for i := range 6 {
			sim.schedule(time.Duration(i)*drawn.duration/6, func() { sim.cancelRunningJobs(1) })
		}
	}},
	{commandsDelayed, func(sim *simulation, drawn injection) {
		sim.network.lateShare = 0.05
		sim.schedule(drawn.duration, func() { sim.network.lateShare = 0 })
	}},
	{commandsCopied, func(sim *simulation, drawn injection) {
		sim.commandCopies.share = 0.6
		sim.schedule(drawn.duration, func() { sim.commandCopies.share = 0 })
	}},
	{machinesFailTasks, func(sim *simulation, drawn injection) {
		sim.forBusyWorkers(3*sim.faultScale, drawn.variant, func(worker *simWorker) {
			worker.faults.failsTasks = true
			sim.schedule(min(drawn.duration, 5*second), func() { worker.faults.failsTasks = false })
		})
	}},
	{cancelledUnheard, func(sim *simulation, drawn injection) {
		sim.silenceWatches(userapi.KeyPrefix, min(drawn.duration, 8*second), sim.ownerOfShard0(), sim.leader())
		sim.cancelRunningJobs(1 + drawn.variant)
		sim.cancelWaitingJobs(12)
	}},
	{linksHeld, func(sim *simulation, drawn injection) {
		// Several holds, since a short one between two reports is what delivers both together.
		for i := range 4 {
			sim.schedule(time.Duration(i)*drawn.duration/4, func() {
				sim.forBusyWorkers(3*sim.faultScale, drawn.variant+i, func(worker *simWorker) { worker.holdLink(drawn.variant+i, drawn.duration/5) })
			})
		}
	}},
}

// inject injects a fault now.
func (s *simulation) inject(name faultName, variant int, duration time.Duration) {
	for _, fault := range faults {
		if fault.name == name {
			fault.inject(s, injection{variant, duration})
			return
		}
	}
	panic(fmt.Sprintf("no fault %q in the table", name))
}

// busyWorker returns a worker with tasks; the search starts at the index variant. If none has
// tasks, it returns the worker at this index, or nil if that is dead.
func (s *simulation) busyWorker(variant int) *simWorker {
	workers := s.cloud.workers
	for i := range workers {
		if worker := workers[(variant+i)%len(workers)]; !worker.dead && len(worker.tasks) > 0 {
			return worker
		}
	}
	if len(workers) > 0 && !workers[variant%len(workers)].dead {
		return workers[variant%len(workers)]
	}
	return nil
}

// forBusyWorkers calls fn for up to limit different busy workers; see busyWorker for variant.
func (s *simulation) forBusyWorkers(limit, variant int, fn func(*simWorker)) {
	seen := map[*simWorker]bool{}
	for i := range limit {
		if worker := s.busyWorker(variant + i); worker != nil && !seen[worker] {
			seen[worker] = true
			fn(worker)
		}
	}
}

// isolate partitions a controller from the state service and the other controllers for a
// duration, but not from workers and users.
func (s *simulation) isolate(name string, duration time.Duration) {
	others := []string{"state"}
	for _, controller := range s.controllers {
		if controller.name != name {
			others = append(others, controller.name)
		}
	}
	for _, other := range others {
		s.network.partitions[name+"|"+other] = true
	}
	s.schedule(duration, func() {
		for _, other := range others {
			delete(s.network.partitions, name+"|"+other)
		}
	})
}
