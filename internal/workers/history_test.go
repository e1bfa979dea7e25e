package workers

import (
	"log/slog"
	"strings"
	"testing"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// TestUnrecordedAttemptIsLoggedOnceWithItsHistory guards against a log that does not tell how a task
// came to be on a machine where the records do not place it, or that tells it with every report.
func TestUnrecordedAttemptIsLoggedOnceWithItsHistory(t *testing.T) {
	fixture := newRegistryFixture(1)
	var text strings.Builder
	fixture.registry.log = slog.New(slog.NewTextHandler(&text, nil))
	fixture.placeAndLaunchAll(t)
	running := fixture.worker.tasks
	fixture.worker.tasks = map[string]uint64{} // the report lacks the task
	fixture.reportAll(t, PhaseRunning, "")
	fixture.worker.tasks = running
	for range 3 {
		fixture.reportAll(t, PhaseRunning, "")
	}
	var lines []string
	for line := range strings.Lines(text.String()) {
		if strings.Contains(line, `msg="unrecorded attempt listed"`) {
			lines = append(lines, line)
		}
	}
	if len(lines) != 1 {
		t.Fatalf("%d lines for three reports, want 1: %q", len(lines), lines)
	}
	for _, want := range []string{"task=wk-1/0@1", "placed on vm-1", "launched directly on vm-1", "launch executed on vm-1", "ended on vm-1", "not listed"} {
		if !strings.Contains(lines[0], want) {
			t.Errorf("the line lacks %q: %s", want, lines[0])
		}
	}
}

// TestHistoryTellsOfAnUnansweredLaunch guards against a history in which a launch in doubt looks like
// one that was executed.
func TestHistoryTellsOfAnUnansweredLaunch(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	task := fixture.placeTask(0)
	fixture.sendDirectMessage(t).fn(http1.Response{}, eventloop.ErrNoAnswer)
	if text := fixture.registry.history(task.Name()); !strings.Contains(text, "launch unanswered on vm-1") {
		t.Errorf("history %q, want it to tell of the unanswered launch", text)
	}
}
