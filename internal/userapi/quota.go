package userapi

import "lemonmoor/internal/resource"

// quotaVerdict says whether a job fitted its team's guaranteed quota when the job was new.
type quotaVerdict int8

const (
	quotaUnknown quotaVerdict = iota // not evaluated yet
	withinQuota
	beyondQuota
)

// WithinQuota reports whether the job, together with the team's earlier unfinished jobs, fits
// its team's guaranteed quota. The result is computed on the first call and does not change
// afterwards.
func (c *Catalog) WithinQuota(entry *Entry) bool {
	if entry.quota == quotaUnknown && entry.Spec != nil {
		entry.quota = c.evaluateQuota(entry)
	}
	return entry.quota == withinQuota
}

// evaluateQuota compares the resources of the job and of its team's earlier unfinished jobs,
// all tasks of each counted, with the team's guaranteed quota.
func (c *Catalog) evaluateQuota(entry *Entry) quotaVerdict {
	var cpus, gpus float64
	for _, other := range c.unfinished {
		if other.Spec == nil || other.Spec.Team != entry.Spec.Team || other.isLaterThan(entry) {
			continue
		}
		cpus += other.Spec.CPUs * float64(other.Spec.Tasks)
		gpus += other.Spec.GPUs * float64(other.Spec.Tasks)
	}
	team := c.teams[entry.Spec.Team]
	if cpus <= team.CPUs+resource.Epsilon && gpus <= team.GPUs+resource.Epsilon {
		return withinQuota
	}
	return beyondQuota
}

// isLaterThan reports whether the job comes after the other in the order by submission time,
// then by ID.
func (e *Entry) isLaterThan(other *Entry) bool {
	return e.SubmittedMS > other.SubmittedMS || (e.SubmittedMS == other.SubmittedMS && e.ID > other.ID)
}
