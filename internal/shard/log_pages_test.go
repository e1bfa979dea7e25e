package shard

import (
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// pageWrite is a commit of one page that is carried out and not answered yet.
type pageWrite struct {
	sequence uint64
	pages    []int
	tasks    []*taskstate.Task
}

// pagesModel is a log of which every status is numbered, beside the code under test.
type pagesModel struct {
	pages     logPages
	tasks     []*taskstate.Task
	sequence  uint64
	inFlight  []pageWrite
	content   map[int]map[*taskstate.Task]int // by page: the status numbers that it holds
	changed   map[*taskstate.Task]int         // the newest status number given
	committed map[*taskstate.Task]int         // the newest status number committed
}

// TestPageWithNewestStatusIsNeverOverwritten: however commits overlap and whichever is
// answered first, the page that holds the newest status of a task is not overwritten, and
// the log stays short.
func TestPageWithNewestStatusIsNeverOverwritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := pagesModel{
			pages:     logPages{revisionOf: func(int) uint64 { return 0 }},
			tasks:     make([]*taskstate.Task, rapid.IntRange(1, 40).Draw(t, "tasks")),
			content:   map[int]map[*taskstate.Task]int{},
			changed:   map[*taskstate.Task]int{},
			committed: map[*taskstate.Task]int{},
		}
		for i := range model.tasks {
			model.tasks[i] = &taskstate.Task{Index: i, Log: taskstate.LogPosition{Page: -1}}
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if len(model.inFlight) < tuning.MaxCommitsInFlight && rapid.Bool().Draw(t, "commit") {
				model.commit(t)
			} else if len(model.inFlight) > 0 {
				model.answer(rapid.IntRange(0, len(model.inFlight)-1).Draw(t, "answered"))
			}
			model.check(t)
		}
	})
}

// TestTasksMoveOffTheOldestSupersededPage: once the log is long, the statuses that are left on
// an old page are moved, so that it can be overwritten.
func TestTasksMoveOffTheOldestSupersededPage(t *testing.T) {
	pages := logPages{revisionOf: func(int) uint64 { return 0 }}
	write := func(number int, tasks ...*taskstate.Task) {
		for _, task := range tasks {
			pages.removeTask(task.Log.Page)
			task.Log.Page = number
			pages.addTask(number, task)
		}
	}
	newTask := func() *taskstate.Task { return &taskstate.Task{Log: taskstate.LogPosition{Page: -1}} }
	whole, left, moved := []*taskstate.Task{newTask(), newTask()}, newTask(), newTask()
	write(0, whole...)
	write(1, left, moved)
	for number := 2; number < tuning.LogCompactionPages-1; number++ {
		write(number, newTask())
	}
	if got := pages.tasksToMove(); got != nil {
		t.Errorf("%d tasks are moved while no page is superseded and the log is short", len(got))
	}
	write(tuning.LogCompactionPages-1, moved)
	if got := pages.tasksToMove(); len(got) != 1 || got[0] != left {
		t.Fatalf("%d tasks are moved, want the one left on page 1", len(got))
	}
	write(tuning.LogCompactionPages, left)
	if reserved := pages.reserve(1); len(reserved) != 1 || reserved[0] != 1 {
		t.Errorf("pages %v are overwritten, want page 1", reserved)
	}
}

// commit writes drawn tasks to a page, at once; the answer comes later.
func (m *pagesModel) commit(t *rapid.T) {
	m.sequence++
	write := pageWrite{sequence: m.sequence}
	var list []*taskstate.Task
	if len(m.inFlight) == 0 {
		list = append(list, m.pages.tasksToMove()...)
	}
	for range rapid.IntRange(1, 5).Draw(t, "changed") {
		task := m.tasks[rapid.IntRange(0, len(m.tasks)-1).Draw(t, "task")]
		m.changed[task]++
		list = append(list, task)
	}
	write.pages = m.pages.reserve(1)
	statuses := map[*taskstate.Task]int{}
	for _, task := range list {
		if _, twice := statuses[task]; !twice {
			write.tasks = append(write.tasks, task)
		}
		statuses[task] = m.changed[task]
	}
	m.content[write.pages[0]] = statuses
	for _, task := range write.tasks {
		m.committed[task] = max(m.committed[task], statuses[task])
	}
	m.inFlight = append(m.inFlight, write)
}

// answer answers one of the commits in flight.
func (m *pagesModel) answer(index int) {
	write := m.inFlight[index]
	m.inFlight = append(m.inFlight[:index:index], m.inFlight[index+1:]...)
	m.pages.release(write.pages, write.sequence)
	for _, task := range write.tasks {
		if write.sequence < task.Log.Commit {
			continue
		}
		task.Log.Commit = write.sequence
		m.pages.removeTask(task.Log.Page)
		task.Log.Page = write.pages[0]
		m.pages.addTask(task.Log.Page, task)
	}
}

// check looks for a task whose newest committed status is on no page, and at the length of
// the log.
func (m *pagesModel) check(t *rapid.T) {
	t.Helper()
	for _, task := range m.tasks {
		newest := 0
		for _, statuses := range m.content {
			newest = max(newest, statuses[task])
		}
		if newest < m.committed[task] {
			t.Fatalf("task %d: status %d was committed, the log holds %d", task.Index, m.committed[task], newest)
		}
	}
	if len(m.pages.pages) > 2*tuning.LogCompactionPages {
		t.Fatalf("%d pages for %d tasks", len(m.pages.pages), len(m.tasks))
	}
}
