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
func arraysFirst(first, second *workers.Worker) int {
	if onDemandA, onDemandB := isOnDemandWithServices(first), isOnDemandWithServices(second); onDemandA != onDemandB {
		return trueFirst(onDemandB)
	}
	return bySizeAndRoom(first, second)
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
func servicesFirst(first, second *workers.Worker) int {
	if first.Spot != second.Spot {
		return trueFirst(first.Spot)
	}
	if order := cmp.Compare(second.ServiceCPUs, first.ServiceCPUs); order != 0 {
		return order
	}
	if order := cmp.Compare(processorPrice(first), processorPrice(second)); order != 0 {
		return order
	}
	return bySizeAndRoom(first, second)
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
func bySizeAndRoom(first, second *workers.Worker) int {
	if first.MachineType.CPUs != second.MachineType.CPUs {
		return cmp.Compare(first.MachineType.CPUs, second.MachineType.CPUs)
	}
	if first.Spot != second.Spot {
		return trueFirst(first.Spot)
	}
	return cmp.Compare(first.Free().CPUs, second.Free().CPUs)
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
