package fleet

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// bootTime is how long a machine of a type should take to boot.
func bootTime(t *jobs.MachineType) time.Duration {
	return time.Duration(t.BootSeconds * float64(time.Second))
}

// capacity is the machines of a kind, up or booting.
type capacity struct {
	cpus    float64     // of all of them
	used    MachineLoad // what their tasks take
	booting []bootingCPUs
}

// bootingCPUs is processors that come up after a while, in seconds.
type bootingCPUs struct{ cpus, ready float64 }

// work is what the machines can do of a need's work within so many seconds, in seconds
// of a processor. What runs there of its priority and above takes half of a task on the
// average until it ends; machines that boot fetch its image, and have their first tasks
// already.
func (c *capacity) work(n *Demand, fetch, within float64) float64 {
	up := c.cpus
	sum := 0.0
	for _, b := range c.booting {
		up -= b.cpus
		sum += b.cpus * max(0, within-b.ready-fetch-n.Spec.EstimateSeconds)
	}
	below := c.used.Below(n.Spec.Priority())
	busy := c.used.CPUs - below
	return sum + max(0, up-below)*within - busy*min(within, n.Spec.EstimateSeconds/2)
}

// servable is the work that can be done of a need's priority until it has waited for so
// many seconds, on the machines that could run it, up or booting.
func (f *Fleet) servable(n *Demand, have capacities, within float64) float64 {
	sum := 0.0
	for kind, c := range have {
		if room := f.empty(kind); room.MachineType != nil && room.CouldRun(n.Spec, n.Zone) {
			sum += max(0, c.work(n, f.ready(n, room.MachineType)-room.MachineType.BootSeconds, within))
		}
	}
	return sum
}

// add counts a machine, or several that boot together.
func (c *capacity) add(cpus float64, booting bool, ready time.Duration) {
	c.cpus += cpus
	if booting {
		c.booting = append(c.booting, bootingCPUs{cpus, ready.Seconds()})
	}
}

// capacities is the machines by kind.
type capacities map[MachineKind]*capacity

// at is the entry of a kind, made when it is first asked for.
func (c capacities) at(kind MachineKind) *capacity {
	if c[kind] == nil {
		c[kind] = &capacity{}
	}
	return c[kind]
}

// capacities sums up the machines by kind.
func (f *Fleet) capacities() capacities {
	sums := capacities{}
	f.EachAvailable(func(r *AvailableMachine) {
		c := sums.at(r.MachineKind)
		c.add(r.MachineType.CPUs, r.Booting, r.ReadyIn)
		load := f.loads.MachineLoad(r.ID)
		c.used.CPUs += load.CPUs
		c.used.Services += load.Services
		for priority, cpus := range load.ByPriority {
			c.used.ByPriority[priority] += cpus
		}
	})
	return sums
}

// available is the processors that a need can count on: those of the machines that
// could run it, without what does not come free for it. Lower work on other machines
// does not count: taken off all the same, it left less than nothing for services that
// may use ordinary machines only, and a hundred of these were rented for a single
// replica.
func (f *Fleet) available(n *Demand, have capacities) float64 {
	sum := 0.0
	for kind, c := range have {
		if room := f.empty(kind); room.MachineType != nil && room.CouldRun(n.Spec, n.Zone) {
			sum += max(0, c.cpus-c.occupied(n, room.MachineType))
		}
	}
	return sum
}

// occupied is the processors that do not come free for a need: those that run work of
// lower priority, which end at a pace of their own, and replicas of services. Counted
// as free, the latter kept any machine from being rented for a replica that found all
// of them full of others. Lower tasks do make room for a replica, one by one; only when
// it has waited for half a boot that is not counted on any more.
func (c *capacity) occupied(n *Demand, t *jobs.MachineType) float64 {
	if !n.Spec.IsService() {
		return c.used.Below(n.Spec.Priority())
	}
	if n.WaitedSeconds < tuning.RentBacklogShare*t.BootSeconds {
		return c.used.Services
	}
	return c.used.Services + c.used.Below(n.Spec.Priority())
}
