package fleet

import (
	"math"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/tuning"
)

// rentalPlan collects the machines to rent in one round, so that the demands share requests to
// the cloud. A request for each demand would be small, and the request budget is limited.
type rentalPlan struct {
	fleet           *Fleet
	capacity        fleetCapacity // available and planned machines
	held            []*machine    // available machines that are held for overdue work
	requestOrder    []MachineKind // kinds in the order in which they are requested
	plannedMachines map[MachineKind]int
	// gangMachines are the machines planned for gangs in this round.
	gangMachines []plannedMachine
}

// plannedMachine is a machine planned for a gang, with the resources that are not yet reserved.
type plannedMachine struct {
	kind      MachineKind
	available resource.Vector
}

// rentForDemand rents machines for the tasks that have no room. Each demand is queued behind
// those before it. Machines are rented for it as long as the time that the usable machines need
// for this queue exceeds the wait that the users' objectives allow.
func (f *Fleet) rentForDemand() {
	if f.types == nil || f.runtime.Now()-f.term.beganAt < tuning.StatusInterval*2 {
		return
	}
	plan := &rentalPlan{fleet: f, capacity: f.sumCapacity(), held: f.heldMachines(), plannedMachines: map[MachineKind]int{}}
	plan.planAll(f.demand.list)
	for _, kind := range plan.requestOrder {
		for remaining := plan.plannedMachines[kind]; remaining > 0; remaining -= tuning.MaxRentalMachines {
			if !f.cloud.spendCall() {
				return
			}
			f.rent(kind, min(remaining, tuning.MaxRentalMachines))
		}
	}
}

// planAll plans machines for all demands, in the order in which they are dispatched.
func (p *rentalPlan) planAll(demands []Demand) {
	heldByQuota := map[string]float64{} // work in processor seconds, by team
	for i := range demands {
		demand := &demands[i]
		heldByQuota[demand.Spec.Team] += demand.workSeconds(demand.HeldByQuota)
	}
	queuedBefore := 0.0 // work of the demands so far, in processor seconds
	for i := range demands {
		demand := &demands[i]
		if demand.Spec.IsGang() && demand.Tasks > 0 {
			p.planGang(demand)
			continue
		}
		queuedBefore += demand.workSeconds(demand.Tasks)
		p.planTasks(demand, queuedBefore+heldByQuota[demand.Spec.Team], demands[i:])
	}
}

// add plans a number of machines of a kind.
func (p *rentalPlan) add(kind MachineKind, number int) {
	if p.plannedMachines[kind] == 0 {
		p.requestOrder = append(p.requestOrder, kind)
	}
	machineType := p.fleet.MachineType(kind.MachineType)
	p.capacity.entry(kind).add(float64(number)*machineType.CPUs, true, bootTime(machineType))
	p.plannedMachines[kind] += number
}

// planTasks plans machines for a demand. queued is the work up to and including the demand, and
// the work that its team's quota holds back, in processor seconds; demands begins with this
// demand.
func (p *rentalPlan) planTasks(demand *Demand, queued float64, demands []Demand) {
	for demand.Tasks > 0 {
		capacity := p.capacityFor(demand)
		usable := p.fleet.usableCPUs(demand, capacity)
		kind, waitSeconds, found := p.cheapestKind(demand, queued, usable, capacity)
		if !found {
			return
		}
		machineType := p.fleet.MachineType(kind.MachineType)
		number := int(math.Ceil((queued/waitSeconds - usable) / machineType.CPUs))
		number = min(number, p.machinesNeeded(kind, demands), tuning.MaxPlannedRentals-p.plannedMachines[kind])
		p.add(kind, max(1, number))
	}
}

// cheapestKind returns the kind of machine with the lowest cost for the demand, and the number of
// seconds that the queue may take for it. found is false if no machine has to be rented or none
// can be. queued is the work in processor seconds, usable the number of processors that the
// demand can count on already, capacity the machines that they are on.
func (p *rentalPlan) cheapestKind(demand *Demand, queued, usable float64, capacity fleetCapacity) (cheapest MachineKind, waitSeconds float64, found bool) {
	lowestCost := math.Inf(1)
	for kind, machineType := range p.fleet.rentableKinds() {
		if p.plannedMachines[kind] >= tuning.MaxPlannedRentals || !p.fleet.emptyMachine(kind).CouldRun(demand.Spec, demand.Zone) {
			continue
		}
		price, wait := machineType.Price, maxQueueSeconds(demand, machineType, tuning.MissedObjectiveQueueTime)
		if kind.Spot {
			price, wait = machineType.SpotPrice, maxQueueSeconds(demand, machineType, tuning.MaxQueueTime)
		}
		if usable > resource.Epsilon && (queued/usable <= wait || !kind.Spot && p.meetsObjective(demand, machineType, queued, capacity)) {
			continue
		}
		if cost := taskCost(demand, machineType, price); cost < lowestCost {
			cheapest, lowestCost, waitSeconds, found = kind, cost, wait, true
		}
	}
	return cheapest, waitSeconds, found
}

// taskCost returns the price of a machine per processor that tasks of a demand can use on it. A
// penalty for large machines directs small tasks to small machines at about the same price,
// because large tasks can run only on large ones.
func taskCost(demand *Demand, machineType *jobs.MachineType, price float64) float64 {
	const minCPUs = 1e-3 // avoids a division by almost zero for tiny tasks
	usedCPUs := demand.Spec.CPUs * math.Floor(machineType.CPUs/demand.taskCPUs(machineType)+resource.Epsilon)
	return price / max(usedCPUs, minCPUs) * (1 + tuning.LargeMachinePenalty*math.Log2(max(1, machineType.CPUs)))
}

// meetsObjective reports whether the machines of a capacity, up or booting, can do the queued work,
// within tuning.ExpensiveQueueFactor, before the next objective of the demand that a new machine of
// the type could still meet. Ordinary machines are rented only if they cannot.
func (p *rentalPlan) meetsObjective(demand *Demand, machineType *jobs.MachineType, queued float64, capacity fleetCapacity) bool {
	wait := demand.objectiveWait(readySeconds(demand, machineType), tuning.MissedObjectiveQueueTime.Seconds())
	return queued <= tuning.ExpensiveQueueFactor*p.fleet.workWithin(demand, capacity, wait)
}

// machinesNeeded returns the number of machines of a kind that the tasks of demands would fill.
func (p *rentalPlan) machinesNeeded(kind MachineKind, demands []Demand) int {
	empty := p.fleet.emptyMachine(kind)
	cpus := 0.0
	for i := range demands {
		if demand := &demands[i]; empty.CouldRun(demand.Spec, demand.Zone) {
			cpus += float64(demand.Tasks) * demand.taskCPUs(empty.MachineType)
		}
	}
	return int(math.Ceil(cpus / empty.MachineType.CPUs))
}

// maxQueueSeconds returns the number of seconds that a queue may take before it is worth booting
// a machine of a type for a demand. maxWait bounds the wait for an objective, and replaces it if
// the demand has none left.
func maxQueueSeconds(demand *Demand, machineType *jobs.MachineType, maxWait time.Duration) float64 {
	ready := readySeconds(demand, machineType)
	return max(tuning.RentBacklogShare*machineType.BootSeconds, tuning.QueueTimeShare*(demand.objectiveWait(ready, maxWait.Seconds())-ready))
}

// planGang plans machines for all tasks of a gang, unless machines that are already planned for
// other gangs have room for it. A gang needs room for all its tasks at once and cannot use room
// that becomes free bit by bit.
func (p *rentalPlan) planGang(demand *Demand) {
	if p.shareGangMachines(demand) {
		return
	}
	kind, number := p.cheapestForGang(demand)
	unassigned := demand.Tasks
	for range number {
		machine := plannedMachine{kind, p.fleet.MachineType(kind.MachineType).Resources()}
		unassigned -= machine.reserve(demand.Spec, unassigned)
		p.gangMachines = append(p.gangMachines, machine)
	}
	if number > 0 {
		p.add(kind, number)
	}
}

// reserve reserves room for up to limit tasks on the machine, and returns their number.
func (m *plannedMachine) reserve(spec *jobs.Spec, limit int) int {
	task := spec.Resources()
	tasks := min(limit, task.CountIn(m.available))
	m.available = m.available.Minus(task.Times(float64(tasks)))
	return tasks
}

// shareGangMachines reserves room for a gang on machines that are planned for other gangs, if
// they have room for all its tasks, and reports whether they do.
func (p *rentalPlan) shareGangMachines(demand *Demand) bool {
	unassigned := demand.Tasks
	tasks := make([]int, len(p.gangMachines)) // tasks on each machine
	for i, machine := range p.gangMachines {
		if unassigned > 0 && p.fleet.emptyMachine(machine.kind).CouldRun(demand.Spec, demand.Zone) {
			tasks[i] = min(unassigned, demand.Spec.Resources().CountIn(machine.available))
			unassigned -= tasks[i]
		}
	}
	if unassigned > 0 {
		return false
	}
	for i, count := range tasks {
		p.gangMachines[i].reserve(demand.Spec, count)
	}
	return true
}

// cheapestForGang returns the kind and number of machines that have room for all tasks of a gang
// at the lowest cost; number is 0 if there is none.
func (p *rentalPlan) cheapestForGang(demand *Demand) (cheapest MachineKind, number int) {
	lowestCost := math.Inf(1)
	for kind, machineType := range p.fleet.rentableKinds() {
		tasksEach := tasksOn(machineType, demand.Spec)
		if tasksEach == 0 || !p.fleet.emptyMachine(kind).CouldRun(demand.Spec, demand.Zone) {
			continue
		}
		// A gang is placed in a single shard if possible, but new machines are spread evenly
		// over the shards by their IDs, so each shard gets only a fraction of them. Enough
		// are rented for each shard to have room for the gang.
		needed := (demand.Tasks + tasksEach - 1) / tasksEach
		if needed > 1 {
			needed *= len(p.fleet.shards)
		}
		if p.plannedMachines[kind]+needed > tuning.MaxPlannedRentals {
			continue
		}
		price := machineType.Price
		if kind.Spot {
			price = machineType.SpotPrice
		}
		cost := price * float64(needed) * (1 + tuning.GangExtraMachinePenalty*float64(needed-1))
		if cost < lowestCost {
			cheapest, number, lowestCost = kind, needed, cost
		}
	}
	return cheapest, number
}
