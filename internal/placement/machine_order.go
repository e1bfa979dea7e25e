package placement

import (
	"cmp"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/workers"
)

// compareForArrays orders machines for tasks that run to completion. On-demand machines
// with replicas of services come last: replicas stay until they are cancelled, so such a
// machine cannot be returned, and its room is left to further replicas. Otherwise smaller
// machines come first, since large tasks fit only on large ones. Of equal size, spot
// machines come first, then the fullest, so that expensive machines and others run empty
// and can be returned.
func compareForArrays(first, second *workers.Worker) int {
	if onDemandA, onDemandB := isOnDemandWithServices(first), isOnDemandWithServices(second); onDemandA != onDemandB {
		return trueFirst(onDemandB)
	}
	return compareSizeAndRoom(first, second)
}

// trueFirst compares two values that differ in a boolean property and puts the one with the
// property first; first is whether that is the first value.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// isOnDemandWithServices reports whether a machine is not a spot machine and runs replicas of
// services.
func isOnDemandWithServices(worker *workers.Worker) bool {
	return !worker.Spot && worker.ServiceCPUs > resource.Epsilon
}

// compareForServices orders machines for replicas of services: spot machines first, then
// those where replicas use the most processors, so that few machines run all replicas and the
// others run empty. Spread over all machines, a few hundred replicas keep a hundred on-demand
// machines from being returned after a burst. Of machines without replicas, the one with the
// lowest price per processor comes first.
func compareForServices(first, second *workers.Worker) int {
	if first.Spot != second.Spot {
		return trueFirst(first.Spot)
	}
	if order := cmp.Compare(second.ServiceCPUs, first.ServiceCPUs); order != 0 {
		return order
	}
	if order := cmp.Compare(pricePerCPU(first), pricePerCPU(second)); order != 0 {
		return order
	}
	return compareSizeAndRoom(first, second)
}

// pricePerCPU returns the nominal price of one processor of a machine.
func pricePerCPU(worker *workers.Worker) float64 {
	if worker.Spot {
		return worker.MachineType.SpotPrice / worker.MachineType.CPUs
	}
	return worker.MachineType.Price / worker.MachineType.CPUs
}

// compareSizeAndRoom orders machines by size, the smallest first. Of equal size, spot machines
// come first, then those with the fewest free processors.
func compareSizeAndRoom(first, second *workers.Worker) int {
	if first.MachineType.CPUs != second.MachineType.CPUs {
		return cmp.Compare(first.MachineType.CPUs, second.MachineType.CPUs)
	}
	if first.Spot != second.Spot {
		return trueFirst(first.Spot)
	}
	return cmp.Compare(first.Free().CPUs, second.Free().CPUs)
}

// imageDistance returns how far a machine is from having an image: 0 if it caches the image,
// 1 if it fetches no image now, 2 if the fetch would share the pull rate with another one.
func imageDistance(worker *workers.Worker, image string) int {
	switch {
	case worker.HasImage(image):
		return 0
	case worker.FetchingTasks == 0:
		return 1
	}
	return farthestImage
}

// farthestImage is the greatest value of imageDistance.
const farthestImage = 2
