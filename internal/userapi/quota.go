package userapi

import "lemonmoor/internal/resource"

// quotaVerdict is whether a job was within its team's guaranteed quota when it was new.
type quotaVerdict int8

const (
	quotaUnknown quotaVerdict = iota // not evaluated yet
	withinQuota
	beyondQuota
)

// WithinQuota tells whether a job fits into its team's guaranteed quota together with the
// team's earlier unfinished jobs. It is evaluated once, when it is first asked for.
func (c *Catalog) WithinQuota(entry *Entry) bool {
	if entry.quota == quotaUnknown && entry.Spec != nil {
		entry.quota = c.evaluateQuota(entry)
	}
	return entry.quota == withinQuota
}

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

// isLaterThan orders jobs by their submission, then by their IDs.
func (e *Entry) isLaterThan(other *Entry) bool {
	return e.SubmittedMS > other.SubmittedMS || (e.SubmittedMS == other.SubmittedMS && e.ID > other.ID)
}
