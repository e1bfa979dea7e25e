package drain

import (
	"encoding/json"
	"fmt"
)

// Phase is the phase of a drain as a whole.
type Phase string

// The phases of a drain. PhaseDone and PhaseCancelled are final.
const (
	PhaseRunning   Phase = "running"
	PhasePaused    Phase = "paused"
	PhaseCancelled Phase = "cancelled"
	PhaseDone      Phase = "done"
)

// Active reports whether the drain keeps machines closed and its grants are carried out.
func (p Phase) Active() bool { return p == PhaseRunning || p == PhasePaused }

// Head is the stored record of a drain as a whole, under HeadKey.
type Head struct {
	Phase Phase `json:"phase"`
	// CreatedAtMS is when the drain was accepted, in milliseconds since the Unix epoch by the
	// leader's clock.
	CreatedAtMS int64 `json:"created"`
	// Digest distinguishes different requests with the same ID, see Request.Digest.
	Digest string `json:"digest"`
	// Replace is set if a replacement is rented for each machine before the machine is closed.
	Replace bool `json:"replace,omitempty"`
	// Machines is the number of the drain's machines, Pages the number of pages listing them.
	Machines int `json:"machines"`
	Pages    int `json:"pages"`
	// Released is the number of machines that were released when the drain ended.
	Released int `json:"released,omitempty"`
	// EndedAtMS is when the drain reached its final phase, in milliseconds since the Unix epoch
	// by the leader's clock, 0 before that.
	EndedAtMS int64 `json:"ended,omitempty"`
}

// MachineState is the state of a machine in a drain. It is stored; MachineWaiting is omitted.
type MachineState string

// The states, in the order in which a machine passes through them.
const (
	MachineWaiting   MachineState = ""
	MachineReplacing MachineState = "replacing" // a replacement is requested or booting
	MachineClosed    MachineState = "closed"    // takes no new tasks
	MachineReleased  MachineState = "released"  // returned to the cloud or otherwise gone
)

// Machine is the entry of a machine in a page.
type Machine struct {
	ID    string       `json:"i"`
	State MachineState `json:"s,omitempty"`
	// RentalAttempts is the number of replacements that were lost or given up. It makes the
	// name of the next rental request unique.
	RentalAttempts int `json:"n,omitempty"`
	// Replacement is the machine rented for it.
	Replacement string `json:"r,omitempty"`
	// ClosedAtMS is when it was closed, in milliseconds since the Unix epoch by the leader's
	// clock.
	ClosedAtMS int64 `json:"t,omitempty"`
}

// maxMachineBytes is the largest size of an encoded entry of a page, with machine IDs of up
// to 40 bytes.
const maxMachineBytes = 150

// Page is the stored record of a part of a drain's machines, under PageKey.
type Page struct {
	Machines []Machine `json:"m"`
}

// TaskRef identifies an attempt of a task or of a gang.
type TaskRef struct {
	Job     string `json:"j"`
	Index   int    `json:"i,omitempty"`
	Attempt uint64 `json:"a"` // as in the stored status of the task
	// Gang is the number of tasks of a gang that is disturbed as a whole, 0 for a single task.
	// For a gang, Index is 0 and Attempt is the attempt that all of its tasks share.
	Gang int `json:"g,omitempty"`
}

// Name returns the task, or the gang as a whole, without its attempt.
func (t TaskRef) Name() TaskName {
	if t.Gang > 0 {
		return TaskName{t.Job, gangIndex}
	}
	return TaskName{t.Job, t.Index}
}

// TaskName identifies a task, or a gang as a whole with gangIndex as its Index.
type TaskName struct {
	Job   string
	Index int
}

// gangIndex is the Index of a TaskName that identifies a gang as a whole.
const gangIndex = -1

// maxTaskRefBytes is the largest size of an encoded TaskRef in a grant.
const maxTaskRefBytes = 100

// Grant is the stored record, under GrantKey, that allows tasks of a machine to be
// disturbed. Each task counts against its team's budget until it runs again, has ended, or
// its job has ended.
type Grant struct {
	Machine string    `json:"m"`
	Tasks   []TaskRef `json:"t"`
}

// encode returns the stored form of a Head, Page or Grant.
func encode(record any) (json.RawMessage, error) {
	raw, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode drain record of type %T: %w", record, err)
	}
	return raw, nil
}
