package fleet

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// AvailableMachine is a machine that accepts tasks, or will once it has booted.
type AvailableMachine struct {
	MachineKind
	ID          string // "" for a machine whose rental is in flight
	Shard       int
	MachineType *jobs.MachineType
	Booting     bool
	ReadyIn     time.Duration // expected remaining boot time
	Hold        workers.Hold  // by its shard's owner
	Reserved    resource.Vector
}

// Accepts reports whether the machine's owner places tasks of a job on it now, as far as holds and
// the job's backoff are concerned.
func (m *AvailableMachine) Accepts(spec *jobs.Spec, backoff *Backoff, now time.Duration) bool {
	return m.Hold.AcceptsJob(spec.ID, spec.Priority()) && !backoff.IsPaused(now) && !backoff.Avoids(m.ID, now)
}

// CouldRun reports whether the machine, if it were empty, could run a task of the job in the
// given zone; "" stands for any zone.
func (m *AvailableMachine) CouldRun(spec *jobs.Spec, zone string) bool {
	return m.MachineType.CanRun(spec) && (spec.Zone == "" || spec.Zone == m.Zone) && (zone == "" || zone == m.Zone) && (spec.Spot || !m.Spot)
}

// EachAvailable calls fn for each machine that accepts tasks, or will once it has booted. The
// argument of fn is valid only during the call.
func (f *Fleet) EachAvailable(fn func(*AvailableMachine)) {
	var available AvailableMachine
	for _, machine := range f.machines.byID {
		machineType := f.MachineType(machine.kind.MachineType)
		if machineType == nil || !f.isAvailable(machine) {
			continue
		}
		available = AvailableMachine{MachineKind: machine.kind, ID: machine.id, Shard: machine.shard, MachineType: machineType, Booting: !machine.reported}
		if !available.Booting {
			available.Hold, available.Reserved = machine.status.hold(), machine.status.reserved()
		} else {
			available.ReadyIn = max(0, machine.rentedAt+bootTime(machineType)-f.runtime.Now())
		}
		fn(&available)
	}
	// Machines whose rental is in flight have no IDs yet. The IDs determine the shards and
	// will be spread evenly over them.
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

// isAvailable reports whether a machine accepts tasks, or will once it has booted.
func (f *Fleet) isAvailable(m *machine) bool {
	if m.release.requested || m.listing.failed || m.drainReason != "" {
		return false
	}
	if m.reported && (!f.hasFreshStatus(m) || !m.status.AcceptsTasks) {
		return false
	}
	return !f.isOverdue(m) && !f.isPartitioned(m.kind.Zone)
}

// emptyMachine returns a machine of a kind without tasks. Its MachineType is nil if the type is
// not known.
func (f *Fleet) emptyMachine(kind MachineKind) *AvailableMachine {
	return &AvailableMachine{MachineKind: kind, MachineType: f.MachineType(kind.MachineType)}
}

// tasksOn returns the number of tasks of a job that fit on an empty machine of a type.
func tasksOn(machineType *jobs.MachineType, spec *jobs.Spec) int {
	return spec.Resources().CountIn(machineType.Resources())
}

// LoadSource reports the load of the tasks placed on machines.
type LoadSource interface {
	MachineLoad(machineID string) MachineLoad
}

// MachineLoad is the number of processors allocated to the tasks placed on a machine.
type MachineLoad struct {
	CPUs float64 // all tasks
	// MovableCPUs is the part of tasks that could run on any spot machine.
	MovableCPUs float64
	// ServiceCPUs is the part of replicas of services, which do not end by themselves.
	ServiceCPUs float64
	// CPUsByPriority is CPUs by the priority of the tasks.
	CPUsByPriority [jobs.PriorityCritical + 1]float64
}

// CPUsBelow returns the processors allocated to tasks of a priority lower than the given one.
func (l *MachineLoad) CPUsBelow(priority jobs.Priority) float64 {
	sum := 0.0
	for _, cpus := range l.CPUsByPriority[:priority] {
		sum += cpus
	}
	return sum
}

// kindCapacity is the capacity and load of the machines of one kind, up or booting.
type kindCapacity struct {
	cpus    float64     // processors of all machines, including those that boot
	used    MachineLoad // sum of the loads
	booting []bootingCPUs
}

// bootingCPUs is a number of processors that will be up in readySeconds.
type bootingCPUs struct{ cpus, readySeconds float64 }

// add adds the processors of one machine, or of several that boot together.
func (c *kindCapacity) add(cpus float64, booting bool, readyIn time.Duration) {
	c.cpus += cpus
	if booting {
		c.booting = append(c.booting, bootingCPUs{cpus, readyIn.Seconds()})
	}
}

// without returns the capacity without a machine that is up and its load.
func (c *kindCapacity) without(cpus float64, load MachineLoad) *kindCapacity {
	remaining := *c
	remaining.cpus -= cpus
	remaining.used.CPUs -= load.CPUs
	remaining.used.ServiceCPUs -= load.ServiceCPUs
	for priority, used := range load.CPUsByPriority {
		remaining.used.CPUsByPriority[priority] -= used
	}
	return &remaining
}

// workWithin returns the work that the machines can do for a demand within a number of seconds,
// in processor seconds; it may be negative. Running tasks of its priority and above are assumed
// to occupy their processors for half of the demand's estimated run time on average. Machines
// that boot must also fetch the image, and are assumed to be occupied with their first tasks
// for one estimated run time.
func (c *kindCapacity) workWithin(demand *Demand, fetchSeconds, seconds float64) float64 {
	up := c.cpus
	sum := 0.0
	for _, b := range c.booting {
		up -= b.cpus
		sum += b.cpus * max(0, seconds-b.readySeconds-fetchSeconds-demand.Spec.EstimateSeconds)
	}
	lowerPriorityCPUs := c.used.CPUsBelow(demand.Spec.Priority())
	busyCPUs := c.used.CPUs - lowerPriorityCPUs
	return sum + max(0, up-lowerPriorityCPUs)*seconds - busyCPUs*min(seconds, demand.Spec.EstimateSeconds/2)
}

// occupied returns the processors that a demand cannot count on. For a job that is no service
// they are those of tasks of lower priority, which end independently of the demand. For a
// service they are those of replicas, which do not end by themselves: if they were counted as
// free, no machine would be rented for a replica when all machines are full of other replicas.
// Tasks of lower priority make room for a replica one by one, so their processors count as
// occupied for it only once it has waited for tuning.RentBacklogShare of a boot.
func (c *kindCapacity) occupied(demand *Demand, machineType *jobs.MachineType) float64 {
	if !demand.Spec.IsService() {
		return c.used.CPUsBelow(demand.Spec.Priority())
	}
	if demand.WaitedSeconds < tuning.RentBacklogShare*machineType.BootSeconds {
		return c.used.ServiceCPUs
	}
	return c.used.ServiceCPUs + c.used.CPUsBelow(demand.Spec.Priority())
}

// fleetCapacity is the capacity of the machines by kind.
type fleetCapacity map[MachineKind]*kindCapacity

// entry returns the capacity of a kind, and creates it if there is none.
func (c fleetCapacity) entry(kind MachineKind) *kindCapacity {
	if c[kind] == nil {
		c[kind] = &kindCapacity{}
	}
	return c[kind]
}

// sumCapacity returns the capacity and load of the available machines by kind.
func (f *Fleet) sumCapacity() fleetCapacity {
	sums := fleetCapacity{}
	f.EachAvailable(func(machine *AvailableMachine) {
		sum := sums.entry(machine.MachineKind)
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
// could run it, less the occupied ones. Occupied processors are subtracted for each kind of
// machine separately. If lower-priority work on machines that the demand cannot use were
// subtracted too, the sum would be negative for services that may use ordinary machines only,
// and a hundred of these would be rented for a single replica.
func (f *Fleet) usableCPUs(demand *Demand, capacity fleetCapacity) float64 {
	sum := 0.0
	for kind, c := range capacity {
		if empty := f.emptyMachine(kind); empty.MachineType != nil && empty.CouldRun(demand.Spec, demand.Zone) {
			sum += max(0, c.cpus-c.occupied(demand, empty.MachineType))
		}
	}
	return sum
}

// workWithin returns the work of a demand's priority, in processor seconds, that the machines
// that could run the demand, up or booting, can do until it has waited for a number of seconds.
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

// readySeconds returns the time until a new machine of a type can run a demand, in seconds: the
// boot and the fetch of the image.
func readySeconds(demand *Demand, machineType *jobs.MachineType) float64 {
	if machineType.ImageGBPerSecond > 0 {
		return machineType.BootSeconds + demand.Spec.ImageGB/machineType.ImageGBPerSecond
	}
	return machineType.BootSeconds
}
