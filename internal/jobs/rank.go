package jobs

import (
	"cmp"

	"lemonmoor/internal/settings"
)

// Rank decides which of several jobs is served first. The leader and the owners of
// blocks order jobs by it.
type Rank struct {
	Priority Priority
	// MissedObjectives counts the users' aims that the job cannot meet any more. Under overload
	// a queue in order of age alone makes every job late.
	MissedObjectives int
	WithinQuota      bool // it fits its team's guarantee
	// RemainingWork is the work that is left of the job, by powers of two. A job of which one
	// task is left, lost with its machine, goes before jobs that have just begun:
	// ranked by all of its work, it waited behind them for a minute after its deadline.
	RemainingWork int
	SubmittedMS   int64 // ms since the epoch, by the accepting node's clock
	ID            string
}

// NewRank is the rank of a job that came at a time.
func NewRank(d *Spec, submitted int64, within bool) Rank {
	return Rank{Priority: d.Priority(), WithinQuota: within, RemainingWork: d.WorkSize(d.Tasks), SubmittedMS: submitted, ID: d.ID}
}

// Update brings the rank to a time of day in milliseconds, with so many tasks left,
// and tells whether it has changed.
func (r *Rank) Update(d *Spec, set *settings.Settings, wallMS int64, tasks int) bool {
	missed, size := d.MissedObjectives(set, float64(wallMS-r.SubmittedMS)/1000), d.WorkSize(tasks)
	changed := missed != r.MissedObjectives || size != r.RemainingWork
	r.MissedObjectives, r.RemainingWork = missed, size
	return changed
}

// Before tells whether a job goes before another.
func (r *Rank) Before(o *Rank) bool {
	if r.Priority != o.Priority {
		return r.Priority > o.Priority
	}
	if r.MissedObjectives != o.MissedObjectives {
		return r.MissedObjectives < o.MissedObjectives
	}
	if r.WithinQuota != o.WithinQuota {
		return r.WithinQuota
	}
	if c := cmp.Compare(r.RemainingWork, o.RemainingWork); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(r.SubmittedMS, o.SubmittedMS); c != 0 {
		return c < 0
	}
	return r.ID < o.ID
}
