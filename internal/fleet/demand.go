package fleet

import (
	"cmp"
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// Demand is a set of tasks of one job that do not fit on the available machines, a reserve for
// an expected gang, or, with Tasks 0, only tasks that need no further machines.
type Demand struct {
	Spec  *jobs.Spec
	Zone  string // zone chosen at dispatch, "" for any
	Tasks int
	// Rank is the job's position in the dispatch order.
	Rank int
	// HeldByQuota is the number of tasks of the job that the team's quota holds back: they
	// cannot use more machines now, but are part of the queue.
	HeldByQuota int
	// Queued is the number of tasks of the job in the queues of shards that need no further machines:
	// there is room for them, or they wait for the end of a pause after failures.
	Queued int
	// WaitedSeconds is the time since the job was submitted, in seconds.
	WaitedSeconds float64
	// ObjectiveSlackSeconds holds, for each of the users' objectives that is not missed yet,
	// the seconds that the tasks can still wait. The objective for work within a guarantee is
	// left out.
	ObjectiveSlackSeconds []float64
}

// objectiveWait returns the time, in seconds, that the tasks can wait for the next objective
// that a machine which is ready after readySeconds can still meet, and maxWaitSeconds at most.
// An objective that will be missed or met before a machine could be up is no reason to rent
// one: otherwise hundreds of machines would be rented in the first minute for jobs of five
// seconds.
func (d *Demand) objectiveWait(readySeconds, maxWaitSeconds float64) float64 {
	for _, slackSeconds := range d.ObjectiveSlackSeconds {
		if slackSeconds > readySeconds {
			maxWaitSeconds = min(maxWaitSeconds, slackSeconds)
		}
	}
	return maxWaitSeconds
}

// taskCPUs returns the processors of a machine type that a task occupies. Its memory is
// converted into processors by the type's ratio of the two.
func (d *Demand) taskCPUs(machineType *jobs.MachineType) float64 {
	return max(d.Spec.CPUs, d.Spec.MemoryGB/machineType.MemoryGB*machineType.CPUs)
}

// workSeconds returns the work of a number of the tasks, in processor seconds.
func (d *Demand) workSeconds(tasks int) float64 {
	return float64(tasks) * d.Spec.CPUs * max(d.Spec.EstimateSeconds, 1)
}

// demandState is the result of the leader's latest dispatch round.
type demandState struct {
	list []Demand
	// movableJob is, of the jobs that could run on any spot machine, the one whose placed tasks
	// use the most processors, nil if there is none.
	movableJob *jobs.Spec
	// stalledAt is the last time at which work could not be dispatched because of the state
	// service's write limits, 0 if there was none in this term.
	stalledAt time.Duration
}

// wasStalled reports whether dispatch was stalled within tuning.StalledDispatchGrace. Idle
// machines will then be used as soon as dispatch resumes.
func (d *demandState) wasStalled(now time.Duration) bool {
	return d.stalledAt > 0 && now-d.stalledAt < tuning.StalledDispatchGrace
}

// RecordStalledDispatch records that there is work for which machines have room, but which the
// state service's limits keep from being dispatched.
func (f *Fleet) RecordStalledDispatch() { f.demand.stalledAt = f.runtime.Now() }

// SetDemand sets the demand for machines, and the job that could run on any spot machine and
// whose placed tasks use the most processors, nil if there is none. The fleet takes ownership
// of the slice and sorts it.
func (f *Fleet) SetDemand(demands []Demand, movableJob *jobs.Spec) {
	// A demand waits only behind work that precedes it in the dispatch order. The list begins
	// with tasks that are queued already, whatever their rank. Without the sort, services,
	// which may not use spot machines, would count as waiting behind all arrays, and small
	// jobs behind the largest, and hundreds of ordinary machines would be rented for them.
	slices.SortStableFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Rank, b.Rank) })
	f.demand.list, f.demand.movableJob = demands, movableJob
}

// HasWaitingWork reports whether tasks of a higher priority wait for room.
func (f *Fleet) HasWaitingWork(priority jobs.Priority) bool {
	return slices.ContainsFunc(f.demand.list, func(d Demand) bool { return d.Tasks > 0 && d.Spec.Priority() > priority })
}
