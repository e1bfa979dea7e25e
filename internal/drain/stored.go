package drain

import (
	"encoding/json"
	"fmt"
)

// Phase is how far a drain as a whole is.
type Phase string

// The phases. PhaseDone and PhaseCancelled are final.
const (
	PhaseRunning   Phase = "running"
	PhasePaused    Phase = "paused"
	PhaseCancelled Phase = "cancelled"
	PhaseDone      Phase = "done"
)

// Active reports whether machines are kept closed and grants are carried out.
func (p Phase) Active() bool { return p == PhaseRunning || p == PhasePaused }

// Head is the stored record of a drain as a whole, under HeadKey.
type Head struct {
	Phase Phase `json:"phase"`
	// CreatedAtMS is when it was accepted, in milliseconds since the epoch by the leader's clock.
	CreatedAtMS int64 `json:"created"`
	// Digest tells requests of the same ID apart, see Request.Digest.
	Digest string `json:"digest"`
	// Replace: a replacement is rented for each machine before it is closed.
	Replace bool `json:"replace,omitempty"`
	// Machines is how many the drain names, Pages how many pages list them.
	Machines int `json:"machines"`
	Pages    int `json:"pages"`
	// Released is how many machines were released, as of the end.
	Released int `json:"released,omitempty"`
	// EndedAtMS is when it reached its final phase, in milliseconds since the epoch; 0 before.
	EndedAtMS int64 `json:"ended,omitempty"`
}

// MachineState is how far a machine of a drain is. It is stored; MachineWaiting is left out.
type MachineState string

// The states, in their order.
const (
	MachineWaiting   MachineState = ""
	MachineReplacing MachineState = "replacing" // a replacement was asked for, or is booting
	MachineClosed    MachineState = "closed"    // takes no new tasks
	MachineReleased  MachineState = "released"  // returned to the cloud, or gone by itself
)

// Machine is an entry of a page.
type Machine struct {
	ID    string       `json:"i"`
	State MachineState `json:"s,omitempty"`
	// RentalAttempts counts the rental requests for a replacement, each under another name.
	RentalAttempts int `json:"n,omitempty"`
	// Replacement is the machine rented for it.
	Replacement string `json:"r,omitempty"`
	// ClosedAtMS is when it was closed, in milliseconds since the epoch by the leader's clock.
	ClosedAtMS int64 `json:"t,omitempty"`
}

// maxMachineBytes is the most bytes that an entry of a page takes, with names of up to
// forty bytes.
const maxMachineBytes = 150

// Page is the stored record of some of a drain's machines, under PageKey.
type Page struct {
	Machines []Machine `json:"m"`
}

// TaskRef names an attempt of a task.
type TaskRef struct {
	Job     string `json:"j"`
	Index   int    `json:"i,omitempty"`
	Attempt uint64 `json:"a"` // as stored
	// Gang is the number of tasks of a gang that is disturbed as a whole, 0 for a
	// single task. Index is then 0, and Attempt the one that all tasks share.
	Gang int `json:"g,omitempty"`
}

// Name returns the task, or the gang as a whole, without its attempt.
func (t TaskRef) Name() TaskName {
	if t.Gang > 0 {
		return TaskName{t.Job, gangIndex}
	}
	return TaskName{t.Job, t.Index}
}

// TaskName names a task, or a gang as a whole.
type TaskName struct {
	Job   string
	Index int
}

// gangIndex stands where a task has its index.
const gangIndex = -1

// maxTaskRefBytes is the most bytes that a task takes in a grant.
const maxTaskRefBytes = 100

// Grant is the stored record, under GrantKey, that allows tasks of a machine to be
// disturbed. Each uses up its team's budget until it runs again, has ended, or its job is
// over.
type Grant struct {
	Machine string    `json:"m"`
	Tasks   []TaskRef `json:"t"`
}

func encode(record any) (json.RawMessage, error) {
	raw, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("drain record: %w", err)
	}
	return raw, nil
}
