package taskstate

import (
	"testing"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/wiretest"
)

// TestWireKeys: the keys of records and pages of the log.
func TestWireKeys(t *testing.T) {
	for got, want := range map[string]string{
		KeyPrefix:                    "work/",
		RecordKey(3, "wk-000412", 7): "work/3/wk-000412/7",
		PageKey(3, 7):                "work/3/log/7",
	} {
		if got != want {
			t.Errorf("%q instead of %q", got, want)
		}
	}
	for key, block := range map[string]int{"work/3/wk-000412/7": 3, "work/4/log/7": 4, "work/layout": -1, "work/x/log/1": -1, "work/1/novel/2": -1} {
		if got := ShardOfKey(key); got != block {
			t.Errorf("%s is of block %d, not %d", key, got, block)
		}
	}
}

// TestWireBlocks: which block a machine belongs to follows from its name alone, and all
// versions agree on it.
func TestWireBlocks(t *testing.T) {
	for host, block := range map[string]int{"vm-000000": 0, "vm-000007": 1, "w-a-11": 2, "vm-18446744073709551615": 1, "novel": 0, "": 1} {
		if got := ShardOf(host, 3); got != block {
			t.Errorf("%q is in block %d, not %d", host, got, block)
		}
	}
}

// TestWireRecord: the stored form of a record.
func TestWireRecord(t *testing.T) {
	wiretest.Same(t, `{"i":"0-3,7","w":"1@2","z":["yard-a"],"g":3,"n":4,"d":"2","r":"3","p":{"0":{"h":"vm-1","t":5}},"a":{"7":6}}`, &storedRecord{})
	wiretest.Written(t, storedRecord{}, `{"i":""}`)

	const text = `{"i":"0-3,7","w":"1@2,3,7@9","z":["yard-a","yard-b"],"g":3,"n":4,"d":"2"}`
	r, err := DecodeRecord("work/5/wk-000412/6", []byte(text), 8)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := r.Encode(); err != nil || string(again) != text {
		t.Errorf("written %s (%v)", again, err)
	}
	if r.Shard != 5 || r.Job != "wk-000412" || r.Number != 6 || r.Revision != 8 || r.GangAttempt != 3 || r.PartSize != 4 || len(r.TaskIndexes) != 5 || len(r.Zones) != 2 ||
		r.Statuses[0] != (TaskStatus{}) || r.Statuses[1] != (TaskStatus{Attempt: 2}) || r.Statuses[2] != (TaskStatus{State: StateDone}) || r.Statuses[3] != (TaskStatus{Attempt: 1}) ||
		r.Statuses[4] != (TaskStatus{Attempt: 9}) {
		t.Errorf("read %+v", r)
	}
}

// TestWirePage: the stored form of a page of the log, as tasks are written on it and as
// it is read.
func TestWirePage(t *testing.T) {
	const text = `{"e":[{"c":"wk-000412/6","p":{"vm-1":"0-1","vm-2":"2@3"},"b":{"vm-2":"2@3"},"w":"3@4","r":"4@5","d":"5-6"}]}`
	wiretest.Same(t, text, &storedPage{})
	wiretest.Written(t, storedPage{Entries: []pageEntry{{}}}, `{"e":[{"c":""}]}`)

	read := map[int]TaskStatus{}
	seenRunning := map[int]bool{}
	if err := decodePage([]byte(text), func(job string, number, task int, m TaskStatus) {
		if job != "wk-000412" || number != 6 {
			t.Errorf("of %s/%d", job, number)
		}
		seenRunning[task] = seenRunning[task] || m.Running
		m.Running = false
		read[task] = m
	}); err != nil {
		t.Fatal(err)
	}
	want := []TaskStatus{
		{State: StatePlaced, Attempt: 1, WorkerID: "vm-1"},
		{State: StatePlaced, Attempt: 1, WorkerID: "vm-1"},
		{State: StatePlaced, Attempt: 3, WorkerID: "vm-2"},
		{State: StateWaiting, Attempt: 4},
		{State: StateReturned, Attempt: 5},
		{State: StateDone, Attempt: 1},
		{State: StateDone, Attempt: 1},
	}
	for task, mark := range want {
		if read[task] != mark || seenRunning[task] != (task == 2) {
			t.Errorf("task %d: read %+v, running %v", task, read[task], seenRunning[task])
		}
	}

	job := &Job{Spec: &jobs.Spec{ID: "wk-000412", Shape: "gang", Tasks: 7}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
	chunk := LoadRecord(job, NewRecord(5, "wk-000412", 6, []int{0, 1, 2, 3, 4, 5, 6}, nil, nil))
	for i, task := range chunk.Tasks {
		task.State, task.Attempt, task.WorkerID, task.Observed.HasRun = want[i].State, want[i].Attempt, want[i].WorkerID, i == 2
	}
	pages, _, rest, err := PackPages(chunk.Tasks, 8000, 3)
	if err != nil || len(rest) > 0 || len(pages) != 1 || string(pages[0]) != text {
		t.Errorf("written %s, %d left (%v)", pages, len(rest), err)
	}
}
