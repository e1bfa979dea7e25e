package fleet

import (
	"cmp"
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// Demand is tasks of a job for which there is no room.
type Demand struct {
	Spec  *jobs.Spec
	Zone  string // fixed at dispatch, "" for any
	Tasks int
	// Rank is the job's place in the dispatch order.
	Rank int
	// HeldByQuota is tasks of the job that the team's quota holds back: they cannot use more
	// machines now, but are part of the queue.
	HeldByQuota int
	// WaitedSeconds is how long the job has been there, in seconds.
	WaitedSeconds float64
	// ObjectiveSlackSeconds is how many seconds the tasks can still wait for each of the
	// users' objectives that is not missed yet, without the one for work within a guarantee.
	ObjectiveSlackSeconds []float64
}

// objectiveWait returns how many seconds the tasks can wait for the next objective that a
// machine which is ready after so many seconds can still meet; most if there is none. An
// objective that will be missed or met before a machine could be up is no reason to rent one:
// counted as one, jobs of five seconds had hundreds rented for the first minute.
func (d *Demand) objectiveWait(readySeconds, most float64) float64 {
	for _, left := range d.ObjectiveSlackSeconds {
		if left > readySeconds {
			most = min(most, left)
		}
	}
	return most
}

// taskCPUs returns what a task takes of a machine type, its memory counted as the processors
// that go with it.
func (d *Demand) taskCPUs(machineType *jobs.MachineType) float64 {
	return max(d.Spec.CPUs, d.Spec.MemoryGB/machineType.MemoryGB*machineType.CPUs)
}

// workSeconds returns the work of so many of the tasks, in seconds of a processor.
func (d *Demand) workSeconds(tasks int) float64 {
	return float64(tasks) * d.Spec.CPUs * max(d.Spec.EstimateSeconds, 1)
}

// demandState is what the leader's newest dispatch round has told.
type demandState struct {
	list []Demand
	// movableJob is the job of which most runs that could as well run on spot machines, nil
	// if there is none.
	movableJob *jobs.Spec
	// stalledAt is when there was last work that could not be dispatched for want of writes,
	// 0 if never in this term.
	stalledAt time.Duration
}

// wasStalled reports whether dispatch has lately been held up: idle machines are about to be
// used.
func (d *demandState) wasStalled(now time.Duration) bool {
	return d.stalledAt > 0 && now-d.stalledAt < tuning.StalledDispatchGrace
}

// NoteStalledDispatch tells that there is room for work which the state service's limits keep
// from being dispatched.
func (f *Fleet) RecordStalledDispatch() { f.demand.stalledAt = f.runtime.Now() }

// SetDemand tells for which tasks there is no room, and of which job most runs that could as
// well run on spot machines, nil if there is none. The fleet keeps the list.
func (f *Fleet) SetDemand(demands []Demand, movableJob *jobs.Spec) {
	// Demand waits behind the work that goes before it, and that only. Tasks that are queued
	// already come first in the list, whatever their rank: services, which may use no spot
	// machines, were taken to wait behind all of the arrays, and small jobs behind the
	// largest, and hundreds of ordinary machines were rented for them.
	slices.SortStableFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Rank, b.Rank) })
	f.demand.list, f.demand.movableJob = demands, movableJob
}

// HasWaitingWork reports whether tasks of a higher priority wait for room.
func (f *Fleet) HasWaitingWork(priority jobs.Priority) bool {
	return slices.ContainsFunc(f.demand.list, func(d Demand) bool { return d.Tasks > 0 && d.Spec.Priority() > priority })
}
