package workers

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// NotOwnerBody is the body of the 503 answer of a node that may not act for the controllers.
// The worker then tries the next node.
var NotOwnerBody = http1.ErrorBody("not the owner of this machine")

// TaskPhase is the phase of a task on its machine (protocol, POST /agent/beat, "task
// state"). Unknown phases, from later versions of the protocol, are retained unchanged.
type TaskPhase string

// The phases of tasks.
const (
	PhaseFetching TaskPhase = "fetching" // waits for its image
	PhaseWaiting  TaskPhase = "waiting"  // has its image and waits for the other tasks of its gang
	PhaseRunning  TaskPhase = "running"
	PhaseSaving   TaskPhase = "saving" // was halted and writes a checkpoint
	PhaseEnded    TaskPhase = "ended"  // see EndCause
)

// hasImage reports whether the phase implies that the task's image is on the machine.
func (p TaskPhase) hasImage() bool {
	return p == PhaseRunning || p == PhaseSaving || p == PhaseWaiting
}

// EndCause is the cause of a task's end (protocol, POST /agent/beat, "why"). Unknown causes,
// from later versions of the protocol, are retained unchanged.
type EndCause string

// The causes of a task's end.
const (
	CauseDone      EndCause = "done"       // completed
	CauseHalted    EndCause = "halted"     // halted by command
	CauseError     EndCause = "error"      // failed
	CauseFull      EndCause = "full"       // refused: not enough free resources
	CauseBusy      EndCause = "busy"       // refused: another attempt of the task is on the machine
	CauseUnknown   EndCause = "unknown"    // refused: the worker finds no such job or task
	CauseAlone     EndCause = "alone"      // the other tasks of its gang never arrived
	CauseMatesGone EndCause = "mates_gone" // another task of its gang, which had started, is gone
)

// Verb is the action that a command requests (protocol, POST /agent/beat, "Response").
type Verb string

// The verbs of commands.
const (
	VerbLaunch Verb = "launch" // start a task; no effect if the worker already knows the attempt
	VerbHalt   Verb = "halt"   // end a task, with a checkpoint if the wind-down time allows it
	VerbForget Verb = "forget" // drop an ended task from the heartbeats
)

// Heartbeat describes a worker's machine and the tasks on it. Workers send it regularly and in
// answer to direct commands (protocol, POST /agent/beat).
type Heartbeat struct {
	WorkerID          string         `json:"host"`
	Addr              string         `json:"addr"` // host:port at which the worker accepts commands
	MachineType       string         `json:"build"`
	Zone              string         `json:"yard"`
	Spot              bool           `json:"loaners"`
	Session           uint64         `json:"shift"` // increases when the worker's lease expires
	Sequence          uint64         `json:"tick"`  // increases with each message of the worker
	Token             uint64         `json:"baton"` // highest token that the worker has seen
	SpotNoticeSeconds *float64       `json:"warningS"`
	Tasks             []ReportedTask `json:"pieces"` // all tasks on the machine; ended ones until forgotten
}

// ReportedTask is a task as listed in a heartbeat.
type ReportedTask struct {
	Name            string    `json:"piece"` // JOB/INDEX
	Attempt         uint64    `json:"try"`
	Phase           TaskPhase `json:"phase"`
	Cause           EndCause  `json:"cause,omitempty"`
	CheckpointSaved bool      `json:"stored,omitempty"`
}

// taskAttempt returns the attempt that is listed.
func (t *ReportedTask) taskAttempt() taskAttempt { return taskAttempt{t.Name, t.Attempt} }

// number returns the heartbeat's position among the messages of its worker.
func (h *Heartbeat) number() taskstate.MessageNumber {
	return taskstate.MessageNumber{Session: h.Session, Sequence: h.Sequence}
}

// listedAttempts returns all attempts that the heartbeat lists.
func (h *Heartbeat) listedAttempts() map[taskAttempt]bool {
	listed := make(map[taskAttempt]bool, len(h.Tasks))
	for i := range h.Tasks {
		listed[h.Tasks[i].taskAttempt()] = true
	}
	return listed
}

// Command is a command to a worker.
type Command struct {
	Verb     Verb   `json:"verb"`
	TaskName string `json:"piece"`
	Attempt  uint64 `json:"try"`
	// WindDownSeconds is the time that a halted task has to write a checkpoint. It is nil
	// for other verbs.
	WindDownSeconds *float64 `json:"windDownS,omitempty"`
}

// CommandMessage is the answer to a heartbeat or, with a session, a direct message to the
// worker (protocol, POST /orders).
type CommandMessage struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift,omitempty"`
	Commands []Command `json:"orders"`
}

// ErrIncompleteHeartbeat is returned for a heartbeat without a worker or without a session.
var ErrIncompleteHeartbeat = errors.New(`report: "host" or "shift" missing`)

// ParseHeartbeat decodes a heartbeat from JSON. A heartbeat without a worker or a session is
// an ErrIncompleteHeartbeat.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if heartbeat.WorkerID == "" || heartbeat.Session == 0 {
		return nil, ErrIncompleteHeartbeat
	}
	return &heartbeat, nil
}

// parseTaskName splits a task's name, JOB/INDEX. ok is false if the name is invalid.
func parseTaskName(name string) (job string, index int, ok bool) {
	job, number, ok := strings.Cut(name, "/")
	if !ok || !jobs.ValidID(job) {
		return "", 0, false
	}
	index, err := strconv.Atoi(number)
	if err != nil || index < 0 || index >= jobs.MaxTasks {
		return "", 0, false
	}
	return job, index, true
}

func launchCommand(taskName string, attempt uint64) Command {
	return Command{Verb: VerbLaunch, TaskName: taskName, Attempt: attempt}
}

func haltCommand(taskName string, attempt uint64, windDownSeconds float64) Command {
	return Command{Verb: VerbHalt, TaskName: taskName, Attempt: attempt, WindDownSeconds: &windDownSeconds}
}

func forgetCommand(reported *ReportedTask) Command {
	return Command{Verb: VerbForget, TaskName: reported.Name, Attempt: reported.Attempt}
}
