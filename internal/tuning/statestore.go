package tuning

import "time"

// Requests to the state service.
const (
	// StateRequestTimeout is when a request counts as unanswered. Answers usually take
	// 10 ms, now and then a few hundred.
	StateRequestTimeout = 1800 * time.Millisecond
	// MaxCommitTimeout is how long a shard owner's commit is waited for when answers are
	// slow.
	MaxCommitTimeout = 8 * time.Second
	// CommitTimeoutFactor is how many times the usual answer's time a shard owner's commit
	// is waited for: the slowest answers take some fifty times as long as the usual ones.
	CommitTimeoutFactor = 60
	// LatencyAverageCount is the number of answers over which the usual answer's time is
	// averaged.
	LatencyAverageCount = 8
	// MaxCommitsInFlight is the most commits of one shard owner, or of one node's
	// submissions, that wait for their answers at a time.
	MaxCommitsInFlight = 4
	// CommitPipelineDelay is how long a commit is in flight alone before the next one may
	// follow it.
	CommitPipelineDelay = 60 * time.Millisecond
	// MinStateBackoff is the first pause after a refused request; it doubles.
	MinStateBackoff = 100 * time.Millisecond
	// MaxStateBackoff is the longest pause after a refused request.
	MaxStateBackoff = 1 * time.Second
	// MaxStateBackoffDoublings bounds how often the pause is doubled; MaxStateBackoff is
	// reached before.
	MaxStateBackoffDoublings = 5
	// ListPageSize is the number of keys asked for in one listing (PROTOCOL: at most 1000).
	ListPageSize = 1000
	// MaxCommitBytes keeps a transaction below the service's 64 KiB (PROTOCOL).
	MaxCommitBytes = 48 * 1024
	// SubmissionOverheadBytes is what a submission takes of a commit besides its record: its
	// key, twice, and the JSON around it.
	SubmissionOverheadBytes = 100
)

// Copies of parts of the state, kept current by watches and checks.
const (
	// WatchTimeout is how long a watch stays open on the service's side.
	WatchTimeout = 10 * time.Second
	// PassiveWatchPause is how long a node that neither leads nor owns a shard waits after
	// changes before it opens the watch again; its answers are verified anyway.
	PassiveWatchPause = 500 * time.Millisecond
	// FreshnessCheckInterval is the least time between two freshness checks of one node;
	// polls in between share a check. Where requests are scarce it is longer.
	FreshnessCheckInterval = 150 * time.Millisecond
	// FreshnessCheckShare is the part of the requests a second that the freshness checks of
	// all nodes together may take.
	FreshnessCheckShare = 0.2
	// WatchRequestShare is the part of the requests a second that the watches of the leader
	// and the shard owners may take: a watch ends with each change and is opened anew.
	WatchRequestShare = 0.4
	// WatchBurst is how many changes in a row are followed at once after a quiet time. The
	// service allows bursts of one second's worth of requests.
	WatchBurst = 6
)

// How the state service's write operations a second are shared.
const (
	// ShardWriteShare is the part of the write operations that the records of the leader
	// and the shard owners may use; the rest is for submissions and cancellations.
	ShardWriteShare = 0.45
	// SubmissionWriteShare is the part of the write operations that the submissions of all
	// nodes take while writes are throttled, since decisions come before submissions.
	// Without it three hundred jobs at once kept anything from being dispatched for half a
	// minute.
	SubmissionWriteShare = 0.45
	// MinSubmissionWritesPerSecond is what a node may use for submissions however small its
	// part is.
	MinSubmissionWritesPerSecond = 0.5
	// WritesThrottledPeriod is how long writes count as throttled after the service has
	// refused one because there were too many.
	WritesThrottledPeriod = 1500 * time.Millisecond
	// StalledDispatchGrace is how long after a dispatch that was held up by throttled writes
	// idle machines are kept: the work for them is to come.
	StalledDispatchGrace = 5 * time.Second
	// RecordSweepInterval is the time between two removals of records of finished jobs.
	RecordSweepInterval = 1 * time.Second
	// RecordSweepWriteShare is the part of the write operations that removals may take.
	RecordSweepWriteShare = 0.2
	// MaxCompletionDelay is how long a completed task may wait to share a commit with
	// others. Only the worker's memory of the task waits.
	MaxCompletionDelay = 700 * time.Millisecond
	// WriteShareDecreaseFactor is what the share of the write operations that a node uses
	// is multiplied by when the service has refused some, where the settings announce lower
	// limits.
	WriteShareDecreaseFactor = 0.9
	// WriteShareIncreasePerSecond is how fast that share comes back.
	WriteShareIncreasePerSecond = 0.01
	// WriteShareDecreaseInterval is the least time between two decreases.
	WriteShareDecreaseInterval = 500 * time.Millisecond
)
