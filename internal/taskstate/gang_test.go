package taskstate

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// gangModel drives a gang and checks the invariants of its attempts.
type gangModel struct {
	job    *Job
	record *Record
	store  *Store // the committed state
	now    time.Duration

	placements        map[string]bool // all placements so far, by task, attempt and worker
	startedAttempts   map[uint64]bool // attempts that have run
	committedStatuses []TaskStatus    // by task
	newWorkerCount    int
}

// TestGangAttempts drives a gang through placements, losses, starts and new owners that know
// only the committed state. The gang's tasks on workers must share their attempt; a worker
// must never be assigned the same task and attempt twice; no task may be replaced once the
// gang has run; each status must supersede the previous one, so that log pages may be read in
// any order.
func TestGangAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newGangModel(t, rapid.IntRange(1, 5).Draw(t, "tasks"))
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			model.now += time.Second
			model.step(t)
			model.check(t)
		}
	})
}

func newGangModel(t *rapid.T, taskCount int) *gangModel {
	t.Helper()
	indexes := make([]int, taskCount)
	for i := range indexes {
		indexes[i] = i
	}
	model := &gangModel{
		job:    &Job{Spec: &jobs.Spec{ID: "wk-1", Shape: "gang", Tasks: taskCount}},
		record: NewRecord(0, "wk-1", 0, indexes, nil, nil),
		store:  NewStore(nil, nil, slog.New(slog.DiscardHandler)),
		now:    time.Hour, placements: map[string]bool{}, startedAttempts: map[uint64]bool{}, committedStatuses: make([]TaskStatus, taskCount),
	}
	value, err := model.record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	model.store.apply(model.record.Key, value, 1)
	model.beginTerm()
	return model
}

// beginTerm replaces the owner by a new one, which knows only the committed state.
func (m *gangModel) beginTerm() {
	*m.job = Job{Spec: m.job.Spec, Gang: &Gang{}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
	LoadRecord(m.job, m.store.Get(m.record.Key))
	m.job.RecoverGang(m.now)
}

// placedTasks returns the tasks that are on workers, by ascending index.
func (m *gangModel) placedTasks() []*Task {
	var placed []*Task
	for i := range m.committedStatuses {
		if task := m.job.Tasks[i]; task.State == StatePlaced {
			placed = append(placed, task)
		}
	}
	return placed
}

// step draws and executes the next event.
func (m *gangModel) step(t *rapid.T) {
	t.Helper()
	placed, gang := m.placedTasks(), m.job.Gang
	step := rapid.IntRange(0, 6).Draw(t, "step")
	switch {
	case step <= 1:
		m.place(t, len(placed))
	case step == 2 && len(placed) == len(m.committedStatuses) && !gang.AttemptOver && gang.StartInDoubtSince == 0:
		m.run(t, placed)
	case step == 3 && len(placed) > 0:
		loss := LossVanished
		if !m.startedAttempts[gang.Attempt] {
			loss = rapid.SampledFrom([]Loss{LossBeforeWaiting, LossVanished, LossExited}).Draw(t, "loss")
		}
		m.lose(t, placed[rapid.IntRange(0, len(placed)-1).Draw(t, "which")], loss)
	case step == 4 && len(placed) > 0 && gang.StartInDoubtSince > 0 && !m.startedAttempts[gang.Attempt]:
		m.job.ReportedWaiting(m.now)
	case step == 5:
		m.beginTerm()
	case step == 6 && gang.AttemptOver:
		for _, task := range placed {
			m.lose(t, task, LossExited)
		}
	}
}

// place places the tasks that are to be placed. The owner may be replaced in between.
func (m *gangModel) place(t *rapid.T, placedCount int) {
	t.Helper()
	tasks := m.job.TasksToPlace()
	if len(tasks) > 0 && placedCount == 0 && len(tasks) != len(m.committedStatuses) {
		t.Fatalf("new attempt: %d tasks to place, want all %d", len(tasks), len(m.committedStatuses))
	}
	for _, task := range tasks {
		if m.startedAttempts[m.job.Gang.Attempt] {
			t.Fatalf("task %d is to be replaced though the gang has run in attempt %d", task.Index, m.job.Gang.Attempt)
		}
		workerID := m.drawWorker(t, task)
		task.PlaceOn(workerID)
		key := fmt.Sprint(task.Index, task.WireAttempt(), workerID)
		if m.placements[key] {
			t.Fatalf("task %d was placed twice on worker %s with attempt %d", task.Index, workerID, task.WireAttempt())
		}
		m.placements[key] = true
		m.commit(t, task)
		if rapid.IntRange(0, 5).Draw(t, "owner ends in mid-commit") == 0 {
			m.beginTerm()
			break
		}
		task.PlacementDurable = true
	}
}

// drawWorker draws a worker that has not had the task within the attempt. There are few
// workers, so that a worker is often drawn again.
func (m *gangModel) drawWorker(t *rapid.T, task *Task) string {
	t.Helper()
	workerID := fmt.Sprintf("vm-%d", rapid.IntRange(0, 3).Draw(t, "worker"))
	attempt := m.job.Gang.Attempt
	if slices.Contains(task.Tried.Workers, workerID) && task.Attempt >= attempt*tuning.GangAttemptStride && attempt > 0 {
		m.newWorkerCount++
		workerID = fmt.Sprintf("vm-new-%d", m.newWorkerCount)
	}
	return workerID
}

// run starts the gang. A heartbeat may report that or not.
func (m *gangModel) run(t *rapid.T, placed []*Task) {
	t.Helper()
	m.startedAttempts[m.job.Gang.Attempt] = true
	if !rapid.Bool().Draw(t, "seen") {
		return
	}
	m.job.ReportedRunning(m.now)
	for _, task := range placed {
		task.Observed.HasRun = true
		m.commit(t, task)
	}
}

// lose removes a task from its worker.
func (m *gangModel) lose(t *rapid.T, task *Task, loss Loss) {
	t.Helper()
	task.State, task.WorkerID, task.Observed.HasRun = StateWaiting, "", false
	m.job.TaskGone(task, loss, m.now)
	m.commit(t, task)
}

// commit writes a task's status to a log page and applies the page to the store.
func (m *gangModel) commit(t *rapid.T, task *Task) {
	t.Helper()
	status := TaskStatus{State: task.State, Attempt: task.Attempt, WorkerID: task.WorkerID, Running: task.Observed.HasRun}
	if task.State != StatePlaced {
		status.WorkerID, status.Running = "", false
	}
	previous := m.committedStatuses[task.Index]
	if status == previous {
		return
	}
	if !status.supersedes(previous) {
		t.Fatalf("task %d: new status %+v does not supersede the committed %+v", task.Index, status, previous)
	}
	m.committedStatuses[task.Index] = status
	pages, _, err := PackPages([]*Task{task}, 4000, 1)
	if err != nil || len(pages) != 1 {
		t.Fatalf("packing one task gave %d pages, want 1 (%v)", len(pages), err)
	}
	m.store.apply(PageKey(0, 0), pages[0].Value, 2)
	if got := m.store.Get(m.record.Key).Statuses[task.Index]; got != status {
		t.Fatalf("task %d: the store has status %+v, want the committed %+v", task.Index, got, status)
	}
}

// check checks the invariants that must hold after each step.
func (m *gangModel) check(t *rapid.T) {
	t.Helper()
	durable := 0
	for _, task := range m.job.Tasks {
		if task.State == StatePlaced && task.PlacementDurable {
			durable++
		}
	}
	for _, task := range m.job.Tasks {
		if task.State == StatePlaced && task.WireAttempt() != m.job.Gang.Attempt {
			t.Fatalf("placed task %d has attempt %d, want the gang's attempt %d", task.Index, task.WireAttempt(), m.job.Gang.Attempt)
		}
		if task.Launchable() && (m.job.Gang.AttemptOver || durable < len(m.committedStatuses)) {
			t.Fatalf("task %d is launchable with attempt over %v and %d of %d placements durable", task.Index,
				m.job.Gang.AttemptOver, durable, len(m.committedStatuses))
		}
	}
}
