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

// A page of a shard's log tells what has become of tasks, of any records of the shard, since
// the pages before it. One page is one operation of a commit and takes as many tasks as
// there are to tell of, so that the write rate does not grow with the task rate. A page all
// of whose statuses are superseded is overwritten.

// ErrInvalidPage tells that a stored log page cannot be decoded or contradicts itself.
var ErrInvalidPage = errors.New("invalid log page")

// storedPage is the JSON form of a log page.
type storedPage struct {
	Entries []pageEntry `json:"e"`
}

// pageEntry is what a page says of the tasks of one record. Lists of tasks are in the form of
// rangeList; Placed and Running have one for each worker.
type pageEntry struct {
	Record   string            `json:"c"` // JOB/NUMBER
	Placed   map[string]string `json:"p,omitempty"`
	Running  map[string]string `json:"b,omitempty"` // tasks of a gang that are in Placed and have run
	Waiting  string            `json:"w,omitempty"`
	Returned string            `json:"r,omitempty"`
	Done     string            `json:"d,omitempty"`
}

// Upper bounds for the size of what is added to a page, in bytes.
const (
	// frameBytes is what JSON adds to a page, and to the parts of an entry.
	frameBytes = 48
	// workerBytes is what a list for another worker takes besides the worker's name.
	workerBytes = 8
	// rangeBytes is what one range takes, twice the usual length of a task and an attempt
	// allowed for.
	rangeBytes = 24
)

// LogPage is a page to be written: its stored form, and the tasks whose statuses it holds.
type LogPage struct {
	Value json.RawMessage
	Tasks []*Task
}

// PackPages writes the statuses of tasks on at most maxPages pages of at most maxBytes each.
// It sorts the tasks in place; rest are those that were left over.
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

// packPage makes a page of the first tasks, as many as fit.
func packPage(tasks []*Task, maxBytes int) (page storedPage, count int) {
	size := frameBytes
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

// entryPacker gathers what a page says of the tasks of one record.
type entryPacker struct {
	group                   *TaskGroup
	record                  string                // JOB/NUMBER
	placed, running         map[string]*rangeList // by worker; nil while there are none
	waiting, returned, done rangeList
	size                    int // of the page so far, at most
}

// newEntryPacker begins an entry on a page that already has so many bytes.
func newEntryPacker(group *TaskGroup, size int) *entryPacker {
	record := group.Job.Spec.ID + "/" + strconv.Itoa(group.Number)
	return &entryPacker{group: group, record: record, size: size + frameBytes + len(record)}
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

// add adds a task if it fits.
func (p *entryPacker) add(task *Task, maxBytes int) bool {
	list, cost := p.listFor(task)
	attempt := task.Attempt
	if task.State == StateDone {
		attempt = usualAttempt // of a completed task the attempt no longer matters
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

// listFor returns the list that a task belongs to, and how many bytes it takes besides the
// task's range. The list of a worker that is new to the entry is not part of it yet.
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
		list, cost = &rangeList{}, len(task.WorkerID)+workerBytes
	}
	if task.Observed.HasRun {
		cost += len(task.WorkerID) + workerBytes + rangeBytes
	}
	return list, cost
}

// addRunning adds a placed task to those that have run, if it has.
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

// entry returns the stored form.
func (p *entryPacker) entry() pageEntry {
	return pageEntry{
		Record: p.record, Placed: formatRanges(p.placed), Running: formatRanges(p.running),
		Waiting: p.waiting.String(), Returned: p.returned.String(), Done: p.done.String(),
	}
}

// formatRanges writes a list for each worker.
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

// loggedStatus is the status that a page holds of one task.
type loggedStatus struct {
	jobID         string
	number, index int // of the record, and of the task
	status        TaskStatus
}

// decodePage returns the statuses that a stored page holds. Of an invalid page it returns
// none: the error is ErrInvalidPage.
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

// decode appends the statuses that an entry holds.
func (e *pageEntry) decode(statuses []loggedStatus) ([]loggedStatus, error) {
	jobID, numberText, _ := strings.Cut(e.Record, "/")
	number, err := strconv.Atoi(numberText)
	if err != nil || number < 0 || !jobs.ValidID(jobID) {
		return nil, errors.New("not a record's name")
	}
	add := func(list string, status TaskStatus) {
		if err != nil {
			return
		}
		err = parseRanges(list, jobs.MaxTasks, func(part indexRange) error {
			status.Attempt = part.attempt
			for index := part.first; index <= part.last; index++ {
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
