// Package workers speaks with the workers: it takes their reports, knows what
// is or may be on each machine, and gives orders under the block lease's token.
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

// NotOwnerBody answers for a node that may not act for the controllers.
var NotOwnerBody = http1.ErrorBody("not the owner of this machine")

// Heartbeat is what a worker says of its machine.
type Heartbeat struct {
	WorkerID          string         `json:"host"`
	Addr              string         `json:"addr"`
	MachineType       string         `json:"build"`
	Zone              string         `json:"yard"`
	Spot              bool           `json:"loaners"`
	Session           uint64         `json:"shift"`
	Sequence          uint64         `json:"tick"`
	Token             uint64         `json:"baton"`
	SpotNoticeSeconds *float64       `json:"warningS"`
	Tasks             []ReportedTask `json:"pieces"`
}

// ReportedTask is a task in a report.
type ReportedTask struct {
	Name            string `json:"piece"`
	Attempt         uint64 `json:"try"`
	Phase           string `json:"phase"`
	Cause           string `json:"cause,omitempty"`
	CheckpointSaved bool   `json:"stored,omitempty"`
}

// Command is a command to a worker.
type Command struct {
	Verb            string   `json:"verb"`
	TaskName        string   `json:"piece"`
	Attempt         uint64   `json:"try"`
	WindDownSeconds *float64 `json:"windDownS,omitempty"`
}

// CommandMessage is the answer to a report, and, with a session, a direct message.
type CommandMessage struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift,omitempty"`
	Commands []Command `json:"orders"`
}

// ParseHeartbeat reads a report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if heartbeat.WorkerID == "" || heartbeat.Session == 0 {
		return nil, errors.New(`report: "host" or "shift" missing`)
	}
	return &heartbeat, nil
}

// parseTaskName reads a task's name.
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

func haltCommand(taskName string, attempt uint64, windDown float64) Command {
	return Command{Verb: "halt", TaskName: taskName, Attempt: attempt, WindDownSeconds: &windDown}
}

func forgetCommand(reported *ReportedTask) Command {
	return Command{Verb: "forget", TaskName: reported.Name, Attempt: reported.Attempt}
}
