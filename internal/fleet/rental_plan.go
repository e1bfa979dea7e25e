package fleet

import (
	"math"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/tuning"
)

// rentalPlan is the machines that a round rents: first all that is needed, then the calls. A
// call for each demand was small, and calls are few.
type rentalPlan struct {
	fleet           *Fleet
	capacity        fleetCapacity // the machines that there are or will be
	requestOrder    []MachineKind // of the calls
	plannedMachines map[MachineKind]int
	// forGangs are the machines planned for gangs in this round.
	gangMachines []plannedMachine
}

// plannedMachine is a machine that is planned for a gang, with what the gang leaves of it.
type plannedMachine struct {
	kind      MachineKind
	available resource.Vector
}

// rentForDemand asks for machines for the tasks that have no room. Each demand waits behind
// those before it; machines are rented while that wait, at the pace of the machines that could
// do the work, is longer than the users' objectives leave.
func (f *Fleet) rentForDemand() {
	if f.types == nil || f.runtime.Now()-f.term.beganAt < tuning.StatusInterval*2 {
		return
	}
	plan := &rentalPlan{fleet: f, capacity: f.sumCapacity(), plannedMachines: map[MachineKind]int{}}
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

// planAll plans for all demands, in the order in which they are served.
func (p *rentalPlan) planAll(demands []Demand) {
	heldByQuota := map[string]float64{} // processor seconds of work, by team
	for i := range demands {
		demand := &demands[i]
		heldByQuota[demand.Spec.Team] += demand.workSeconds(demand.HeldByQuota)
	}
	queuedBefore := 0.0 // processor seconds of the work of the demands so far
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

// add plans so many machines of a kind.
func (p *rentalPlan) add(kind MachineKind, number int) {
	if p.plannedMachines[kind] == 0 {
		p.requestOrder = append(p.requestOrder, kind)
	}
	machineType := p.fleet.MachineType(kind.MachineType)
	p.capacity.entry(kind).add(float64(number)*machineType.CPUs, true, bootTime(machineType))
	p.plannedMachines[kind] += number
}

// planTasks plans machines for a demand behind so many processor seconds of work, its own
// included; from are the demands from this one on.
func (p *rentalPlan) planTasks(demand *Demand, queued float64, demands []Demand) {
	for demand.Tasks > 0 {
		usable := p.fleet.usableCPUs(demand, p.capacity)
		kind, waitSeconds, found := p.cheapestKind(demand, queued, usable)
		if !found {
			return
		}
		machineType := p.fleet.MachineType(kind.MachineType)
		number := int(math.Ceil((queued/waitSeconds - usable) / machineType.CPUs))
		number = min(number, p.machinesNeeded(kind, demands), tuning.MaxPlannedRentals-p.plannedMachines[kind])
		p.add(kind, max(1, number))
	}
}

// cheapestKind finds the kind of machine that does the queued work at the least price, and how
// many seconds the queue may take for it; none if the work can wait. usable is the processors
// that the demand can count on as it is.
func (p *rentalPlan) cheapestKind(demand *Demand, queued, usable float64) (cheapest MachineKind, waitSeconds float64, found bool) {
	lowestCost := math.Inf(1)
	for kind, machineType := range p.fleet.rentableKinds() {
		if p.plannedMachines[kind] >= tuning.MaxPlannedRentals || !p.fleet.emptyMachine(kind).CouldRun(demand.Spec, demand.Zone) {
			continue
		}
		price, wait := machineType.Price, maxQueueSeconds(demand, machineType, tuning.MissedObjectiveQueueTime)
		if kind.Spot {
			price, wait = machineType.SpotPrice, maxQueueSeconds(demand, machineType, tuning.MaxQueueTime)
		}
		if usable > resource.Epsilon && (queued/usable <= wait || !kind.Spot && p.meetsObjective(demand, machineType, queued)) {
			continue
		}
		if cost := taskCost(demand, machineType, price); cost < lowestCost {
			cheapest, lowestCost, waitSeconds, found = kind, cost, wait, true
		}
	}
	return cheapest, waitSeconds, found
}

// taskCost weighs the price of a machine by the work that it does. Large machines are all that
// large tasks have; at about the same price small tasks go to small ones.
func taskCost(demand *Demand, machineType *jobs.MachineType, price float64) float64 {
	const minCPUs = 1e-3 // of tasks that take next to nothing
	usedCPUs := demand.Spec.CPUs * math.Floor(machineType.CPUs/demand.taskCPUs(machineType)+resource.Epsilon)
	return price / max(usedCPUs, minCPUs) * (1 + tuning.LargeMachinePenalty*math.Log2(max(1, machineType.CPUs)))
}

// meetsObjective reports whether the machines that there are, up or booting, do the work up to
// a demand before the next of its objectives that a new machine of a type could still meet.
// Expensive machines are rented only if they do not.
func (p *rentalPlan) meetsObjective(demand *Demand, machineType *jobs.MachineType, queued float64) bool {
	wait := demand.objectiveWait(readySeconds(demand, machineType), tuning.MissedObjectiveQueueTime.Seconds())
	return queued <= tuning.ExpensiveQueueFactor*p.fleet.workWithin(demand, p.capacity, wait)
}

// machinesFilled returns how many machines of a kind the tasks of demands fill.
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

// maxQueueSeconds returns how many seconds a queue may take before a machine of a type is
// worth its boot for a demand; most bounds the wait of one that has no objective left.
func maxQueueSeconds(demand *Demand, machineType *jobs.MachineType, maxWait time.Duration) float64 {
	ready := readySeconds(demand, machineType)
	return max(tuning.RentBacklogShare*machineType.BootSeconds, tuning.QueueTimeShare*(demand.objectiveWait(ready, maxWait.Seconds())-ready))
}

// planGang plans machines that hold all tasks of a gang, unless machines that are planned
// already have the room: a gang cannot wait for room to come free bit by bit.
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

// take gives up to limit tasks room on the machine, and returns how many.
func (m *plannedMachine) reserve(spec *jobs.Spec, limit int) int {
	task := spec.Resources()
	tasks := min(limit, task.CountIn(m.available))
	m.available = m.available.Minus(task.Times(float64(tasks)))
	return tasks
}

// shareForGangs gives a gang room on machines that are planned for others, if there is enough
// for all of it.
func (p *rentalPlan) shareGangMachines(demand *Demand) bool {
	unassigned := demand.Tasks
	tasks := make([]int, len(p.gangMachines)) // on each of the machines
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

// cheapestForGang finds the kind of machine, and how many, that hold all tasks of a gang at the
// least price.
func (p *rentalPlan) cheapestForGang(demand *Demand) (cheapest MachineKind, number int) {
	lowestCost := math.Inf(1)
	for kind, machineType := range p.fleet.rentableKinds() {
		tasksEach := tasksOn(machineType, demand.Spec)
		if tasksEach == 0 || !p.fleet.emptyMachine(kind).CouldRun(demand.Spec, demand.Zone) {
			continue
		}
		// Machines belong to shards by their names, in turn, and a gang stays in one shard
		// if it can.
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
