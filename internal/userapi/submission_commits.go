package userapi

import (
	"math"
	"slices"
	"time"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tokenbucket"
	"lemonmoor/internal/tuning"
)

// commitPipeline is the state of the commits of submissions. Several commits may be in flight,
// so that submissions do not wait behind a commit that is answered slowly.
type commitPipeline struct {
	inFlight       int
	lastSentAt     time.Duration
	backingOff     bool // after a refused commit, no commits until the backoff ends
	flushScheduled bool
	maxBatch       int // maximum number of submissions in a commit; low while writes are throttled
}

// flush sends the next batch of queued submissions in a commit. It does nothing during a
// backoff or with MaxCommitsInFlight commits in flight, since the end of either calls flush
// again. If the pipeline delay or the write budget does not allow a commit yet, it schedules
// another flush.
func (s *submissions) flush() {
	if s.commits.backingOff || s.commits.inFlight >= tuning.MaxCommitsInFlight || len(s.queue) == 0 {
		return
	}
	now := s.runtime.Now()
	if wait := s.commits.lastSentAt + tuning.CommitPipelineDelay - now; s.commits.inFlight > 0 && wait > 0 {
		s.flushAfter(wait)
		return
	}
	maxBatch, wait := s.budget.allowance(now, s.writesPerSecond(), s.client.WritesThrottled())
	if wait > 0 {
		s.flushAfter(wait)
		return
	}
	batch := s.dequeueBatch(min(maxBatch, s.commits.maxBatch))
	if len(batch) == 0 {
		return
	}
	s.commits.inFlight++
	s.commits.lastSentAt = s.runtime.Now()
	s.budget.bucket.Spend(float64(len(batch)))
	conditions, operations := buildCommit(batch)
	s.client.Commit(conditions, operations, func(result statestore.CommitResult) {
		s.commits.inFlight--
		s.handleCommitResult(batch, result)
	})
}

// flushAfter schedules a flush after the pause, unless one is scheduled already.
func (s *submissions) flushAfter(pause time.Duration) {
	if s.commits.flushScheduled {
		return
	}
	s.commits.flushScheduled = true
	s.runtime.After(pause, func() {
		s.commits.flushScheduled = false
		s.flush()
	})
}

// dequeueBatch removes the submissions of the next commit from the queue, at most maxCount, and
// refuses those that have expired in the queue.
func (s *submissions) dequeueBatch(maxCount int) []*submission {
	var batch []*submission
	size := 0
	for len(s.queue) > 0 && len(batch) < maxCount && size < tuning.MaxCommitBytes {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if s.runtime.Now() >= next.expiresAt {
			s.refuse(next, reasonStateNotReached)
			continue
		}
		next.sent = true
		batch = append(batch, next)
		size += len(next.value) + tuning.SubmissionOverheadBytes
	}
	return batch
}

// buildCommit returns the conditions and operations that store the records of a batch, each on
// condition that the job has no record yet.
func buildCommit(batch []*submission) (conditions []statestore.Condition, operations []statestore.Operation) {
	for _, submitted := range batch {
		key := KeyPrefix + submitted.jobID
		conditions = append(conditions, statestore.Condition{Key: key})
		operations = append(operations, statestore.Operation{PutKey: key, Value: submitted.value})
	}
	return conditions, operations
}

// handleCommitResult processes the outcome of the commit of a batch.
func (s *submissions) handleCommitResult(batch []*submission, result statestore.CommitResult) {
	switch result.Outcome {
	case statestore.OutcomeOK:
		s.commits.maxBatch = min(2*s.commits.maxBatch, s.client.MaxOperations())
		for _, stored := range batch {
			s.accept(stored, result.Revision)
		}
	case statestore.OutcomeConflict:
		s.handleConflict(batch, result.FailedKeys)
	case statestore.OutcomeRefused:
		s.backOff(batch)
		return
	case statestore.OutcomeInvalid:
		s.retrySingly(batch)
	case statestore.OutcomeUnknown, statestore.OutcomeGone:
		// The commit may have been applied or may still be. Users learn the outcome by
		// repeating the submission.
		for _, unknown := range batch {
			s.refuse(unknown, reasonStateNoAnswer)
		}
	}
	s.flush()
}

// handleConflict answers the submissions of a batch whose jobs are stored already with the
// jobs' status, and queues the others again.
func (s *submissions) handleConflict(batch []*submission, storedKeys []string) {
	for _, submitted := range batch {
		if slices.Contains(storedKeys, KeyPrefix+submitted.jobID) {
			s.pollInstead(submitted)
		} else {
			s.queue = append(s.queue, submitted)
		}
	}
}

// retrySingly queues a batch again that the state service has rejected as too large, and limits
// the next commits to one submission each. A submission that is too large on its own is
// refused; when it is repeated, it is checked against the limits known by then.
func (s *submissions) retrySingly(batch []*submission) {
	s.commits.maxBatch = 1
	if len(batch) > 1 {
		s.queue = append(batch, s.queue...)
		return
	}
	for _, tooLarge := range batch {
		s.refuse(tooLarge, reasonRecordRefused)
	}
}

// backOff queues a refused batch again, for smaller commits after a backoff. While writes are
// throttled, a large commit would be refused repeatedly while small commits of others succeed.
func (s *submissions) backOff(batch []*submission) {
	s.commits.maxBatch = max(1, len(batch)/2)
	refusals := 0
	for _, refused := range batch {
		refused.refusals++
		refusals = max(refusals, refused.refusals)
	}
	s.queue = append(batch, s.queue...)
	s.commits.backingOff = true
	s.runtime.After(s.client.Backoff(refusals-1), func() {
		s.commits.backingOff = false
		s.flush()
	})
}

// writesPerSecond returns this node's share of the writes per second that submissions may use
// while writes are throttled. It is limited because scheduling decisions have precedence over
// submissions.
func (s *submissions) writesPerSecond() float64 {
	limits := &s.settings.Deployment.State
	nodes := float64(len(s.settings.Seeds) + 1)
	return max(tuning.MinSubmissionWritesPerSecond, limits.WriteRPS*tuning.SubmissionWriteShare*s.client.WriteShare()/nodes)
}

// writeBudget limits the rate of committed submissions while writes are throttled.
type writeBudget struct{ bucket tokenbucket.Bucket }

// allowance returns the maximum number of submissions in the next commit, or the time to wait
// until one is allowed. rate is in submissions per second and applies only while throttled.
func (b *writeBudget) allowance(now time.Duration, rate float64, throttled bool) (count int, wait time.Duration) {
	if !throttled {
		b.bucket.Reset(now, max(1, rate))
		return math.MaxInt, 0
	}
	b.bucket.Refill(now, rate, max(1, rate))
	if b.bucket.Tokens() < 1 {
		return 0, b.bucket.UntilNext(rate) + time.Millisecond
	}
	return int(b.bucket.Tokens()), 0
}
