package leader

import (
	"slices"
	"sort"
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// jobTable holds the unfinished jobs, by ID and in dispatch order.
type jobTable struct {
	byID      map[string]*jobState
	ordered   []*jobState
	needsSort bool
}

func newJobTable() jobTable { return jobTable{byID: map[string]*jobState{}} }

// add adds a job to the table.
func (t *jobTable) add(job *jobState) {
	t.byID[job.entry.ID] = job
	t.ordered = append(t.ordered, job)
	t.needsSort = true
}

// remove removes a job from the table.
func (t *jobTable) remove(job *jobState) {
	delete(t.byID, job.entry.ID)
	t.ordered = slices.DeleteFunc(t.ordered, func(other *jobState) bool { return other == job })
}

// has reports whether the table contains this job state, which may have been removed or
// replaced since the caller got it.
func (t *jobTable) has(job *jobState) bool { return t.byID[job.entry.ID] == job }

// sort updates the ranks of the jobs and sorts them into dispatch order. nowMS is the time of
// day in milliseconds since the epoch.
func (t *jobTable) sort(nowMS int64, settings *settings.Settings) {
	for _, job := range t.ordered {
		age := time.Duration(nowMS-job.entry.SubmittedMS) * time.Millisecond
		if job.updateStarved(age, tuning.StarvedAfter) {
			t.needsSort = true
		}
		if job.pending.length() > 0 && !job.cancelled &&
			job.rank.Update(job.spec, settings, nowMS, job.spec.Tasks-job.counts.done) {
			t.needsSort = true
		}
	}
	if t.needsSort {
		sort.Slice(t.ordered, func(i, j int) bool { return jobBefore(t.ordered[i], t.ordered[j]) })
		t.needsSort = false
	}
	for position, job := range t.ordered {
		job.position = position
	}
}
