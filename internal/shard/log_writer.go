package shard

import (
	"time"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
)

// logWriter commits changes of tasks to the shard's log. Several commits may be in flight,
// since the order in which pages are written does not matter: a task's status only moves
// forward, and a reader takes the furthest one.
type logWriter struct {
	deps       *Dependencies
	shardIndex int
	terms      *term.Counter
	tasks      *workingSet

	token          uint64 // the fencing token of the term
	changes        changeSet
	pages          logPages
	pacing         commitPacing
	commitSequence uint64 // grows with every commit, over all terms
}

// pageCommit is a commit of log pages.
type pageCommit struct {
	sequence uint64
	pages    []int
	statuses []writtenStatus
}

// writtenStatus is a task's status as it was written to a page.
type writtenStatus struct {
	task    *taskstate.Task
	state   taskstate.State
	attempt uint64
	page    int
}

// endTerm forgets the changes and the log. Answers to commits of the term are dropped by
// the term counter.
func (w *logWriter) endTerm() {
	w.token = 0
	w.changes.tasks = nil
	w.pacing.endTerm()
	w.pages = logPages{revisionOf: func(page int) uint64 {
		return w.deps.Records.PageRevision(w.shardIndex, page)
	}}
}

// trackLogged takes note of the pages that hold the statuses of a group's tasks.
func (w *logWriter) trackLogged(group *taskstate.TaskGroup) {
	for _, task := range group.Tasks {
		w.pages.addTask(task.Log.Page, task)
	}
}

// forgetLogged takes note that the logged status of a task no longer matters.
func (w *logWriter) forgetLogged(task *taskstate.Task) { w.pages.removeTask(task.Log.Page) }

// taskChanged takes a changed task in, unless its record is gone.
func (w *logWriter) taskChanged(task *taskstate.Task, urgent bool) {
	if w.tasks.holds(task.Group) {
		w.changes.add(task, urgent, w.deps.Runtime.Now())
	}
}

// flush sends a commit if there are changes and it may be sent now, else it schedules
// itself.
func (w *logWriter) flush() {
	if !w.pacing.mayPipeline() || !w.deps.Leases.LeaseValid() || len(w.changes.tasks) == 0 {
		return
	}
	now := w.deps.Runtime.Now()
	if wait := w.pacing.pipelineDelay(now); wait > 0 {
		w.scheduleFlush(wait)
		return
	}
	rate := w.operationsPerSecond()
	w.pacing.refill(now, rate)
	budget := &w.pacing.budget
	if wait := w.changes.sharingDelay(now); wait > 0 {
		w.scheduleFlush(wait)
		return
	}
	if budget.Tokens() < 1 {
		w.scheduleFlush(budget.UntilNext(rate))
		return
	}
	w.commit(min(w.deps.State.MaxOperations(), int(budget.Tokens()), tuning.MaxCommitBytes/w.pageBytes()))
}

// scheduleFlush has the changes flushed after a while, once.
func (w *logWriter) scheduleFlush(wait time.Duration) {
	if w.pacing.flushScheduled {
		return
	}
	w.pacing.flushScheduled = true
	w.deps.Runtime.After(max(wait, time.Millisecond), w.terms.Guard(func() {
		w.pacing.flushScheduled = false
		w.flush()
	}))
}

// operationsPerSecond is the shard's part of what the state service allows.
func (w *logWriter) operationsPerSecond() float64 {
	settings := w.deps.Settings
	return settings.Deployment.State.WriteRPS * tuning.ShardWriteShare * w.deps.State.WriteShare() / float64(settings.ShardCount())
}

// pageBytes is the most that a page may hold.
func (w *logWriter) pageBytes() int { return min(tuning.MaxPageBytes, w.deps.State.MaxValueBytes()) }

// commit writes changed tasks to at most maxPages pages.
func (w *logWriter) commit(maxPages int) {
	pages, rest, err := taskstate.PackPages(w.tasksToWrite(), w.pageBytes(), maxPages)
	if err != nil {
		w.deps.Log.Error("failed to encode log pages", "shard", w.shardIndex, "err", err)
		return
	}
	w.changes.keep(rest)
	if len(pages) == 0 {
		return
	}
	commit := &pageCommit{pages: w.pages.reserve(len(pages))}
	var operations []statestore.Operation
	conditions := []statestore.Condition{{Key: statestore.ShardKey(w.shardIndex), Revision: w.token}}
	for i, packed := range pages {
		// The condition on the page's revision makes a commit fail that is carried out
		// once more, later: it must not bring back what the page held earlier.
		number := commit.pages[i]
		key := taskstate.PageKey(w.shardIndex, number)
		conditions = append(conditions, statestore.Condition{Key: key, Revision: w.pages.page(number).revision})
		operations = append(operations, statestore.Operation{PutKey: key, Value: packed.Value})
		for _, task := range packed.Tasks {
			task.Log.Dirty = false
			commit.statuses = append(commit.statuses, writtenStatus{task, task.State, task.Attempt, number})
		}
	}
	w.commitSequence++
	commit.sequence = w.commitSequence
	w.pacing.sent(w.deps.Runtime.Now(), len(operations))
	w.deps.State.CommitWithTimeout(conditions, operations, w.deps.State.CommitTimeout(),
		term.GuardValue(w.terms, func(result statestore.CommitResult) { w.handleResult(commit, result) }))
}

// tasksToWrite returns the changed tasks and, while no other commit is in flight, those
// whose statuses are to be moved off an old page so that the page can be overwritten and
// the log does not grow without bound.
func (w *logWriter) tasksToWrite() []*taskstate.Task {
	tasks := make([]*taskstate.Task, 0, len(w.changes.tasks))
	for _, task := range w.changes.tasks {
		if w.tasks.holds(task.Group) {
			tasks = append(tasks, task)
		}
	}
	if w.pacing.inFlight > 0 {
		return tasks
	}
	for _, task := range w.pages.tasksToMove() {
		if task.Log.Dirty {
			continue
		}
		task.Log.Dirty = true
		if w.tasks.holds(task.Group) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}
