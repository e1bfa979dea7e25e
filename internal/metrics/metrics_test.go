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
