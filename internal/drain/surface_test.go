package drain

import (
	"bytes"
	"encoding/json"
	"testing"
)

// traceAttribute is an attribute of a span or event as the exporter writes it.
type traceAttribute struct {
	Key   string
	Value struct{ Value any }
}

// valuesByKey returns the attributes as a JSON object, sorted by key.
func valuesByKey(t *testing.T, attributes []traceAttribute) string {
	t.Helper()
	values := map[string]any{}
	for _, attribute := range attributes {
		values[attribute.Key] = attribute.Value.Value
	}
	raw, err := json.Marshal(values)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestSurfaceTrace pins the names in the trace, which operators' tools match.
func TestSurfaceTrace(t *testing.T) {
	var out bytes.Buffer
	tracer, err := NewTracer(&out)
	if err != nil {
		t.Fatal(err)
	}
	usage := &budgetUsage{teams: map[string]*TeamUsage{"red": {Chosen: Amount{2, 3}, Unchosen: Amount{1, 1.5}}}}
	tracer.RecordStep(drainStep{drainID: "d-1", machineID: "vm-1", name: stepGranted, grant: &Grant{Tasks: []TaskRef{{Job: "wk-1"}, {Job: "wk-2"}}}}, usage)
	tracer.RecordWaitReasons("d-1", []string{"no room"})
	tracer.RecordStep(drainStep{drainID: "d-1", name: stepDone}, usage)
	var span struct {
		Name       string
		Attributes []traceAttribute
		Events     []struct {
			Name       string
			Attributes []traceAttribute
		}
		InstrumentationScope struct{ Name string }
	}
	if err := json.Unmarshal(out.Bytes(), &span); err != nil {
		t.Fatal(err)
	}
	if span.Name != "drain" || span.InstrumentationScope.Name != "lemonmoor/drain" || valuesByKey(t, span.Attributes) != `{"drain":"d-1"}` {
		t.Errorf("span %+v, want name drain, scope lemonmoor/drain and attribute drain d-1", span)
	}
	events := [][2]string{
		{"granted", `{"machine":"vm-1","tasks":2,"team.red.chosen":2,"team.red.cpus":4.5,"team.red.unchosen":1}`},
		{"waits", `{"reasons":["no room"]}`},
		{"done", `{"machine":"","team.red.chosen":2,"team.red.cpus":4.5,"team.red.unchosen":1}`},
	}
	if len(span.Events) != len(events) {
		t.Fatalf("%d events, want %d", len(span.Events), len(events))
	}
	for i, want := range events {
		if event := span.Events[i]; event.Name != want[0] || valuesByKey(t, event.Attributes) != want[1] {
			t.Errorf("event %s %s, want %s %s", event.Name, valuesByKey(t, event.Attributes), want[0], want[1])
		}
	}
}

// TestSurfaceBudgetWords pins the names of the limits, which are those of the settings.
func TestSurfaceBudgetWords(t *testing.T) {
	if got := (Budget{Tasks: 8, CPUs: 128.5, Share: 0.2, ReplicasUp: 1}).String(); got != "tasks 8, cpus 128.5, share 0.2, replicas_up 1" {
		t.Errorf("Budget.String() = %q, want %q", got, "tasks 8, cpus 128.5, share 0.2, replicas_up 1")
	}
}

// TestSurfaceIDs pins the form of drain IDs.
func TestSurfaceIDs(t *testing.T) {
	for id, valid := range map[string]bool{
		"d-1": true, "0": true, "": false, "-d": false, "D": false, "a/b": false,
		"abcdefghijabcdefghijabcdefghijabcdefghij": true, "abcdefghijabcdefghijabcdefghijabcdefghijk": false,
	} {
		if ValidID(id) != valid {
			t.Errorf("ValidID(%q) = %v, want %v", id, !valid, valid)
		}
	}
}
