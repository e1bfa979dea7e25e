package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// twoZones is a node with two shards, whose machines are in different zones.
var twoZones = nodeConfig{process: 1, shards: 2, zones: []string{"a", "b"}, maxCPUs: 1000, maxOperations: 10}

// openRecords returns, for each task of a job, in how many records it is waiting or placed.
func (n *node) openRecords(spec *jobs.Spec) []int {
	counts := make([]int, spec.Tasks)
	for _, record := range n.store.JobRecords(spec.ID) {
		for position, index := range record.TaskIndexes {
			if state := record.Statuses[position].State; state == taskstate.StateWaiting || state == taskstate.StatePlaced {
				counts[index]++
			}
		}
	}
	return counts
}

// checkEachTaskIsDispatchedOnce checks that each task of a job is open in exactly one record: in
// none it would never run, in two it could run twice.
func (n *node) checkEachTaskIsDispatchedOnce(t rapid.TB, spec *jobs.Spec) {
	t.Helper()
	for index, count := range n.openRecords(spec) {
		if count != 1 {
			t.Errorf("task %d of %s is open in %d records, want 1", index, spec.ID, count)
		}
	}
}

// TestTasksInNoRecordAreDispatchedByTheNextLeader guards against accepted tasks that never run:
// a new leader must dispatch every task that no record names, also below the highest one that a
// record names. Such records are left behind by a leader that crashes after a part of a dispatch
// was committed, and by earlier versions of the program.
func TestTasksInNoRecordAreDispatchedByTheNextLeader(t *testing.T) {
	for name, test := range map[string]struct {
		shape   jobs.Shape
		records [][]int // by record number; record N is in shard N modulo 2
	}{
		"spread over two shards":         {jobs.ShapeArray, [][]int{{0, 2, 4}}},
		"only the last task is recorded": {jobs.ShapeArray, [][]int{{5}}},
		"several gaps":                   {jobs.ShapeArray, [][]int{{1}, {3}}},
		"gap between shards":             {jobs.ShapeArray, [][]int{{0, 1}, {4, 5}}},
		"the rest follows the records":   {jobs.ShapeArray, [][]int{{0, 1}, {2}}},
		"no gap":                         {jobs.ShapeArray, [][]int{{0, 2, 4}, {1, 3, 5}}},
		"service":                        {jobs.ShapeDaemon, [][]int{{0, 2, 5}}},
	} {
		t.Run(name, func(t *testing.T) {
			service := statetest.New()
			spec := newSpec("wk-1", 6)
			spec.Shape = test.shape
			submit(t, service, spec)
			for number, indexes := range test.records {
				storeRecord(t, service, taskstate.NewRecord(number%2, spec.ID, number, indexes, nil, nil))
			}
			node := startProcess(service, twoZones)
			node.run(3 * time.Second)
			node.checkEachTaskIsDispatchedOnce(t, spec)
		})
	}
}

// TestRefusedPartOfADispatchOutlivesItsLeader guards against the loss of tasks of an accepted job
// when the state service refuses a dispatch, half of it is committed at the next attempt, and the
// leader crashes before it has committed the other half.
func TestRefusedPartOfADispatchOutlivesItsLeader(t *testing.T) {
	service := statetest.New()
	node := startProcess(service, twoZones)
	node.run(2 * time.Second)
	spec := newSpec("wk-1", 7)
	spec.Spread = true
	service.Hold = isDispatch
	submit(t, service, spec)
	node.run(time.Second)
	if len(service.Held) != 1 || len(service.Held[0].Operations) != 2 {
		t.Fatalf("%d dispatches were sent, want one of two records", len(service.Held))
	}
	service.Held[0].Answer(statetest.Reply(429, nil), nil)
	node.run(time.Second)
	if len(service.Held) != 2 || len(service.Held[1].Operations) != 1 {
		t.Fatalf("%d dispatches were sent, want a second one of one record", len(service.Held))
	}
	service.Commit(service.Held[1])
	service.Hold = nil
	next := node.replace()
	next.run(3 * time.Second)
	next.checkEachTaskIsDispatchedOnce(t, spec)
}

// TestDividedGangCutByACrashIsDispatchedWhole guards against a gang that never runs because a
// part of it is in no record: the next leader must recall the recorded part and then dispatch all
// tasks of the gang.
func TestDividedGangCutByACrashIsDispatchedWhole(t *testing.T) {
	for name, part := range map[string][]int{"gap": {0, 2}, "rest": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			service := statetest.New()
			spec := newSpec("wk-1", 4)
			spec.Shape = jobs.ShapeGang
			submit(t, service, spec)
			record := taskstate.NewRecord(0, spec.ID, 0, part, nil, nil)
			record.GangAttempt, record.PartSize = 1, len(part)
			storeRecord(t, service, record)
			node := startProcess(service, twoZones)
			recalled := 0
			for range 20 {
				node.run(100 * time.Millisecond)
				for _, recall := range node.leader.TakeRecalls(0) {
					recalled = recall.Tasks
				}
			}
			if recalled != len(part) {
				t.Fatalf("%d tasks of the recorded part are recalled, want %d", recalled, len(part))
			}
			putPage(t, service, 0, record, func(task *taskstate.Task) { task.State = taskstate.StateReturned })
			node.run(3 * time.Second)
			node.checkEachTaskIsDispatchedOnce(t, spec)
		})
	}
}

// TestGangWithADoneTaskIsDoneAfterACrash guards against a gang that is called running for ever:
// once one of its tasks is done, the next leader must record all others as done, also those that
// no record names.
func TestGangWithADoneTaskIsDoneAfterACrash(t *testing.T) {
	service := statetest.New()
	spec := newSpec("wk-1", 5)
	spec.Shape = jobs.ShapeGang
	submit(t, service, spec)
	record := putRecord(t, service, spec.ID, 0, 1, 3)
	putPage(t, service, 0, record, markDone)
	node := startProcess(service, twoZones)
	node.run(5 * time.Second)
	if entry := node.catalog.Get(spec.ID); entry.Phase != userapi.PhaseDone {
		t.Errorf("phase of the gang is %q, want %q", entry.Phase, userapi.PhaseDone)
	}
}

// TestRestOfAGangIsBoundToItsNewestZone guards against a gang whose tasks must share a zone but
// run in two: a new leader must dispatch the tasks that are missing to the zone of the newest
// record, not to that of an attempt that was returned before. Several gangs are tried, since the
// store has no order of records.
func TestRestOfAGangIsBoundToItsNewestZone(t *testing.T) {
	const gangs, returnedAttempts = 10, 9
	service := statetest.New()
	page := 0
	for gang := range gangs {
		spec := newSpec(fmt.Sprintf("wk-%d", gang), 4)
		spec.Shape, spec.SameZone = jobs.ShapeGang, true
		submit(t, service, spec)
		for number := range returnedAttempts + 1 {
			record := taskstate.NewRecord(0, spec.ID, number, []int{0, 1, 2, 3}, []string{"b"}, nil)
			change := func(task *taskstate.Task) { task.State, task.Attempt = taskstate.StateReturned, 1 }
			if number == returnedAttempts {
				record = taskstate.NewRecord(0, spec.ID, number, []int{0, 1}, []string{"a"}, nil)
				change = func(task *taskstate.Task) {
					task.State, task.Attempt, task.WorkerID = taskstate.StatePlaced, 2, "vm-2"
				}
			}
			putPage(t, service, page, storeRecord(t, service, record), change)
			page++
		}
	}
	node := startProcess(service, twoZones)
	node.run(10 * time.Second)
	for gang := range gangs {
		rest := node.store.Get(taskstate.RecordKey(0, fmt.Sprintf("wk-%d", gang), returnedAttempts+1))
		if rest == nil {
			t.Fatalf("the rest of gang %d is not dispatched", gang)
		}
		if want := []string{"a"}; !slices.Equal(rest.Zones, want) {
			t.Errorf("the rest of gang %d is bound to %v, want %v as the tasks that are placed", gang, rest.Zones, want)
		}
	}
}

// TestJobWithAnUnreadableRecordIsNotDispatched guards against tasks that run twice: a task that
// no record names may be in one that cannot be decoded, which another version may have written
// and acts on. The job is dispatched again when that record is gone.
func TestJobWithAnUnreadableRecordIsNotDispatched(t *testing.T) {
	service := statetest.New()
	spec := newSpec("wk-1", 4)
	submit(t, service, spec)
	putRecord(t, service, spec.ID, 0, 0, 2)
	unreadableKey := taskstate.RecordKey(1, spec.ID, 1)
	service.Set(t, unreadableKey, map[string]any{"i": "1:3"})
	node := startProcess(service, twoZones)
	node.run(3 * time.Second)
	if got := node.dispatchedTasks(spec.ID); got != 2 {
		t.Fatalf("%d tasks are dispatched beside an unreadable record, want the 2 recorded before", got)
	}
	service.Commit(&statetest.Commit{Operations: []statestore.Operation{{DeleteKey: unreadableKey}}})
	node.run(3 * time.Second)
	node.checkEachTaskIsDispatchedOnce(t, spec)
}
