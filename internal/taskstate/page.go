package taskstate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lemonmoor/internal/jobs"
)

// A page of a block's log tells what has become of tasks of any records of the
// block since those pages before it. One page, one change of one key, takes as
// many tasks as there are to tell of, so the changes a second do not grow with
// the tasks a second. A page all of whose marks are superseded is written over.

// pageEntry is what a page says of the tasks of one record.
type pageEntry struct {
	Record   string            `json:"c"` // JOB/NUMBER
	Placed   map[string]string `json:"p,omitempty"`
	Running  map[string]string `json:"b,omitempty"` // of those, tasks of a gang that have run
	Waiting  string            `json:"w,omitempty"`
	Returned string            `json:"r,omitempty"`
	Done     string            `json:"d,omitempty"`
}

type storedPage struct {
	Entries []pageEntry `json:"e"`
}

// pageOverheadBytes is how many bytes JSON adds to an entry's parts; rangeBytes is the
// most that one run takes, with a task's and an attempt's usual length twice
// allowed for.
const (
	pageOverheadBytes = 48
	rangeBytes = 24
)

// PackPages writes tasks on pages of at most limit bytes, at most most of them. It
// orders the list; tasks past the last full page are left over.
func PackPages(tasks []*Task, limit, most int) (pages []json.RawMessage, on [][]*Task, rest []*Task, err error) {
	slices.SortFunc(tasks, func(a, b *Task) int {
		if a.Group != b.Group {
			return strings.Compare(a.Group.Key, b.Group.Key)
		}
		return cmp.Compare(a.Index, b.Index)
	})
	for start := 0; start < len(tasks); {
		if len(pages) == most {
			return pages, on, tasks[start:], nil
		}
		var p storedPage
		size, end := pageOverheadBytes, start
		for end < len(tasks) && size < limit {
			var e pageEntry
			var n int
			e, n, size = fillEntry(tasks[end:], size, limit)
			if n == 0 {
				break
			}
			p.Entries = append(p.Entries, e)
			end += n
		}
		raw, err := json.Marshal(p)
		if err != nil {
			return nil, nil, nil, fmt.Errorf("log page: %w", err)
		}
		pages, on = append(pages, raw), append(on, tasks[start:end])
		start = end
	}
	return pages, on, nil, nil
}

// fillEntry takes the first tasks of one record, as many as fit.
func fillEntry(tasks []*Task, size, limit int) (e pageEntry, n, total int) {
	c := tasks[0].Group
	e.Record = c.Job.Spec.ID + "/" + strconv.Itoa(c.Number)
	size += pageOverheadBytes + len(e.Record)
	var waiting, returned, done rangeList
	placed, running := map[string]*rangeList{}, map[string]*rangeList{}
	for _, t := range tasks {
		if t.Group != c {
			break
		}
		cost, attempt, to := 0, t.Attempt, &waiting
		switch t.State {
		case StatePlaced:
			if to = placed[t.WorkerID]; to == nil {
				to = &rangeList{}
				cost = len(t.WorkerID) + 8
			}
			if t.Observed.HasRun {
				cost += len(t.WorkerID) + 8 + rangeBytes
			}
		case StateReturned, StateDropped:
			to = &returned
		case StateDone:
			to, attempt = &done, usualAttempt
		}
		if !to.extends(t.Index, attempt) {
			cost += rangeBytes
		}
		if size+cost > limit {
			break
		}
		if t.State == StatePlaced {
			placed[t.WorkerID] = to
			if t.Observed.HasRun {
				if running[t.WorkerID] == nil {
					running[t.WorkerID] = &rangeList{}
				}
				running[t.WorkerID].add(t.Index, attempt)
			}
		}
		to.add(t.Index, attempt)
		size += cost
		n++
	}
	e.Placed, e.Running = formatRanges(placed), formatRanges(running)
	e.Waiting, e.Returned, e.Done = waiting.String(), returned.String(), done.String()
	return e, n, size
}

// formatRanges writes the runs of each machine.
func formatRanges(of map[string]*rangeList) map[string]string {
	if len(of) == 0 {
		return nil
	}
	list := make(map[string]string, len(of))
	for host, r := range of {
		list[host] = r.String()
	}
	return list
}

// decodePage calls fn for each task that a page tells of.
func decodePage(value json.RawMessage, fn func(job string, number, task int, m TaskStatus)) error {
	var p storedPage
	if err := json.Unmarshal(value, &p); err != nil {
		return fmt.Errorf("log page: %w", err)
	}
	type word struct {
		job          string
		number, task int
		mark         TaskStatus
	}
	var words []word // nothing of a malformed page is taken in
	for _, e := range p.Entries {
		job, num, _ := strings.Cut(e.Record, "/")
		number, err := strconv.Atoi(num)
		if err != nil || number < 0 || !jobs.ValidID(job) {
			return fmt.Errorf("log page: not a record: %q", e.Record)
		}
		runs := func(text string, m TaskStatus) {
			if err == nil {
				err = parseRanges(text, jobs.MaxTasks, func(r indexRange) error {
					m.Attempt = r.attempt
					for i := r.first; i <= r.last; i++ {
						words = append(words, word{job, number, i, m})
					}
					return nil
				})
			}
		}
		for host, text := range e.Placed {
			runs(text, TaskStatus{State: StatePlaced, WorkerID: host})
		}
		for host, text := range e.Running {
			runs(text, TaskStatus{State: StatePlaced, WorkerID: host, Running: true})
		}
		runs(e.Waiting, TaskStatus{State: StateWaiting})
		runs(e.Returned, TaskStatus{State: StateReturned})
		runs(e.Done, TaskStatus{State: StateDone})
		if err != nil {
			return fmt.Errorf("log page: %s: %w", e.Record, err)
		}
	}
	for _, w := range words {
		fn(w.job, w.number, w.task, w.mark)
	}
	return nil
}
