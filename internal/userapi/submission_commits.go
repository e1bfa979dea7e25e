package userapi

import (
	"math"
	"slices"
	"time"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tokenbucket"
	"lemonmoor/internal/tuning"
)

// commitPipeline is how far the commits of submissions have come. A commit that is answered
// slowly is followed by others, so that submissions do not wait behind it.
type commitPipeline struct {
	inFlight       int
	latestSentAt   time.Duration
	backingOff     bool // after a refusal
	flushScheduled bool
	maxBatch       int // submissions in a commit; few while writes are throttled
}

// flush commits waiting submissions, several at a time.
func (s *submissions) flush() {
	if s.commits.backingOff || s.commits.inFlight >= tuning.MaxCommitsInFlight || len(s.queue) == 0 {
		return
	}
	now := s.runtime.Now()
	if wait := s.commits.latestSentAt + tuning.CommitPipelineDelay - now; s.commits.inFlight > 0 && wait > 0 {
		s.flushAfter(wait)
		return
	}
	maxBatch, wait := s.budget.allow(now, s.writesPerSecond(), s.client.WritesThrottled())
	if wait > 0 {
		s.flushAfter(wait)
		return
	}
	batch := s.takeBatch(min(maxBatch, s.commits.maxBatch))
	if len(batch) == 0 {
		return
	}
	s.commits.inFlight++
	s.commits.latestSentAt = s.runtime.Now()
	s.budget.bucket.Spend(float64(len(batch)))
	conditions, operations := commitOf(batch)
	s.client.Commit(conditions, operations, func(result statestore.CommitResult) {
		s.commits.inFlight--
		s.committed(batch, result)
	})
}

// flushAfter flushes after a pause, unless that is planned already.
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

// takeBatch takes the submissions of the next commit off the queue and refuses those that
// have expired there.
func (s *submissions) takeBatch(maxCount int) []*submission {
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

// commitOf stores the records of a batch, each on condition that there is none.
func commitOf(batch []*submission) (conditions []statestore.Condition, operations []statestore.Operation) {
	for _, submitted := range batch {
		key := KeyPrefix + submitted.jobID
		conditions = append(conditions, statestore.Condition{Key: key})
		operations = append(operations, statestore.Operation{PutKey: key, Value: submitted.value})
	}
	return conditions, operations
}

// committed takes the outcome of a commit.
func (s *submissions) committed(batch []*submission, result statestore.CommitResult) {
	switch result.Outcome {
	case statestore.OutcomeOK:
		s.commits.maxBatch = min(2*s.commits.maxBatch, s.client.MaxOperations())
		for _, stored := range batch {
			s.accept(stored, result.Revision)
		}
	case statestore.OutcomeConflict:
		s.separateKnown(batch, result.FailedKeys)
	case statestore.OutcomeRefused:
		s.backOff(batch)
		return
	case statestore.OutcomeInvalid:
		s.retrySingly(batch)
	case statestore.OutcomeUnknown, statestore.OutcomeGone:
		// It may have been carried out or may yet be; the same submission repeated finds
		// out.
		for _, unknown := range batch {
			s.refuse(unknown, reasonStateNoAnswer)
		}
	}
	s.flush()
}

// separateKnown answers the submissions of a batch whose jobs are stored already and queues
// the others again.
func (s *submissions) separateKnown(batch []*submission, storedKeys []string) {
	for _, submitted := range batch {
		if slices.Contains(storedKeys, KeyPrefix+submitted.jobID) {
			s.pollInstead(submitted)
		} else {
			s.queue = append(s.queue, submitted)
		}
	}
}

// retrySingly queues a batch that the service finds too large, for commits of one
// submission each. What is too large alone is refused; by the limits known from now on it is
// looked at when it is submitted again.
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

// backOff queues a refused batch again, for smaller commits after a pause: while writes are
// throttled a large commit is refused again and again while small ones of others pass.
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

// writesPerSecond is this node's part of the writes a second that submissions may use while
// writes are throttled: decisions come first.
func (s *submissions) writesPerSecond() float64 {
	limits := &s.settings.Deployment.State
	nodes := float64(len(s.settings.Seeds) + 1)
	return max(tuning.MinSubmissionWritesPerSecond, limits.WriteRPS*tuning.SubmissionWriteShare*s.client.WriteShare()/nodes)
}

// writeBudget limits the submissions committed while writes are throttled.
type writeBudget struct{ bucket tokenbucket.Bucket }

// allow returns how many submissions the next commit may hold, or how long to wait until it
// may hold one.
func (b *writeBudget) allow(now time.Duration, rate float64, throttled bool) (count int, wait time.Duration) {
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
