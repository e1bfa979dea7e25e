package placement

import (
	"maps"
	"slices"
	"time"

	"lemonmoor/internal/gangforecast"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// gangSample contains tasks like those of an expected gang, with which room for it is
// searched. Planner.gangSamples retains it between rounds.
type gangSample struct {
	spec  *jobs.Spec
	tasks []*taskstate.Task
}

// gangSampleOf returns the sample of a class of expected gangs. It reuses the retained sample
// unless the spec or the number of tasks has changed.
func (p *Planner) gangSampleOf(class *gangforecast.Class) gangSample {
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

// dropGangSamples removes the samples of classes that are no longer expected.
func (p *Planner) dropGangSamples(expected []*gangforecast.Class) {
	if len(p.gangSamples) <= len(expected) {
		return
	}
	maps.DeleteFunc(p.gangSamples, func(name string, _ gangSample) bool {
		return !slices.ContainsFunc(expected, func(class *gangforecast.Class) bool { return class.Spec.Class == name })
	})
}

// reserveForGangs reserves room for expected gangs so that other work leaves it free. A gang
// that must run in one zone gets all of its room in one zone, as in the leader's dispatch. At
// most tuning.MaxGangReserveShare of all processors is reserved.
func (p *Planner) reserveForGangs(round *placementRound) {
	cpuBudget := 0.0
	for _, worker := range round.accepting {
		worker.Reserved = resource.Vector{}
		cpuBudget += tuning.MaxGangReserveShare * worker.MachineType.CPUs
	}
	recent := p.forecast.Recent(round.now)
	p.dropGangSamples(recent)
	for _, class := range recent {
		sample := p.gangSampleOf(class)
		zones := zonesFor(class.Spec, round.withRoom)
		for range tuning.GangReserveCount {
			if cpuBudget -= float64(class.Tasks) * class.Spec.CPUs; cpuBudget < 0 {
				return
			}
			for _, worker := range findReservation(round.withRoom, sample, zones, round.now) {
				worker.Reserved = worker.Reserved.Plus(class.Spec.Resources())
			}
		}
	}
}

// zonesFor returns the zones in which room for a gang is searched: all zones of the machines
// if the gang must run in one zone, else "" for any.
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

// findReservation returns a machine for each task of an expected gang, or nil if no zone has
// room for it. Of the zones with room it selects the one whose first machine is nearest to the
// image, and the first of equals.
func findReservation(machines []*workers.Worker, sample gangSample, zones []string, now time.Duration) []*workers.Worker {
	image := sample.spec.Image
	isUsable := func(*workers.Worker) bool { return true }
	var best []*workers.Worker
	for _, zone := range zones {
		for _, task := range sample.tasks {
			task.Zone = zone
		}
		found := findMachines(machines, sample.tasks, isUsable, countThatFitUnreserved, now)
		if found != nil && (best == nil || imageDistance(found[0], image) < imageDistance(best[0], image)) {
			best = found
		}
	}
	return best
}
