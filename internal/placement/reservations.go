package placement

import (
	"maps"
	"slices"

	"lemonmoor/internal/gangforecast"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// gangSample is tasks like those of an expected gang, to look for room with. It is kept
// from round to round.
type gangSample struct {
	spec  *jobs.Spec
	tasks []*taskstate.Task
}

// sampleOf returns the sample of a class of expected gangs.
func (p *Planner) sampleOf(class *gangforecast.Class) gangSample {
	sample := p.gangSamples[class.Spec.Class]
	if sample.spec == class.Spec && len(sample.tasks) == class.Tasks {
		return sample
	}
	sample = gangSample{spec: class.Spec}
	job := &taskstate.Job{Spec: class.Spec}
	for range class.Tasks {
		sample.tasks = append(sample.tasks, &taskstate.Task{Job: job})
	}
	p.gangSamples[class.Spec.Class] = sample
	return sample
}

// dropSamples drops the samples of classes that are not expected any more.
func (p *Planner) dropSamples(expected []*gangforecast.Class) {
	if len(p.gangSamples) <= len(expected) {
		return
	}
	maps.DeleteFunc(p.gangSamples, func(name string, _ gangSample) bool {
		return !slices.ContainsFunc(expected, func(class *gangforecast.Class) bool { return class.Spec.Class == name })
	})
}

// reserveForGangs reserves room for expected gangs from other work, in one zone each if
// they must be, as the leader does when it dispatches work. A limited part of all
// processors is reserved so.
func (p *Planner) reserveForGangs(round *placementRound) {
	cpusLeft := 0.0
	for _, worker := range round.accepting {
		worker.Reserved = resource.Vector{}
		cpusLeft += tuning.MaxGangReserveShare * worker.MachineType.CPUs
	}
	recent := p.forecast.Recent(round.now)
	p.dropSamples(recent)
	for _, class := range recent {
		sample := p.sampleOf(class)
		zones := zonesFor(class.Spec, round.withRoom)
		for range tuning.GangReserveCount {
			if cpusLeft -= float64(class.Tasks) * class.Spec.CPUs; cpusLeft < 0 {
				return
			}
			for _, worker := range findReservation(round.withRoom, sample, zones) {
				worker.Reserved = worker.Reserved.Plus(class.Spec.Resources())
			}
		}
	}
}

// zonesFor lists the zones in which a gang may find room: "", any, unless it has to be in
// one zone.
func zonesFor(spec *jobs.Spec, machines []*workers.Worker) []string {
	if !spec.SameZone {
		return []string{""}
	}
	var zones []string
	for _, worker := range machines {
		if !slices.Contains(zones, worker.Zone) {
			zones = append(zones, worker.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// findReservation finds a machine for each task of an expected gang, in the first of the
// zones where it is nearest to its image; nil if there is no room for it.
func findReservation(machines []*workers.Worker, sample gangSample, zones []string) []*workers.Worker {
	image := sample.spec.Image
	isUsable := func(*workers.Worker) bool { return true }
	var best []*workers.Worker
	for _, zone := range zones {
		for _, task := range sample.tasks {
			task.Zone = zone
		}
		found := findMachines(machines, sample.tasks, isUsable, countBesidesReserved)
		if found != nil && (best == nil || imageDistance(found[0], image) < imageDistance(best[0], image)) {
			best = found
		}
	}
	return best
}
