package tuning

import "time"

// Requests to the state service.
const (
	// StateRequestTimeout is the time after which a request counts as unanswered. An answer
	// usually takes 10 ms, occasionally a few hundred.
	StateRequestTimeout = 1800 * time.Millisecond
	// MaxCommitTimeout is the maximum time for which a shard owner's commit is waited for
	// when answers are slow.
	MaxCommitTimeout = 8 * time.Second
	// CommitTimeoutFactor is the timeout of a shard owner's commit as a multiple of the average
	// latency: the slowest answers take some fifty times as long as the usual ones.
	CommitTimeoutFactor = 60
	// LatencyAverageCount is the number of answers over which the latency is averaged.
	LatencyAverageCount = 8
	// MaxCommitsInFlight is the maximum number of commits in flight of a shard owner, or of a
	// node's submissions.
	MaxCommitsInFlight = 4
	// CommitPipelineDelay is how long a commit is in flight before the next one may be sent
	// without its answer.
	CommitPipelineDelay = 60 * time.Millisecond
	// MinStateBackoff is the first pause after a refused request. It doubles with each retry.
	MinStateBackoff = 100 * time.Millisecond
	// MaxStateBackoff is the maximum pause after a refused request, before a random factor
	// between 0.5 and 1.5 is applied.
	MaxStateBackoff = 1 * time.Second
	// MaxStateBackoffDoublings limits how often the pause is doubled. MaxStateBackoff is
	// reached with fewer doublings.
	MaxStateBackoffDoublings = 5
	// ListPageSize is the number of keys requested per listing (PROTOCOL: at most 1000).
	ListPageSize = 1000
	// MaxCommitBytes keeps a transaction below the service's 64 KiB (PROTOCOL).
	MaxCommitBytes = 48 * 1024
	// SubmissionOverheadBytes is the size of a submission in a commit without its record: its
	// key, twice, and the JSON syntax around it.
	SubmissionOverheadBytes = 100
)

// Copies of parts of the state, kept current by watches and checks.
const (
	// WatchTimeout is how long the service keeps a watch open.
	WatchTimeout = 10 * time.Second
	// PassiveWatchPause is how long a node that neither leads nor owns a shard pauses after
	// changes before it reopens the watch. Its answers are verified in any case.
	PassiveWatchPause = 500 * time.Millisecond
	// FreshnessCheckInterval is the minimum time between two freshness checks of a node. Polls
	// in between share a check. The interval is longer where requests are scarce.
	FreshnessCheckInterval = 150 * time.Millisecond
	// FreshnessCheckShare is the fraction of the requests per second that the freshness checks
	// of all nodes together may use.
	FreshnessCheckShare = 0.2
	// WatchRequestShare is the fraction of the requests per second that the watches of the
	// leader and the shard owners may use: a watch ends with each change and is reopened.
	WatchRequestShare = 0.4
	// WatchBurst is the number of consecutive changes after a quiet period that are followed
	// without a pause. The service allows bursts of one second's worth of requests.
	WatchBurst = 6
)

// Shares of the state service's write operations per second.
const (
	// ShardWriteShare is the fraction of the write operations that the records of the leader
	// and the shard owners may use. The rest is for submissions and cancellations.
	ShardWriteShare = 0.45
	// SubmissionWriteShare is the fraction of the write operations that the submissions of all
	// nodes together use while writes are throttled, since decisions have precedence over
	// submissions. Without this limit, three hundred jobs submitted at once prevent every
	// dispatch for half a minute.
	SubmissionWriteShare = 0.45
	// MinSubmissionWritesPerSecond is the rate of writes that a node may always use for
	// submissions, however small its share is.
	MinSubmissionWritesPerSecond = 0.5
	// WritesThrottledPeriod is how long writes count as throttled after the service refused
	// one because there were too many.
	WritesThrottledPeriod = 1500 * time.Millisecond
	// StalledDispatchGrace is how long idle machines are retained after throttled writes
	// delayed a dispatch: work for them will follow.
	StalledDispatchGrace = 5 * time.Second
	// RecordSweepInterval is the time between two removals of records of finished jobs.
	RecordSweepInterval = 1 * time.Second
	// RecordSweepWriteShare is the fraction of the write operations that removals may use.
	RecordSweepWriteShare = 0.2
	// MaxCompletionDelay is how long the commit of a completed task may be delayed to share it
	// with others. Only the worker's memory of the task is retained longer by that.
	MaxCompletionDelay = 700 * time.Millisecond
	// WriteShareDecreaseFactor is the factor applied to a node's share of the write operations
	// when the service has refused some, if the settings announce lower limits.
	WriteShareDecreaseFactor = 0.9
	// WriteShareIncreasePerSecond is the rate at which that share increases again.
	WriteShareIncreasePerSecond = 0.01
	// WriteShareDecreaseInterval is the minimum time between two decreases.
	WriteShareDecreaseInterval = 500 * time.Millisecond
)
