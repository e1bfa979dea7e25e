package taskstate

import (
	"reflect"
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
	for key, shardIndex := range map[string]int{"work/3/wk-000412/7": 3, "work/4/log/7": 4, "work/layout": -1, "work/x/log/1": -1, "work/1/novel/2": -1} {
		if got := ShardOfKey(key); got != shardIndex {
			t.Errorf("%s is of shard %d, not %d", key, got, shardIndex)
		}
	}
}

// TestWireShards: which shard a worker belongs to follows from its name alone, and all
// versions agree on it.
func TestWireShards(t *testing.T) {
	for workerID, shardIndex := range map[string]int{"vm-000000": 0, "vm-000007": 1, "w-a-11": 2, "vm-18446744073709551615": 1, "novel": 0, "": 1} {
		if got := ShardOf(workerID, 3); got != shardIndex {
			t.Errorf("%q is in shard %d, not %d", workerID, got, shardIndex)
		}
	}
}

// TestWireAttempt: the stored attempts of a gang's tasks, and what workers are told.
func TestWireAttempt(t *testing.T) {
	gang, array := &Job{Gang: &Gang{}}, &Job{}
	for _, test := range []struct {
		task *Task
		want uint64
	}{
		{&Task{Job: array, Attempt: 3*1024 + 5}, 3*1024 + 5},
		{&Task{Job: gang, Attempt: 3*1024 + 5}, 3},
		{&Task{Job: gang, Attempt: 1024}, 1},
		{&Task{Job: gang, Attempt: 1023}, 1023}, // of the first version, which took gangs for arrays
	} {
		if got := test.task.WireAttempt(); got != test.want {
			t.Errorf("attempt %d of a job with gang %v is %d to its worker, not %d", test.task.Attempt, test.task.Job.Gang != nil, got, test.want)
		}
	}
}

// TestWireRecord: the stored form of a record.
func TestWireRecord(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"i":"0-3,7","w":"1@2","z":["yard-a"],"g":3,"n":4,"d":"2","r":"3","p":{"0":{"h":"vm-1","t":5}},"a":{"7":6}}`, &storedRecord{})
	wiretest.CheckEncoding(t, storedRecord{}, `{"i":""}`)

	const text = `{"i":"0-3,7","w":"1@2,3,7@9","z":["yard-a","yard-b"],"g":3,"n":4,"d":"2"}`
	record, err := DecodeRecord("work/5/wk-000412/6", []byte(text), 8)
	if err != nil {
		t.Fatal(err)
	}
	if rewritten, err := record.Encode(); err != nil || string(rewritten) != text {
		t.Errorf("written %s (%v)", rewritten, err)
	}
	want := &Record{
		Key: "work/5/wk-000412/6", Shard: 5, Job: "wk-000412", Number: 6, Revision: 8,
		Zones: []string{"yard-a", "yard-b"}, GangAttempt: 3, PartSize: 4, TaskIndexes: []int{0, 1, 2, 3, 7},
		Statuses: []TaskStatus{{}, {Attempt: 2}, {State: StateDone}, {Attempt: 1}, {Attempt: 9}},
		LogPages: []int32{-1, -1, -1, -1, -1},
	}
	if !reflect.DeepEqual(record, want) {
		t.Errorf("read %+v, want %+v", record, want)
	}
}

// TestWirePage: the stored form of a page of the log, as tasks are written on it and as
// it is read.
func TestWirePage(t *testing.T) {
	const text = `{"e":[{"c":"wk-000412/6","p":{"vm-1":"0-1","vm-2":"2@3"},"b":{"vm-2":"2@3"},"w":"3@4","r":"4@5","d":"5-6"}]}`
	wiretest.CheckRoundTrip(t, text, &storedPage{})
	wiretest.CheckEncoding(t, storedPage{Entries: []pageEntry{{}}}, `{"e":[{"c":""}]}`)

	read := map[int]TaskStatus{}
	seenRunning := map[int]bool{}
	statuses, err := decodePage([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, logged := range statuses {
		if logged.jobID != "wk-000412" || logged.number != 6 {
			t.Errorf("of %s/%d", logged.jobID, logged.number)
		}
		seenRunning[logged.index] = seenRunning[logged.index] || logged.status.Running
		logged.status.Running = false
		read[logged.index] = logged.status
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
	for task, status := range want {
		if read[task] != status || seenRunning[task] != (task == 2) {
			t.Errorf("task %d: read %+v, running %v", task, read[task], seenRunning[task])
		}
	}

	job := &Job{Spec: &jobs.Spec{ID: "wk-000412", Shape: "gang", Tasks: 7}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
	group := LoadRecord(job, NewRecord(5, "wk-000412", 6, []int{0, 1, 2, 3, 4, 5, 6}, nil, nil))
	for i, task := range group.Tasks {
		task.State, task.Attempt, task.WorkerID, task.Observed.HasRun = want[i].State, want[i].Attempt, want[i].WorkerID, i == 2
	}
	pages, rest, err := PackPages(group.Tasks, 8000, 3)
	if err != nil || len(rest) > 0 || len(pages) != 1 || string(pages[0].Value) != text {
		t.Errorf("written %v, %d left (%v)", pages, len(rest), err)
	}
}
