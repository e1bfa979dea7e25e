package taskstate

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// TestRecordsComeBack: a record, stored and read, stays the same and within
// the smallest value limit.
func TestRecordsComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := rapid.SliceOfNDistinct(rapid.IntRange(0, jobs.MaxTasks-1), 1, tuning.MaxRecordTasks, rapid.ID[int]).Draw(t, "index")
		slices.Sort(index)
		attempts := map[int]uint64{}
		for range rapid.IntRange(0, tuning.MaxRetriedRecordTasks).Draw(t, "retried") {
			i := index[rapid.IntRange(0, len(index)-1).Draw(t, "which")]
			attempts[i] = rapid.Uint64Range(1, 1e6).Draw(t, "attempt")
		}
		r := NewRecord(0, "wk-000412", rapid.IntRange(0, 9999).Draw(t, "number"), index, nil, attempts)
		r.Revision = 7
		raw, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if len(raw) > 8<<10 {
			t.Fatalf("%d bytes", len(raw))
		}
		back, err := DecodeRecord(r.Key, raw, 7)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(r, back) {
			t.Fatalf("stored %+v, read %+v", r, back)
		}
	})
}

// TestFirstVersionsRecords: the first version kept the tasks' states in the
// records; they are read as they were meant.
func TestFirstVersionsRecords(t *testing.T) {
	r, err := DecodeRecord("work/0/wk-1/0", []byte(`{"i":"0-5","d":"0","r":"1","p":{"2":{"h":"vm-1","t":4}},"a":{"1":3,"5":2}}`), 1)
	if err != nil {
		t.Fatal(err)
	}
	want := []TaskStatus{{State: StateDone}, {State: StateReturned, Attempt: 3}, {State: StatePlaced, Attempt: 4, WorkerID: "vm-1"}, {}, {}, {Attempt: 2}}
	if !reflect.DeepEqual(r.Statuses, want) {
		t.Errorf("read %+v, want %+v", r.Statuses, want)
	}
}

// TestBadRecords: what contradicts itself is refused, never half taken in.
func TestBadRecords(t *testing.T) {
	for _, bad := range []string{
		`{`, `{}`, `{"i":""}`, `{"i":"3-1"}`, `{"i":"0-2000"}`, `{"i":"1,1"}`, `{"i":"0-3","d":"4"}`,
		`{"i":"0-3","p":{"9":{"h":"vm-1","t":1}}}`, `{"i":"0-3","a":{"x":1}}`, `{"i":"100000"}`, `{"i":"0","w":"0@x"}`,
	} {
		if r, err := DecodeRecord("work/0/wk-1/0", []byte(bad), 1); err == nil {
			t.Errorf("%s gave %+v", bad, r)
		}
	}
	for _, key := range []string{"work/0/wk-1", "work/x/wk-1/0", "work/0/nojob/0", "work/0/wk-1/-1", "work/0/log/1"} {
		if _, err := DecodeRecord(key, []byte(`{"i":"0"}`), 1); err == nil {
			t.Errorf("key %q was taken", key)
		}
	}
	for _, bad := range []string{`{`, `{"e":[{"c":"wk-1"}]}`, `{"e":[{"c":"x/0","d":"1"}]}`, `{"e":[{"c":"wk-1/0","d":"0"},{"c":"wk-1/0","w":"2-1"}]}`} {
		err := decodePage(json.RawMessage(bad), func(string, int, int, TaskStatus) { t.Errorf("%s was half taken in", bad) })
		if err == nil {
			t.Errorf("page %s was taken", bad)
		}
	}
}

// TestLogTellsAll: whatever becomes of the tasks of a block, a copy that reads
// the pages in any order, some twice, holds the newest state of each; and no
// page is larger than allowed.
func TestLogTellsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &Store{
			records: map[string]*Record{}, recordsByJob: map[string]map[string]*Record{}, progress: map[string]*jobProgress{}, pageRevisions: map[string]uint64{}, log: slog.New(slog.DiscardHandler),
		}
		var tasks []*Task
		for n := range rapid.IntRange(1, 4).Draw(t, "records") {
			id := []string{"wk-1", "wk-22", "wk-333", "wk-4444"}[n]
			index := rapid.SliceOfNDistinct(rapid.IntRange(0, 400), 1, 120, rapid.ID[int]).Draw(t, "index")
			slices.Sort(index)
			r := NewRecord(0, id, n, index, nil, nil)
			raw, err := r.Encode()
			if err != nil {
				t.Fatal(err)
			}
			store.apply(r.Key, raw, 1)
			j := &Job{Spec: &jobs.Spec{ID: id}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
			tasks = append(tasks, LoadRecord(j, r).Tasks...)
		}
		var all []json.RawMessage
		for range rapid.IntRange(1, 12).Draw(t, "commits") {
			var dirty []*Task
			for _, k := range tasks {
				if k.State == StateDone || k.State == StateReturned || rapid.IntRange(0, 2).Draw(t, "moves") > 0 {
					continue
				}
				switch {
				case k.State == StateWaiting && rapid.IntRange(0, 5).Draw(t, "what") == 0:
					k.State = StateReturned
				case k.State == StateWaiting:
					k.State, k.WorkerID = StatePlaced, rapid.SampledFrom([]string{"vm-000001", "vm-000002", "vm-1234567"}).Draw(t, "host")
					k.Attempt++
				case rapid.Bool().Draw(t, "done"):
					k.State, k.WorkerID = StateDone, ""
				default:
					k.State, k.WorkerID = StateWaiting, ""
				}
				dirty = append(dirty, k)
			}
			limit := rapid.IntRange(300, 2000).Draw(t, "limit")
			pages, on, rest, err := PackPages(dirty, limit, 1000)
			if err != nil || len(rest) > 0 {
				t.Fatalf("%d left over, %v", len(rest), err)
			}
			number := 0
			for i, p := range pages {
				number += len(on[i])
				if len(p) > limit {
					t.Fatalf("a page of %d bytes, %d are allowed", len(p), limit)
				}
			}
			if number != len(dirty) {
				t.Fatalf("%d of %d tasks written", number, len(dirty))
			}
			all = append(all, pages...)
		}
		order := rapid.Permutation(append(all, all...)).Draw(t, "order")
		for i, p := range order {
			store.applyPage(0, i, p)
		}
		want := map[string][2]int{}
		for _, k := range tasks {
			r := store.Get(k.Group.Key)
			m := r.Statuses[r.position(k.Index)]
			if m.State != k.State || m.WorkerID != k.WorkerID || (k.State != StateDone && m.Attempt != k.Attempt) {
				t.Fatalf("%s is %+v, the copy says %+v", k.Name(), k, m)
			}
			n := want[r.Job]
			switch k.State {
			case StateDone:
				n[0]++
			case StatePlaced:
				n[1]++
			case StateWaiting, StateDropped, StateReturned:
			}
			want[r.Job] = n
		}
		for id, n := range want {
			if done, placed := store.Progress(id); done != n[0] || placed != n[1] {
				t.Fatalf("%s: %d done and %d placed, the copy says %d and %d", id, n[0], n[1], done, placed)
			}
		}
	})
}

// TestOrderOfJobs: priority, then aims that can still be met, then guarantees;
// of jobs alike in these the smaller goes first, so that under overload more meet
// their aims, and jobs of about the same size go by age.
func TestOrderOfJobs(t *testing.T) {
	job := func(id, urgency string, missed int, within bool, tasks int, at int64) *Job {
		j := NewJob(&jobs.Spec{ID: id, Urgency: urgency, Tasks: tasks, CPUs: 1, EstimateSeconds: 10}, at, within)
		j.Rank.MissedObjectives = missed
		return j
	}
	order := []*Job{
		job("wk-1", "urgent", 0, true, 10, 50), job("wk-2", "urgent", 0, true, 200, 10), job("wk-3", "urgent", 0, true, 190, 20),
		job("wk-4", "urgent", 0, false, 5, 5), job("wk-5", "urgent", 1, true, 5, 1), job("wk-6", "standard", 0, true, 1, 1),
	}
	for i, a := range order {
		for k, b := range order {
			if JobBefore(a, b) != (i < k) {
				t.Errorf("%s before %s: %v", a.Spec.ID, b.Spec.ID, JobBefore(a, b))
			}
		}
	}
}

// BenchmarkPack shows what it costs to write a page, by the tasks on it.
func BenchmarkPack(b *testing.B) {
	for _, n := range []int{50, 500} {
		b.Run(fmt.Sprint(n, "tasks"), func(b *testing.B) {
			index := make([]int, n)
			for i := range index {
				index[i] = i
			}
			j := &Job{Spec: &jobs.Spec{ID: "wk-000412"}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
			tasks := LoadRecord(j, NewRecord(0, "wk-000412", 0, index, nil, nil)).Tasks
			for i, k := range tasks {
				k.State, k.Attempt, k.WorkerID = StatePlaced, 1, fmt.Sprintf("vm-%06d", i/2)
			}
			for b.Loop() {
				if _, _, rest, err := PackPages(slices.Clone(tasks), tuning.MaxPageBytes, 12); err != nil || len(rest) > 0 {
					b.Fatal(len(rest), err)
				}
			}
		})
	}
}
