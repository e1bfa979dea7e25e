package settings

import (
	"bytes"
	"fmt"
	"math"
	"time"

	"lemonmoor/internal/tuning"
)

// Drains is the operators' settings for stepwise drains. Without the block, drains are
// disabled.
type Drains struct {
	// MachinesAtOnce is the number of machines of a drain that are emptied at a time.
	MachinesAtOnce *int `hcl:"machines_at_once,optional"`
	// WaitS is how long a drain waits for tasks that are about to end, in seconds.
	WaitS *float64 `hcl:"wait_s,optional"`
	// TraceFile is the file to which the steps are traced; empty disables tracing.
	TraceFile string `hcl:"trace_file,optional"`
	// Default is the budget of teams without one of their own.
	Default *DefaultBudget `hcl:"default,block"`
	Teams   []TeamBudget   `hcl:"team,block"`
}

// DefaultBudget is the budget of teams without one of their own.
type DefaultBudget struct {
	Limits DrainLimits `hcl:",remain"`
}

// TeamBudget is the budget of one team. Limits that it leaves out are those of the default.
type TeamBudget struct {
	Name   string      `hcl:"name,label"`
	Limits DrainLimits `hcl:",remain"`
}

// DrainLimits limits how much of a team's work may be disturbed at once; nil means no limit.
type DrainLimits struct {
	Tasks *int     `hcl:"tasks,optional"`
	CPUs  *float64 `hcl:"cpus,optional"` // processors of the disturbed tasks
	// Share is the share, 0 to 1, of the processors of the team's running work, including
	// the disturbed work.
	Share *float64 `hcl:"share,optional"`
	// ReplicasUp is the minimum number of replicas of each service that stay up.
	ReplicasUp *int `hcl:"replicas_up,optional"`
}

// MachinesAtOnceOrDefault returns the number of machines of a drain that are emptied at a time.
func (d *Drains) MachinesAtOnceOrDefault() int {
	if d.MachinesAtOnce != nil {
		return *d.MachinesAtOnce
	}
	return tuning.DefaultDrainMachinesAtOnce
}

// WaitOrDefault returns how long a drain waits for tasks that are about to end.
func (d *Drains) WaitOrDefault() time.Duration {
	if d.WaitS != nil {
		return seconds(*d.WaitS)
	}
	return tuning.DefaultDrainWait
}

// drainError is an invalid setting in the drains block.
type drainError struct {
	block  string // first words of the inner block, as in the file; "" if not in an inner block
	key    string
	reason string
}

// line returns the line of the setting in the file, counted from 1.
func (e *drainError) line(source []byte) int {
	start := max(0, bytes.Index(source, []byte(e.block)))
	return bytes.Count(source[:start], []byte("\n")) + lineOf(source[start:], e.key)
}

// check returns the first invalid setting, nil if there is none.
func (d *Drains) check() *drainError {
	if machines := d.MachinesAtOnceOrDefault(); machines < 1 || machines > tuning.MaxDrainMachinesAtOnce {
		return &drainError{key: "machines_at_once", reason: fmt.Sprintf("%d is outside 1 to %d", machines, tuning.MaxDrainMachinesAtOnce)}
	}
	if waitSeconds := d.WaitOrDefault().Seconds(); !isOperatorTime(waitSeconds) {
		return &drainError{key: "wait_s", reason: fmt.Sprintf("%g is outside 0 to %d", waitSeconds, maxOperatorSeconds)}
	}
	if d.Default != nil {
		if err := d.Default.Limits.check(); err != nil {
			err.block = "default"
			return err
		}
	}
	seenTeams := map[string]bool{}
	for i := range d.Teams {
		label := fmt.Sprintf("team %q", d.Teams[i].Name)
		if seenTeams[label] {
			return &drainError{key: label, reason: "the team is named twice"}
		}
		seenTeams[label] = true
		if err := d.Teams[i].Limits.check(); err != nil {
			err.block, err.reason = label, label+": "+err.reason
			return err
		}
	}
	return nil
}

// check returns the first limit that is out of range or under which nothing could ever move,
// nil if there is none.
func (l *DrainLimits) check() *drainError {
	const reasonNothingMoves = "0: under it nothing could ever move"
	switch {
	case l.Tasks != nil && *l.Tasks < 0:
		return &drainError{key: "tasks", reason: fmt.Sprintf("%d is below 0", *l.Tasks)}
	case l.Tasks != nil && *l.Tasks == 0:
		return &drainError{key: "tasks", reason: reasonNothingMoves}
	case l.CPUs != nil && (*l.CPUs < 0 || math.IsNaN(*l.CPUs)):
		return &drainError{key: "cpus", reason: fmt.Sprintf("%g is below 0", *l.CPUs)}
	case l.CPUs != nil && *l.CPUs == 0:
		return &drainError{key: "cpus", reason: reasonNothingMoves}
	case l.Share != nil && (*l.Share < 0 || *l.Share > 1 || math.IsNaN(*l.Share)):
		return &drainError{key: "share", reason: fmt.Sprintf("%g is outside 0 to 1", *l.Share)}
	case l.Share != nil && *l.Share == 0:
		return &drainError{key: "share", reason: reasonNothingMoves}
	case l.ReplicasUp != nil && *l.ReplicasUp < 0:
		return &drainError{key: "replicas_up", reason: fmt.Sprintf("%d is below 0", *l.ReplicasUp)}
	}
	return nil
}

// unknownTeam returns the first team that has a drain budget but is not in the platform's
// settings, "" if there is none.
func (s *Settings) unknownTeam() string {
	if s.Operator.Drains == nil {
		return ""
	}
	known := map[string]bool{}
	for _, team := range s.Deployment.Teams {
		known[team.Name] = true
	}
	for i := range s.Operator.Drains.Teams {
		if name := s.Operator.Drains.Teams[i].Name; !known[name] {
			return name
		}
	}
	return ""
}
