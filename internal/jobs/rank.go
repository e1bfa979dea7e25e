package jobs

import (
	"cmp"

	"lemonmoor/internal/settings"
)

// Rank decides which of several jobs is served first. The leader and the owners of
// blocks order jobs by it.
type Rank struct {
	Priority Priority
	// Missed counts the users' aims that the job cannot meet any more. Under overload
	// a queue in order of age alone makes every job late.
	Missed int
	Within bool // it fits its team's guarantee
	// Size is the work that is left of the job, by powers of two. A job of which one
	// task is left, lost with its machine, goes before jobs that have just begun:
	// ranked by all of its work, it waited behind them for a minute after its deadline.
	Size      int
	Submitted int64 // ms since the epoch, by the accepting node's clock
	ID        string
}

// NewRank is the rank of a job that came at a time.
func NewRank(d *Description, submitted int64, within bool) Rank {
	return Rank{Priority: d.Priority(), Within: within, Size: d.Size(d.Tasks), Submitted: submitted, ID: d.ID}
}

// Update brings the rank to a time of day in milliseconds, with so many tasks left,
// and tells whether it has changed.
func (r *Rank) Update(d *Description, set *settings.Settings, wallMS int64, tasks int) bool {
	missed, size := d.Missed(set, float64(wallMS-r.Submitted)/1000), d.Size(tasks)
	changed := missed != r.Missed || size != r.Size
	r.Missed, r.Size = missed, size
	return changed
}

// Before tells whether a job goes before another.
func (r *Rank) Before(o *Rank) bool {
	if r.Priority != o.Priority {
		return r.Priority > o.Priority
	}
	if r.Missed != o.Missed {
		return r.Missed < o.Missed
	}
	if r.Within != o.Within {
		return r.Within
	}
	if c := cmp.Compare(r.Size, o.Size); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(r.Submitted, o.Submitted); c != 0 {
		return c < 0
	}
	return r.ID < o.ID
}
