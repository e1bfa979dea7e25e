package leader

import (
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// addDemand adds demand for tasks that could run now if there were machines for them. More machines
// do not help a job whose tasks fail on every machine: unless it is a gang, which needs all of its
// machines to run at all, it gets one if there is none. A job that a shard's owner has paused after
// failures gets none.
func (r *dispatchRound) addDemand(job *jobState, zone string, tasks int) {
	if tasks > 0 && r.leader.fleet.IsPaused(job.spec.ID) {
		r.addQueued(job, zone, tasks)
		return
	}
	if tasks > 0 && !job.spec.IsGang() && r.leader.fleet.MayFailEverywhere(job.spec.ID) {
		tasks = 1
	}
	if tasks > 0 {
		r.demands = append(r.demands, fleet.Demand{
			Spec: job.spec, Zone: zone, Tasks: tasks, Rank: job.position,
			WaitedSeconds:         float64(r.nowMS-job.entry.SubmittedMS) / 1000,
			ObjectiveSlackSeconds: r.objectiveSlack(job),
		})
	}
}

// addQueued reports to the fleet tasks in the queue of a shard that need no further machines.
func (r *dispatchRound) addQueued(job *jobState, zone string, tasks int) {
	if tasks > 0 {
		r.demands = append(r.demands, fleet.Demand{Spec: job.spec, Zone: zone, Queued: tasks})
	}
}

// addHeldByQuota reports to the fleet tasks that wait because of the quota of their team.
func (r *dispatchRound) addHeldByQuota(job *jobState, tasks int) {
	if tasks > 0 {
		r.demands = append(r.demands, fleet.Demand{Spec: job.spec, HeldByQuota: tasks})
	}
}

// objectiveSlack returns for how many more seconds the tasks of a job can wait for a machine,
// one number for each objective of the users that is not missed yet.
func (r *dispatchRound) objectiveSlack(job *jobState) []float64 {
	age := float64(r.nowMS-job.entry.SubmittedMS) / 1000
	var slacks []float64
	spec := job.spec
	r.leader.settings.EachObjectiveDeadline(spec.Class, spec.EstimateSeconds, spec.DeadlineSeconds, func(deadlineSeconds float64) {
		if remaining := deadlineSeconds - age; remaining > 0 {
			slacks = append(slacks, remaining)
		}
	})
	return slacks
}

// addReserveDemand adds demand for machines for an expected gang.
func (r *dispatchRound) addReserveDemand(spec *jobs.Spec, zone string, tasks int) {
	r.demands = append(r.demands, fleet.Demand{
		Spec: spec, Zone: zone, Tasks: tasks, ObjectiveSlackSeconds: []float64{tuning.MaxQueueTime.Seconds()},
	})
}
