package taskstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// TestInvalidPagesAreRefused guards against applying an invalid or contradictory page, even
// in part.
func TestInvalidPagesAreRefused(t *testing.T) {
	for _, value := range []string{`{`, `{"e":[{"c":"wk-1"}]}`, `{"e":[{"c":"x/0","d":"1"}]}`, `{"e":[{"c":"wk-1/0","d":"0"},{"c":"wk-1/0","w":"2-1"}]}`} {
		statuses, err := decodePage(json.RawMessage(value))
		if !errors.Is(err, ErrInvalidPage) {
			t.Errorf("decoding page %s: error %v, want ErrInvalidPage", value, err)
		}
		if len(statuses) > 0 {
			t.Errorf("decoding page %s: %d statuses, want none", value, len(statuses))
		}
	}
}

// TestLogPagesRestoreEveryStatus checks that a copy that reads the pages of a shard in any
// order, some of them twice, has the newest status of each task, for any status changes, and
// that no page is larger than allowed.
func TestLogPagesRestoreEveryStatus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore(nil, nil, slog.New(slog.DiscardHandler))
		tasks := drawRecords(t, store)
		var pages []json.RawMessage
		for range rapid.IntRange(1, 12).Draw(t, "commits") {
			pages = append(pages, packAll(t, drawChanges(t, tasks), rapid.IntRange(300, 2000).Draw(t, "limit"))...)
		}
		for i, page := range rapid.Permutation(append(pages, pages...)).Draw(t, "order") {
			store.applyPage(0, i, page)
		}
		checkStatuses(t, store, tasks)
	})
}

// TestPagesStayWithinTheirLimit checks the size of pages in the worst case: tasks whose
// statuses have nothing in common take the most space.
func TestPagesStayWithinTheirLimit(t *testing.T) {
	job := &Job{Spec: &jobs.Spec{ID: "wk-1"}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
	indexes := make([]int, 500)
	for i := range indexes {
		indexes[i] = i
	}
	tasks := LoadRecord(job, NewRecord(0, "wk-1", 0, indexes, nil, nil)).Tasks
	for i, task := range tasks {
		task.State, task.Attempt, task.WorkerID = StatePlaced, uint64(1000+i), fmt.Sprintf("vm-%06d", i)
	}
	pages, rest, err := PackPages(tasks, 1000, 1000)
	if err != nil || len(rest) > 0 {
		t.Fatalf("packing %d tasks: %d left over, want none (%v)", len(tasks), len(rest), err)
	}
	for i, page := range pages {
		if len(page.Value) > 1000 {
			t.Errorf("page %d has %d bytes, want at most 1000", i, len(page.Value))
		}
	}
}

// TestAttemptsOfDoneTasksAreNotStored checks that completed tasks are stored as one range,
// regardless of their attempt numbers.
func TestAttemptsOfDoneTasksAreNotStored(t *testing.T) {
	job := &Job{Spec: &jobs.Spec{ID: "wk-1"}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
	tasks := LoadRecord(job, NewRecord(0, "wk-1", 0, []int{0, 1, 2}, nil, nil)).Tasks
	for i, task := range tasks {
		task.State, task.Attempt = StateDone, uint64(i)
	}
	pages, _, err := PackPages(tasks, 1000, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(pages[0].Value), `{"e":[{"c":"wk-1/0","d":"0-2"}]}`; got != want {
		t.Errorf("stored %s, want %s", got, want)
	}
}

// drawRecords adds drawn records to a store and returns their tasks.
func drawRecords(t *rapid.T, store *Store) []*Task {
	t.Helper()
	var tasks []*Task
	for number := range rapid.IntRange(1, 4).Draw(t, "records") {
		jobID := []string{"wk-1", "wk-22", "wk-333", "wk-4444"}[number]
		indexes := rapid.SliceOfNDistinct(rapid.IntRange(0, 400), 1, 120, rapid.ID[int]).Draw(t, "indexes")
		slices.Sort(indexes)
		record := NewRecord(0, jobID, number, indexes, nil, nil)
		value, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		store.apply(record.Key, value, 1)
		job := &Job{Spec: &jobs.Spec{ID: jobID}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
		tasks = append(tasks, LoadRecord(job, record).Tasks...)
	}
	return tasks
}

// drawChanges changes drawn tasks and returns them.
func drawChanges(t *rapid.T, tasks []*Task) []*Task {
	t.Helper()
	var changed []*Task
	for _, task := range tasks {
		if task.State == StateDone || task.State == StateReturned || rapid.IntRange(0, 2).Draw(t, "stays") > 0 {
			continue
		}
		switch {
		case task.State == StateWaiting && rapid.IntRange(0, 5).Draw(t, "what") == 0:
			task.State = StateReturned
		case task.State == StateWaiting:
			task.State, task.WorkerID = StatePlaced, rapid.SampledFrom([]string{"vm-000001", "vm-000002", "vm-1234567"}).Draw(t, "worker")
			task.Attempt++
		case rapid.Bool().Draw(t, "done"):
			task.State, task.WorkerID = StateDone, ""
		default:
			task.State, task.WorkerID = StateWaiting, ""
		}
		changed = append(changed, task)
	}
	return changed
}

// packAll encodes all tasks into pages. It checks the pages' sizes and that no task is missing.
func packAll(t *rapid.T, tasks []*Task, maxBytes int) []json.RawMessage {
	t.Helper()
	pages, rest, err := PackPages(tasks, maxBytes, 1000)
	if err != nil || len(rest) > 0 {
		t.Fatalf("packing %d tasks: %d left over, want none (%v)", len(tasks), len(rest), err)
	}
	var values []json.RawMessage
	written := 0
	for _, page := range pages {
		written += len(page.Tasks)
		if len(page.Value) > maxBytes {
			t.Fatalf("packed a page of %d bytes, want at most %d", len(page.Value), maxBytes)
		}
		values = append(values, page.Value)
	}
	if written != len(tasks) {
		t.Fatalf("packed %d tasks, want all %d", written, len(tasks))
	}
	return values
}

// checkStatuses compares the statuses and the progress in a store with the tasks.
func checkStatuses(t *rapid.T, store *Store, tasks []*Task) {
	t.Helper()
	type progress struct{ done, placed int }
	want := map[string]progress{}
	for _, task := range tasks {
		record := store.Get(task.Group.Key)
		status := record.Statuses[record.position(task.Index)]
		if status.State != task.State || status.WorkerID != task.WorkerID || (task.State != StateDone && status.Attempt != task.Attempt) {
			t.Fatalf("task %s: the store has status %+v, want that of %+v", task.Name(), status, task)
		}
		job := want[record.Job]
		switch task.State {
		case StateDone:
			job.done++
		case StatePlaced:
			job.placed++
		case StateWaiting, StateDropped, StateReturned:
		}
		want[record.Job] = job
	}
	for jobID, job := range want {
		if done, placed := store.Progress(jobID); done != job.done || placed != job.placed {
			t.Fatalf("job %s: the store counts %d done and %d placed, want %d and %d", jobID, done, placed, job.done, job.placed)
		}
	}
}

// BenchmarkPackPages measures packing tasks into pages, by the number of tasks.
func BenchmarkPackPages(b *testing.B) {
	for _, taskCount := range []int{50, 500} {
		b.Run(fmt.Sprint(taskCount, "tasks"), func(b *testing.B) {
			indexes := make([]int, taskCount)
			for i := range indexes {
				indexes[i] = i
			}
			job := &Job{Spec: &jobs.Spec{ID: "wk-000412"}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
			tasks := LoadRecord(job, NewRecord(0, "wk-000412", 0, indexes, nil, nil)).Tasks
			for i, task := range tasks {
				task.State, task.Attempt, task.WorkerID = StatePlaced, 1, fmt.Sprintf("vm-%06d", i/2)
			}
			for b.Loop() {
				if _, rest, err := PackPages(slices.Clone(tasks), tuning.MaxPageBytes, 12); err != nil || len(rest) > 0 {
					b.Fatalf("packing %d tasks: %d left over, want none (%v)", len(tasks), len(rest), err)
				}
			}
		})
	}
}
