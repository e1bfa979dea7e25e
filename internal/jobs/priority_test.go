package jobs

import "testing"

func TestPriorityNames(t *testing.T) {
	for priority, name := range map[Priority]string{
		PriorityLow: "low", PriorityStandard: "standard", PriorityUrgent: "urgent", PriorityCritical: "critical",
	} {
		if got := priority.String(); got != name {
			t.Errorf("priority %d is called %q, want %q", priority, got, name)
		}
		if got, isKnown := parsePriority(name); got != priority || !isKnown {
			t.Errorf("%q is priority %d, want %d", name, got, priority)
		}
	}
	if got := (PriorityCritical + 1).String(); got != "priority 4" {
		t.Errorf("a priority out of range is called %q", got)
	}
	if got, isKnown := parsePriority("novel"); isKnown || got != PriorityLow {
		t.Errorf("an unknown name is priority %d, known: %v", got, isKnown)
	}
}
