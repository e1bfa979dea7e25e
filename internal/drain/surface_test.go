package drain

import (
	"bytes"
	"encoding/json"
	"testing"
)

// TestSurfaceTrace: the names in the trace, by which operators' tools read it.
func TestSurfaceTrace(t *testing.T) {
	var out bytes.Buffer
	tracer, err := NewTracer(&out)
	if err != nil {
		t.Fatal(err)
	}
	use := &usage{teams: map[string]*TeamUsage{"red": {Chosen: Amount{2, 3}, Unchosen: Amount{1, 1.5}}}}
	tracer.Step(step{drainID: "d-1", machineID: "vm-1", name: stepGranted, grant: &Grant{Tasks: []TaskRef{{Job: "wk-1"}, {Job: "wk-2"}}}}, use)
	tracer.Waits("d-1", []string{"no room"})
	tracer.Step(step{drainID: "d-1", name: stepDone}, use)
	type attribute struct {
		Key   string
		Value struct{ Value any }
	}
	var span struct {
		Name       string
		Attributes []attribute
		Events     []struct {
			Name       string
			Attributes []attribute
		}
		InstrumentationScope struct{ Name string }
	}
	if err := json.Unmarshal(out.Bytes(), &span); err != nil {
		t.Fatal(err)
	}
	values := func(list []attribute) string {
		all := map[string]any{}
		for _, a := range list {
			all[a.Key] = a.Value.Value
		}
		raw, err := json.Marshal(all) // in the order of the keys
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	if span.Name != "drain" || span.InstrumentationScope.Name != "lemonmoor/drain" || values(span.Attributes) != `{"drain":"d-1"}` {
		t.Errorf("%+v", span)
	}
	events := [][2]string{
		{"granted", `{"machine":"vm-1","tasks":2,"team.red.chosen":2,"team.red.cpus":4.5,"team.red.unchosen":1}`},
		{"waits", `{"reasons":["no room"]}`},
		{"done", `{"machine":"","team.red.chosen":2,"team.red.cpus":4.5,"team.red.unchosen":1}`},
	}
	if len(span.Events) != len(events) {
		t.Fatalf("%d events", len(span.Events))
	}
	for i, want := range events {
		if e := span.Events[i]; e.Name != want[0] || values(e.Attributes) != want[1] {
			t.Errorf("event %s %s, not %s %s", e.Name, values(e.Attributes), want[0], want[1])
		}
	}
}

// TestSurfaceBudgetWords: the names of the limits are those of the settings.
func TestSurfaceBudgetWords(t *testing.T) {
	if got := (Budget{Tasks: 8, CPUs: 128.5, Share: 0.2, ReplicasUp: 1}).String(); got != "tasks 8, cpus 128.5, share 0.2, replicas_up 1" {
		t.Error(got)
	}
}

// TestSurfaceIDs: the form of drains' names.
func TestSurfaceIDs(t *testing.T) {
	for id, valid := range map[string]bool{
		"d-1": true, "0": true, "": false, "-d": false, "D": false, "a/b": false,
		"abcdefghijabcdefghijabcdefghijabcdefghij": true, "abcdefghijabcdefghijabcdefghijabcdefghijk": false,
	} {
		if ValidID(id) != valid {
			t.Errorf("%q: %v", id, !valid)
		}
	}
}
