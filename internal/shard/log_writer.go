package shard

import (
	"time"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
)

// logWriter commits task changes to the shard's log. Several commits may be in flight at a
// time, because the order in which pages are written does not matter: a task's status only
// moves forward, and a reader uses the most advanced one.
type logWriter struct {
	deps       *Dependencies
	shardIndex int
	terms      *term.Counter
	tasks      *workingSet

	token   uint64 // the fencing token of the term
	changes changeSet
	pages   logPages
	pacing  commitPacing
	check   logCheck
}

// pageCommit is a commit of log pages.
type pageCommit struct {
	pages    []int
	statuses []writtenStatus
}

// writtenStatus is a task's status as it was written to a page.
type writtenStatus struct {
	task   *taskstate.Task
	status taskstate.TaskStatus
	page   int
}

// endTerm discards the changes and the state of the log. The term counter drops the answers
// to commits of the ended term.
func (w *logWriter) endTerm() {
	w.token = 0
	w.changes.tasks = nil
	w.check = logCheck{}
	w.pacing.endTerm()
	w.pages = logPages{revisionOf: func(page int) uint64 {
		return w.deps.Records.PageRevision(w.shardIndex, page)
	}}
}

// trackPages records which pages hold the statuses of a group's tasks.
func (w *logWriter) trackPages(group *taskstate.TaskGroup) {
	for _, task := range group.Tasks {
		w.pages.addTask(task.Log.Page, task)
	}
}

// untrackPage records that the logged status of a task is no longer needed.
func (w *logWriter) untrackPage(task *taskstate.Task) { w.pages.removeTask(task.Log.Page) }

// taskChanged adds a task to the changes to write, unless its record was removed.
func (w *logWriter) taskChanged(task *taskstate.Task, urgent bool) {
	if w.tasks.contains(task.Group) {
		w.changes.add(task, urgent, w.deps.Runtime.Now())
	}
}

// flush sends a commit if there are changes and one may be sent now. If the pipeline delay,
// the batching delay or the operation budget requires a wait, it schedules itself.
func (w *logWriter) flush() {
	if !w.pacing.canSendCommit() || !w.deps.Leases.LeaseValid() || len(w.changes.tasks) == 0 {
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
	if wait := w.changes.batchingDelay(now); wait > 0 {
		w.scheduleFlush(wait)
		return
	}
	if budget.Tokens() < 1 {
		w.scheduleFlush(budget.UntilNext(rate))
		return
	}
	w.commit(min(w.deps.State.MaxOperations(), int(budget.Tokens()), tuning.MaxCommitBytes/w.pageBytes()))
}

// scheduleFlush schedules a flush after a delay, unless one is scheduled already.
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

// operationsPerSecond returns this shard's share of the state service's write rate.
func (w *logWriter) operationsPerSecond() float64 {
	settings := w.deps.Settings
	return settings.Deployment.State.WriteRPS * tuning.ShardWriteShare * w.deps.State.WriteShare() / float64(settings.ShardCount())
}

// pageBytes returns the maximum size of a page in bytes.
func (w *logWriter) pageBytes() int { return min(tuning.MaxPageBytes, w.deps.State.MaxValueBytes()) }

// commit writes the changed tasks to at most maxPages pages and retains those that did not
// fit.
func (w *logWriter) commit(maxPages int) {
	pages, rest, err := taskstate.PackPages(w.tasksToWrite(), w.pageBytes(), maxPages)
	if err != nil {
		w.deps.Log.Error("failed to encode log pages", "shard", w.shardIndex, "err", err)
		return
	}
	w.changes.retain(rest)
	if len(pages) == 0 {
		return
	}
	commit := &pageCommit{pages: w.pages.reserve(len(pages))}
	var operations []statestore.Operation
	conditions := []statestore.Condition{{Key: statestore.ShardKey(w.shardIndex), Revision: w.token}}
	for i, packed := range pages {
		// Without the condition on the page's revision, a commit that is executed a second
		// time, later, would restore an earlier content of the page.
		number := commit.pages[i]
		key := taskstate.PageKey(w.shardIndex, number)
		conditions = append(conditions, statestore.Condition{Key: key, Revision: w.pages.page(number).revision})
		operations = append(operations, statestore.Operation{PutKey: key, Value: packed.Value})
		for _, task := range packed.Tasks {
			task.Log.Dirty = false
			commit.statuses = append(commit.statuses, writtenStatus{task, task.Status(), number})
		}
	}
	w.pacing.recordCommit(w.deps.Runtime.Now(), len(operations))
	w.deps.State.CommitWithTimeout(conditions, operations, w.deps.State.CommitTimeout(),
		term.GuardValue(w.terms, func(result statestore.CommitResult) { w.handleResult(commit, result) }))
}

// tasksToWrite returns the changed tasks. While no other commit is in flight, it adds the
// tasks whose statuses are to be moved off an old page, so that the page can be overwritten
// and the log does not grow without bound.
func (w *logWriter) tasksToWrite() []*taskstate.Task {
	tasks := make([]*taskstate.Task, 0, len(w.changes.tasks))
	for _, task := range w.changes.tasks {
		if w.tasks.contains(task.Group) {
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
		if w.tasks.contains(task.Group) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}
