package workers

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
)

// NotOwnerBody is the body of the 503 by which a node answers that may not act for the
// controllers: the worker tries the next node.
var NotOwnerBody = http1.ErrorBody("not the owner of this machine")

// TaskPhase is the phase of a task on its machine (protocol, POST /agent/beat, "task
// state"). Phases of later versions of the protocol are kept as they come.
type TaskPhase string

// The phases of tasks.
const (
	PhaseFetching TaskPhase = "fetching" // waits for its image
	PhaseWaiting  TaskPhase = "waiting"  // of a gang: has its image and waits for the others
	PhaseRunning  TaskPhase = "running"
	PhaseSaving   TaskPhase = "saving" // was told to halt and writes a checkpoint
	PhaseEnded    TaskPhase = "ended"  // see EndCause
)

// hasImage tells whether the phase shows that the task's image is on the machine.
func (p TaskPhase) hasImage() bool {
	return p == PhaseRunning || p == PhaseSaving || p == PhaseWaiting
}

// EndCause is why a task has ended (protocol, POST /agent/beat, "why"). Causes of later
// versions of the protocol are kept as they come.
type EndCause string

// The causes of ends.
const (
	CauseDone      EndCause = "done"       // completed
	CauseHalted    EndCause = "halted"     // by command
	CauseError     EndCause = "error"      // failed
	CauseFull      EndCause = "full"       // refused: not enough free resources
	CauseBusy      EndCause = "busy"       // refused: there with another attempt
	CauseUnknown   EndCause = "unknown"    // refused: the worker finds no such job or task
	CauseAlone     EndCause = "alone"      // of a gang: the others never came
	CauseMatesGone EndCause = "mates_gone" // of a gang that ran: another task is gone
)

// Verb is what a command asks for (protocol, POST /agent/beat, "Response").
type Verb string

// The verbs of commands.
const (
	VerbLaunch Verb = "launch" // start a task; no effect if the attempt is known there
	VerbHalt   Verb = "halt"   // end a task, with a checkpoint if there is time for it
	VerbForget Verb = "forget" // drop an ended task from the heartbeats
)

// Heartbeat is what a worker says of its machine, on its own account or in answer to
// direct commands (protocol, POST /agent/beat).
type Heartbeat struct {
	WorkerID          string         `json:"host"`
	Addr              string         `json:"addr"` // host:port where it takes commands
	MachineType       string         `json:"build"`
	Zone              string         `json:"yard"`
	Spot              bool           `json:"loaners"`
	Session           uint64         `json:"shift"` // grows when the worker's lease expires
	Sequence          uint64         `json:"tick"`  // grows with each message of the worker
	Token             uint64         `json:"baton"` // highest that the worker has seen
	SpotNoticeSeconds *float64       `json:"warningS"`
	Tasks             []ReportedTask `json:"pieces"` // all on the machine, ended ones until forgotten
}

// ReportedTask is a task in a heartbeat.
type ReportedTask struct {
	Name            string    `json:"piece"` // JOB/INDEX
	Attempt         uint64    `json:"try"`
	Phase           TaskPhase `json:"phase"`
	Cause           EndCause  `json:"cause,omitempty"`
	CheckpointSaved bool      `json:"stored,omitempty"`
}

// Command is a command to a worker.
type Command struct {
	Verb     Verb   `json:"verb"`
	TaskName string `json:"piece"`
	Attempt  uint64 `json:"try"`
	// WindDownSeconds is, for a halt, how long the task may take to write a checkpoint.
	WindDownSeconds *float64 `json:"windDownS,omitempty"`
}

// CommandMessage is the answer to a heartbeat, and, with a session, a direct message
// (protocol, POST /orders).
type CommandMessage struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift,omitempty"`
	Commands []Command `json:"orders"`
}

// ErrIncompleteHeartbeat says that a heartbeat does not name its worker or its session.
var ErrIncompleteHeartbeat = errors.New(`report: "host" or "shift" missing`)

// ParseHeartbeat reads a heartbeat. One without a worker or a session is an error.
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

// parseTaskName divides a task's name, JOB/INDEX; not ok if it is none.
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
