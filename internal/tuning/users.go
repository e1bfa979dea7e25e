package tuning

import "time"

// Users' requests, and HTTP/1.1 in general.
const (
	// MaxHeaderBytes is the most bytes of a request before its body.
	MaxHeaderBytes = 8 * 1024
	// MaxBodyBytes is the most bytes of a request's body (PROTOCOL).
	MaxBodyBytes = 64 * 1024
	// SlowRequestTimeout is when a request that arrives piecemeal is given up.
	SlowRequestTimeout = 10 * time.Second
	// IdleConnectionTimeout is when a connection without requests is closed.
	IdleConnectionTimeout = 120 * time.Second
	// RetryAfterSeconds is what refused users are told to wait, in seconds.
	RetryAfterSeconds = 1
	// MaxQueuedUserRequests is the number of waiting user requests from which on new ones
	// are refused at once.
	MaxQueuedUserRequests = 256
	// SubmissionTimeout bounds the tries to make a submission durable; users wait 5 s for
	// an answer (PROTOCOL).
	SubmissionTimeout = 3500 * time.Millisecond
	// MaxCancelAttempts is how often a cancellation is tried before its user is told to
	// come back: each attempt verifies the job anew.
	MaxCancelAttempts = 7
)

// Health of a node, as the users' load balancer sees it.
const (
	// UnhealthyAfter is how long a node may go without any answer from the state service
	// before it calls itself unhealthy, if a peer has one.
	UnhealthyAfter = 4 * time.Second
	// PeerHealthMaxAge is how long it counts that a peer has said that the state service
	// answers it: the peers are asked once a second.
	PeerHealthMaxAge = 2500 * time.Millisecond
)
