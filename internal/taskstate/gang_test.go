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

// gangModel drives a gang and checks what must hold of its attempts.
type gangModel struct {
	job    *Job
	record *Record
	store  *Store // holds what has been committed
	now    time.Duration

	placements map[string]bool // task, attempt and worker, of all placements so far
	ran        map[uint64]bool // the attempts that have run
	committed  []TaskStatus    // by task
	newWorkers int
}

// TestGangAttempts drives a gang through placements, losses, starts and new owners that know
// only what has been committed. The tasks of a gang that are on workers share their attempt;
// a worker never gets the same task and attempt twice; nothing is replaced once the gang has
// run; each status supersedes the one before, so that log pages may be read in any order.
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
		now:    time.Hour, placements: map[string]bool{}, ran: map[uint64]bool{}, committed: make([]TaskStatus, taskCount),
	}
	value, err := model.record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	model.store.apply(model.record.Key, value, 1)
	model.beginTerm()
	return model
}

// beginTerm is a new owner, which knows what has been committed.
func (m *gangModel) beginTerm() {
	*m.job = Job{Spec: m.job.Spec, Gang: &Gang{}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
	LoadRecord(m.job, m.store.Get(m.record.Key))
	m.job.RecoverGang(m.now)
}

// placedTasks returns the tasks that are on workers, in order.
func (m *gangModel) placedTasks() []*Task {
	var placed []*Task
	for i := range m.committed {
		if task := m.job.Tasks[i]; task.State == StatePlaced {
			placed = append(placed, task)
		}
	}
	return placed
}

// step draws what happens next.
func (m *gangModel) step(t *rapid.T) {
	t.Helper()
	placed, gang := m.placedTasks(), m.job.Gang
	step := rapid.IntRange(0, 6).Draw(t, "step")
	switch {
	case step <= 1:
		m.place(t, len(placed))
	case step == 2 && len(placed) == len(m.committed) && !gang.AttemptOver && gang.StartInDoubtSince == 0:
		m.run(t, placed)
	case step == 3 && len(placed) > 0:
		loss := LossVanished
		if !m.ran[gang.Attempt] {
			loss = rapid.SampledFrom([]Loss{LossBeforeWaiting, LossVanished, LossExited}).Draw(t, "loss")
		}
		m.lose(t, placed[rapid.IntRange(0, len(placed)-1).Draw(t, "which")], loss)
	case step == 4 && len(placed) > 0 && gang.StartInDoubtSince > 0 && !m.ran[gang.Attempt]:
		m.job.ReportedWaiting(m.now)
	case step == 5:
		m.beginTerm()
	case step == 6 && gang.AttemptOver:
		for _, task := range placed {
			m.lose(t, task, LossExited)
		}
	}
}

// place places the tasks that are to be placed; the owner may end in between.
func (m *gangModel) place(t *rapid.T, placedCount int) {
	t.Helper()
	tasks := m.job.TasksToPlace()
	if len(tasks) > 0 && placedCount == 0 && len(tasks) != len(m.committed) {
		t.Fatalf("%d of %d tasks are to be placed", len(tasks), len(m.committed))
	}
	for _, task := range tasks {
		if m.ran[m.job.Gang.Attempt] {
			t.Fatal("a task is replaced though the gang has run")
		}
		workerID := m.drawWorker(t, task)
		task.PlaceOn(workerID)
		key := fmt.Sprint(task.Index, task.WireAttempt(), workerID)
		if m.placements[key] {
			t.Fatalf("task, attempt and worker %s once more", key)
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

// drawWorker draws a worker that has not had the task within the attempt. Workers are few, so
// that the same one is chosen again.
func (m *gangModel) drawWorker(t *rapid.T, task *Task) string {
	t.Helper()
	workerID := fmt.Sprintf("vm-%d", rapid.IntRange(0, 3).Draw(t, "worker"))
	attempt := m.job.Gang.Attempt
	if slices.Contains(task.Tried.Workers, workerID) && task.Attempt >= attempt*tuning.GangAttemptStride && attempt > 0 {
		m.newWorkers++
		workerID = fmt.Sprintf("vm-new-%d", m.newWorkers)
	}
	return workerID
}

// run starts the gang, which a heartbeat may show.
func (m *gangModel) run(t *rapid.T, placed []*Task) {
	t.Helper()
	m.ran[m.job.Gang.Attempt] = true
	if !rapid.Bool().Draw(t, "seen") {
		return
	}
	m.job.ReportedRunning(m.now)
	for _, task := range placed {
		task.Observed.HasRun = true
		m.commit(t, task)
	}
}

// lose takes a task off its worker.
func (m *gangModel) lose(t *rapid.T, task *Task, loss Loss) {
	t.Helper()
	task.State, task.WorkerID, task.Observed.HasRun = StateWaiting, "", false
	m.job.TaskGone(task, loss, m.now)
	m.commit(t, task)
}

// commit writes a task's status to the log, from where the store takes it in.
func (m *gangModel) commit(t *rapid.T, task *Task) {
	t.Helper()
	status := TaskStatus{State: task.State, Attempt: task.Attempt, WorkerID: task.WorkerID, Running: task.Observed.HasRun}
	if task.State != StatePlaced {
		status.WorkerID, status.Running = "", false
	}
	previous := m.committed[task.Index]
	if status == previous {
		return
	}
	if !status.supersedes(previous) {
		t.Fatalf("%+v does not supersede %+v", status, previous)
	}
	m.committed[task.Index] = status
	pages, _, err := PackPages([]*Task{task}, 4000, 1)
	if err != nil || len(pages) != 1 {
		t.Fatal(err)
	}
	m.store.apply(PageKey(0, 0), pages[0].Value, 2)
	if got := m.store.Get(m.record.Key).Statuses[task.Index]; got != status {
		t.Fatalf("committed %+v, read %+v", status, got)
	}
}

// check checks what must hold between the steps.
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
			t.Fatalf("task %d has attempt %d, the gang %d", task.Index, task.WireAttempt(), m.job.Gang.Attempt)
		}
		if task.Launchable() && (m.job.Gang.AttemptOver || durable < len(m.committed)) {
			t.Fatal("a task may be launched though not all are placed")
		}
	}
}
