package shard

import (
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// pageWrite is a commit of one page that was executed and is not answered yet.
type pageWrite struct {
	sequence uint64 // also the revision of the commit
	pages    []int
	tasks    []*taskstate.Task
	statuses map[*taskstate.Task]taskstate.TaskStatus // the status number is the attempt
}

// pagesModel models a log in which every status has a number, next to the code under test.
type pagesModel struct {
	pages           logPages
	tasks           []*taskstate.Task
	sequence        uint64
	inFlight        []pageWrite
	statusesByPage  map[int]map[*taskstate.Task]int // by page: the status numbers that it holds
	newestStatus    map[*taskstate.Task]int         // the newest status number given
	committedStatus map[*taskstate.Task]int         // the newest status number committed
}

// TestPageWithNewestStatusIsNeverOverwritten guards against losing the newest status of a
// task: its page must not be overwritten, regardless of how commits overlap and of the
// order in which they are answered. The log must also stay short.
func TestPageWithNewestStatusIsNeverOverwritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := pagesModel{
			pages:           logPages{revisionOf: func(int) uint64 { return 0 }},
			tasks:           make([]*taskstate.Task, rapid.IntRange(1, 40).Draw(t, "tasks")),
			statusesByPage:  map[int]map[*taskstate.Task]int{},
			newestStatus:    map[*taskstate.Task]int{},
			committedStatus: map[*taskstate.Task]int{},
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

// TestTasksMoveOffTheOldestSupersededPage guards against a log that grows without bound: once
// it is long, the statuses that remain on an old page are moved, so that the page can be
// overwritten.
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
	whole, remaining, moved := []*taskstate.Task{newTask(), newTask()}, newTask(), newTask()
	write(0, whole...)
	write(1, remaining, moved)
	for number := 2; number < tuning.LogCompactionPages-1; number++ {
		write(number, newTask())
	}
	if got := pages.tasksToMove(); got != nil {
		t.Errorf("short log without superseded pages: %d tasks to move, want none", len(got))
	}
	write(tuning.LogCompactionPages-1, moved)
	if got := pages.tasksToMove(); len(got) != 1 || got[0] != remaining {
		t.Fatalf("long log: %d tasks to move, want only the one remaining on page 1", len(got))
	}
	write(tuning.LogCompactionPages, remaining)
	if reserved := pages.reserve(1); len(reserved) != 1 || reserved[0] != 1 {
		t.Errorf("reserved pages %v, want page 1", reserved)
	}
}

// commit writes drawn tasks to a page immediately; answer delivers the answer later.
func (m *pagesModel) commit(t *rapid.T) {
	m.sequence++
	write := pageWrite{sequence: m.sequence, statuses: map[*taskstate.Task]taskstate.TaskStatus{}}
	var list []*taskstate.Task
	if len(m.inFlight) == 0 {
		list = append(list, m.pages.tasksToMove()...)
	}
	for range rapid.IntRange(1, 5).Draw(t, "changed") {
		task := m.tasks[rapid.IntRange(0, len(m.tasks)-1).Draw(t, "task")]
		m.newestStatus[task]++
		list = append(list, task)
	}
	write.pages = m.pages.reserve(1)
	statuses := map[*taskstate.Task]int{}
	for _, task := range list {
		if _, twice := statuses[task]; !twice {
			write.tasks = append(write.tasks, task)
		}
		statuses[task] = m.newestStatus[task]
		write.statuses[task] = taskstate.TaskStatus{State: taskstate.StatePlaced, Attempt: uint64(statuses[task])}
	}
	m.statusesByPage[write.pages[0]] = statuses
	for _, task := range write.tasks {
		m.committedStatus[task] = max(m.committedStatus[task], statuses[task])
	}
	m.inFlight = append(m.inFlight, write)
}

// answer delivers the answer to one of the commits in flight.
func (m *pagesModel) answer(index int) {
	write := m.inFlight[index]
	m.inFlight = append(m.inFlight[:index:index], m.inFlight[index+1:]...)
	m.pages.release(write.pages, write.sequence)
	for _, task := range write.tasks {
		m.pages.record(task, write.pages[0], write.statuses[task], write.sequence)
	}
}

// check fails the test if the newest committed status of a task is on no page, or if the log
// is too long.
func (m *pagesModel) check(t *rapid.T) {
	t.Helper()
	for _, task := range m.tasks {
		newest := 0
		for _, statuses := range m.statusesByPage {
			newest = max(newest, statuses[task])
		}
		if newest < m.committedStatus[task] {
			t.Fatalf("task %d: committed status %d, newest in the log is %d", task.Index, m.committedStatus[task], newest)
		}
	}
	if len(m.pages.pages) > 2*tuning.LogCompactionPages {
		t.Fatalf("log of %d pages for %d tasks, want at most %d pages", len(m.pages.pages), len(m.tasks), 2*tuning.LogCompactionPages)
	}
}

// TestRepeatedStatusIsNotLostWithItsPage guards against overwriting the only page with a task's
// newest status, after the state service has carried out two commits with it in reverse order.
func TestRepeatedStatusIsNotLostWithItsPage(t *testing.T) {
	for _, test := range []struct {
		name         string
		change       func(*testNode, *taskstate.Task)
		done, placed int // as a process that starts has to read them
	}{
		{"completion", func(node *testNode, task *taskstate.Task) { node.tasks.TaskDone(task) }, 1, 2},
		{"placement", func(_ *testNode, task *taskstate.Task) {
			task.TakeOffWorker()
			task.PlaceOn("vm-3")
		}, 0, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			service, node := newShardOwner(t, 3)
			service.Hold = writesLogPage
			task := node.place("vm-1")
			service.Run(time.Second)
			test.change(node, task)
			node.tasks.TaskChanged(task, true)
			node.tasks.Flush()
			service.Run(time.Second)
			service.Held[0].Answer(statetest.Reply(429, nil), nil) // the status is written again
			service.Run(5 * time.Second)
			if len(service.Held) != 3 {
				t.Fatalf("%d commits of log pages sent, want 3", len(service.Held))
			}
			last, first := service.Commit(service.Held[2]), service.Commit(service.Held[1])
			service.Held[1].Answer(first, nil)
			service.Held[2].Answer(last, nil)
			service.Hold = nil
			for _, index := range []int{1, 2} {
				placed := node.tasks.Job(jobID).Tasks[index]
				placed.PlaceOn("vm-2")
				node.tasks.TaskChanged(placed, true)
				node.tasks.Flush()
				service.Run(time.Second)
				node.leases.RenewToken(0)
				service.Run(5 * time.Second)
			}
			fresh := taskstate.NewStore(service, newStateClient(service), slog.New(slog.DiscardHandler))
			fresh.Start()
			service.Run(time.Second)
			if done, placed := fresh.Progress(jobID); done != test.done || placed != test.placed {
				t.Errorf("a process that starts reads %d tasks done and %d placed, want %d and %d", done, placed, test.done, test.placed)
			}
		})
	}
}

// TestStatusOnAnotherPageIsReportedAndWrittenAgain guards against an owner that takes a status from
// another page than the readers of the log, unnoticed.
func TestStatusOnAnotherPageIsReportedAndWrittenAgain(t *testing.T) {
	service, node := newShardOwner(t, 1)
	task := node.place("vm-1")
	service.Run(time.Second)
	node.tasks.CheckLog()
	metricsOfNode := node.tasks.deps.Metrics
	if got := metricsOfNode.Violations(metrics.InvariantStatusOnPage); got != 0 {
		t.Fatalf("after a placement: %d violations, want 0", got)
	}
	task.Log.Page++ // the copy of the log has it on the page before
	service.AdvanceClock(tuning.LogCheckInterval)
	node.tasks.CheckLog()
	if got := metricsOfNode.Violations(metrics.InvariantStatusOnPage); got != 1 {
		t.Errorf("with the status on another page: %d violations, want 1", got)
	}
	if !task.Log.Dirty {
		t.Error("the status is not written again")
	}
}

// TestFormerOwnerDoesNotCompareItsPages guards against an alarm of an owner whose lease may have
// ended: its copy of the log may hold the commits of a later owner.
func TestFormerOwnerDoesNotCompareItsPages(t *testing.T) {
	service, node := newShardOwner(t, 1)
	task := node.place("vm-1")
	service.Run(time.Second)
	task.Log.Page++
	service.AdvanceClock(time.Minute) // no renewal has been answered
	node.tasks.CheckLog()
	if got := node.tasks.deps.Metrics.Violations(metrics.InvariantStatusOnPage); got != 0 {
		t.Errorf("without a valid lease: %d violations, want 0", got)
	}
}
