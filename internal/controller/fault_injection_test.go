package controller

import (
	"time"
)

// busy is a machine with tasks, or any.
func (s *simulation) busyWorker(which int) *simWorker {
	list := s.cloud.workers
	for i := range list {
		if worker := list[(which+i)%len(list)]; !worker.dead && len(worker.tasks) > 0 {
			return worker
		}
	}
	if len(list) > 0 && !list[which%len(list)].dead {
		return list[which%len(list)]
	}
	return nil
}

// each does something to so many busy machines.
func (s *simulation) forBusyWorkers(number, which int, fn func(*simWorker)) {
	seen := map[*simWorker]bool{}
	for i := range number {
		if worker := s.busyWorker(which + i); worker != nil && !seen[worker] {
			seen[worker] = true
			fn(worker)
		}
	}
}

// apart cuts a node from the state service and the other nodes, not from workers
// and users.
func (s *simulation) isolate(name string, d time.Duration) {
	others := []string{"state"}
	for _, controller := range s.controllers {
		if controller.name != name {
			others = append(others, controller.name)
		}
	}
	for _, o := range others {
		s.network.partitions[name+"|"+o] = true
	}
	s.after(d, func() {
		for _, o := range others {
			delete(s.network.partitions, name+"|"+o)
		}
	})
}

// trouble is one of them: it lasts from now on for a while.
type fault struct {
	name   string
	inject func(sim *simulation, which int, d time.Duration)
}

var faults = []fault{
	{"leader crashes", func(sim *simulation, which int, d time.Duration) {
		if controller := sim.leader(); controller != nil {
			controller.crash(d / 4)
		}
	}},
	{"owner crashes", func(sim *simulation, which int, d time.Duration) {
		if controller := sim.shardOwner(0); controller != nil {
			controller.crash(d / 4)
		}
	}},
	{"leader back at once", func(sim *simulation, which int, d time.Duration) {
		if controller := sim.leader(); controller != nil {
			controller.crash(time.Duration(100+which*50) * ms)
		}
	}},
	{"all crash, one is back within a second", func(sim *simulation, which int, d time.Duration) {
		for i, controller := range sim.controllers {
			controller.crash(time.Duration(300+which*40)*ms + time.Duration(i)*d/2)
		}
	}},
	{"all are away", func(sim *simulation, which int, d time.Duration) {
		for _, controller := range sim.controllers {
			controller.crash(d)
		}
	}},
	{"leaders change", func(sim *simulation, which int, d time.Duration) {
		for i := range 5 {
			sim.after(time.Duration(i)*d/5, func() {
				if controller := sim.leader(); controller != nil {
					controller.crash(time.Duration(200+which*100) * ms)
				}
			})
		}
	}},
	{"leader refused", func(sim *simulation, which int, d time.Duration) {
		if controller := sim.leader(); controller != nil {
			sim.refuseControllerFor(controller.name, d)
		}
	}},
	{"owner refused", func(sim *simulation, which int, d time.Duration) {
		if controller := sim.shardOwner(0); controller != nil {
			sim.refuseControllerFor(controller.name, d)
		}
	}},
	{"outage", func(sim *simulation, which int, d time.Duration) { sim.outageFor(d) }},
	{"leader apart", func(sim *simulation, which int, d time.Duration) {
		if controller := sim.leader(); controller != nil {
			sim.isolate(controller.name, d)
		}
	}},
	{"owner apart", func(sim *simulation, which int, d time.Duration) {
		if controller := sim.shardOwner(0); controller != nil {
			sim.isolate(controller.name, d)
		}
	}},
	{"slow state", func(sim *simulation, which int, d time.Duration) {
		sim.stateFaults.latency = time.Duration(40+which*10) * ms
		sim.after(d, func() { sim.stateFaults.latency = 0 })
	}},
	{"late writes", func(sim *simulation, which int, d time.Duration) {
		sim.stateFaults.lateCommitShare = 0.3
		sim.after(d, func() { sim.stateFaults.lateCommitShare = 0 })
	}},
	{"unheard writes", func(sim *simulation, which int, d time.Duration) {
		sim.stateFaults.lostAnswerShare = 0.3
		sim.after(d, func() { sim.stateFaults.lostAnswerShare = 0 })
	}},
	{"late reports", func(sim *simulation, which int, d time.Duration) {
		sim.heartbeats.lateCopyShare = 0.3
		sim.after(d, func() { sim.heartbeats.lateCopyShare = 0 })
	}},
	{"reports kept for the next", func(sim *simulation, which int, d time.Duration) {
		sim.heartbeats.retainedShare = 0.3
		sim.after(d, func() { sim.heartbeats.retainedShare = 0 })
	}},
	{"machines hang", func(sim *simulation, which int, d time.Duration) {
		sim.forBusyWorkers(3, which, func(worker *simWorker) { worker.faults.hungUntil = sim.now + d*2/3 })
	}},
	{"machines deaf", func(sim *simulation, which int, d time.Duration) {
		sim.forBusyWorkers(3, which, func(worker *simWorker) {
			worker.faults.deaf = true
			sim.after(d, func() { worker.faults.deaf = false })
		})
	}},
	{"machines mute", func(sim *simulation, which int, d time.Duration) {
		sim.forBusyWorkers(3, which, func(worker *simWorker) { worker.faults.muteUntil = sim.now + d })
	}},
	{"machines cut off", func(sim *simulation, which int, d time.Duration) {
		sim.forBusyWorkers(3, which, func(worker *simWorker) { worker.faults.partitionedUntil = sim.now + d })
	}},
	{"machines die", func(sim *simulation, which int, d time.Duration) {
		sim.forBusyWorkers(2, which, func(worker *simWorker) { worker.die() })
	}},
	{"workers cut from the owner", func(sim *simulation, which int, d time.Duration) {
		if controller := sim.shardOwner(0); controller != nil {
			sim.network.partitions["workers|"+controller.name] = true
			sim.after(d, func() { delete(sim.network.partitions, "workers|"+controller.name) })
		}
	}},
	{"jobs called off", func(sim *simulation, which int, d time.Duration) { sim.cancelRunningJobs(1 + which) }},
	{"jobs called off for a while", func(sim *simulation, which int, d time.Duration) {
		for i := range 6 {
			sim.after(time.Duration(i)*d/6, func() { sim.cancelRunningJobs(1) })
		}
	}},
	{"orders held up", func(sim *simulation, which int, d time.Duration) {
		sim.network.lateShare = 0.05
		sim.after(d, func() { sim.network.lateShare = 0 })
	}},
}

// doing finds a trouble by its name.
func faultNamed(name string) func(sim *simulation, which int, d time.Duration) {
	for _, t := range faults {
		if t.name == name {
			return t.inject
		}
	}
	panic("no trouble " + name)
}
