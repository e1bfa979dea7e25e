package taskstate

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lemonmoor/internal/jobs"
)

// A page of a shard's log contains the statuses of tasks that have changed since the earlier
// pages, from any records of the shard. Writing a page is one operation of a commit, however
// many tasks it contains, so that the write rate does not grow with the task rate. A page
// whose statuses are all superseded is overwritten.

// ErrInvalidPage is the error for a stored log page that cannot be decoded or contradicts
// itself.
var ErrInvalidPage = errors.New("invalid log page")

// storedPage is the JSON form of a log page.
type storedPage struct {
	Entries []pageEntry `json:"e"`
}

// pageEntry contains a page's statuses of the tasks of one record. Lists of tasks are in the
// form of rangeList; Placed and Running have one list for each worker.
type pageEntry struct {
	Record   string            `json:"c"` // JOB/NUMBER
	Placed   map[string]string `json:"p,omitempty"`
	Running  map[string]string `json:"b,omitempty"` // tasks of a gang that are in Placed and have run
	Waiting  string            `json:"w,omitempty"`
	Returned string            `json:"r,omitempty"`
	Done     string            `json:"d,omitempty"`
}

// Upper bounds of the sizes of the elements of a page, in bytes.
const (
	// entryOverheadBytes is the size of the JSON syntax of a page without its entries, and
	// of an entry without its record's name and lists.
	entryOverheadBytes = 48
	// workerOverheadBytes is the size of a further worker's list without the worker's name
	// and the ranges.
	workerOverheadBytes = 8
	// rangeBytes is the size of one range. It allows for twice the usual length of a task
	// index and an attempt.
	rangeBytes = 24
)

// LogPage is a page to be written: its stored form, and the tasks whose statuses it contains.
type LogPage struct {
	Value json.RawMessage
	Tasks []*Task
}

// PackPages encodes the statuses of tasks into at most maxPages pages of at most maxBytes
// each. It sorts the tasks in place and returns those that did not fit as rest.
func PackPages(tasks []*Task, maxBytes, maxPages int) (pages []LogPage, rest []*Task, err error) {
	slices.SortFunc(tasks, func(a, b *Task) int {
		if a.Group != b.Group {
			return strings.Compare(a.Group.Key, b.Group.Key)
		}
		return cmp.Compare(a.Index, b.Index)
	})
	for start := 0; start < len(tasks); {
		if len(pages) == maxPages {
			return pages, tasks[start:], nil
		}
		page, count := packPage(tasks[start:], maxBytes)
		value, err := json.Marshal(page)
		if err != nil {
			return nil, nil, fmt.Errorf("encode log page: %w", err)
		}
		pages = append(pages, LogPage{Value: value, Tasks: tasks[start : start+count]})
		start += count
	}
	return pages, nil, nil
}

// packPage builds a page of the first tasks, as many as fit, and returns their number.
func packPage(tasks []*Task, maxBytes int) (page storedPage, count int) {
	size := entryOverheadBytes
	for count < len(tasks) && size < maxBytes {
		packer := newEntryPacker(tasks[count].Group, size)
		added := packer.addTasks(tasks[count:], maxBytes)
		if added == 0 {
			break
		}
		page.Entries = append(page.Entries, packer.entry())
		count += added
		size = packer.size
	}
	return page, count
}

// entryPacker builds the entry of a page for the tasks of one record.
type entryPacker struct {
	group                   *TaskGroup
	record                  string                // JOB/NUMBER
	placed, running         map[string]*rangeList // by worker; nil while empty
	waiting, returned, done rangeList
	size                    int // upper bound of the page's size so far, in bytes
}

// newEntryPacker begins an entry on a page that already has size bytes.
func newEntryPacker(group *TaskGroup, size int) *entryPacker {
	record := group.Job.Spec.ID + "/" + strconv.Itoa(group.Number)
	return &entryPacker{group: group, record: record, size: size + entryOverheadBytes + len(record)}
}

// addTasks adds the first tasks of the record, as many as fit, and returns their number.
func (p *entryPacker) addTasks(tasks []*Task, maxBytes int) int {
	for i, task := range tasks {
		if task.Group != p.group || !p.add(task, maxBytes) {
			return i
		}
	}
	return len(tasks)
}

// add adds a task if it fits and reports whether it did.
func (p *entryPacker) add(task *Task, maxBytes int) bool {
	list, cost := p.listFor(task)
	attempt := task.Attempt
	if task.State == StateDone {
		attempt = defaultAttempt // the attempt of a completed task no longer matters
	}
	if !list.extends(task.Index, attempt) {
		cost += rangeBytes
	}
	if p.size+cost > maxBytes {
		return false
	}
	if task.State == StatePlaced {
		if p.placed == nil {
			p.placed = map[string]*rangeList{}
		}
		p.placed[task.WorkerID] = list
		p.addRunning(task)
	}
	list.add(task.Index, attempt)
	p.size += cost
	return true
}

// listFor returns the list that a task belongs to, and the cost in bytes of adding the task
// there, without its range. If the worker is new to the entry, the returned list is not part
// of the entry yet.
func (p *entryPacker) listFor(task *Task) (list *rangeList, cost int) {
	switch task.State {
	case StateWaiting:
		return &p.waiting, 0
	case StateReturned, StateDropped:
		return &p.returned, 0
	case StateDone:
		return &p.done, 0
	case StatePlaced:
	}
	list = p.placed[task.WorkerID]
	if list == nil {
		list, cost = &rangeList{}, len(task.WorkerID)+workerOverheadBytes
	}
	if task.Observed.HasRun {
		cost += len(task.WorkerID) + workerOverheadBytes + rangeBytes
	}
	return list, cost
}

// addRunning adds a placed task to the running ones if it has run.
func (p *entryPacker) addRunning(task *Task) {
	if !task.Observed.HasRun {
		return
	}
	if p.running == nil {
		p.running = map[string]*rangeList{}
	}
	if p.running[task.WorkerID] == nil {
		p.running[task.WorkerID] = &rangeList{}
	}
	p.running[task.WorkerID].add(task.Index, task.Attempt)
}

// entry returns the stored form of the entry.
func (p *entryPacker) entry() pageEntry {
	return pageEntry{
		Record: p.record, Placed: formatRanges(p.placed), Running: formatRanges(p.running),
		Waiting: p.waiting.String(), Returned: p.returned.String(), Done: p.done.String(),
	}
}

// formatRanges returns the stored forms of the lists by worker, nil if there are none.
func formatRanges(lists map[string]*rangeList) map[string]string {
	if len(lists) == 0 {
		return nil
	}
	texts := make(map[string]string, len(lists))
	for workerID, list := range lists {
		texts[workerID] = list.String()
	}
	return texts
}

// loggedStatus is the status of one task on a page.
type loggedStatus struct {
	jobID         string
	number, index int // of the record, and of the task
	status        TaskStatus
}

// decodePage returns the statuses on a stored page. For an invalid page it returns none and
// an error that wraps ErrInvalidPage.
func decodePage(value json.RawMessage) ([]loggedStatus, error) {
	var page storedPage
	if err := json.Unmarshal(value, &page); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidPage, err)
	}
	var statuses []loggedStatus
	for _, entry := range page.Entries {
		var err error
		if statuses, err = entry.decode(statuses); err != nil {
			return nil, fmt.Errorf("%w: record %q: %w", ErrInvalidPage, entry.Record, err)
		}
	}
	return statuses, nil
}

// decode appends the statuses of an entry to those passed in.
func (e *pageEntry) decode(statuses []loggedStatus) ([]loggedStatus, error) {
	jobID, numberText, _ := strings.Cut(e.Record, "/")
	number, err := strconv.Atoi(numberText)
	if err != nil || number < 0 || !jobs.ValidID(jobID) {
		return nil, errors.New("expected JOB/NUMBER")
	}
	add := func(list string, status TaskStatus) {
		if err != nil {
			return
		}
		err = parseRanges(list, jobs.MaxTasks, func(indexes indexRange) error {
			status.Attempt = indexes.lastAttempt
			for index := indexes.first; index <= indexes.last; index++ {
				statuses = append(statuses, loggedStatus{jobID, number, index, status})
			}
			return nil
		})
	}
	for workerID, list := range e.Placed {
		add(list, TaskStatus{State: StatePlaced, WorkerID: workerID})
	}
	for workerID, list := range e.Running {
		add(list, TaskStatus{State: StatePlaced, WorkerID: workerID, Running: true})
	}
	add(e.Waiting, TaskStatus{State: StateWaiting})
	add(e.Returned, TaskStatus{State: StateReturned})
	add(e.Done, TaskStatus{State: StateDone})
	return statuses, err
}
