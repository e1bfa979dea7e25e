package leader

import (
	"fmt"
	"math"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// teamUsage is the part of a team's quota that its open tasks use. The quota does not limit
// memory.
type teamUsage struct {
	maxCPUs, maxGPUs float64       // the quota
	cpus, gpus       float64       // of open tasks, including those planned in the current round
	urgentCPUs       float64       // of open tasks of urgent jobs
	reservedCPUs     float64       // part of the quota that is reserved for urgent jobs
	reservedAt       time.Duration // when reservedCPUs was last updated, by the loop's clock
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

// String returns the usage and the quota for logs: processors, then GPUs.
func (u *teamUsage) String() string {
	return fmt.Sprintf("%g/%g cpus %g/%g gpus", u.cpus, u.maxCPUs, u.gpus, u.maxGPUs)
}

// count adds open tasks of a job. A negative number subtracts them.
func (u *teamUsage) count(spec *jobs.Spec, tasks float64) {
	u.cpus += tasks * spec.CPUs
	u.gpus += tasks * spec.GPUs
	if spec.Priority() >= jobs.PriorityUrgent {
		u.urgentCPUs += tasks * spec.CPUs
	}
}

// countPlanned adds tasks that a dispatch round has planned. They are subtracted again when
// their record is counted.
func (u *teamUsage) countPlanned(spec *jobs.Spec, tasks float64) {
	u.cpus += tasks * spec.CPUs
	u.gpus += tasks * spec.GPUs
}

// tasksWithinQuota returns how many pending tasks of a job may be dispatched within the quota.
func (u *teamUsage) tasksWithinQuota(job *jobState) int {
	limit := u.maxCPUs
	if job.spec.Priority() < jobs.PriorityUrgent && !job.starved {
		limit -= max(0, u.reservedCPUs-u.urgentCPUs)
	}
	task := resource.Vector{CPUs: job.spec.CPUs, GPUs: job.spec.GPUs}
	return min(job.pending.length(), task.CountIn(resource.Vector{CPUs: limit - u.cpus, GPUs: u.maxGPUs - u.gpus}))
}

// reserveForUrgent reserves a part of each team's quota for its urgent jobs: the processors that
// they have needed at once, where past need decays with tuning.UrgentReserveHalfLife, and at
// most tuning.MaxUrgentReserveShare. Without a reserve, other work, which may run for minutes,
// would use up the quota, and urgent work would have to wait until it ends.
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
