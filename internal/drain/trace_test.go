package drain

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// TestTraceContainsStepsWaitReasonsAndUsage checks that the spans contain the steps, the wait
// reasons and the usage of the budgets, and that a nil tracer does nothing.
func TestTraceContainsStepsWaitReasonsAndUsage(t *testing.T) {
	var out bytes.Buffer
	tracer, err := NewTracer(&out)
	if err != nil {
		t.Fatal(err)
	}
	usage := &budgetUsage{teams: map[string]*TeamUsage{"red": {Chosen: Amount{2, 3}, Unchosen: Amount{1, 1}}}}
	for _, tracer := range []*Tracer{tracer, nil} {
		tracer.RecordStep(drainStep{drainID: "d", machineID: "vm-1", name: stepGranted, grant: &Grant{}}, usage)
		tracer.RecordWaitReasons("d", []string{"no room"})
		tracer.RecordStep(drainStep{drainID: "d", name: stepDone}, usage)
		tracer.End()
	}
	for _, want := range []string{`"granted"`, "vm-1", "team.red.chosen", "team.red.unchosen", "no room", `"done"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("trace without %s: %s", want, out.String())
		}
	}
	if spans := strings.Count(out.String(), `"TraceID"`); spans == 0 || !json.Valid(out.Bytes()) {
		t.Errorf("%d spans, want at least one in valid JSON: %s", spans, out.String())
	}
}
