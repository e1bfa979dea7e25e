package taskstate

import (
	"fmt"
	"strings"
	"time"
)

// maxHistorySteps is the number of steps that are kept of each task.
const maxHistorySteps = 12

// StepKind is what happened to a placement in a step.
type StepKind string

// The kinds of steps.
const (
	StepPlaced       StepKind = "placed"
	StepRecovered    StepKind = "read from the records"
	StepSentDirectly StepKind = "launched directly"
	StepSentInAnswer StepKind = "launched in an answer"
	StepExecuted     StepKind = "launch executed"
	StepRefused      StepKind = "launch refused"
	StepNotSent      StepKind = "launch not sent"
	StepUnanswered   StepKind = "launch unanswered"
	StepListed       StepKind = "first listed"
	StepEnded        StepKind = "ended"
)

// Step is one step of a task's placements. Fields that do not apply to its kind are zero.
type Step struct {
	At       time.Duration // on the loop's clock
	Kind     StepKind
	Attempt  uint64
	WorkerID string
	Token    uint64        // of the owner's message, or of its term
	Message  MessageNumber // the worker's message that shows the step, or the newest known
	Evidence string        // on which the placement ended
}

// History holds the latest steps of a task's placements, for logs. No decision depends on it.
type History struct{ steps []Step }

// Add adds a step, and drops the oldest one if there are too many.
func (h *History) Add(step Step) {
	if len(h.steps) == maxHistorySteps {
		copy(h.steps, h.steps[1:])
		h.steps = h.steps[:maxHistorySteps-1]
	}
	h.steps = append(h.steps, step)
}

// Clear drops all steps.
func (h *History) Clear() { h.steps = nil }

// Text returns the steps in one line, with their times in seconds before now.
func (h *History) Text(now time.Duration) string {
	texts := make([]string, len(h.steps))
	for i, step := range h.steps {
		texts[i] = fmt.Sprintf("%.3f s ago: @%d %s on %s, token %d, message %d/%d",
			(now - step.At).Seconds(), step.Attempt, step.Kind, step.WorkerID, step.Token, step.Message.Session, step.Message.Sequence)
		if step.Evidence != "" {
			texts[i] += ", " + step.Evidence
		}
	}
	return strings.Join(texts, "; ")
}
