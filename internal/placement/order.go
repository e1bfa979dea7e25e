package placement

import (
	"cmp"
	"slices"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// sort puts the machines with room in the orders in which tasks fill them.
func (r *round) sort() {
	slices.SortStableFunc(r.free, arraysFirst)
	r.forServices = slices.Clone(r.free)
	slices.SortStableFunc(r.forServices, servicesFirst)
}

// orderFor is the order in which machines are filled for tasks: that of services if
// one of them is a replica of a service.
func (r *round) orderFor(tasks ...*taskstate.Task) []*workers.Worker {
	for _, t := range tasks {
		if t.Job.Spec.IsService() {
			return r.forServices
		}
	}
	return r.free
}

// arraysFirst orders machines for tasks that run to completion: ordinary machines
// with replicas of services last, since those stay until they are cancelled and a
// machine with one cannot be returned. Then the smallest, since large tasks have only
// the large ones; of those the spot machines, then the fullest, so that dear ones and
// others run empty and can be returned.
func arraysFirst(a, b *workers.Worker) int {
	if x, y := servesDear(a), servesDear(b); x != y {
		if y {
			return -1
		}
		return 1
	}
	return tighter(a, b)
}

// servesDear tells whether a machine is an ordinary one with replicas of services.
func servesDear(h *workers.Worker) bool { return !h.Spot && h.ServiceCPUs > slack }

// servicesFirst orders machines for replicas of services: spot machines first, then
// those with the most replicas, so that few machines serve all of them and the others
// run empty. Scattered over all machines, a few hundred replicas kept a hundred
// ordinary ones from being returned after a burst. Of machines without any the one
// whose processors cost the least comes first.
func servicesFirst(a, b *workers.Worker) int {
	if a.Spot != b.Spot {
		if a.Spot {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(b.ServiceCPUs, a.ServiceCPUs); c != 0 {
		return c
	}
	if c := cmp.Compare(processorPrice(a), processorPrice(b)); c != 0 {
		return c
	}
	return tighter(a, b)
}

// processorPrice is the nominal price of one processor of a machine.
func processorPrice(h *workers.Worker) float64 {
	if h.Spot {
		return h.MachineType.SpotPrice / h.MachineType.CPUs
	}
	return h.MachineType.Price / h.MachineType.CPUs
}

// tighter orders machines by size, price and room.
func tighter(a, b *workers.Worker) int {
	if a.MachineType.CPUs != b.MachineType.CPUs {
		return cmp.Compare(a.MachineType.CPUs, b.MachineType.CPUs)
	}
	if a.Spot != b.Spot {
		if a.Spot {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Free().CPUs, b.Free().CPUs)
}
