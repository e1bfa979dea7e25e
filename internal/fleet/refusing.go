package fleet

import (
	"maps"

	"lemonmoor/internal/tuning"
)

// capacityFor returns the capacity that a demand can count on: without the machines on which no task
// of it is placed for longer than tuning.FirstAvoidance, because they are held for other work or
// because the job avoids them after repeated failures. A machine that is avoided for a shorter time
// counts like one that boots.
func (p *rentalPlan) capacityFor(demand *Demand) fleetCapacity {
	refusing := p.refusingMachines(demand)
	if len(refusing) == 0 {
		return p.capacity
	}
	remaining := maps.Clone(p.capacity)
	for m := range refusing {
		sum := remaining[m.kind]
		if machineType := p.fleet.MachineType(m.kind.MachineType); sum != nil && machineType != nil {
			remaining[m.kind] = sum.without(machineType.CPUs, p.fleet.loads.MachineLoad(m.id))
		}
	}
	return remaining
}

// refusingMachines returns the available machines that refuse a demand, see capacityFor.
func (p *rentalPlan) refusingMachines(demand *Demand) map[*machine]bool {
	refusing := map[*machine]bool{}
	for _, m := range p.held {
		if !m.status.hold().AcceptsJob(demand.Spec.ID, demand.Spec.Priority()) {
			refusing[m] = true
		}
	}
	later := p.fleet.runtime.Now() + tuning.FirstAvoidance
	for shard := range p.fleet.shards {
		backoff := p.fleet.Backoff(demand.Spec.ID, shard)
		if backoff == nil {
			continue
		}
		for id := range backoff.avoidedUntil {
			if m := p.fleet.machines.byID[id]; m != nil && backoff.Avoids(id, later) && p.fleet.isAvailable(m) {
				refusing[m] = true
			}
		}
	}
	return refusing
}

// heldMachines returns the available machines that are held for overdue work.
func (f *Fleet) heldMachines() []*machine {
	var held []*machine
	for _, m := range f.machines.byID {
		if m.status.hold().IsSet() && f.isAvailable(m) {
			held = append(held, m)
		}
	}
	return held
}
