package metrics

import (
	"log/slog"
	"strings"
	"testing"
)

// TestViolationsAreReportedBeforeTheFirst guards against a counter that an operator cannot tell
// from a missing one: every invariant is reported from the start.
func TestViolationsAreReportedBeforeTheFirst(t *testing.T) {
	m := New()
	m.ReportViolation(slog.New(slog.DiscardHandler), InvariantWithinQuota)
	text, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`lemonmoor_invariant_violations_total{invariant="gone_task_not_listed"} 0`,
		`lemonmoor_invariant_violations_total{invariant="within_quota"} 1`,
	} {
		if !strings.Contains(string(text), want) {
			t.Errorf("metrics lack %q:\n%s", want, text)
		}
	}
}

// TestSummaryRepeatsTheFirstViolation guards against a kept part of a log that does not tell of a
// violation which happened before it.
func TestSummaryRepeatsTheFirstViolation(t *testing.T) {
	var text strings.Builder
	log := slog.New(slog.NewTextHandler(&text, nil))
	m := New()
	if m.LogViolations(log); text.Len() > 0 {
		t.Errorf("without a violation: logged %s", text.String())
	}
	discard := slog.New(slog.DiscardHandler)
	m.ReportViolation(discard, InvariantPlacedOnce, "task", "wk-1/2", "history", "0.100 s ago")
	m.ReportViolation(discard, InvariantPlacedOnce, "task", "wk-1/3")
	m.LogViolations(log)
	for _, want := range []string{"placed_once=2", "task=wk-1/2 history=0.100 s ago"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the summary lacks %q: %s", want, text.String())
		}
	}
}
