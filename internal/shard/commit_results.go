package shard

import (
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// handleResult processes the outcome of a commit of the current term.
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

// handleCommitted marks the statuses of a successful commit as durable.
func (w *logWriter) handleCommitted(commit *pageCommit, revision uint64) {
	w.pacing.inFlight--
	w.pages.release(commit.pages, revision)
	w.pacing.refusals = 0
	w.check.newestRevision = max(w.check.newestRevision, revision)
	w.deps.Handler.CommittedUnderToken(revision)
	for _, written := range commit.statuses {
		w.markDurable(written, revision)
	}
	w.flush()
}

// handleRefused schedules the tasks of a commit that was definitely not executed to be
// written again after a backoff; in smaller pages or commits if it was too large.
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

// handleConflict refreshes the leases to find out whether another node owns the shard now,
// or this node under a newer token. If the current token is still valid, the stored revision
// of a page differs from the local copy, and the token is renewed.
func (w *logWriter) handleConflict(failedKeys []string) {
	w.deps.Leases.Refresh(w.terms.Guard(func() {
		w.deps.Log.Warn("commit conditions failed, renewing the token", "shard", w.shardIndex, "token", w.token, "keys", failedKeys)
		w.renewToken()
	}))
}

// handleUnknownOutcome renews the token after a commit that may still be executed late. Once
// the token is renewed, the commit's condition on the old one fails, and the records are
// read again.
func (w *logWriter) handleUnknownOutcome() {
	w.deps.Log.Info("commit outcome unknown, renewing the token", "shard", w.shardIndex, "token", w.token)
	w.renewToken()
}

// renewToken requests a new token, again and again until it is granted, which ends the term.
// Until then the commits stay counted as in flight, and no placement in them is launched.
func (w *logWriter) renewToken() {
	w.deps.Leases.RenewToken(w.shardIndex)
	w.deps.Runtime.After(tuning.MaxStateBackoff, w.terms.Guard(w.renewToken))
}

// markDurable records that a status of a task was committed at a revision. It ignores tasks whose
// record was removed or read again since.
func (w *logWriter) markDurable(written writtenStatus, revision uint64) {
	task, status := written.task, written.status
	if !w.tasks.contains(task.Group) {
		return
	}
	if status.State == taskstate.StatePlaced && task.State == taskstate.StatePlaced && task.Attempt == status.Attempt && !task.PlacementDurable {
		task.PlacementDurable = true
		w.deps.Handler.PlacementDurable(task)
	}
	if status.State == taskstate.StateDone {
		task.DoneDurable = true
	}
	w.pages.record(task, written.page, status, revision)
}
