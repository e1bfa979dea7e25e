package userapi

import "lemonmoor/internal/jobs"

// KeyPrefix is the prefix of the keys of all job records.
const KeyPrefix = "job/"

// Phase is a job's phase as it is stored: "" until it is final.
type Phase string

// The final phases of a job.
const (
	PhaseDone      Phase = "done"
	PhaseCancelled Phase = "cancelled"
)

// The phases of an unfinished job as its user sees it. They are never stored.
const (
	phasePending Phase = "pending"
	phaseRunning Phase = "running"
)

// Record is a job as it is stored.
type Record struct {
	Phase       Phase      `json:"phase,omitempty"`
	SubmittedMS int64      `json:"at"` // ms since the epoch, by the clock of the accepting node
	Spec        *jobs.Spec `json:"job,omitempty"`
	// TaskCount is the number of tasks of a job that is done, whose spec is dropped.
	TaskCount int `json:"n,omitempty"`
	// CancelledMS is when a cancelled job was cancelled, in ms since the epoch by the clock
	// of the node that wrote it, from before the commit; 0 if the record is of a version
	// that did not tell.
	CancelledMS int64 `json:"off,omitempty"`
}

// Entry is a job record in memory.
type Entry struct {
	ID       string
	Revision uint64
	Record
	quota quotaVerdict
}
