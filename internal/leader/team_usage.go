package leader

import (
	"math"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// teamUsage is what a team's open tasks take of its quota. Memory is not limited.
type teamUsage struct {
	maxCPUs, maxGPUs float64 // the quota
	cpus, gpus       float64 // of open tasks, also of those about to be dispatched
	urgentCPUs       float64 // of open tasks of urgent jobs
	reservedCPUs     float64 // of the quota, for urgent jobs
	reservedAt       time.Duration
}

func newTeamUsages(teams []settings.Team, now time.Duration) map[string]*teamUsage {
	usages := make(map[string]*teamUsage, len(teams))
	for _, team := range teams {
		usages[team.Name] = &teamUsage{
			maxCPUs: team.CPUsMax, maxGPUs: team.GPUsMax,
			reservedCPUs: tuning.MaxUrgentReserveShare * team.CPUsMax, reservedAt: now,
		}
	}
	return usages
}

// count adds so many open tasks of a job; a negative number takes them off.
func (u *teamUsage) count(spec *jobs.Spec, tasks float64) {
	u.cpus += tasks * spec.CPUs
	u.gpus += tasks * spec.GPUs
	if spec.Priority() >= jobs.PriorityUrgent {
		u.urgentCPUs += tasks * spec.CPUs
	}
}

// countPlanned adds tasks that a dispatch round has planned, until their record counts.
func (u *teamUsage) countPlanned(spec *jobs.Spec, tasks float64) {
	u.cpus += tasks * spec.CPUs
	u.gpus += tasks * spec.GPUs
}

// tasksWithinQuota returns how many more tasks of a job may be dispatched.
func (u *teamUsage) tasksWithinQuota(job *jobState) int {
	limit := u.maxCPUs
	if job.spec.Priority() < jobs.PriorityUrgent && !job.starved {
		limit -= max(0, u.reservedCPUs-u.urgentCPUs)
	}
	task := resource.Vector{CPUs: job.spec.CPUs, GPUs: job.spec.GPUs}
	return min(job.pending.length(), task.CountIn(resource.Vector{CPUs: limit - u.cpus, GPUs: u.maxGPUs - u.gpus}))
}

// reserveForUrgent reserves a part of the teams' quotas for urgent jobs, as much as their
// urgent jobs have lately needed at once: other work, which may run for minutes, would else
// take up the quota and urgent work would wait for its ends.
func reserveForUrgent(teams map[string]*teamUsage, ordered []*jobState, now time.Duration) {
	needed := map[*teamUsage]float64{}
	for _, job := range ordered {
		if job.team != nil && !job.cancelled && job.spec.Priority() >= jobs.PriorityUrgent {
			needed[job.team] += float64(job.counts.open+job.pending.length()) * job.spec.CPUs
		}
	}
	for _, team := range teams {
		team.reservedCPUs *= math.Exp2(-float64(now-team.reservedAt) / float64(tuning.UrgentReserveHalfLife))
		team.reservedAt = now
		team.reservedCPUs = max(team.reservedCPUs, min(needed[team], tuning.MaxUrgentReserveShare*team.maxCPUs))
	}
}
