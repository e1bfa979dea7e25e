package tuning

import "time"

// Users' requests, and HTTP/1.1 in general.
const (
	// MaxHeaderBytes is the maximum size of a request up to its body, in bytes.
	MaxHeaderBytes = 8 * 1024
	// MaxBodyBytes is the maximum size of a request's body in bytes (PROTOCOL).
	MaxBodyBytes = 64 * 1024
	// SlowRequestTimeout is the time after which an incomplete request is abandoned.
	SlowRequestTimeout = 10 * time.Second
	// IdleConnectionTimeout is the time after which a connection without requests is closed.
	IdleConnectionTimeout = 120 * time.Second
	// RetryAfterSeconds is how long refused users are asked to wait, in seconds.
	RetryAfterSeconds = 1
	// MaxQueuedUserRequests is the number of queued user requests above which new ones are
	// refused immediately.
	MaxQueuedUserRequests = 256
	// SubmissionTimeout is how long a submission is retried until it is durable. Users wait
	// 5 s for an answer (PROTOCOL).
	SubmissionTimeout = 3500 * time.Millisecond
	// MaxCancelAttempts is the number of attempts at a cancellation before its user is asked
	// to retry. Each attempt verifies the job again.
	MaxCancelAttempts = 7
)

// Health of a node, as reported to the users' load balancer.
const (
	// UnhealthyAfter is how long a node may get no answer from the state service before it
	// reports itself unhealthy, unless its peers report that they get none either.
	UnhealthyAfter = 4 * time.Second
	// PeerHealthMaxAge is how long the reply of a peer that the state service answers it is
	// considered valid. The peers are asked once a second.
	PeerHealthMaxAge = 2500 * time.Millisecond
)
