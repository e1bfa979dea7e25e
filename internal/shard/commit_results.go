package shard

import (
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// handleResult takes in what is known of a commit of the present term.
func (w *logWriter) handleResult(commit *pageCommit, result statestore.CommitResult) {
	switch result.Outcome {
	case statestore.OutcomeOK:
		w.handleCommitted(commit, result.Revision)
	case statestore.OutcomeRefused, statestore.OutcomeInvalid:
		w.handleRefused(commit)
	case statestore.OutcomeConflict:
		w.handleConflict(result.FailedKeys)
	case statestore.OutcomeUnknown, statestore.OutcomeGone:
		w.handleUnknownOutcome()
	}
}

// handleCommitted takes note that the statuses of a commit are durable.
func (w *logWriter) handleCommitted(commit *pageCommit, revision uint64) {
	w.pacing.inFlight--
	w.pages.release(commit.pages, revision)
	w.pacing.refusals = 0
	for _, written := range commit.statuses {
		w.markDurable(commit.sequence, written)
	}
	w.flush()
}

// handleRefused has the tasks of a commit that was surely not carried out written again, a
// little later; in smaller pages or commits if it was found too large.
func (w *logWriter) handleRefused(commit *pageCommit) {
	w.pacing.inFlight--
	w.pages.release(commit.pages, 0)
	w.pacing.refusals++
	w.pacing.backingOff = true
	w.deps.Runtime.After(w.deps.State.Backoff(w.pacing.refusals-1), w.terms.Guard(func() {
		w.pacing.backingOff = false
		for _, written := range commit.statuses {
			w.taskChanged(written.task, true)
		}
		w.flush()
	}))
}

// handleConflict finds out whether the shard is another node's now, or this node's under a
// newer token. If it is still held under the present one, a page has another revision than
// the copy says, and a new token is needed.
func (w *logWriter) handleConflict(failedKeys []string) {
	w.deps.Leases.Refresh(w.terms.Guard(func() {
		w.deps.Log.Warn("commit conditions failed, renewing the token", "shard", w.shardIndex, "token", w.token, "keys", failedKeys)
		w.renewToken()
	}))
}

// handleUnknownOutcome acts on a commit that may still be carried out, late. Under a new
// token its condition on the token fails; then the records are read anew.
func (w *logWriter) handleUnknownOutcome() {
	w.deps.Log.Info("commit outcome unknown, renewing the token", "shard", w.shardIndex, "token", w.token)
	w.renewToken()
}

// renewToken asks for a new token until there is one, which ends the term. Until then
// commits stay counted as in flight, and nothing that they hold is launched.
func (w *logWriter) renewToken() {
	w.deps.Leases.RenewToken(w.shardIndex)
	w.deps.Runtime.After(tuning.MaxStateBackoff, w.terms.Guard(w.renewToken))
}

// markDurable takes note that a status of a task is committed.
func (w *logWriter) markDurable(sequence uint64, written writtenStatus) {
	task := written.task
	if !w.tasks.holds(task.Group) {
		return
	}
	if written.state == taskstate.StatePlaced && task.State == taskstate.StatePlaced && task.Attempt == written.attempt && !task.PlacementDurable {
		task.PlacementDurable = true
		w.deps.Handler.PlacementDurable(task)
	}
	if sequence < task.Log.Commit {
		return // the answer to a later commit came first; the status in that one is newer
	}
	task.Log.Commit = sequence
	w.pages.removeTask(task.Log.Page)
	task.Log.Page = written.page
	w.pages.addTask(task.Log.Page, task)
	if written.state == taskstate.StateDone {
		task.DoneDurable = true
	}
}
