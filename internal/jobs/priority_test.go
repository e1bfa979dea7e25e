package jobs

import "testing"

// TestPriorityNames checks the names of all priorities in both directions, and the results for
// unknown values.
func TestPriorityNames(t *testing.T) {
	for priority, name := range map[Priority]string{
		PriorityLow: "low", PriorityStandard: "standard", PriorityUrgent: "urgent", PriorityCritical: "critical",
	} {
		if got := priority.String(); got != name {
			t.Errorf("Priority(%d).String() = %q, want %q", priority, got, name)
		}
		if got, isKnown := parsePriority(name); got != priority || !isKnown {
			t.Errorf("parsePriority(%q) = %d, %v, want %d, true", name, got, isKnown, priority)
		}
	}
	if got := (PriorityCritical + 1).String(); got != "priority 4" {
		t.Errorf("String() of a priority out of range = %q, want %q", got, "priority 4")
	}
	if got, isKnown := parsePriority("novel"); isKnown || got != PriorityLow {
		t.Errorf("parsePriority of an unknown name = %d, %v, want %d, false", got, isKnown, PriorityLow)
	}
}
