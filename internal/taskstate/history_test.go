package taskstate

import (
	"strings"
	"testing"
	"time"
)

// TestHistoryKeepsTheLatestSteps guards against a history that grows without bound, or that loses
// the step before a failure.
func TestHistoryKeepsTheLatestSteps(t *testing.T) {
	var history History
	for number := range maxHistorySteps + 3 {
		history.Add(Step{At: time.Duration(number) * time.Second, Kind: StepPlaced, Attempt: uint64(number), WorkerID: "vm-1", Token: 7})
	}
	history.Add(Step{At: 20 * time.Second, Kind: StepEnded, Attempt: 14, WorkerID: "vm-1", Token: 7, Message: MessageNumber{1, 9}, Evidence: "not listed"})
	text := history.Text(21 * time.Second)
	if count := strings.Count(text, ";") + 1; count != maxHistorySteps {
		t.Errorf("%d steps, want %d: %s", count, maxHistorySteps, text)
	}
	if want := "; 1.000 s ago: @14 ended on vm-1, token 7, message 1/9, not listed"; !strings.HasSuffix(text, want) {
		t.Errorf("history %q, want it to end with %q", text, want)
	}
}
