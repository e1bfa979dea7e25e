package userapi

import "lemonmoor/internal/jobs"

// KeyPrefix is the key prefix of all job records in the state service.
const KeyPrefix = "job/"

// Phase is the phase of a job. The stored phase is "" until it is final.
type Phase string

// The final phases of a job.
const (
	PhaseDone      Phase = "done"
	PhaseCancelled Phase = "cancelled"
)

// The phases shown to users for an unfinished job. They are never stored.
const (
	phasePending Phase = "pending"
	phaseRunning Phase = "running"
)

// Record is the stored form of a job.
type Record struct {
	Phase       Phase      `json:"phase,omitempty"`
	SubmittedMS int64      `json:"at"` // milliseconds since the Unix epoch, by the accepting node's clock
	Spec        *jobs.Spec `json:"job,omitempty"`
	// TaskCount is the number of tasks of a job in phase done, whose record has no Spec.
	TaskCount int `json:"n,omitempty"`
	// CancelledMS is the time at which the job was cancelled, in milliseconds since the Unix
	// epoch, read from the committing node's clock before the commit. It is 0 in records of
	// versions that did not store it.
	CancelledMS int64 `json:"off,omitempty"`
}

// Entry is a job record in the catalog, with the revision at which it was stored.
type Entry struct {
	ID       string
	Revision uint64
	Record
	quota quotaVerdict
}
