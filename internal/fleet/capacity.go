package fleet

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// AvailableMachine is a machine that takes tasks or is about to.
type AvailableMachine struct {
	MachineKind
	ID          string // "" of a machine whose rental is under way
	Shard       int
	MachineType *jobs.MachineType
	Booting     bool
	ReadyIn     time.Duration // how long it should still boot
}

// CouldRun reports whether the machine, if it were empty, may run a task of the job, in a zone
// or, if that is "", in any.
func (m *AvailableMachine) CouldRun(spec *jobs.Spec, zone string) bool {
	return m.MachineType.CanRun(spec) && (spec.Zone == "" || spec.Zone == m.Zone) && (zone == "" || zone == m.Zone) && (spec.Spot || !m.Spot)
}

// EachAvailable calls fn for the machines that take tasks or are about to. What fn is given is
// only valid during the call.
func (f *Fleet) EachAvailable(fn func(*AvailableMachine)) {
	var available AvailableMachine
	for _, m := range f.machines.byID {
		machineType := f.MachineType(m.kind.MachineType)
		if machineType == nil || !f.isAvailable(m) {
			continue
		}
		available = AvailableMachine{MachineKind: m.kind, ID: m.id, Shard: m.shard, MachineType: machineType, Booting: !m.reported}
		if available.Booting {
			available.ReadyIn = max(0, m.rentedAt+bootTime(machineType)-f.runtime.Now())
		}
		fn(&available)
	}
	// Machines whose rental is under way: their names, and so their shards, will be spread
	// evenly.
	for _, request := range f.rentals.inFlight {
		machineType := f.MachineType(request.MachineType)
		for i := 0; machineType != nil && i < request.Number; i++ {
			available = AvailableMachine{
				MachineKind: request.kind(), Shard: i % len(f.shards), MachineType: machineType,
				Booting: true, ReadyIn: bootTime(machineType),
			}
			fn(&available)
		}
	}
}

// isAvailable reports whether a machine takes tasks or is about to.
func (f *Fleet) isAvailable(m *machine) bool {
	if m.release.requested || m.listing.failed || m.drainReason != "" {
		return false
	}
	if m.reported && (!f.hasFreshStatus(m) || !m.status.AcceptsTasks) {
		return false
	}
	return !f.isOverdue(m) && !f.isPartitioned(m.kind.Zone)
}

// emptyMachine returns a machine of a kind with nothing on it.
func (f *Fleet) emptyMachine(kind MachineKind) *AvailableMachine {
	return &AvailableMachine{MachineKind: kind, MachineType: f.MachineType(kind.MachineType)}
}

// tasksOn returns how many tasks of a job an empty machine holds.
func tasksOn(machineType *jobs.MachineType, spec *jobs.Spec) int {
	return spec.Resources().CountIn(machineType.Resources())
}

// LoadSource tells what the tasks placed on machines take.
type LoadSource interface {
	MachineLoad(machineID string) MachineLoad
}

// MachineLoad is what the tasks placed on a machine take, in processors.
type MachineLoad struct {
	CPUs float64 // of all tasks
	// MovableCPUs is of tasks that could run on any spot machine.
	MovableCPUs float64
	// ServiceCPUs is of replicas of services, which do not come free.
	ServiceCPUs float64
	// CPUsByPriority divides CPUs among the priorities of the tasks.
	CPUsByPriority [jobs.PriorityCritical + 1]float64
}

// Below returns the processors taken by tasks of a lower priority.
func (l *MachineLoad) CPUsBelow(priority jobs.Priority) float64 {
	sum := 0.0
	for _, cpus := range l.CPUsByPriority[:priority] {
		sum += cpus
	}
	return sum
}

// kindCapacity is the machines of a kind, up or booting.
type kindCapacity struct {
	cpus    float64     // of all of them
	used    MachineLoad // what their tasks take
	booting []bootingCPUs
}

// bootingCPUs is processors that come up after a while.
type bootingCPUs struct{ cpus, readySeconds float64 }

// add counts a machine, or several that boot together.
func (c *kindCapacity) add(cpus float64, booting bool, readyIn time.Duration) {
	c.cpus += cpus
	if booting {
		c.booting = append(c.booting, bootingCPUs{cpus, readyIn.Seconds()})
	}
}

// workWithin returns what the machines can do of a demand's work within so many seconds, in
// seconds of a processor. What runs there of its priority and above takes half of a task on
// the average until it ends; machines that boot fetch its image, and have their first tasks
// already.
func (c *kindCapacity) workWithin(demand *Demand, fetchSeconds, seconds float64) float64 {
	up := c.cpus
	sum := 0.0
	for _, b := range c.booting {
		up -= b.cpus
		sum += b.cpus * max(0, seconds-b.readySeconds-fetchSeconds-demand.Spec.EstimateSeconds)
	}
	below := c.used.CPUsBelow(demand.Spec.Priority())
	busy := c.used.CPUs - below
	return sum + max(0, up-below)*seconds - busy*min(seconds, demand.Spec.EstimateSeconds/2)
}

// occupied returns the processors that do not come free for a demand: those that run work of
// lower priority, which end at a pace of their own, and replicas of services. Counted as free,
// the latter kept any machine from being rented for a replica that found all of them full of
// others. Lower tasks do make room for a replica, one by one; only when it has waited for half
// a boot that is not counted on any more.
func (c *kindCapacity) occupied(demand *Demand, machineType *jobs.MachineType) float64 {
	if !demand.Spec.IsService() {
		return c.used.CPUsBelow(demand.Spec.Priority())
	}
	if demand.WaitedSeconds < tuning.RentBacklogShare*machineType.BootSeconds {
		return c.used.ServiceCPUs
	}
	return c.used.ServiceCPUs + c.used.CPUsBelow(demand.Spec.Priority())
}

// fleetCapacity is the machines by kind.
type fleetCapacity map[MachineKind]*kindCapacity

// of returns the entry of a kind, made when it is first asked for.
func (c fleetCapacity) of(kind MachineKind) *kindCapacity {
	if c[kind] == nil {
		c[kind] = &kindCapacity{}
	}
	return c[kind]
}

// sumCapacity sums up the available machines by kind.
func (f *Fleet) sumCapacity() fleetCapacity {
	sums := fleetCapacity{}
	f.EachAvailable(func(machine *AvailableMachine) {
		sum := sums.of(machine.MachineKind)
		sum.add(machine.MachineType.CPUs, machine.Booting, machine.ReadyIn)
		load := f.loads.MachineLoad(machine.ID)
		sum.used.CPUs += load.CPUs
		sum.used.ServiceCPUs += load.ServiceCPUs
		for priority, cpus := range load.CPUsByPriority {
			sum.used.CPUsByPriority[priority] += cpus
		}
	})
	return sums
}

// usableCPUs returns the processors that a demand can count on: those of the machines that
// could run it, without what does not come free for it. Lower work on other machines does not
// count: taken off all the same, it left less than nothing for services that may use ordinary
// machines only, and a hundred of these were rented for a single replica.
func (f *Fleet) usableCPUs(demand *Demand, capacity fleetCapacity) float64 {
	sum := 0.0
	for kind, c := range capacity {
		if empty := f.emptyMachine(kind); empty.MachineType != nil && empty.CouldRun(demand.Spec, demand.Zone) {
			sum += max(0, c.cpus-c.occupied(demand, empty.MachineType))
		}
	}
	return sum
}

// workWithin returns the work of a demand's priority that can be done until it has waited for
// so many seconds, on the machines that could run it, up or booting.
func (f *Fleet) workWithin(demand *Demand, capacity fleetCapacity, seconds float64) float64 {
	sum := 0.0
	for kind, c := range capacity {
		empty := f.emptyMachine(kind)
		if empty.MachineType == nil || !empty.CouldRun(demand.Spec, demand.Zone) {
			continue
		}
		fetchSeconds := readySeconds(demand, empty.MachineType) - empty.MachineType.BootSeconds
		sum += max(0, c.workWithin(demand, fetchSeconds, seconds))
	}
	return sum
}

// readySeconds returns how many seconds it takes until a new machine of a type can run a
// demand: its boot and the fetch of the image.
func readySeconds(demand *Demand, machineType *jobs.MachineType) float64 {
	if machineType.ImageGBPerSecond > 0 {
		return machineType.BootSeconds + demand.Spec.ImageGB/machineType.ImageGBPerSecond
	}
	return machineType.BootSeconds
}
