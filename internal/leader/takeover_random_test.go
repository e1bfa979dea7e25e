package leader

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
)

// dispatchFate is what the state service does with the commit of a dispatch.
type dispatchFate int

const (
	fateCarriedOut dispatchFate = iota
	fateRefused                 // not carried out, answered with 429
	fateUnanswered              // carried out at once, not answered
	fateLate                    // not answered, carried out later
)

// takeoverRun is a run of leaders that follow each other, with drawn faults of the state service.
type takeoverRun struct {
	service *statetest.Service
	node    *node
	jobs    []*jobs.Spec
	late    []*statetest.Commit // commits to carry out later
	pages   int                 // log pages written so far
	isOver  bool                // no more faults
}

// holdDispatch draws the fate of a commit and reports whether the service must not process it.
func (r *takeoverRun) holdDispatch(t *rapid.T, commit *statetest.Commit) bool {
	if r.isOver || !isDispatch(commit) {
		return false
	}
	fate := rapid.SampledFrom([]dispatchFate{fateCarriedOut, fateRefused, fateUnanswered, fateLate}).Draw(t, "fate")
	switch fate {
	case fateCarriedOut:
		return false
	case fateRefused:
		commit.Answer(statetest.Reply(429, nil), nil)
	case fateUnanswered:
		r.service.Commit(commit)
		commit.Answer(http1.Response{}, eventloop.ErrNoAnswer)
	case fateLate:
		r.late = append(r.late, commit)
		commit.Answer(http1.Response{}, eventloop.ErrNoAnswer)
	}
	return true
}

// submitJob stores a drawn job.
func (r *takeoverRun) submitJob(test *testing.T, t *rapid.T) {
	spec := newSpec(fmt.Sprintf("wk-%d", len(r.jobs)+1), rapid.IntRange(1, 12).Draw(t, "tasks"))
	spec.Spread = rapid.Bool().Draw(t, "spread")
	if rapid.IntRange(0, 3).Draw(t, "service") == 0 {
		spec.Shape = jobs.ShapeDaemon
	}
	r.jobs = append(r.jobs, spec)
	submit(test, r.service, spec)
}

// returnTask stores a log page on which a shard returns a drawn waiting task to the leader.
func (r *takeoverRun) returnTask(t *rapid.T) {
	type waitingTask struct {
		record   *taskstate.Record
		position int
	}
	var waiting []waitingTask
	r.node.store.EachRecord(func(record *taskstate.Record) {
		for position, status := range record.Statuses {
			if status.State == taskstate.StateWaiting {
				waiting = append(waiting, waitingTask{record, position})
			}
		}
	})
	if len(waiting) == 0 {
		return
	}
	slices.SortFunc(waiting, func(a, b waitingTask) int {
		return cmp.Or(cmp.Compare(a.record.Key, b.record.Key), cmp.Compare(a.position, b.position))
	})
	task := rapid.SampledFrom(waiting).Draw(t, "returned task")
	index, attempt := task.record.TaskIndexes[task.position], task.record.Statuses[task.position].Attempt
	value, err := json.Marshal(map[string]any{"e": []any{map[string]any{
		"c": fmt.Sprintf("%s/%d", task.record.Job, task.record.Number),
		"r": fmt.Sprintf("%d@%d", index, attempt+2),
	}}})
	if err != nil {
		t.Fatal(err)
	}
	r.pages++
	key := taskstate.PageKey(task.record.Shard, r.pages)
	r.service.Commit(&statetest.Commit{Operations: []statestore.Operation{{PutKey: key, Value: value}}})
}

// carryOutLateCommits carries out the commits that are on their way, unless their conditions no
// longer hold.
func (r *takeoverRun) carryOutLateCommits() {
	for _, commit := range r.late {
		r.service.Commit(commit)
	}
	r.late = nil
}

// checkNoTaskIsDispatchedTwice checks that no task is open in two records at the same time.
func (r *takeoverRun) checkNoTaskIsDispatchedTwice(t *rapid.T) {
	for _, spec := range r.jobs {
		for index, count := range r.node.openRecords(spec) {
			if count > 1 {
				t.Fatalf("task %d of %s is open in %d records at once", index, spec.ID, count)
			}
		}
	}
}

// TestNoTaskIsLostOrDispatchedTwiceByAnyLeader guards against tasks that never run or could run
// twice, whatever is carried out of the dispatches of leaders that crash: parts of them are
// refused, unanswered or carried out late, and shards return tasks meanwhile. When the faults are
// over, each task is open in exactly one record.
func TestNoTaskIsLostOrDispatchedTwiceByAnyLeader(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		run := &takeoverRun{service: statetest.New()}
		run.service.Hold = func(commit *statetest.Commit) bool { return run.holdDispatch(rt, commit) }
		config := twoZones
		config.maxOperations = rapid.IntRange(1, 4).Draw(rt, "operations of a commit")
		run.node = startProcess(run.service, config)
		run.node.run(time.Second)
		for range rapid.IntRange(3, 15).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				run.submitJob(t, rt)
			case 1:
				run.returnTask(rt)
			case 2:
				run.node = run.node.replace()
			case 3:
				run.carryOutLateCommits()
			}
			run.node.run(time.Duration(rapid.IntRange(1, 8).Draw(rt, "pause")) * 100 * time.Millisecond)
			run.checkNoTaskIsDispatchedTwice(rt)
		}
		run.isOver = true
		run.carryOutLateCommits()
		if rapid.Bool().Draw(rt, "last leader crashes") {
			run.node = run.node.replace()
		}
		run.node.run(15 * time.Second)
		for _, spec := range run.jobs {
			run.node.checkEachTaskIsDispatchedOnce(rt, spec)
		}
	})
}
