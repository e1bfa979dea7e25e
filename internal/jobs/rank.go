package jobs

import (
	"cmp"

	"lemonmoor/internal/settings"
)

// Rank decides which of several jobs is served first. The leader and the owners of shards
// order jobs by it.
type Rank struct {
	Priority Priority
	// MissedObjectives counts the service-level objectives that the job cannot meet any
	// more. Under overload a queue in order of age alone makes every job late.
	MissedObjectives int
	WithinQuota      bool // it fits its team's guaranteed quota
	// RemainingWork is the work that is left of the job, see Spec.WorkSize. A job of which
	// one task is left, lost with its machine, goes before jobs that have just begun: ranked
	// by all of its work, it waited behind them for a minute after its deadline.
	RemainingWork int
	SubmittedMS   int64 // milliseconds since the epoch, by the accepting node's clock
	ID            string
}

// NewRank returns the rank of a job of which nothing is done, submitted at a time of day.
func NewRank(spec *Spec, submittedMS int64, withinQuota bool) Rank {
	return Rank{Priority: spec.Priority(), WithinQuota: withinQuota, RemainingWork: spec.WorkSize(spec.Tasks), SubmittedMS: submittedMS, ID: spec.ID}
}

// Update brings the rank to a time of day in milliseconds since the epoch, with a number of
// tasks left, and reports whether it has changed.
func (r *Rank) Update(spec *Spec, nodeSettings *settings.Settings, wallMS int64, tasksLeft int) bool {
	missedObjectives := spec.MissedObjectives(nodeSettings, float64(wallMS-r.SubmittedMS)/1000)
	remainingWork := spec.WorkSize(tasksLeft)
	hasChanged := missedObjectives != r.MissedObjectives || remainingWork != r.RemainingWork
	r.MissedObjectives, r.RemainingWork = missedObjectives, remainingWork
	return hasChanged
}

// Before reports whether a job goes before another.
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
