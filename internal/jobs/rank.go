package jobs

import (
	"cmp"

	"lemonmoor/internal/settings"
)

// Rank is the sort key for the order in which jobs are scheduled. The leader and the shard
// owners both order jobs by it.
type Rank struct {
	Priority Priority
	// MissedObjectives is the number of service-level objectives that the job can no longer
	// meet; jobs with fewer go first. Under overload, ordering by age alone makes every job
	// late.
	MissedObjectives int
	WithinQuota      bool // the job fits its team's guaranteed quota
	// RemainingWork is the WorkSize of the job's unfinished tasks; jobs with less go first.
	// It does not count finished tasks, so that a job whose last task was lost with its
	// machine goes before jobs that have just begun. Ranked by its total work, such a job
	// waits behind them, for example for a minute past its deadline.
	RemainingWork int
	SubmittedMS   int64 // milliseconds since the Unix epoch, by the accepting node's clock
	ID            string
}

// NewRank returns the rank of a job with no finished tasks. submittedMS is its submission time
// in milliseconds since the Unix epoch.
func NewRank(spec *Spec, submittedMS int64, withinQuota bool) Rank {
	return Rank{Priority: spec.Priority(), WithinQuota: withinQuota, RemainingWork: spec.WorkSize(spec.Tasks), SubmittedMS: submittedMS, ID: spec.ID}
}

// Update recomputes MissedObjectives and RemainingWork for the current time wallMS, in
// milliseconds since the Unix epoch, and the number of unfinished tasks. It reports whether
// either has changed.
func (r *Rank) Update(spec *Spec, nodeSettings *settings.Settings, wallMS int64, tasksLeft int) bool {
	missedObjectives := spec.MissedObjectives(nodeSettings, float64(wallMS-r.SubmittedMS)/1000)
	remainingWork := spec.WorkSize(tasksLeft)
	hasChanged := missedObjectives != r.MissedObjectives || remainingWork != r.RemainingWork
	r.MissedObjectives, r.RemainingWork = missedObjectives, remainingWork
	return hasChanged
}

// Before reports whether the job is scheduled before the other.
func (r *Rank) Before(other *Rank) bool {
	if r.Priority != other.Priority {
		return r.Priority > other.Priority
	}
	if r.MissedObjectives != other.MissedObjectives {
		return r.MissedObjectives < other.MissedObjectives
	}
	if r.WithinQuota != other.WithinQuota {
		return r.WithinQuota
	}
	if c := cmp.Compare(r.RemainingWork, other.RemainingWork); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(r.SubmittedMS, other.SubmittedMS); c != 0 {
		return c < 0
	}
	return r.ID < other.ID
}
