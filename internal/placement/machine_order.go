package placement

import (
	"cmp"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/workers"
)

// arraysFirst orders machines for tasks that run to completion. On-demand machines with
// replicas of services come last, since those stay until they are cancelled and a machine
// with one cannot be returned. Then the smallest come first, since large tasks have only
// the large ones; of like size the spot machines, then the fullest, so that expensive ones
// and others run empty and can be returned.
func arraysFirst(a, b *workers.Worker) int {
	if onDemandA, onDemandB := isOnDemandWithServices(a), isOnDemandWithServices(b); onDemandA != onDemandB {
		return trueFirst(onDemandB)
	}
	return bySizeAndRoom(a, b)
}

// trueFirst compares two that differ in a property, of which the first has it or not.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

func isOnDemandWithServices(worker *workers.Worker) bool {
	return !worker.Spot && worker.ServiceCPUs > resource.Epsilon
}

// servicesFirst orders machines for replicas of services: spot machines first, then those
// with the most replicas, so that few machines serve all of them and the others run empty.
// Scattered over all machines, a few hundred replicas kept a hundred on-demand ones from
// being returned after a burst. Of machines without any the one whose processors cost the
// least comes first.
func servicesFirst(a, b *workers.Worker) int {
	if a.Spot != b.Spot {
		return trueFirst(a.Spot)
	}
	if order := cmp.Compare(b.ServiceCPUs, a.ServiceCPUs); order != 0 {
		return order
	}
	if order := cmp.Compare(processorPrice(a), processorPrice(b)); order != 0 {
		return order
	}
	return bySizeAndRoom(a, b)
}

// processorPrice is the nominal price of one processor of a machine.
func processorPrice(worker *workers.Worker) float64 {
	if worker.Spot {
		return worker.MachineType.SpotPrice / worker.MachineType.CPUs
	}
	return worker.MachineType.Price / worker.MachineType.CPUs
}

// bySizeAndRoom orders machines: the smallest first, of like size spot machines, then the
// fullest.
func bySizeAndRoom(a, b *workers.Worker) int {
	if a.MachineType.CPUs != b.MachineType.CPUs {
		return cmp.Compare(a.MachineType.CPUs, b.MachineType.CPUs)
	}
	if a.Spot != b.Spot {
		return trueFirst(a.Spot)
	}
	return cmp.Compare(a.Free().CPUs, b.Free().CPUs)
}

// imageDistance ranks machines for a job's image: those that cache it, those that fetch
// nothing, and those where its fetch would share the rate with another.
func imageDistance(worker *workers.Worker, image string) int {
	switch {
	case worker.HasImage(image):
		return 0
	case worker.FetchingTasks == 0:
		return 1
	}
	return farthestImage
}

// farthestImage is the greatest imageDistance.
const farthestImage = 2
